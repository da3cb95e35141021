package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/quota"
	"github.com/endivechute/endivechute/wire"
)

// collectorKey is the key of the rendezvous hashing that chooses the collector of a
// zone.
const collectorKey = "quota"

const (
	// collectorPause is how long an instance isn't called after a failed call. It
	// doubles with each further one, up to collectorPauseMax. An instance of the
	// previous release closes the connection at each call.
	collectorPause    = time.Second
	collectorPauseMax = 30 * time.Second
	// latePause is that time after a reply that is late. The instance may just be busy.
	latePause = 400 * time.Millisecond
)

// collectors holds what this instance knows of the collectors. It is safe for
// concurrent use.
type collectors struct {
	mu sync.Mutex
	// pauses holds the instances that aren't called for some time.
	pauses map[place.Instance]callPause
	links  map[place.Zone]*collectorLink
}

type callPause struct {
	until time.Time
	span  time.Duration
}

// collectorLink is the exchange with the collector of a zone.
type collectorLink struct {
	busy bool
	peer place.Instance
	// known is how far this collector knows the counts of peer, acked how far peer
	// knows those of this one.
	known, acked quota.Position
}

func newCollectors() *collectors {
	return &collectors{pauses: map[place.Instance]callPause{}, links: map[place.Zone]*collectorLink{}}
}

func (c *collectors) failed(peer place.Instance, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	span := min(max(2*c.pauses[peer].span, collectorPause), collectorPauseMax) //nolint:mnd // it doubles
	c.pauses[peer] = callPause{until: now.Add(span), span: span}
}

func (c *collectors) answered(peer place.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pauses, peer)
}

// late records that a reply didn't arrive in time.
func (c *collectors) late(peer place.Instance, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses[peer] = callPause{until: now.Add(latePause)}
}

// paused reports whether an instance isn't called because calls to it failed.
func (c *collectors) paused(peer place.Instance, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.pauses[peer].until)
}

// begin returns the link to a zone, nil if an exchange with it is running.
func (c *collectors) begin(zone place.Zone) *collectorLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	link, found := c.links[zone]
	if !found {
		link = &collectorLink{}
		c.links[zone] = link
	}
	if link.busy {
		return nil
	}
	link.busy = true
	return link
}

func (c *collectors) end(link *collectorLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.busy = false
}

// collectorSeed returns a number that other instances and processes don't have.
func collectorSeed(self wire.Hello) uint64 {
	return xxhash.Sum64String(string(self.Instance)) ^ self.Incarnation*0x9E3779B97F4A7C15 // spreads the bits
}

// chooseCollector returns the instance to be called as the collector of the names, ""
// if calls to all of them failed.
func (s *Server) chooseCollector(names []place.Instance) place.Instance {
	now := s.now()
	paused := func(name place.Instance) bool { return s.collectors.paused(name, now) }
	if chosen := peers.Choose(collectorKey, s.largest(names), paused); chosen != "" {
		return chosen
	}
	return peers.Choose(collectorKey, names, paused)
}

// largest returns the instances with the largest share of a core among the names, all
// where no capacity is registered. A collector on a tenth of a core answers late while
// its clients' load is high, and counts are then missing when they matter.
func (s *Server) largest(names []place.Instance) []place.Instance {
	share := func(name place.Instance) float64 {
		if name == s.self.Instance {
			return s.ownCapacity().CPUShare
		}
		return s.instances.Capacity(name).CPUShare
	}
	most := 0.0
	for _, name := range names {
		most = max(most, share(name))
	}
	return slices.DeleteFunc(slices.Clone(names), func(name place.Instance) bool { return share(name) < most })
}

// collectUsage begins to exchange counts with the collectors of other zones, if
// instances report to this one.
func (s *Server) collectUsage(ctx context.Context, calls *conc.WaitGroup) {
	quotas, now := s.quotas(), s.now()
	if len(quotas) == 0 || !s.collector.Active(collectorActive, now) {
		return
	}
	zones, chosen := s.instances.ByOtherZone(), s.isCollector()
	s.collector.Tick(quota.Fleet{
		Quotas: quotas, Bounds: s.settings().Bounds().Quota(), Instances: s.instances.Size(),
		Zones: slices.Collect(maps.Keys(zones)), Chosen: chosen, Ended: s.instances.Ended,
	}, now)
	if !chosen {
		// Instances that can't reach the chosen one report here.
		zones[s.self.Zone] = slices.DeleteFunc(s.instances.Live(), func(name place.Instance) bool { return name == s.self.Instance })
	}
	for zone, names := range zones {
		// One exchange carries the counts of both, so one of them calls.
		if zone >= s.self.Zone || !s.collector.HeardZone(zone, 2*quotaInterval, now) { //nolint:mnd // two rounds
			calls.Go(func() { s.exchangeUsage(ctx, zone, names) })
		}
	}
}

