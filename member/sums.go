package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

const (
	// relayCount is the number of relays of a zone.
	relayCount = 2
	// treeWidth is the number of members that send their sums to one member.
	treeWidth = 3
	// sumTicks is the number of ticks between two sums to the member above.
	sumTicks = 2
	// sumLife is how long a sum from below counts.
	sumLife = 3 * sumTicks * Interval
	// publishTicks is the number of ticks between two versions of a zone's sum.
	publishTicks = 8
	// outerTicks is the mean number of ticks between two heartbeats of a zone
	// to other zones.
	outerTicks = 2
	// innerZones and outerZones are the numbers of zones' sums in a heartbeat
	// within a zone and to another one.
	innerZones = 2
	outerZones = 16
	// innerSent is how often each member passes a version of a zone's sum on
	// within the zone.
	innerSent = 4
	// zonesMax bounds the zones that heartbeats can add.
	zonesMax = 256
)

// ZoneLoad is the sum of the load of an availability zone.
type ZoneLoad struct {
	zone     place.Zone
	settings uint64
	sum      wire.MemberSum
	taken    time.Time
}

// Zone returns the availability zone.
func (z ZoneLoad) Zone() place.Zone { return z.zone }

// Settings returns the digest of the settings in force at the zone's first
// relay.
func (z ZoneLoad) Settings() uint64 { return z.settings }

// Members returns how many entries the sum covers, and how many of these are
// about to stop.
func (z ZoneLoad) Members() (all, leaving int) { return z.sum.Members, z.sum.Leaving }

// Load returns the load of the covered entries.
func (z ZoneLoad) Load() Load {
	return Load{Slots: z.sum.Slots, Running: z.sum.Running, Queued: z.sum.Queued}
}

// Taken returns when this process got to know the sum.
func (z ZoneLoad) Taken() time.Time { return z.taken }

type below struct {
	sum   wire.MemberSum
	taken time.Time
}

type zoneRecord struct {
	zone  wire.MemberZone
	taken time.Time
	sent  int
}

// sums holds the loads: its own, those of the members below it in the tree,
// and those of the zones.
type sums struct {
	load  Load
	below map[place.Instance]below
	zones map[place.Zone]*zoneRecord
}

func newSums() sums {
	return sums{below: map[place.Instance]below{}, zones: map[place.Zone]*zoneRecord{}}
}

// SetLoad tells the load of this process.
func (v *View) SetLoad(load Load) { v.sums.load = load }

// Zones returns the last known load of every zone, in the order of their names.
func (v *View) Zones() []ZoneLoad {
	zones := make([]ZoneLoad, 0, len(v.sums.zones))
	for _, z := range v.sums.zones {
		zones = append(zones, ZoneLoad{zone: z.zone.Zone, settings: z.zone.Settings, sum: z.zone.Sum, taken: z.taken})
	}
	slices.SortFunc(zones, func(a, b ZoneLoad) int { return cmp.Compare(a.zone, b.zone) })
	return zones
}

// above returns the member that this process sends its sum to in this tick, or
// nil.
func (v *View) above() *record {
	at := v.position()
	if at == 0 || v.ticks%sumTicks != 0 {
		return nil
	}
	return v.ring[(at-1)/treeWidth]
}

// publish makes a new version of the zone's sum if this process is the first
// of the zone. The version is the time, and always greater than the last one
// that was heard, so that it also grows when another member has become the
// first.
func (v *View) publish(now time.Time) {
	if v.position() != 0 || v.ticks%publishTicks != 0 {
		return
	}
	version := uint64(max(0, now.UnixMilli()))
	if z, known := v.sums.zones[v.zone]; known {
		version = max(version, z.zone.Version+1)
	}
	v.sums.zones[v.zone] = &zoneRecord{
		zone: wire.MemberZone{
			Zone: v.zone, Version: version, Settings: v.settings,
			Sum: v.sums.total(v.self.rumour.Leaving, now),
		},
		taken: now,
	}
}

// outerBeat returns, in a random one of the ticks, a heartbeat to a random
// listed entry of a random other zone. All members take part, so that no one
// has to carry the exchange with the other zones alone.
func (v *View) outerBeat() []Outgoing {
	zones := make([]place.Zone, 0, len(v.outside))
	for zone := range v.outside {
		zones = append(zones, zone)
	}
	if len(zones) == 0 || v.random.IntN(outerTicks*len(v.ring)) != 0 {
		return nil
	}
	slices.Sort(zones)
	zone := zones[v.random.IntN(len(zones))]
	peers := v.outside[zone]
	peer := peers[v.random.IntN(len(peers))]
	return []Outgoing{{To: peer, Beat: v.beat(peer.instance, zone)}}
}

// total adds up the own load and that of the members below.
func (s *sums) total(leaving bool, now time.Time) wire.MemberSum {
	sum := wire.MemberSum{Members: 1, Slots: s.load.Slots, Running: s.load.Running, Queued: s.load.Queued}
	if leaving {
		sum.Leaving = 1
	}
	for instance, b := range s.below {
		if now.Sub(b.taken) > sumLife {
			delete(s.below, instance)
			continue
		}
		sum.Members += b.sum.Members
		sum.Leaving += b.sum.Leaving
		sum.Slots += b.sum.Slots
		sum.Running += b.sum.Running
		sum.Queued += b.sum.Queued
	}
	return sum
}

func (s *sums) take(beat *wire.MemberBeat, now time.Time) {
	if beat.Sum != nil && len(s.below) < membersMax {
		s.below[beat.Sender.Instance] = below{sum: *beat.Sum, taken: now}
	}
	for _, zone := range beat.Zones {
		held, known := s.zones[zone.Zone]
		if known && zone.Version <= held.zone.Version || !known && len(s.zones) >= zonesMax {
			continue
		}
		s.zones[zone.Zone] = &zoneRecord{zone: zone, taken: now}
	}
}

// inner chooses the sums for a heartbeat within the zone: those passed on least
// often.
func (s *sums) inner() []wire.MemberZone {
	return s.choose(innerZones, func(z *zoneRecord) bool { return z.sent < innerSent })
}

// outer chooses the sums for a heartbeat to another zone.
func (s *sums) outer(to place.Zone) []wire.MemberZone {
	return s.choose(outerZones, func(z *zoneRecord) bool { return z.zone.Zone != to })
}

func (s *sums) choose(count int, fits func(*zoneRecord) bool) []wire.MemberZone {
	fitting := []*zoneRecord{}
	for _, z := range s.zones {
		if fits(z) {
			fitting = append(fitting, z)
		}
	}
	slices.SortFunc(fitting, func(a, b *zoneRecord) int {
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(a.zone.Zone, b.zone.Zone)
	})
	fitting = fitting[:min(count, len(fitting))]
	chosen := make([]wire.MemberZone, 0, len(fitting))
	for _, z := range fitting {
		z.sent++
		chosen = append(chosen, z.zone)
	}
	return chosen
}
