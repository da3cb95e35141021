package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

const (
	// probePauseMin and probePauseMax bound the pause between two probes of an
	// unreachable target. The pause doubles with each probe.
	probePauseMin = 250 * time.Millisecond
	probePauseMax = 2 * time.Second
	// defaultRegionRTT and defaultRemoteRTT are the assumed round-trip times to
	// a target in another zone and in another region, until a connection to the
	// target has measured one.
	defaultRegionRTT = 3 * time.Millisecond
	defaultRemoteRTT = 40 * time.Millisecond
	// maxWaitFactor times the difference between the aim and the service time is
	// the longest time that a request waits in a standing queue, and minWaitFactor
	// times the service time the least that it is taken for: while caches are empty,
	// the service time of a hit is overestimated.
	maxWaitFactor = 1.0
	minWaitFactor = 0.75
	// crowdedLoad is the mean load per slot from which a service is crowded.
	crowdedLoad = 0.95
	// costlyMissRatio is the ratio between the service times of a miss and of a hit
	// from which misses displace hits.
	costlyMissRatio = 1.5
	// sampleSlowdownMax is the slowdown up to which the answers of a target
	// count as samples of the service time.
	sampleSlowdownMax = 1.5
)

// Query describes a request that needs a target.
type Query struct {
	Service place.Service
	// Object is the key of the object that the request concerns. It is empty if
	// the object is unknown or if targets don't cache objects.
	Object string
	// Aim is the time within which an answer is worth its full credit.
	Aim time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Allowed reports whether a region may serve the request.
	Allowed func(place.Region) bool
	// Tried lists the targets that the request was already sent to.
	Tried []place.Target
	// Policy says on which targets objects are kept cached; nil means Single.
	Policy Policy
	// ColdShare returns how many requests per second this entry may send to a
	// cold target.
	ColdShare func(*fleet.Member) int64
	// Priority is the priority of the request, which counts while the service is
	// short of room.
	Priority Priority
	claim    claim
}

// Chooser chooses targets and updates its estimates from the outcomes of
// requests. It is safe for concurrent use.
type Chooser struct {
	zone          place.Zone
	region        place.Region
	coldLimiter   *pace.ColdLimiter
	regionLimiter *pace.RegionLimiter
	rateLimiter   *pace.RateLimiter

	mu       sync.Mutex
	targets  map[place.Target]*targetRecord
	services map[place.Service]*serviceStats
	// pauses holds the ends of the pauses that processes of targets asked for.
	// Forget keeps them, because a target may leave the view and return.
	pauses map[fleet.Process]time.Time
}

// targetRecord holds the statistics of a target and the process they belong to.
type targetRecord struct {
	process fleet.Process
	service place.Service
	stats   *targetStats
}

// New returns a Chooser for an entry in the availability zone.
func New(zone place.Zone, coldLimiter *pace.ColdLimiter, regionLimiter *pace.RegionLimiter, rateLimiter *pace.RateLimiter) *Chooser {
	return &Chooser{zone: zone, region: zone.Region(), coldLimiter: coldLimiter, regionLimiter: regionLimiter, rateLimiter: rateLimiter, targets: map[place.Target]*targetRecord{}, services: map[place.Service]*serviceStats{}, pauses: map[fleet.Process]time.Time{}}
}

// statsFor returns the statistics of the target's current process. It discards
// those of an earlier process. The caller holds c.mu.
func (c *Chooser) statsFor(m *fleet.Member, s *serviceStats, now time.Time) *targetStats {
	k, found := c.targets[m.Target()]
	if !found || k.process != m.Process() {
		k = &targetRecord{process: m.Process(), service: m.Service(), stats: newTargetStats(s, now)}
		c.targets[m.Target()] = k
	}
	return k.stats
}

func (c *Chooser) serviceFor(name place.Service, aim time.Duration) *serviceStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.services[name]
	if !found {
		s = newServiceStats(aim)
		c.services[name] = s
	}
	return s
}

// Choose returns the target of a request and counts the request as in flight
// there; the caller must call Done with the outcome. The error is an
// *errs.Refusal with the verdict not-run.
//
// It considers a shortlist of the targets first, and all of them only if none on
// the shortlist can take the request, so that the cost of a choice hardly grows
// with the number of targets.
func (c *Chooser) Choose(members []*fleet.Member, q Query, now time.Time) (*Attempt, error) {
	s := c.serviceFor(q.Service, q.Aim)
	q.claim = s.competition.observe(q, now)
	o := objectOf(q, s, now)
	times := s.serviceTimes()
	work := scratchPool.Get().(*scratch)
	defer scratchPool.Put(work)
	if len(members) > shortlistMax {
		if q.replicated() && q.Object != "" {
			c.listReplicas(work, members, q, o, true)
		} else {
			c.shortlist(work, members, q, o)
		}
		if attempt, _ := c.chooseFrom(work, q, s, o, times, now); attempt != nil {
			return attempt, nil
		}
	}
	if q.replicated() && q.Object != "" {
		c.listReplicas(work, members, q, o, false)
	} else {
		c.listAll(work, members, q, o)
	}
	attempt, refusal := c.chooseFrom(work, q, s, o, times, now)
	if attempt != nil {
		return attempt, nil
	}
	if refusal == nil {
		if limited := c.shortestLimit(members, q, now); limited > 0 {
			return nil, limitedRefusal(q.Service, limited)
		}
		if pause := c.shortestPause(members, q, now); pause > 0 {
			return nil, pausedRefusal(q.Service, pause)
		}
		refusal = errs.NotRun(errs.ReasonNoTarget, q.Aim, "service %s: no target is eligible for the request", q.Service)
	}
	return nil, refusal
}

