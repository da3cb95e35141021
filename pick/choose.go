package pick

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

const (
	// probePauseLeast and probePauseMost bound the pause between two probes of
	// a target that could not be reached. The pause doubles with each probe.
	probePauseLeast = 250 * time.Millisecond
	probePauseMost  = 2 * time.Second
	// tripRegion and tripWorld are taken for the time to a target of another
	// zone or region and back before a connection has shown it.
	tripRegion = 3 * time.Millisecond
	tripWorld  = 40 * time.Millisecond
	// waitOfAim is how many times what the aim leaves beside the work a request
	// may wait. Above one, since the load of a target is known late and its queue
	// may be shorter; far above, every answer would be late.
	waitOfAim = 1.5
	// plainSlow is how slow a target may be for its answers to show how long
	// the service works.
	plainSlow = 1.5
)

// Query is a request that needs a target.
type Query struct {
	Service place.Service
	// Object is what the request concerns, "" if it isn't known or if targets
	// have no use for it.
	Object string
	// Aim is the time within which an answer is worth its full credit.
	Aim time.Duration
	// Left is the time until nobody waits for the answer.
	Left time.Duration
	// Allowed tells whether a region may serve the request.
	Allowed func(place.Region) bool
	// Tried are the targets that had the request already.
	Tried []place.Target
	// ColdShare returns how many requests a second this entry may send to a
	// cold target.
	ColdShare func(*fleet.Member) int64
}

// Chooser chooses targets and learns from what becomes of the requests. It is
// safe for use by several goroutines.
type Chooser struct {
	zone  place.Zone
	cold  *pace.Cold
	leave *pace.Leave

	mu       sync.Mutex
	targets  map[place.Target]*known
	services map[place.Service]*service
}

// known ties what was learned to the process that it was learned of.
type known struct {
	process fleet.Process
	learned *learned
}

// New makes a Chooser for an entry in the availability zone.
func New(zone place.Zone, cold *pace.Cold, leave *pace.Leave) *Chooser {
	return &Chooser{zone: zone, cold: cold, leave: leave, targets: map[place.Target]*known{}, services: map[place.Service]*service{}}
}

// Send is a request on its way to a target.
type Send struct {
	chooser  *Chooser
	member   *fleet.Member
	service  *service
	learned  *learned
	object   uint64
	keyed    bool
	familiar bool
	// plain tells that the request shows how long the service works: a slot
	// was free, and whether the target knows the object is not in doubt.
	plain    bool
	at       time.Time
	expected time.Duration
	estimate Estimate
	distance Distance
	load     float64
	loadAge  time.Duration
}

// Member returns the chosen target.
func (s *Send) Member() *fleet.Member { return s.member }

// Estimate returns what was expected of the target.
func (s *Send) Estimate() Estimate { return s.estimate }

// Distance returns how far the target is.
func (s *Send) Distance() Distance { return s.distance }

// Load returns how many requests were taken to run or wait at the target.
func (s *Send) Load() float64 { return s.load }

// At returns when the request was sent.
func (s *Send) At() time.Time { return s.at }

// LoadAge returns how old the target's last word on its load was.
func (s *Send) LoadAge() time.Duration { return s.loadAge }

// Familiar tells whether the target was taken to know the object.
func (s *Send) Familiar() bool { return s.familiar }

// of returns what was learned of the target's present process.
func (c *Chooser) of(m *fleet.Member, s *service, now time.Time) *learned {
	k, found := c.targets[m.Target()]
	if !found || k.process != m.Process() {
		k = &known{process: m.Process(), learned: newLearned(s, now)}
		c.targets[m.Target()] = k
	}
	return k.learned
}

func (c *Chooser) service(name place.Service, aim time.Duration) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.services[name]
	if !found {
		s = newService(aim)
		c.services[name] = s
	}
	return s
}

// Choose returns the target of a request, counted as sent there; its fate has
// to be told by Done. The error is an *errs.Refusal with the verdict not-run.
func (c *Chooser) Choose(members []*fleet.Member, q Query, now time.Time) (*Send, error) {
	s := c.service(q.Service, q.Aim)
	object := xxhash.Sum64String(q.Object)
	work := s.known()
	candidates := c.candidates(members, q, s, work, object, now)
	if len(candidates) == 0 {
		return nil, errs.NotRun(errs.ReasonNoTarget, q.Aim, "service %s: no target may get the request", q.Service)
	}
	for {
		i, estimate := c.best(candidates, q, work, now)
		if i < 0 {
			return nil, full(candidates, q, work)
		}
		chosen := candidates[i]
		if chosen.Cold && !c.cold.Take(chosen.Member.Target(), q.ColdShare(chosen.Member), now) {
			candidates = slices.Delete(candidates, i, i+1)
			continue
		}
		c.leave.Ran(chosen.Distance == OtherRegion, now)
		return c.send(chosen, estimate, s, object, q, now), nil
	}
}

