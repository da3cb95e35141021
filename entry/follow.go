package entry

import (
	"context"
	"maps"
	"slices"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/store"
)

// Run keeps the settings, the list of instances, the peers' health and the
// leases up to date until ctx ends. It returns when its goroutines have ended.
func (e *Entry) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { e.roster.Run(ctx) })
	tasks.Go(func() { e.relay.Run(ctx) })
	tasks.Go(func() { e.heartbeats.Run(ctx) })
	tasks.Go(func() { e.once.Run(ctx) })
	tasks.Go(func() { e.runWitnessChoice(ctx) })
	tasks.Go(func() { e.limits.run(ctx) })
	tasks.Wait()
	e.once.Close()
	e.budgets.hedges.Wait()
}

// applyRoster replaces the list of instances. While the list has no entries, the
// seeds are used as peers.
func (e *Entry) applyRoster(list store.Roster) {
	addresses := map[place.Instance]string{}
	if len(list.Entries) == 0 {
		addresses = maps.Clone(e.seeds)
	}
	for _, listed := range list.Entries {
		if listed.Instance != e.self.Instance {
			addresses[listed.Instance] = listed.PeerAddress
		}
	}
	e.pool.SetAddresses(addresses)
	e.heartbeats.SetPeers(slices.Sorted(maps.Keys(addresses)))
	e.view.Store(e.view.Load().withRoster(list, e.self.Zone, e.relay.Tables()))
}

// liveMembers returns the sorted entries of an availability zone that are
// reachable and not leaving, including this process.
func (e *Entry) liveMembers(zone place.Zone) []place.Instance {
	now := e.now()
	var members []place.Instance
	if zone == e.self.Zone && !e.leaving.Load() {
		members = append(members, e.self.Instance)
	}
	for _, listed := range e.view.Load().zoneEntries[zone] {
		health := e.heartbeats.Health(listed.Instance)
		if listed.Instance != e.self.Instance && health.Reachable(now) && !health.Leaving() {
			members = append(members, listed.Instance)
		}
	}
	slices.Sort(members)
	return members
}

// relayView returns the live entries for the relay. Before any list of instances
// was received, the seeds take the place of the other zones.
func (e *Entry) relayView() relay.View {
	others := map[place.Zone][]place.Instance{}
	for zone := range e.view.Load().zoneEntries {
		if zone == e.self.Zone {
			continue
		}
		if members := e.liveMembers(zone); len(members) > 0 {
			others[zone] = members
		}
	}
	if len(others) == 0 && e.roster.Table() == nil {
		others[""] = slices.Sorted(maps.Keys(e.seeds))
	}
	return relay.NewView(e.liveMembers(e.self.Zone), others)
}

// rosterSources returns where to read the list of instances from: the relays of
// the zone read it from the platform, the other entries ask one of the relays.
func (e *Entry) rosterSources() roster.Sources {
	members := e.liveMembers(e.self.Zone)
	relays := relay.Relays(members)
	near := slices.DeleteFunc(slices.Clone(relays), func(i place.Instance) bool { return i == e.self.Instance })
	var far []place.Instance
	for zone := range e.view.Load().zoneEntries {
		if zone != e.self.Zone {
			far = append(far, e.liveMembers(zone)...)
		}
	}
	if e.roster.Table() == nil {
		far = slices.Sorted(maps.Keys(e.seeds))
	}
	return roster.NewSources(slices.Contains(relays, e.self.Instance), near, far)
}
