package entry

import (
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Dump is the state of a process, for operators.
type Dump struct {
	Instance    place.Instance  `json:"instance"`
	Zone        place.Zone      `json:"zone"`
	Incarnation uint64          `json:"incarnation"`
	Version     int             `json:"protocol_version"`
	At          time.Time       `json:"at"`
	Ready       bool            `json:"ready"`
	Leaving     bool            `json:"leaving"`
	InFlight    int64           `json:"in_flight"`
	Settings    relay.Dump      `json:"settings"`
	RosterAge   int64           `json:"roster_age_ms"`
	Peers       []DumpPeer      `json:"peers"`
	Targets     []DumpTarget    `json:"targets"`
	Services    []place.Service `json:"services"`
}

// DumpPeer is what the process knows of another entry.
type DumpPeer struct {
	Instance    place.Instance `json:"instance"`
	Zone        place.Zone     `json:"zone"`
	State       store.State    `json:"listed_state"`
	Incarnation uint64         `json:"incarnation"`
	Reachable   bool           `json:"reachable"`
	Leaving     bool           `json:"leaving"`
}

// DumpTarget is what the process knows of a target of its availability zone.
type DumpTarget struct {
	Target   place.Target  `json:"target"`
	Service  place.Service `json:"service"`
	State    store.State   `json:"listed_state"`
	InFlight int           `json:"in_flight"`
}

// Dump returns the present state.
func (e *Entry) Dump() Dump {
	v := e.view.Load()
	dump := Dump{
		Instance: e.self.Instance, Zone: e.self.Zone, Incarnation: e.self.Incarnation, Version: wire.Version,
		At: e.now(), Ready: e.Ready(), Leaving: e.Leaving(), InFlight: e.inFlight.Load(), Settings: e.relay.Dump(), RosterAge: e.rosterAge(),
	}
	for _, entry := range v.entries {
		if entry.Instance == e.self.Instance {
			continue
		}
		health := e.heart.Health(entry.Instance)
		dump.Peers = append(dump.Peers, DumpPeer{
			Instance: entry.Instance, Zone: entry.Zone, State: entry.State,
			Incarnation: health.Incarnation(), Reachable: health.Reachable(dump.At), Leaving: health.Leaving(),
		})
	}
	for service, zones := range v.targets {
		dump.Services = append(dump.Services, service)
		for _, t := range zones[e.self.Zone] {
			dump.Targets = append(dump.Targets, DumpTarget{Target: t.Target, Service: service, State: t.State, InFlight: v.clients[t.Target].InFlight()})
		}
	}
	return dump
}

// rosterAge returns the age of the list of instances in milliseconds, or -1 if
// none is known.
func (e *Entry) rosterAge() int64 {
	table := e.roster.Table()
	if table == nil {
		return -1
	}
	return table.Age(e.now()).Milliseconds()
}
