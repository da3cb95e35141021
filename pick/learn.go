package pick

import (
	"math"
	"sync"
	"time"
)

// How an entry learns from answers.
const (
	// slowGain and failGain are the weights of the newest observation.
	slowGain = 0.25
	failGain = 0.15
	// workGain is the weight of the newest observation in a service's work.
	workGain = 0.05
	// slowMin and slowMax bound how slow a target is taken to be.
	slowMin = 0.5
	slowMax = 20
	// forgetTime is how long it takes until half of what speaks against a
	// target is forgotten, so that it is tried again.
	forgetTime = 3 * time.Second
	// reportAge is how long a target's word on its load counts in full. At twice
	// that age the usual load of its service counts in its place.
	reportAge = 2 * time.Second
	// standingTime is how long a queue has to be longer than requests should
	// wait to count as one that stays. Bursts of users last for seconds.
	standingTime = 2 * time.Second
	// usualGain is the weight of the newest word of any target in the usual load
	// of its service, and usualHalf the time in which half of that is forgotten
	// when no target says anything.
	usualGain = 0.1
	usualHalf = 2 * time.Second
	// breaksMax is how many connections of a target may break in a row without
	// an answer between them before it counts as unreachable.
	breaksMax = 3
)

// Outcome is what became of a request at a target. The set is closed.
type Outcome interface{ outcome() }

// Answered says that the target's whole answer came.
type Answered struct {
	// Failed tells that the target failed the request.
	Failed bool
}

// Rejected says that the target reported that it did not run the request.
type Rejected struct{}

// Unreachable says that no connection could be opened, or the target's machine doesn't
// acknowledge what was sent.
type Unreachable struct{}

// Broken says that the connection ended without a whole answer.
type Broken struct{}

// Abandoned says that the entry stopped waiting.
type Abandoned struct{}

func (Answered) outcome()    {}
func (Rejected) outcome()    {}
func (Unreachable) outcome() {}
func (Broken) outcome()      {}
func (Abandoned) outcome()   {}

// Report is what a target says of its load with an answer.
type Report struct {
	Running, Waiting int
	At               time.Time
}

// learned is what this entry has learned of one process of a target.
type learned struct {
	service *service

	mu sync.Mutex
	// running holds when each of this entry's requests at the target was sent.
	running map[*Send]struct{}
	// others is the load that other entries made at the last report.
	others     float64
	reportedAt time.Time
	slow       float64
	fails      float64
	updated    time.Time
	// standing tells that the queue is one that stays, and changing since when it
	// seems to be otherwise.
	standing bool
	changing time.Time
	breaks   int
	suspect  bool
	probes   int
	probeAt  time.Time
	trip     time.Duration
}

func newLearned(s *service, now time.Time) *learned {
	return &learned{service: s, running: map[*Send]struct{}{}, slow: 1, updated: now}
}

// fade forgets a part of what is known, by the time that has passed.
func (l *learned) fade(now time.Time) {
	passed := now.Sub(l.updated)
	if passed <= 0 {
		return
	}
	keep := math.Exp2(-passed.Seconds() / forgetTime.Seconds())
	l.slow = 1 + (l.slow-1)*keep
	l.fails *= keep
	l.updated = now
}

// load returns how many requests run or wait at the target, as far as known.
// Where there are many entries, each hears from a target seldom; if what it does
// not know counted as idle, it would send to targets that are full.
func (l *learned) load(now time.Time) float64 {
	trust := 1.0
	if age := now.Sub(l.reportedAt); age > reportAge {
		trust = max(0, 2-float64(age)/float64(reportAge))
	}
	return float64(len(l.running)) + trust*l.others + (1-trust)*l.service.usualLoad(now)
}

// slowNow returns how slow the target is, counting what has been running there
// for longer than any answer took.
func (l *learned) slowNow(now time.Time) float64 {
	slow := l.slow
	for s := range l.running {
		if s.expected > 0 {
			slow = max(slow, min(float64(now.Sub(s.at))/float64(s.expected)-1, slowMax))
		}
	}
	return slow
}

// queued notes whether the target's queue is longer than requests should wait,
// and tells whether it is one that stays. It begins and ceases to count as such
// after standingTime.
func (l *learned) queued(long bool, now time.Time) bool {
	switch {
	case long == l.standing:
		l.changing = time.Time{}
	case l.changing.IsZero():
		l.changing = now
	case now.Sub(l.changing) >= standingTime:
		l.standing = long
		l.changing = time.Time{}
	}
	return l.standing && long
}

func (l *learned) observe(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), slowMin), slowMax)
	l.slow += slowGain * (ratio - l.slow)
}

func (l *learned) failed(part float64) { l.fails += failGain * (part - l.fails) }

func (l *learned) doubt(now time.Time) {
	if !l.suspect {
		l.suspect = true
		l.probes = 0
		l.probeAt = now.Add(probePauseLeast)
	}
}

// service is what this entry has learned of a service.
type service struct {
	objects *objects

	mu   sync.Mutex
	work Work
	// usual is the load that other entries make at a target, in the mean of what
	// targets said of late, the last of them at usualAt.
	usual   float64
	usualAt time.Time
}

// Before a service is known its work is taken from the aim of its route.
const (
	hitOfAim  = 0.5
	missOfAim = 1.3
)

func newService(aim time.Duration) *service {
	return &service{
		work:    Work{Hit: time.Duration(hitOfAim * float64(aim)), Miss: time.Duration(missOfAim * float64(aim))},
		objects: newObjects(),
	}
}

// observe learns from a request for which a slot was free: of a target that
// knew the object, or of one that had no reason to.
func (s *service) observe(took time.Duration, familiar bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := &s.work.Miss
	if familiar {
		of = &s.work.Hit
	}
	*of += time.Duration(workGain * float64(took-*of))
	s.work.Miss = max(s.work.Miss, s.work.Hit)
}

// loaded learns from the load that other entries make at one of the targets.
func (s *service) loaded(others float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usual += usualGain * (others - s.usual)
	s.usualAt = now
}

func (s *service) usualLoad(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usual * math.Exp2(-now.Sub(s.usualAt).Seconds()/usualHalf.Seconds())
}

func (s *service) known() Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}
