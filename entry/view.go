package entry

import (
	"maps"
	"slices"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/store"
)

// view is an immutable index of the list of instances. A new list is applied by
// building a new view and swapping Entry.view, so that requests read it without a
// lock.
type view struct {
	entries     map[place.Instance]store.Entry
	zoneEntries map[place.Zone][]store.Entry
	// zonesByDistance holds, for each zone, the zones of zoneEntries grouped by
	// their distance from it.
	zonesByDistance map[place.Zone][distanceCount][]place.Zone
	targets         map[place.Service]map[place.Zone][]store.Target
	clients         map[place.Target]*sender.Client
	// dial opens the connections of new clients.
	dial sender.DialFunc
}

// withRoster returns a view of the list that reuses the clients of v. zone is the
// availability zone of this process; only its targets get a client.
func (v *view) withRoster(roster store.Roster, zone place.Zone, tables *config.Tables) *view {
	next := *v
	next.entries = map[place.Instance]store.Entry{}
	next.zoneEntries = map[place.Zone][]store.Entry{}
	for _, entry := range roster.Entries {
		next.entries[entry.Instance] = entry
		next.zoneEntries[entry.Zone] = append(next.zoneEntries[entry.Zone], entry)
	}
	next.zonesByDistance = groupByDistance(zone, slices.Sorted(maps.Keys(next.zoneEntries)))
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

// groupByDistance groups the zones by their distance from each of them and from
// the zone of this process, own, which may be missing from zones.
func groupByDistance(own place.Zone, zones []place.Zone) map[place.Zone][distanceCount][]place.Zone {
	grouped := make(map[place.Zone][distanceCount][]place.Zone, len(zones)+1)
	for _, from := range append([]place.Zone{own}, zones...) {
		var byDistance [distanceCount][]place.Zone
		for _, to := range zones {
			at := distance(from, to)
			byDistance[at] = append(byDistance[at], to)
		}
		grouped[from] = byDistance
	}
	return grouped
}

// client returns the existing client of the target, or a new one if there is none
// or the target's address has changed.
func (v *view) client(t store.Target, tables *config.Tables) *sender.Client {
	if known := v.clients[t.Target]; known != nil && known.Address() == t.Address {
		return known
	}
	connections := config.DefaultConnections
	if policy, found := tables.Policy(t.Service); found {
		connections = policy.ConnectionsOf(t.Target)
	}
	return sender.New(t.Target, t.Address, connections, v.dial)
}

// usable returns the targets of the service in the availability zone that may
// receive new requests, which excludes leaving ones.
func (v *view) usable(service place.Service, policy *config.Policy, zone place.Zone) []store.Target {
	return slices.DeleteFunc(slices.Clone(v.targets[service][zone]), func(t store.Target) bool {
		return t.State == store.StateLeaving || policy.LeavingInZone(t.Target, t.Zone) || v.announcedLeaving(t)
	})
}
