package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/endivechute/endivechute/place"
)

const (
	// idleAfter is how long a Collector that gets no message keeps its counts. Those
	// of a later time would be a jump, so it starts from zero then.
	idleAfter = 3 * time.Second
	// youngAge is the age up to which all counts of another collector count when it is
	// first heard of. Those of an older one are the baseline, because nobody knows
	// when the requests were.
	youngAge = 10 * time.Second
	// freshFor is how long after a message the shares are kept up to date. Later, those
	// that are heard have requests that the silent one's rates don't include.
	freshFor = 250 * time.Millisecond
	// creditMax is the length of a silence up to which the requests during it count as
	// far as they exceed the estimate. Messages may just have been late. In a longer
	// one both sides keep to their parts.
	creditMax = 2 * time.Second
	// startSpread is how much older another collector may be that counts as begun at the
	// same time.
	startSpread = time.Second
	// reservedMax limits the part of a quota that is counted for others. The parts of
	// those that were never heard may add up to more than the whole.
	reservedMax = 0.9
	// sourceMemory is how long another collector that is silent is remembered.
	sourceMemory = time.Minute
	// estimateMax and zoneEstimateMax are how long requests are counted for an instance
	// and for a zone that is silent and may be running. A single instance is
	// covered by the reserve of the bounds.
	estimateMax     = time.Minute
	zoneEstimateMax = 10 * time.Minute
)

// Collector sums up what the instances of an availability zone report, and exchanges
// the sums with the collectors of other zones. Every instance has one, because each may
// be called. It is safe for concurrent use.
type Collector struct {
	mu   sync.Mutex
	zone place.Zone
	// seed and the number of restarts make up the identity.
	seed, restarts uint64
	revision       uint64
	began, heard   time.Time
	// ticked is the time of the last Tick.
	ticked time.Time
	// own holds the counts that this collector took from instances, fleet those of
	// all collectors.
	own, fleet map[place.Tenant]*total
	// ownReserved holds the parts of the quotas that are counted for instances that are
	// silent, reserved those of all collectors and of zones that are silent.
	ownReserved, reserved map[place.Tenant]float64
	members               map[place.Instance]*member
	zones                 map[place.Zone]*zone
}

// total holds cumulative counts and the revision in which they last changed.
type total struct {
	counts   Counts
	revision uint64
}

// member is an instance that reports to the collector.
type member struct {
	incarnation, sequence uint64
	activity
}

// zone is an availability zone whose collectors are known.
type zone struct {
	sources map[uint64]*source
	activity
}

// source is another collector.
type source struct {
	revision uint64
	counts   Usage
	// reserved holds the parts of quotas that it counts for silent instances.
	reserved map[place.Tenant]float64
	heard    time.Time
}

// activity is what an instance or a zone uses, and what is counted for it while it is
// silent.
type activity struct {
	heard time.Time
	// usage holds the rates of the admitted requests, latest those that aren't in it
	// yet.
	usage  map[place.Tenant]average
	latest Usage
	// estimated holds the requests that were counted during the silence, and shares
	// the parts of the quotas at which they are, as of that message. silent is true if
	// that has begun.
	estimated, shares map[place.Tenant]float64
	silent            bool
	// backlog is how many more messages tell of a silence that has ended, and long is
	// true if that took longer than creditMax.
	backlog int
	long    bool
	// unknown is true if there has been no message at all.
	unknown bool
}

func newActivity(now time.Time) activity {
	return activity{heard: now, usage: map[place.Tenant]average{}, latest: Usage{}, estimated: map[place.Tenant]float64{}, shares: map[place.Tenant]float64{}}
}

// take takes in the counts of a message, and returns what is to be counted.
func (a *activity) take(name place.Tenant, counts Counts, now time.Time) Counts {
	ending := a.silent || a.backlog > 0
	if ending && (a.long || now.Sub(a.heard) > creditMax) {
		// Both sides kept to their parts, which are counted already.
		return Counts{}
	}
	a.latest[name] = a.latest[name].plus(counts)
	if ending {
		credit := min(int64(a.estimated[name]), max(counts.admitted, 0))
		a.estimated[name] -= float64(credit)
		counts.admitted -= credit
	}
	return counts
}

// takeEnd is called after each message. backlog is how many more messages tell of a
// silence that ends.
func (a *activity) takeEnd(backlog int, now time.Time) {
	switch {
	case a.silent:
		a.backlog, a.long = backlog, now.Sub(a.heard) > creditMax
	case a.backlog > 0:
		a.backlog--
	}
	if a.backlog == 0 {
		clear(a.estimated)
	}
	a.heard, a.silent, a.unknown = now, false, false
}