func (c *Chooser) send(chosen Candidate, estimate Estimate, s *service, object uint64, q Query, now time.Time) *Send {
	c.mu.Lock()
	l := c.of(chosen.Member, s, now)
	c.mu.Unlock()
	send := &Send{
		chooser: c, member: chosen.Member, service: s, learned: l, object: object, keyed: q.Object != "",
		familiar: chosen.Familiar, at: now, estimate: estimate,
		distance: chosen.Distance, load: chosen.Load, expected: estimate.usual,
		plain: estimate.Wait == 0 && !chosen.Cold && chosen.Slow < plainSlow && (chosen.Familiar || chosen.Rank > 0),
	}
	l.mu.Lock()
	l.running[send] = struct{}{}
	if !l.reportedAt.IsZero() {
		send.loadAge = now.Sub(l.reportedAt)
	}
	l.mu.Unlock()
	if send.keyed {
		s.objects.note(object, chosen.Member.Process(), now)
	}
	return send
}

// best returns the best candidate. Targets that could not be reached are left
// to the end, and the bound on requests that leave the region is kept while
// there is a target in the region.
func (c *Chooser) best(candidates []Candidate, q Query, work Work, now time.Time) (int, Estimate) {
	fits := func(x Candidate, e Estimate) bool {
		if x.Suspect || e.Total > q.Left || !worthWaiting(x, e) {
			return false
		}
		return !x.Cold || c.cold.Room(x.Member.Target(), q.ColdShare(x.Member), now)
	}
	home := slices.ContainsFunc(candidates, func(x Candidate) bool { return x.Distance != OtherRegion && !x.Suspect })
	if home {
		switch c.leave.Next(now) {
		case pace.Stay:
			return Best(candidates, work, func(x Candidate, e Estimate) bool { return x.Distance != OtherRegion && fits(x, e) })
		case pace.Go:
			i, e := Best(candidates, work, func(x Candidate, e Estimate) bool { return x.Distance == OtherRegion && fits(x, e) })
			if i >= 0 {
				return i, e
			}
		case pace.Free:
		}
	}
	i, e := Best(candidates, work, fits)
	if i >= 0 || slices.ContainsFunc(candidates, func(x Candidate) bool { return !x.Suspect }) {
		return i, e
	}
	return Best(candidates, work, func(x Candidate, _ Estimate) bool { return !x.Cold })
}

// worthWaiting tells whether a request may wait at a candidate. At one that
// doesn't know the object it takes a free slot or none: waiting there, it would
// take the place of several that know theirs. At the others a burst may queue,
// but a queue that stays serves no more requests, only each of them late.
func worthWaiting(x Candidate, e Estimate) bool { return e.Wait == 0 || x.knows() && !x.Standing }

// longestWait returns how long a request may wait at a target.
func longestWait(aim time.Duration, work Work) time.Duration {
	return max(time.Duration(waitOfAim*float64(aim-work.Hit)), work.Hit)
}

// full makes the refusal of a request for which no target has room, with the
// time after which one is expected to have.
func full(candidates []Candidate, q Query, work Work) error {
	_, least := Best(candidates, work, func(Candidate, Estimate) bool { return true })
	comeBack := max(least.Total-q.Left, work.Hit)
	if q.Aim > 0 {
		comeBack = max(comeBack, least.Wait-longestWait(q.Aim, work))
	}
	// Callers that were refused together should not return together.
	comeBack = time.Duration(float64(comeBack) * (comeBackLeast + rand.Float64()))
	return errs.NotRun(errs.ReasonTargetBusy, comeBack, "service %s: no target has room within %v; the least wait is %v", q.Service, q.Left, least.Wait)
}

// comeBackLeast is the least part of the expected wait after which a caller is
// told to return; the greatest is one more.
const comeBackLeast = 0.5

func (c *Chooser) candidates(members []*fleet.Member, q Query, s *service, work Work, object uint64, now time.Time) []Candidate {
	familiar := s.objects.familiar(object, now)
	candidates := make([]Candidate, 0, len(members))
	orders := make([]float64, 0, len(members))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		if !q.Allowed(m.Zone().Region()) {
			continue
		}
		hash := mix(object ^ xxhash.Sum64String(string(m.Target())))
		candidate := c.candidate(m, q, s, work, now)
		candidates = append(candidates, candidate)
		orders = append(orders, order(hash, candidate.Distance))
	}
	if q.Object == "" {
		return anyOrder(candidates, q)
	}
	rank(candidates, orders)
	// A target that has rejected the request keeps its place: the next one does
	// not know the object because of that.
	candidates = slices.DeleteFunc(candidates, func(x Candidate) bool { return slices.Contains(q.Tried, x.Member.Target()) })
	for i := range candidates {
		candidates[i].Familiar = slices.Contains(familiar[:], candidates[i].Member.Process())
	}
	return candidates
}