// chooseFrom returns an attempt at the best of the listed targets. If none can
// take the request, it returns a refusal, nil if no target is eligible at all.
func (c *Chooser) chooseFrom(work *scratch, q Query, s *serviceStats, o object, times ServiceTimes, now time.Time) (*Attempt, error) {
	var candidates []Candidate
	if q.replicated() && q.Object != "" {
		candidates = c.replicas(work, q, s, o, times, now)
	} else {
		candidates = c.candidates(work, q, s, o, times, now)
	}
	if len(candidates) == 0 {
		return nil, nil //nolint:nilnil // documented
	}
	for {
		i, estimate := c.best(candidates, work.partial, q, times, now)
		if i < 0 {
			return nil, busyRefusal(candidates, q, times)
		}
		chosen := candidates[i]
		if chosen.Cold && !c.coldLimiter.Take(chosen.Member.Target(), q.ColdShare(chosen.Member), now) {
			candidates = slices.Delete(candidates, i, i+1)
			continue
		}
		if !c.rateLimiter.Take(chosen.Member, now) {
			candidates = slices.Delete(candidates, i, i+1)
			continue
		}
		c.regionLimiter.Count(chosen.Distance == OtherRegion, now)
		attempt := c.send(chosen, estimate, s, o.hash, q, times, now)
		attempt.considered, attempt.unreachable = len(candidates), countUnreachable(candidates)
		return attempt, nil
	}
}

func countUnreachable(candidates []Candidate) int {
	n := 0
	for _, x := range candidates {
		if x.Unreachable {
			n++
		}
	}
	return n
}

func (c *Chooser) send(chosen Candidate, estimate Estimate, s *serviceStats, object uint64, q Query, times ServiceTimes, now time.Time) *Attempt {
	c.mu.Lock()
	l := c.statsFor(chosen.Member, s, now)
	c.mu.Unlock()
	attempt := &Attempt{
		chooser: c, member: chosen.Member, service: s, stats: l, object: object, keyed: q.Object != "",
		likelyCached: chosen.LikelyCached, at: now, estimate: estimate,
		distance: chosen.Distance, load: chosen.Load, expected: estimate.nominal, workFactor: chosen.WorkFactor,
		sampled: estimate.Wait == 0 && !chosen.Cold && chosen.Slowdown < sampleSlowdownMax && (chosen.LikelyCached || chosen.Rank > 0),
	}
	if chosen.Replicated {
		attempt.setReplica(chosen, times)
	}
	l.mu.Lock()
	l.running[attempt] = struct{}{}
	if !l.reportedAt.IsZero() {
		attempt.loadAge = now.Sub(l.reportedAt)
	}
	l.mu.Unlock()
	if attempt.keyed {
		s.objects.record(object, chosen.Member.Process(), now)
	}
	return attempt
}

// best returns the index of the best candidate and its estimate, or -1 if no
// candidate has room. Unreachable targets are used only if all candidates are
// unreachable. The limit on requests that leave the region applies while the
// region has a reachable target. If partial is set, the candidates
// are a shortlist, and targets that aren't on it may be reachable or in the region;
// it then returns -1 instead of applying one of these two rules.
func (c *Chooser) best(candidates []Candidate, partial bool, q Query, times ServiceTimes, now time.Time) (int, Estimate) {
	fits := func(x Candidate, e Estimate) bool {
		if x.Unreachable || e.Total > q.TimeLeft || !mayQueue(x, e) || !q.mayTake(x, e, times) {
			return false
		}
		return !x.Cold || c.coldLimiter.HasRoom(x.Member.Target(), q.ColdShare(x.Member), now)
	}
	local := slices.ContainsFunc(candidates, func(x Candidate) bool { return x.Distance != OtherRegion && !x.Unreachable })
	if !local && partial && c.regionLimiter.Next(now) != pace.AnyRegion {
		return -1, Estimate{}
	}
	if local {
		switch c.regionLimiter.Next(now) {
		case pace.OwnRegion:
			return Best(candidates, times, func(x Candidate, e Estimate) bool { return x.Distance != OtherRegion && fits(x, e) })
		case pace.OtherRegion:
			i, e := Best(candidates, times, func(x Candidate, e Estimate) bool { return x.Distance == OtherRegion && fits(x, e) })
			if i >= 0 {
				return i, e
			}
		case pace.AnyRegion:
		}
	}
	i, e := Best(candidates, times, fits)
	if i >= 0 || partial || slices.ContainsFunc(candidates, func(x Candidate) bool { return !x.Unreachable }) {
		return i, e
	}
	return Best(candidates, times, func(x Candidate, _ Estimate) bool { return !x.Cold })
}

