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
	// treeWidth is the number of children of a member in the tree of sums.
	treeWidth = 3
	// sumIntervalTicks is the number of ticks between two sums sent to the parent.
	sumIntervalTicks = 2
	// sumTTL is how long the sum of a child is counted.
	sumTTL = 3 * sumIntervalTicks * Interval
	// publishIntervalTicks is the number of ticks between two versions of a zone's
	// sum.
	publishIntervalTicks = 8
	// crossZoneTicks is the mean number of ticks between two heartbeats that the
	// members of a zone together send to other zones.
	crossZoneTicks = 2
	// inZoneSums and crossZoneSums are the greatest numbers of zone sums in a
	// heartbeat within a zone and to another zone.
	inZoneSums    = 2
	crossZoneSums = 16
	// inZoneSends is how often each member sends one version of a zone's sum
	// within the zone.
	inZoneSends = 4
	// maxZones bounds the number of zones for which sums from heartbeats are kept.
	maxZones = 256
)

// ZoneLoad is the load of an availability zone as its first member published it.
type ZoneLoad struct {
	zone       place.Zone
	settings   uint64
	sum        wire.LoadTotal
	receivedAt time.Time
}

// Zone returns the availability zone.
func (z ZoneLoad) Zone() place.Zone { return z.zone }

// Settings returns the digest of the settings in force at the member that
// published the sum.
func (z ZoneLoad) Settings() uint64 { return z.settings }

// Members returns the number of entries in the sum, and how many of them are
// leaving.
func (z ZoneLoad) Members() (all, leaving int) { return z.sum.Members, z.sum.Leaving }

// Load returns the load of all entries in the sum.
func (z ZoneLoad) Load() Load {
	return Load{Slots: z.sum.Slots, Running: z.sum.Running, Queued: z.sum.Queued}
}

// ReceivedAt returns when this process received or computed the sum, by its own
// clock.
func (z ZoneLoad) ReceivedAt() time.Time { return z.receivedAt }

// subtreeSum is the sum that a child in the tree sent last.
type subtreeSum struct {
	sum        wire.LoadTotal
	receivedAt time.Time
}

// zoneRecord is the newest known sum of a zone and how often this process sent it.
type zoneRecord struct {
	zone       wire.ZoneLoad
	receivedAt time.Time
	sendCount  int
}

// sums holds the load of this process, of its subtrees in the tree of the zone,
// and of all zones.
type sums struct {
	load     Load
	subtrees map[place.Instance]subtreeSum
	zones    map[place.Zone]*zoneRecord
}

func newSums() sums {
	return sums{subtrees: map[place.Instance]subtreeSum{}, zones: map[place.Zone]*zoneRecord{}}
}

// SetLoad sets the load of this process's targets.
func (v *View) SetLoad(load Load) { v.sums.load = load }

// Zones returns the last known load of every zone, in the order of their names.
func (v *View) Zones() []ZoneLoad {
	zones := make([]ZoneLoad, 0, len(v.sums.zones))
	for _, z := range v.sums.zones {
		zones = append(zones, ZoneLoad{zone: z.zone.Zone, settings: z.zone.Settings, sum: z.zone.Sum, receivedAt: z.receivedAt})
	}
	slices.SortFunc(zones, func(a, b ZoneLoad) int { return cmp.Compare(a.zone, b.zone) })
	return zones
}

// parent returns the member that this process sends its sum to in this tick, or
// nil if it sends none.
func (v *View) parent() *record {
	index := v.ringIndex()
	if index == 0 || v.tickCount%sumIntervalTicks != 0 {
		return nil
	}
	return v.ring[(index-1)/treeWidth]
}

