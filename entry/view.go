package entry

import (
	"maps"
	"slices"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/store"
)

// view is what a request needs to know of the instances of the fleet. A view
// is never changed after it was published: whoever learns something builds the
// next one and swaps the pointer, so that the path of a request takes no lock.
type view struct {
	entries     map[place.Instance]store.Entry
	zoneEntries map[place.Zone][]store.Entry
	// nearZones are the zones of zoneEntries by their distance from each other.
	nearZones map[place.Zone][distances][]place.Zone
	targets   map[place.Service]map[place.Zone][]store.Target
	clients   map[place.Target]*sender.Client
}

// withRoster returns a copy that knows the instances of the list. zone is the
// availability zone whose targets this process talks to itself.
func (v *view) withRoster(roster store.Roster, zone place.Zone, tables *config.Tables) *view {
	next := *v
	next.entries = map[place.Instance]store.Entry{}
	next.zoneEntries = map[place.Zone][]store.Entry{}
	for _, entry := range roster.Entries {
		next.entries[entry.Instance] = entry
		next.zoneEntries[entry.Zone] = append(next.zoneEntries[entry.Zone], entry)
	}
	next.nearZones = nearZones(zone, slices.Sorted(maps.Keys(next.zoneEntries)))
	next.targets = map[place.Service]map[place.Zone][]store.Target{}
	next.clients = map[place.Target]*sender.Client{}
	for _, t := range roster.Targets {
		zones := next.targets[t.Service]
		if zones == nil {
			zones = map[place.Zone][]store.Target{}
			next.targets[t.Service] = zones
		}
		zones[t.Zone] = append(zones[t.Zone], t)
		if t.Zone == zone {
			next.clients[t.Target] = v.client(t, tables)
		}
	}
	return &next
}

// nearZones returns the zones by their distance from each of them and from the
// own one, which may not be listed.
func nearZones(own place.Zone, zones []place.Zone) map[place.Zone][distances][]place.Zone {
	near := make(map[place.Zone][distances][]place.Zone, len(zones)+1)
	for _, from := range append([]place.Zone{own}, zones...) {
		var byDistance [distances][]place.Zone
		for _, to := range zones {
			at := distance(from, to)
			byDistance[at] = append(byDistance[at], to)
		}
		near[from] = byDistance
	}
	return near
}

// client returns the client of the target that is in use, or a new one.
func (v *view) client(t store.Target, tables *config.Tables) *sender.Client {
	if known := v.clients[t.Target]; known != nil && known.Address() == t.Address {
		return known
	}
	connections := config.DefaultConnections
	if policy, found := tables.Policy(t.Service); found {
		connections = policy.ConnectionsOf(t.Target)
	}
	return sender.New(t.Target, t.Address, connections)
}

// usable returns the targets of the service in the availability zone that may
// get new work.
func (v *view) usable(service place.Service, policy *config.Policy, zone place.Zone) []store.Target {
	return slices.DeleteFunc(slices.Clone(v.targets[service][zone]), func(t store.Target) bool {
		return t.State == store.StateLeaving || policy.LeavingAt(t.Target, t.Zone) || v.leavingByItself(t)
	})
}