// anyOrder returns the candidates for a request that concerns no object: none
// knows more than another, and where several are alike, each is as good.
func anyOrder(candidates []Candidate, q Query) []Candidate {
	candidates = slices.DeleteFunc(candidates, func(x Candidate) bool { return slices.Contains(q.Tried, x.Member.Target()) })
	for i := range candidates {
		candidates[i].Familiar = true
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// mix spreads the bits of a combined hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// order returns the position of a target in the rendezvous order of an object,
// the least first. Targets of the own region come first more often, by their
// weight. It is the same for all entries of a region.
func order(hash uint64, distance Distance) float64 {
	weight := homeWeight
	if distance == OtherRegion {
		weight = 1
	}
	return -math.Log((float64(hash)+1)/math.MaxUint64) / weight
}

// rank sets the rendezvous order among the candidates. Those that could not be
// reached take no place in it.
func rank(candidates []Candidate, orders []float64) {
	sorted := make([]int, len(candidates))
	for i := range sorted {
		sorted[i] = i
	}
	slices.SortFunc(sorted, func(i, j int) int { return cmp.Compare(orders[i], orders[j]) })
	position := 0
	for _, i := range sorted {
		candidates[i].Rank = position
		if !candidates[i].Suspect {
			position++
		}
	}
}

func (c *Chooser) candidate(m *fleet.Member, q Query, s *service, work Work, now time.Time) Candidate {
	l := c.of(m, s, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	distance := c.distance(m.Zone())
	trip := l.trip
	if trip == 0 {
		switch distance {
		case SameZone:
		case SameRegion:
			trip = tripRegion
		case OtherRegion:
			trip = tripWorld
		}
	}
	candidate := Candidate{
		Member: m, Distance: distance, Load: l.load(now), Slow: l.slowNow(now), Fails: l.fails,
		Trip: trip, Cold: m.Cold(now), Suspect: l.suspect,
	}
	candidate.Standing = l.queued(q.Aim > 0 && Expect(candidate, work).Wait > longestWait(q.Aim, work), now)
	return candidate
}

func (c *Chooser) distance(zone place.Zone) Distance {
	switch {
	case zone == c.zone:
		return SameZone
	case zone.Region() == c.zone.Region():
		return SameRegion
	}
	return OtherRegion
}

// Done tells what became of a request. report is what the target said of its
// load, nil if nothing; trip is the time of a packet there and back, 0 if it
// isn't known.
func (s *Send) Done(outcome Outcome, report *Report, trip time.Duration, now time.Time) {
	took := now.Sub(s.at)
	l := s.learned
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, s)
	l.fade(now)
	if trip > 0 {
		l.trip = trip
	}
	if report != nil {
		l.others = max(0, float64(report.Running+report.Waiting-len(l.running)))
		l.reportedAt = now
		s.service.loaded(l.others, now)
	}
	switch o := outcome.(type) {
	case Answered:
		l.breaks = 0
		l.suspect = false
		if o.Failed {
			l.failed(1)
			return
		}
		l.failed(0)
		l.observe(took, s.expected)
		if s.plain {
			s.service.observe(took-l.trip, s.familiar)
		}
	case Rejected:
		l.breaks = 0
		l.failed(1)
	case Unreachable:
		l.failed(1)
		l.doubt(now)
	case Broken:
		l.failed(1)
		if l.breaks++; l.breaks >= breaksMax {
			l.doubt(now)
		}
	case Abandoned:
		if took > s.expected {
			l.observe(took, s.expected)
		}
	}
}

// Forget drops what was learned of targets that are gone.
func (c *Chooser) Forget(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target := range c.targets {
		if _, found := view.Member(target); !found {
			delete(c.targets, target)
		}
	}
}

// Probes returns the targets that are to be probed now, counted as probed.
func (c *Chooser) Probes(view *fleet.View, now time.Time) []*fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*fleet.Member
	for target, k := range c.targets {
		m, found := view.Member(target)
		if found && m.Process() == k.process && k.learned.probeDue(now) {
			due = append(due, m)
		}
	}
	return due
}

func (l *learned) probeDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.suspect || now.Before(l.probeAt) {
		return false
	}
	l.probes++
	l.probeAt = now.Add(min(probePauseLeast<<min(l.probes, 8), probePauseMost))
	return true
}

// Probed takes in the answer to a probe.
func (c *Chooser) Probed(m *fleet.Member, healthy bool) {
	c.mu.Lock()
	k, found := c.targets[m.Target()]
	c.mu.Unlock()
	if !found || k.process != m.Process() {
		return
	}
	l := k.learned
	l.mu.Lock()
	defer l.mu.Unlock()
	if healthy {
		l.suspect = false
		l.breaks = 0
		l.fails = 0
	}
}
