package entry

import (
	"time"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Dump is the state of an entry process as the operators' port reports it.
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
	// Quarantined are the requests that are quarantined, because targets crashed under
	// them.
	Quarantined []poison.State `json:"quarantined"`
	// Blocks is the number of client blocks in use. BlocksHidden counts the
	// blocks that are ignored because another chunk already defines them.
	Blocks       int        `json:"blocks"`
	BlocksHidden int        `json:"blocks_hidden"`
	Region       DumpRegion `json:"region"`
}

// DumpRegion describes this process's share of its region's in-flight limit.
type DumpRegion struct {
	Limited  bool `json:"limited"`
	InFlight int  `json:"in_flight"`
	// Share is the number of requests that this process may have in flight.
	Share int `json:"share"`
}

// DumpPeer is what the process knows about another entry.
type DumpPeer struct {
	Instance    place.Instance `json:"instance"`
	Zone        place.Zone     `json:"zone"`
	State       store.State    `json:"listed_state"`
	Incarnation uint64         `json:"incarnation"`
	Reachable   bool           `json:"reachable"`
	Leaving     bool           `json:"leaving"`
}

// DumpTarget is what the process knows about a target of its availability zone.
type DumpTarget struct {
	Target   place.Target  `json:"target"`
	Service  place.Service `json:"service"`
	State    store.State   `json:"listed_state"`
	InFlight int           `json:"in_flight"`
	// Leaving reports whether the target itself announced that it is leaving.
	Leaving bool `json:"leaving"`
	// ReportAgeMillis is the age of the target's last load report in
	// milliseconds, or -1 if there is none.
	ReportAgeMillis int64 `json:"report_age_ms"`
	// Keeper is the entry that this process believes to be the target's keeper.
	Keeper place.Instance `json:"keeper"`
	// AnswerMillis is the mean time from dispatch to answer in milliseconds, as
	// its keeper reports it, or 0 if unknown.
	AnswerMillis float64 `json:"answer_ms"`
}

// DumpBudget counts the requests, retries and hedged requests of a service.
type DumpBudget struct {
	Service  place.Service `json:"service"`
	Requests int64         `json:"requests"`
	Retried  int64         `json:"retried"`
	Hedged   int64         `json:"hedged"`
	// HedgeAfterMillis is the delay before a request is hedged, the 95th
	// percentile of the latency in milliseconds, or 0 if unknown.
	HedgeAfterMillis float64 `json:"hedge_after_ms"`
}

// Dump returns the current state of the process.
func (e *Entry) Dump() Dump {
	v := e.view.Load()
	dump := Dump{
		Instance: e.self.Instance, Zone: e.self.Zone, Incarnation: e.self.Incarnation, Version: wire.Version,
		At: e.now(), Ready: e.Ready(), Leaving: e.Leaving(), InFlight: e.inFlight.Load(), Settings: e.relay.Dump(), RosterAge: e.rosterAge(), Keys: e.once.Dump(),
		Quarantined: e.guard.States(e.now()), Blocks: e.blocks.Table().Blocks(), BlocksHidden: e.blocks.Table().Hidden(),
	}
	for _, entry := range v.entries {
		if entry.Instance == e.self.Instance {
			continue
		}
		health := e.heartbeats.Health(entry.Instance)
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
			Service: service, Requests: s.Requests(), Retried: s.Retried(), Hedged: s.Hedged(), HedgeAfterMillis: milliseconds(after),
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

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// rosterAge returns the age of the list of instances in milliseconds, or -1 if
// none has been received.
func (e *Entry) rosterAge() int64 {
	table := e.roster.Table()
	if table == nil {
		return -1
	}
	return table.Age(e.now()).Milliseconds()
}