// mayQueue reports whether a request may be sent to a candidate with the
// expected queueing time. At a candidate without the object in its cache, a
// request needs a free slot: in the queue it would displace several requests
// that hit the cache. While the service is crowded it gets none either, because
// the next requests that hit the cache need that slot. At the others a burst may
// queue, but a standing queue adds delay to every request without serving more of
// them.
func mayQueue(x Candidate, e Estimate) bool {
	if !x.expectsHit() {
		return e.Wait == 0 && !x.Crowded
	}
	return e.Wait == 0 || !x.Standing
}

// maxWait returns how long a request may wait in a standing queue.
func maxWait(aim time.Duration, times ServiceTimes) time.Duration {
	return time.Duration(max(maxWaitFactor*float64(aim-times.Hit), minWaitFactor*float64(times.Hit)))
}

// busyRefusal returns the refusal of a request for which no target has room,
// with the time after which one is expected to have room.
func busyRefusal(candidates []Candidate, q Query, times ServiceTimes) error {
	_, least := Best(candidates, times, func(Candidate, Estimate) bool { return true })
	retryAfter := max(least.Total-q.TimeLeft, times.Hit)
	if q.Aim > 0 {
		retryAfter = max(retryAfter, least.Wait-maxWait(q.Aim, times))
	}
	// Jitter keeps callers that were refused together from retrying together.
	retryAfter = time.Duration(float64(retryAfter) * (jitterMin + rand.Float64()))
	return errs.NotRun(errs.ReasonTargetBusy, retryAfter, "service %s: no target has room within %v; the shortest wait is %v", q.Service, q.TimeLeft, least.Wait)
}

// jitterMin is the smallest factor by which the jitter scales the time after
// which a caller is told to retry. The factor is uniform in [0.5, 1.5).
const jitterMin = 0.5

// candidates returns the listed targets that are eligible for the request, with
// their ranks.
func (c *Chooser) candidates(work *scratch, q Query, s *serviceStats, o object, times ServiceTimes, now time.Time) []Candidate {
	candidates := work.candidates[:0]
	c.mu.Lock()
	defer c.mu.Unlock()
	position := 0
	for _, l := range work.listed {
		candidate := c.candidate(l.member, q, s, times, now)
		candidate.Paused = c.pauseOf(l.member.Process(), now) > 0
		candidate.LikelyCached = q.Object == "" || slices.Contains(o.processes[:], l.member.Process())
		if q.Object != "" {
			candidate.Rank = position
		}
		limited := c.rateLimiter.Wait(l.member, now) > 0
		// Unreachable, slow and limited candidates don't push others to a higher
		// rank.
		if !candidate.Unreachable && !candidate.slow() && !limited {
			position++
		}
		// Tried and paused targets count for the ranks: a rejection by the first
		// target doesn't mean that the next one has the object cached.
		if !candidate.Paused && !limited && !slices.Contains(q.Tried, l.member.Target()) {
			candidates = append(candidates, candidate)
		}
	}
	work.candidates = candidates
	return candidates
}

func (c *Chooser) candidate(m *fleet.Member, q Query, s *serviceStats, times ServiceTimes, now time.Time) Candidate {
	l := c.statsFor(m, s, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	distance := c.distance(m.Zone())
	rtt := l.rtt
	if rtt == 0 {
		switch distance {
		case SameZone:
		case SameRegion:
			rtt = defaultRegionRTT
		case OtherRegion:
			rtt = defaultRemoteRTT
		}
	}
	candidate := Candidate{
		Member: m, Distance: distance, Load: l.load(now), Slowdown: l.currentSlowdown(now), FailureRate: l.failureRate,
		RTT: rtt, Cold: m.Cold(now), Unreachable: l.unreachable,
	}
	candidate.Crowded = crowded(s.decayedMeanLoad(now), m.Slots(), times)
	candidate.HeardSlowdown = l.heardSlowdown(now)
	if q.replicated() {
		candidate.WorkFactor = l.workFactor(now)
	}
	candidate.Standing = l.updateStanding(q.Aim > 0 && Expect(candidate, times).Wait > maxWait(q.waitAim(), times), now)
	candidate.Short = isShort(s.decayedMeanLoad(now), m.Slots(), l.standing)
	return candidate
}

// crowded reports whether a service with the mean load per target has no room for
// requests that miss the cache. Where a miss takes hardly longer than a hit, any
// free slot is as good as another.
func crowded(meanLoad float64, slots int, times ServiceTimes) bool {
	return float64(times.Miss) >= costlyMissRatio*float64(times.Hit) && meanLoad >= crowdedLoad*float64(slots)
}

func (c *Chooser) distance(zone place.Zone) Distance {
	switch {
	case zone == c.zone:
		return SameZone
	case zone.Region() == c.region:
		return SameRegion
	}
	return OtherRegion
}

// Forget drops the statistics of targets that are no longer in the view.
func (c *Chooser) Forget(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target := range c.targets {
		if _, found := view.Member(target); !found {
			delete(c.targets, target)
		}
	}
}