// NewCollector returns a Collector. seed must differ from those of all other instances
// and processes.
func NewCollector(own place.Zone, seed uint64) *Collector {
	c := &Collector{zone: own, seed: seed}
	c.reset(time.Time{})
	return c
}

func (c *Collector) reset(now time.Time) {
	c.restarts++
	c.revision, c.began, c.ticked = 1, now, now
	c.own, c.fleet = map[place.Tenant]*total{}, map[place.Tenant]*total{}
	c.ownReserved, c.reserved = map[place.Tenant]float64{}, map[place.Tenant]float64{}
	c.members, c.zones = map[place.Instance]*member{}, map[place.Zone]*zone{}
}

// wake is called with each message that the collector takes in.
func (c *Collector) wake(now time.Time) {
	if c.heard.IsZero() || now.Sub(c.heard) > idleAfter {
		c.reset(now)
	}
	c.heard = now
	c.revision++
}

// id returns the identity, which is never 0.
func (c *Collector) id() uint64 { return max(c.seed+c.restarts, 1) }

// Active reports whether instances or other collectors have called within the given
// time.
func (c *Collector) Active(within time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heard.IsZero() && now.Sub(c.heard) <= within
}

// Report takes in the report of a process of an instance and returns the counts of the
// fleet. The counts of a report that is repeated aren't taken again.
func (c *Collector) Report(from place.Instance, incarnation uint64, r Report, now time.Time) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(now)
	m, found := c.members[from]
	if !found {
		m = &member{activity: newActivity(now)}
		c.members[from] = m
	}
	if m.incarnation != incarnation || m.sequence < r.Sequence {
		m.incarnation, m.sequence = incarnation, r.Sequence
		for name, counts := range r.Usage {
			counts = m.take(name, counts, now)
			c.add(c.own, name, counts)
			c.add(c.fleet, name, counts)
		}
	}
	// The first report after a silence repeats the last one before.
	m.takeEnd(1, now)
	return c.totals(c.fleet, c.reserved, r.Known, now)
}

func (c *Collector) add(totals map[place.Tenant]*total, name place.Tenant, counts Counts) {
	t, found := totals[name]
	if !found {
		t = &total{}
		totals[name] = t
	}
	if counts != (Counts{}) {
		t.counts, t.revision = t.counts.plus(counts), c.revision
	}
}

// totals returns the counts that changed after the position, all if that is another
// collector's.
func (c *Collector) totals(of map[place.Tenant]*total, reserved map[place.Tenant]float64, known Position, now time.Time) Totals {
	t := Totals{Position: Position{ID: c.id(), Revision: c.revision}, Age: now.Sub(c.began), Usage: Usage{}}
	if len(reserved) > 0 {
		t.Reserved = maps.Clone(reserved)
	}
	if known.ID == t.Position.ID && known.Revision <= c.revision {
		t.After = known.Revision
	}
	for name, counts := range of {
		if counts.revision > t.After {
			t.Usage[name] = counts.counts
		}
	}
	return t
}

// ZoneTotals returns the counts that this collector took from instances, for another
// collector that knows them up to the given position.
func (c *Collector) ZoneTotals(known Position, now time.Time) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals(c.own, c.ownReserved, known, now)
}

// TakeZone takes in the totals of another collector, and returns how far they are known
// then. Totals that leave out some which aren't known are ignored.
func (c *Collector) TakeZone(from place.Zone, t Totals, now time.Time) Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(now)
	z, found := c.zones[from]
	if !found {
		z = &zone{sources: map[uint64]*source{}, activity: newActivity(now)}
		c.zones[from] = z
	}
	s, found := z.sources[t.Position.ID]
	baseline := false
	if !found {
		if t.After > 0 {
			return Position{}
		}
		s = &source{counts: Usage{}}
		z.sources[t.Position.ID] = s
		baseline = t.Age > youngAge || t.Age > now.Sub(c.began)+startSpread
	}
	if t.After > s.revision {
		return Position{ID: t.Position.ID, Revision: s.revision}
	}
	if t.Position.Revision >= s.revision {
		for name, counts := range t.Usage {
			difference := counts.minus(s.counts[name])
			s.counts[name] = counts
			if !baseline {
				c.add(c.fleet, name, z.take(name, difference, now))
			}
		}
		s.revision, s.reserved = t.Position.Revision, t.Reserved
	}
	s.heard = now
	z.takeEnd(0, now)
	return Position{ID: t.Position.ID, Revision: s.revision}
}

// HeardZone reports whether a collector of the zone has been heard within the time.
func (c *Collector) HeardZone(name place.Zone, within time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	z, found := c.zones[name]
	return found && now.Sub(z.heard) <= within
}

