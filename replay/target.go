package replay

import (
	"slices"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pick"
)

// target simulates a target: slots, a first-in first-out queue, and a cache of
// the most recently used objects.
type target struct {
	world   *world
	service *Service
	member  *fleet.Member
	zone    string
	running []*job
	waiting []*job
	// cached are the objects in the cache, the most recently used last.
	cached      []string
	down        bool
	hanging     bool
	slowFactor  float64
	failureRate float64
}

// job is one request at a target.
type job struct {
	kind   *RequestKind
	object string
	// done is called once with the outcome, unless the job was removed first.
	done    func(pick.Outcome)
	removed bool
}

// accept starts the job, queues it or rejects it. A hanging target drops it
// without an outcome.
func (t *target) accept(j *job) {
	switch {
	case t.down:
		j.done(pick.Unreachable{})
	case t.hanging:
	case len(t.running) < t.service.Slots:
		t.start(j)
	case len(t.waiting) < t.service.Queue:
		t.waiting = append(t.waiting, j)
	default:
		j.done(pick.Rejected{})
	}
}

func (t *target) start(j *job) {
	t.running = append(t.running, j)
	serviceTime := t.drawServiceTime(j)
	t.world.events.After(serviceTime, func() {
		if j.removed {
			return
		}
		t.remove(j)
		j.done(pick.Answered{Failed: t.world.random.Float64() < t.failureRate})
	})
}

func (t *target) drawServiceTime(j *job) time.Duration {
	mean := float64(j.kind.ServiceTime.Duration())
	if t.useObject(j.object) {
		mean *= j.kind.CachedFactor
	}
	factor := max(0, 1+j.kind.Spread*t.world.random.NormFloat64())
	return time.Duration(mean * factor * max(t.slowFactor, 1))
}

// useObject reports whether the object was in the cache, and makes it the most
// recently used one.
func (t *target) useObject(object string) bool {
	i := slices.Index(t.cached, object)
	if i >= 0 {
		t.cached = slices.Delete(t.cached, i, i+1)
	}
	t.cached = append(t.cached, object)
	if extra := len(t.cached) - t.service.CacheSize; extra > 0 {
		t.cached = t.cached[extra:]
	}
	return i >= 0
}

// remove takes a job off its slot or the queue, and starts the next queued job
// if a slot is free. Removing a job twice has no effect.
func (t *target) remove(j *job) {
	if j.removed {
		return
	}
	j.removed = true
	without := func(jobs []*job) []*job {
		return slices.DeleteFunc(jobs, func(other *job) bool { return other == j })
	}
	t.running, t.waiting = without(t.running), without(t.waiting)
	if len(t.waiting) > 0 && len(t.running) < t.service.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.start(next)
	}
}

// crash stops the target: the jobs there end as broken, and the cache is lost.
func (t *target) crash() {
	t.down = true
	lost := slices.Concat(t.running, t.waiting)
	t.running, t.waiting, t.cached = nil, nil, nil
	for _, j := range lost {
		j.removed = true
		j.done(pick.Broken{})
	}
}

func (t *target) report() *pick.Report {
	return &pick.Report{Running: len(t.running), Waiting: len(t.waiting)}
}
