package entry

import (
	"net/netip"
	"strings"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
)

// objectChecks are the checks of the objects that package config does not read.
func objectChecks() map[string]config.Check {
	return map[string]config.Check{config.PrefixBlocks: func(value []byte) error {
		_, err := block.ParseChunk(value)
		return err
	}}
}

// takeBlocks puts the chunks of client blocks in force that have changed.
func (e *Entry) takeBlocks(tables *config.Tables) {
	held := e.blocks.Held()
	var updates []block.Update
	for _, path := range tables.Paths(config.PrefixBlocks) {
		name := strings.TrimPrefix(path, config.PrefixBlocks)
		version := tables.Version(path).InForce()
		if version <= held[name] {
			continue
		}
		update := block.Update{Name: name, Version: version}
		if object, found := tables.Object(path); found {
			update.Value = object.Value()
		}
		updates = append(updates, update)
	}
	if err := e.blocks.Take(updates...); err != nil {
		e.log.WithError(err).Error("A chunk of client blocks can't be read.")
	}
}

// zoneOf returns the availability zone of the client's site, or the own one if
// its block is not known.
func (e *Entry) zoneOf(client netip.Addr) place.Zone {
	if site, found := e.blocks.Find(client); found {
		return site.Zone()
	}
	return e.self.Zone
}
