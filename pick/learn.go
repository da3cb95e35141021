package pick

import (
	"math"
	"sync"
	"time"
)

// Parameters of the moving averages and thresholds of an entry's statistics. A
// gain is the weight of the newest sample in an exponential moving average.
const (
	// slowdownGain and failGain apply to a target's slowdown and failure rate.
	slowdownGain = 0.25
	failGain     = 0.15
	// serviceTimeGain applies to the service times of a service.
	serviceTimeGain = 0.05
	// slowdownMin and slowdownMax bound the slowdown of a target.
	slowdownMin = 0.5
	slowdownMax = 20
	// decayHalfLife is the half-life of a target's slowdown and failure rate, so
	// that a target with bad statistics is tried again.
	decayHalfLife = 3 * time.Second
	// reportAge is the age up to which a target's load report counts in full. From
	// there to twice that age it is gradually replaced by the mean load of the
	// service.
	reportAge = 2 * time.Second
	// standingTime is how long a queue has to exceed the longest acceptable wait
	// to count as a standing queue. Bursts of user requests last for seconds.
	standingTime = 2 * time.Second
	// meanLoadGain applies to the mean load of a service, for load reports of any
	// of its targets. meanLoadHalfLife is the half-life of the mean load when no
	// target reports.
	meanLoadGain     = 0.1
	meanLoadHalfLife = 2 * time.Second
	// breaksMax is the number of consecutive broken connections, without an
	// answer in between, after which a target counts as unreachable.
	breaksMax = 3
)

// Outcome is the outcome of a request at a target: one of Answered, Rejected,
// Unreachable, Broken and Abandoned.
type Outcome interface{ outcome() }

// Answered means that the target's answer arrived in full.
type Answered struct {
	// Failed is true if the answer says that the target failed the request.
	Failed bool
}

// Rejected means that the target reported that it did not run the request.
type Rejected struct{}

// Unreachable means that no connection could be opened, or that the target's
// machine doesn't acknowledge the data sent.
type Unreachable struct{}

// Broken means that the connection ended before the answer was complete.
type Broken struct{}

// Abandoned means that the entry stopped waiting for the answer.
type Abandoned struct{}

func (Answered) outcome()    {}
func (Rejected) outcome()    {}
func (Unreachable) outcome() {}
func (Broken) outcome()      {}
func (Abandoned) outcome()   {}

// Report is the load report that a target sends with an answer: how many
// requests are running and waiting there.
type Report struct {
	Running, Waiting int
	// WorkFactor is how many times as long as usual work takes at the target's
	// machine, 0 if the target doesn't report that.
	WorkFactor float64
	At         time.Time
}

// targetStats holds this entry's statistics of one process of a target.
type targetStats struct {
	service *serviceStats

	mu sync.Mutex
	// running is the set of this entry's requests in flight to the target.
	running map[*Attempt]struct{}
	// otherLoad is the load from other entries, as of the last report.
	otherLoad  float64
	reportedAt time.Time
	// report is the last report that the target sent to this entry.
	report Report
	// factor is the last work factor that the target reported, as of factorAt.
	factor   float64
	factorAt time.Time
	slowdown float64
	// heard is the slowdown that another entry has seen, as of heardAt.
	heard       float64
	heardAt     time.Time
	answeredAt  time.Time
	failureRate float64
	updated     time.Time
	// standing is true if the target has a standing queue. differsSince is the
	// time since when its queue has contradicted that, zero if it doesn't.
	standing          bool
	differsSince      time.Time
	consecutiveBreaks int
	unreachable       bool
	// unreachableAt is when the target was last found unreachable.
	unreachableAt time.Time
	probes        int
	probeAt       time.Time
	rtt           time.Duration
}

func newTargetStats(s *serviceStats, now time.Time) *targetStats {
	return &targetStats{service: s, running: map[*Attempt]struct{}{}, slowdown: 1, updated: now}
}

// decay lets the slowdown and the failure rate decay for the time since the last
// call.
func (l *targetStats) decay(now time.Time) {
	passed := now.Sub(l.updated)
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-passed.Seconds() / decayHalfLife.Seconds())
	l.slowdown = 1 + (l.slowdown-1)*factor
	l.failureRate *= factor
	l.updated = now
}

