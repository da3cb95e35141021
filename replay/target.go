package replay

import (
	"slices"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pick"
)

// target is the model of a target: slots, a queue in the order of arrival, and
// the objects that it was asked for last.
type target struct {
	world   *world
	service *Service
	member  *fleet.Member
	zone    string
	running []*visit
	waiting []*visit
	// known are the objects, the latest last.
	known []string
	down  bool
	hangs bool
	slow  float64
	fails float64
}

// visit is one request at a target.
type visit struct {
	kind   *Kind
	object string
	// ended is called with the outcome once, unless the visit was left.
	ended func(pick.Outcome)
	left  bool
}

// take takes a request in or rejects it.
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

// knows tells whether the target knows the object, which it does from now on.
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

// leave gives a request up: it no longer waits, or its work ends.
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

// fall ends the target's process: what is there is lost, and what it knows.
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