// publishZoneSum creates a new version of the zone's sum if this process is the
// first of the ring. The version is the time in milliseconds, but always greater
// than the last known one, so that it also grows when another member, with
// another clock, becomes the first.
func (v *View) publishZoneSum(now time.Time) {
	if v.ringIndex() != 0 || v.tickCount%publishIntervalTicks != 0 {
		return
	}
	version := uint64(max(0, now.UnixMilli()))
	if z, known := v.sums.zones[v.zone]; known {
		version = max(version, z.zone.Version+1)
	}
	v.sums.zones[v.zone] = &zoneRecord{
		zone: wire.ZoneLoad{
			Zone: v.zone, Version: version, Settings: v.settings,
			Sum: v.sums.total(v.self.update.Leaving, now),
		},
		receivedAt: now,
	}
}

// crossZoneHeartbeat returns a heartbeat to a random listed entry of a random
// other zone, or nil in most ticks. The chance is divided among all members, so
// that the traffic with other zones does not fall on one of them.
func (v *View) crossZoneHeartbeat() []Outgoing {
	zones := make([]place.Zone, 0, len(v.otherZones))
	for zone := range v.otherZones {
		zones = append(zones, zone)
	}
	if len(zones) == 0 || v.random.IntN(crossZoneTicks*len(v.ring)) != 0 {
		return nil
	}
	slices.Sort(zones)
	zone := zones[v.random.IntN(len(zones))]
	peers := v.otherZones[zone]
	peer := peers[v.random.IntN(len(peers))]
	return []Outgoing{{To: peer, Heartbeat: v.newHeartbeat(peer.instance, zone)}}
}

// total returns the sum of this process's load and of the subtrees below it. It
// drops subtrees that have sent no sum for sumTTL.
func (s *sums) total(leaving bool, now time.Time) wire.LoadTotal {
	sum := wire.LoadTotal{Members: 1, Slots: s.load.Slots, Running: s.load.Running, Queued: s.load.Queued}
	if leaving {
		sum.Leaving = 1
	}
	for instance, b := range s.subtrees {
		if now.Sub(b.receivedAt) > sumTTL {
			delete(s.subtrees, instance)
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

// applyHeartbeat stores the sums of a heartbeat: that of the sender's subtree,
// if it is a child, and zone sums newer than the known ones.
func (s *sums) applyHeartbeat(heartbeat *wire.MemberHeartbeat, now time.Time) {
	if heartbeat.Sum != nil && len(s.subtrees) < maxMembers {
		s.subtrees[heartbeat.Sender.Instance] = subtreeSum{sum: *heartbeat.Sum, receivedAt: now}
	}
	for _, zone := range heartbeat.Zones {
		current, known := s.zones[zone.Zone]
		if known && zone.Version <= current.zone.Version || !known && len(s.zones) >= maxZones {
			continue
		}
		s.zones[zone.Zone] = &zoneRecord{zone: zone, receivedAt: now}
	}
}

// sumsWithinZone returns the zone sums for a heartbeat within the zone: those
// sent least often, without those already sent inZoneSends times.
func (s *sums) sumsWithinZone() []wire.ZoneLoad {
	return s.leastSent(inZoneSums, func(z *zoneRecord) bool { return z.sendCount < inZoneSends })
}

// sumsForZone returns the zone sums for a heartbeat to another zone, without that
// zone's own.
func (s *sums) sumsForZone(to place.Zone) []wire.ZoneLoad {
	return s.leastSent(crossZoneSums, func(z *zoneRecord) bool { return z.zone.Zone != to })
}

// leastSent returns up to count of the matching zone sums, those sent least often
// first, and counts them as sent.
func (s *sums) leastSent(count int, matches func(*zoneRecord) bool) []wire.ZoneLoad {
	matching := []*zoneRecord{}
	for _, z := range s.zones {
		if matches(z) {
			matching = append(matching, z)
		}
	}
	slices.SortFunc(matching, func(a, b *zoneRecord) int {
		if c := cmp.Compare(a.sendCount, b.sendCount); c != 0 {
			return c
		}
		return cmp.Compare(a.zone.Zone, b.zone.Zone)
	})
	matching = matching[:min(count, len(matching))]
	chosen := make([]wire.ZoneLoad, 0, len(matching))
	for _, z := range matching {
		z.sendCount++
		chosen = append(chosen, z.zone)
	}
	return chosen
}