// Fleet is what a Collector has to know of the fleet.
type Fleet struct {
	// Quotas holds the tenants with a quota.
	Quotas map[place.Tenant]Quota
	Bounds Bounds
	// Instances is the number of instances in the fleet, and Zones are the other
	// availability zones.
	Instances int
	Zones     []place.Zone
	// Chosen is true if the instances of this zone should report to this collector.
	// Those that don't report to one that isn't chosen aren't silent.
	Chosen bool
	// Ended reports whether the process of an instance of this zone is known to have
	// ended, so that its silence isn't a cut link.
	Ended func(place.Instance) bool
}

// Tick counts requests for instances and zones that are silent, at the share that they
// keep to. It must be called a few times a second.
func (c *Collector) Tick(f Fleet, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := now.Sub(c.ticked)
	if c.heard.IsZero() || now.Sub(c.heard) > idleAfter || passed <= 0 {
		return
	}
	c.ticked = now
	c.revision++
	clear(c.reserved)
	clear(c.ownReserved)
	whole := c.settle(f, passed, now)
	for name, q := range f.Quotas {
		q = f.Bounds.effective(q)
		for _, m := range c.members {
			counts, part := m.estimate(name, q, whole[name], f.Instances, passed, now)
			c.add(c.own, name, counts)
			c.add(c.fleet, name, counts)
			reserve(c.ownReserved, name, part)
			reserve(c.reserved, name, part)
		}
		for of, z := range c.zones {
			if of != c.zone && now.Sub(z.heard) <= zoneEstimateMax {
				counts, part := z.estimate(name, q, whole[name], len(f.Zones)+1, passed, now)
				c.add(c.fleet, name, counts)
				reserve(c.reserved, name, part)
			}
			for _, s := range z.sources {
				if now.Sub(s.heard) <= silentAfter {
					reserve(c.reserved, name, s.reserved[name])
				}
			}
		}
	}
	for _, m := range c.members {
		m.silent = now.Sub(m.heard) > silentAfter
	}
	for _, z := range c.zones {
		z.silent = now.Sub(z.heard) > silentAfter
	}
}

func reserve(of map[place.Tenant]float64, name place.Tenant, part float64) {
	if part > 0 {
		of[name] = min(of[name]+part, reservedMax)
	}
}

// settle updates the rates of all, and returns those of the whole fleet. It forgets who
// has been silent for too long.
func (c *Collector) settle(f Fleet, passed time.Duration, now time.Time) map[place.Tenant]average {
	whole := map[place.Tenant]average{}
	for _, z := range f.Zones {
		if _, found := c.zones[z]; !found {
			// A zone that was never heard may be cut off, too.
			c.zones[z] = &zone{sources: map[uint64]*source{}, activity: newActivity(c.began)}
			c.zones[z].unknown = true
		}
	}
	for name, m := range c.members {
		if f.Ended(name) || now.Sub(m.heard) > estimateMax || !f.Chosen && now.Sub(m.heard) > silentAfter {
			delete(c.members, name)
			continue
		}
		m.settle(passed, whole, now)
	}
	for _, z := range c.zones {
		maps.DeleteFunc(z.sources, func(_ uint64, s *source) bool { return now.Sub(s.heard) > sourceMemory })
		z.settle(passed, whole, now)
	}
	return whole
}

// settle updates the rates, unless there has been no message for too long, and adds
// them to those of the whole fleet.
func (a *activity) settle(passed time.Duration, whole map[place.Tenant]average, now time.Time) {
	if now.Sub(a.heard) <= silentAfter {
		for name := range a.latest {
			if _, found := a.usage[name]; !found {
				a.usage[name] = 0
			}
		}
		for name, usage := range a.usage {
			usage.add(float64(a.latest[name].admitted), passed, shareMemory)
			a.usage[name] = usage
		}
		clear(a.latest)
	}
	for name, usage := range a.usage {
		whole[name] += usage
	}
}

// estimate returns the requests to be counted for one of n that is silent, and the part
// of the quota that it keeps to.
func (a *activity) estimate(name place.Tenant, q Quota, whole average, n int, passed time.Duration, now time.Time) (Counts, float64) {
	if now.Sub(a.heard) <= freshFor {
		a.shares[name] = share(q.perSecond, a.usage[name], whole, n)
		if a.unknown {
			a.shares[name] = 1 / float64(max(n, 1))
		}
	}
	if now.Sub(a.heard) <= silentAfter {
		return Counts{}, 0
	}
	if !a.silent {
		passed = now.Sub(a.heard)
	}
	part := a.shares[name]
	before := a.estimated[name]
	after := before + passed.Seconds()*q.perSecond*part
	a.estimated[name] = after
	// Whole requests are counted.
	counted := int64(after) - int64(before)
	// They don't count as demand, because no instance that is heard decides on them.
	return Counts{admitted: counted}, part
}