// isCollector reports whether this instance is the chosen collector of its zone.
func (s *Server) isCollector() bool {
	never := func(place.Instance) bool { return false }
	return peers.Choose(collectorKey, s.largest(s.instances.Live()), never) == s.self.Instance
}

// exchangeUsage exchanges the counts with the collector of a zone, which is one of the
// names. It calls the next one if one fails, and whom one names that isn't the
// collector.
func (s *Server) exchangeUsage(ctx context.Context, zone place.Zone, names []place.Instance) {
	link := s.collectors.begin(zone)
	if link == nil {
		return
	}
	defer s.collectors.end(link)
	for range quotaCalls {
		if !slices.Contains(names, link.peer) || s.collectors.paused(link.peer, s.now()) {
			*link = collectorLink{busy: true, peer: s.chooseCollector(names)}
		}
		if link.peer == "" {
			return
		}
		reply, ok := s.callCollector(ctx, link.peer, &wire.ZoneUsage{
			Totals: totalsToWire(s.collector.ZoneTotals(link.acked, s.now())), Known: wire.UsagePosition{ID: link.known.ID, Revision: link.known.Revision},
		}).(*wire.ZoneUsageReply)
		switch {
		case !ok:
			// The instance is paused now.
		case reply.Collector != "":
			*link = collectorLink{busy: true, peer: reply.Collector}
		default:
			link.acked = quota.Position{ID: reply.Known.ID, Revision: reply.Known.Revision}
			link.known = s.collector.TakeZone(zone, totalsFromWire(reply.Totals), s.now())
			return
		}
	}
}

// handleZoneUsage answers the collector of another zone.
func (s *Server) handleZoneUsage(from wire.Hello, m *wire.ZoneUsage) wire.Message {
	now := s.now()
	if !s.isCollector() && !s.collector.Active(collectorActive, now) {
		return &wire.ZoneUsageReply{Collector: s.chooseCollector(s.instances.Live())}
	}
	known := s.collector.TakeZone(from.Zone, totalsFromWire(m.Totals), now)
	return &wire.ZoneUsageReply{
		Totals: totalsToWire(s.collector.ZoneTotals(quota.Position{ID: m.Known.ID, Revision: m.Known.Revision}, now)),
		Known:  wire.UsagePosition{ID: known.ID, Revision: known.Revision},
	}
}

func countsToWire(usage quota.Usage) []wire.TenantCounts {
	counts := make([]wire.TenantCounts, 0, len(usage))
	for name, c := range usage {
		counts = append(counts, wire.TenantCounts{Tenant: name, Asked: c.Asked(), Admitted: c.Admitted()})
	}
	return counts
}

func usageFromWire(counts []wire.TenantCounts) quota.Usage {
	usage := make(quota.Usage, len(counts))
	for _, c := range counts {
		usage[c.Tenant] = quota.NewCounts(c.Asked, c.Admitted)
	}
	return usage
}

func totalsToWire(t quota.Totals) wire.UsageTotals {
	totals := wire.UsageTotals{
		Position: wire.UsagePosition{ID: t.Position.ID, Revision: t.Position.Revision}, After: t.After, AgeMillis: t.Age.Milliseconds(),
		Counts: countsToWire(t.Usage),
	}
	for name, part := range t.Reserved {
		totals.Reserved = append(totals.Reserved, wire.TenantPart{Tenant: name, Part: part})
	}
	return totals
}

func totalsFromWire(m wire.UsageTotals) quota.Totals {
	totals := quota.Totals{
		Position: quota.Position{ID: m.Position.ID, Revision: m.Position.Revision}, After: m.After,
		Age: time.Duration(m.AgeMillis) * time.Millisecond, Usage: usageFromWire(m.Counts),
	}
	if len(m.Reserved) > 0 {
		totals.Reserved = make(map[place.Tenant]float64, len(m.Reserved))
	}
	for _, r := range m.Reserved {
		// A NaN counts as the whole quota.
		if r.Part >= 0 && r.Part <= 1 {
			totals.Reserved[r.Tenant] = r.Part
		} else {
			totals.Reserved[r.Tenant] = 1
		}
	}
	return totals
}
