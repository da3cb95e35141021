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
	running []*visit
	waiting []*visit
	// cached are the objects in the cache, the most recently used last.
	known []string
	down  bool
	hangs bool
	slow  float64
	fails float64
}

// job is one request at a target.
type visit struct {
	kind   *Kind
	object string
	// done is called once with the outcome, unless the job was removed first.
	ended func(pick.Outcome)
	left  bool
}

// accept starts the job, queues it or rejects it. A hanging target drops it
// without an outcome.
func (t *target) take(v *visit) {
	switch {
	case t.down:
		v.ended(pick.Unreachable{})
	case t.hangs:
	case len(t.running) < t.service.Slots:
		t.begin(v)
	case len(t.waiting) < t.service.Queue:
		t.waiting = append(t.waiting, v)
	default:
		v.ended(pick.Rejected{})
	}
}

func (t *target) begin(v *visit) {
	t.running = append(t.running, v)
	work := t.work(v)
	t.world.events.After(work, func() {
		if v.left {
			return
		}
		t.leave(v)
		v.ended(pick.Answered{Failed: t.world.random.Float64() < t.fails})
	})
}

func (t *target) work(v *visit) time.Duration {
	mean := float64(v.kind.Work.Duration())
	if t.knows(v.object) {
		mean *= v.kind.KnownPart
	}
	factor := max(0, 1+v.kind.Spread*t.world.random.NormFloat64())
	return time.Duration(mean * factor * max(t.slow, 1))
}

// useObject reports whether the object was in the cache, and makes it the most
// recently used one.
func (t *target) knows(object string) bool {
	i := slices.Index(t.known, object)
	if i >= 0 {
		t.known = slices.Delete(t.known, i, i+1)
	}
	t.known = append(t.known, object)
	if extra := len(t.known) - t.service.Keeps; extra > 0 {
		t.known = t.known[extra:]
	}
	return i >= 0
}

// remove takes a job off its slot or the queue, and starts the next queued job
// if a slot is free. Removing a job twice has no effect.
func (t *target) leave(v *visit) {
	if v.left {
		return
	}
	v.left = true
	without := func(visits []*visit) []*visit {
		return slices.DeleteFunc(visits, func(other *visit) bool { return other == v })
	}
	t.running, t.waiting = without(t.running), without(t.waiting)
	if len(t.waiting) > 0 && len(t.running) < t.service.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.begin(next)
	}
}

// crash stops the target: the jobs there end as broken, and the cache is lost.
func (t *target) fall() {
	t.down = true
	lost := slices.Concat(t.running, t.waiting)
	t.running, t.waiting, t.known = nil, nil, nil
	for _, v := range lost {
		v.left = true
		v.ended(pick.Broken{})
	}
}

func (t *target) report() *pick.Report {
	return &pick.Report{Running: len(t.running), Waiting: len(t.waiting)}
}