// load returns the estimated number of requests running or waiting at the
// target. Without a recent report it assumes the mean load of the service: with
// many entries each gets few reports from a target, and if it assumed an idle
// target instead, it would send requests to full ones.
func (l *targetStats) load(now time.Time) float64 {
	weight := 1.0
	if age := now.Sub(l.reportedAt); age > reportAge {
		weight = max(0, 2-float64(age)/float64(reportAge))
	}
	return float64(len(l.running)) + weight*l.otherLoad + (1-weight)*l.service.decayedMeanLoad(now)
}

// currentSlowdown returns the slowdown of the target, raised if requests in
// flight have already taken longer than the average implies.
func (l *targetStats) currentSlowdown(now time.Time) float64 {
	slowdown := l.slowdown
	for s := range l.running {
		if s.expected > 0 {
			slowdown = max(slowdown, min(float64(now.Sub(s.at))/(float64(s.expected)*max(s.workFactor, 1))-1, slowdownMax))
		}
	}
	return slowdown
}

// updateStanding records whether the target's queue is longer than requests may
// wait, and reports whether it is a standing queue. A queue becomes a standing
// one, and ceases to be one, after standingTime; the result is false whenever the
// queue is short.
func (l *targetStats) updateStanding(long bool, now time.Time) bool {
	switch {
	case long == l.standing:
		l.differsSince = time.Time{}
	case l.differsSince.IsZero():
		l.differsSince = now
	case now.Sub(l.differsSince) >= standingTime:
		l.standing = long
		l.differsSince = time.Time{}
	}
	return l.standing && long
}

func (l *targetStats) observeDuration(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	l.answeredAt = l.updated
	ratio := min(max(float64(took)/float64(expected), slowdownMin), slowdownMax)
	l.slowdown += slowdownGain * (ratio - l.slowdown)
}

func (l *targetStats) updateFailureRate(failure float64) {
	l.failureRate += failGain * (failure - l.failureRate)
}

func (l *targetStats) markUnreachable(now time.Time) {
	l.unreachableAt = now
	if !l.unreachable {
		l.unreachable = true
		l.probes = 0
		l.probeAt = now.Add(probePauseMin)
	}
}

// serviceStats holds this entry's statistics of a service.
type serviceStats struct {
	objects     *objectTable
	competition competition

	mu    sync.Mutex
	times ServiceTimes
	// meanLoad is the moving average of the load from other entries in the load
	// reports of all targets, and meanLoadAt the time of the last report.
	meanLoad   float64
	meanLoadAt time.Time
	// meanUse is the moving average of the same load per slot.
	meanUse float64
	// meanFactor is the moving average of the work factors that targets report.
	meanFactor float64
	factorAt   time.Time
	hits       hitEstimates
}

// The initial service times of a service, as factors of the aim of its route.
const (
	initialHitFactor  = 0.5
	initialMissFactor = 1.3
)

func newServiceStats(aim time.Duration) *serviceStats {
	return &serviceStats{
		times:   ServiceTimes{Hit: time.Duration(initialHitFactor * float64(aim)), Miss: time.Duration(initialMissFactor * float64(aim))},
		objects: newObjectTable(),
	}
}

// observeServiceTime updates the service time for cache hits or misses from a
// request that didn't queue. likelyCached says whether it hit the cache.
func (s *serviceStats) observeServiceTime(took time.Duration, likelyCached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	average := &s.times.Miss
	if likelyCached {
		average = &s.times.Hit
	}
	*average += time.Duration(serviceTimeGain * float64(took-*average))
	s.times.Miss = max(s.times.Miss, s.times.Hit)
}

// observeLoad updates the mean load from the load that other entries cause at
// one of the targets.
func (s *serviceStats) observeLoad(others float64, slots int, gain float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanLoad += gain * (others - s.meanLoad)
	s.meanUse += gain * (others/float64(max(slots, 1)) - s.meanUse)
	s.meanLoadAt = now
}

func (s *serviceStats) decayedMeanLoad(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanLoad * math.Exp2(-now.Sub(s.meanLoadAt).Seconds()/meanLoadHalfLife.Seconds())
}

func (s *serviceStats) serviceTimes() ServiceTimes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times
}
