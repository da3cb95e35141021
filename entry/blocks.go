package entry

import (
	"net/netip"
	"strings"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
)

// objectChecks returns the checks for the kinds of objects that package config
// does not parse itself.
func objectChecks() map[string]config.Check {
	return map[string]config.Check{config.PrefixBlocks: func(value []byte) error {
		_, err := block.ParseChunk(value)
		return err
	}}
}

// applyBlocks applies the chunks of client blocks whose version is greater than
// the one applied before. A chunk that can't be parsed keeps its old version.
func (e *Entry) applyBlocks(tables *config.Tables) {
	versions := e.blocks.Versions()
	var updates []block.Update
	for _, path := range tables.Paths(config.PrefixBlocks) {
		name := strings.TrimPrefix(path, config.PrefixBlocks)
		version := tables.Version(path).InForce()
		if version <= versions[name] {
			continue
		}
		update := block.Update{Name: name, Version: version}
		if object, found := tables.Object(path); found {
			update.Value = object.Value()
		}
		updates = append(updates, update)
	}
	if err := e.blocks.Apply(updates...); err != nil {
		e.log.WithError(err).Error("Cannot parse a chunk of client blocks.")
	}
}

// clientZone returns the availability zone of the site whose block contains the
// client's address, or the zone of this process if no block does.
func (e *Entry) clientZone(client netip.Addr) place.Zone {
	if site, found := e.blocks.Find(client); found {
		return site.Zone()
	}
	return e.self.Zone
}
