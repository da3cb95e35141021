package entry

import (
	"time"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/sender"
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
	Keys        once.Dump       `json:"keys"`
	Budgets     []DumpBudget    `json:"budgets"`
	// Blocks is the number of client blocks in force; BlocksHidden how many
	// stand in a further chunk, where they do not count.
	Blocks       int        `json:"blocks"`
	BlocksHidden int        `json:"blocks_hidden"`
	Region       DumpRegion `json:"region"`
}

// DumpRegion is this process's part in the limit of its region.
type DumpRegion struct {
	Limited  bool `json:"limited"`
	InFlight int  `json:"in_flight"`
	// Share is how many requests this process may have in flight.
	Share int `json:"share"`
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
	// Leaving is what the target said of itself.
	Leaving bool `json:"leaving"`
	// ReportAgeMillis is the age of its last load report, -1 if there is none.
	ReportAgeMillis int64 `json:"report_age_ms"`
	// Keeper is the entry that is taken for the target's keeper.
	Keeper place.Instance `json:"keeper"`
	// AnswerMillis is how long the target takes to answer, by its keeper.
	AnswerMillis float64 `json:"answer_ms"`
}

// DumpBudget is what a service has spent on retries and hedged requests.
type DumpBudget struct {
	Service  place.Service `json:"service"`
	Requests int64         `json:"requests"`
	Retried  int64         `json:"retried"`
	Hedged   int64         `json:"hedged"`
	// HedgeAfterMillis is the 95th percentile of the latency, 0 if unknown.
	HedgeAfterMillis float64 `json:"hedge_after_ms"`
}

// Dump returns the present state.
func (e *Entry) Dump() Dump {
	v := e.view.Load()
	dump := Dump{
		Instance: e.self.Instance, Zone: e.self.Zone, Incarnation: e.self.Incarnation, Version: wire.Version,
		At: e.now(), Ready: e.Ready(), Leaving: e.Leaving(), InFlight: e.inFlight.Load(), Settings: e.relay.Dump(), RosterAge: e.rosterAge(), Keys: e.once.Dump(),
		Blocks: e.blocks.Table().Blocks(), BlocksHidden: e.blocks.Table().Hidden(),
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
			target := dumpTarget(t, v.clients[t.Target], dump.At)
			target.Keeper, target.AnswerMillis = e.limits.keeperOf(t.Target)
			dump.Targets = append(dump.Targets, target)
		}
	}
	dump.Region.InFlight, dump.Region.Share, dump.Region.Limited = e.limits.admission.State(e.limits.clock())
	e.budgets.each(func(service place.Service, s *budget.Service) {
		after, _ := s.HedgeDelay()
		dump.Budgets = append(dump.Budgets, DumpBudget{
			Service: service, Requests: s.Requests(), Retried: s.Retried(), Hedged: s.Hedged(), HedgeAfterMillis: inMillis(after),
		})
	})
	return dump
}

func dumpTarget(listed store.Target, client *sender.Client, now time.Time) DumpTarget {
	dump := DumpTarget{
		Target: listed.Target, Service: listed.Service, State: listed.State, InFlight: client.InFlight(),
		Leaving: client.Leaving(), ReportAgeMillis: -1,
	}
	if report := client.LastReport(); report.Known() {
		dump.ReportAgeMillis = report.Age(now).Milliseconds()
	}
	return dump
}

func inMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// rosterAge returns the age of the list of instances in milliseconds, or -1 if
// none is known.
func (e *Entry) rosterAge() int64 {
	table := e.roster.Table()
	if table == nil {
		return -1
	}
	return table.Age(e.now()).Milliseconds()
}
