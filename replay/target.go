package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
)

// target simulates a target: slots, a first-in first-out queue, and a cache of
// the most recently used objects.
type target struct {
	world   *world
	service *Service
	member  *fleet.Member
	zone    string
	name    place.Target
	slots   int
	// loads holds the mean load per slot in each second of the run, up to accounted.
	loads     []float64
	accounted time.Duration
	running   []*job
	waiting   []*job
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
	t.account()
	switch {
	case t.down:
		j.done(pick.Unreachable{})
	case t.hanging:
	case len(t.running) < t.slots:
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
	return t.prolong(time.Duration(mean * factor * max(t.slowFactor, 1)))
}

// account adds the load since the last call to loads. It must be called before each
// change.
func (t *target) account() {
	load := float64(len(t.running)+len(t.waiting)) / float64(t.slots)
	for now := t.world.events.Now(); t.accounted < now; {
		second := t.accounted / time.Second
		end := min(now, (second+1)*time.Second)
		if int(second) < len(t.loads) {
			t.loads[second] += load * (end - t.accounted).Seconds()
		}
		t.accounted = end
	}
}

// workFactor returns how many times as long as usual work takes on the target's
// machine at a time, 0 if the service has no noise.
func (t *target) workFactor(at time.Duration) float64 {
	n := t.service.Noise
	if n == nil {
		return 0
	}
	interval := uint64(at / n.Interval.Duration())
	draw := rand.New(rand.NewPCG(t.world.seed^interval, xxhash.Sum64String(string(t.name)))).Float64() //nolint:gosec // no secret
	if draw < n.Share {
		return n.Factor
	}
	return 1
}

// prolong returns how long work that starts now takes under the noise.
func (t *target) prolong(work time.Duration) time.Duration {
	n := t.service.Noise
	if n == nil {
		return work
	}
	start := t.world.events.Now()
	at := start
	for {
		factor, end := t.workFactor(at), (at/n.Interval.Duration()+1)*n.Interval.Duration()
		if needed := time.Duration(float64(work) * factor); at+needed <= end {
			return at + needed - start
		}
		work -= time.Duration(float64(end-at) / factor)
		at = end
	}
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
	t.account()
	without := func(jobs []*job) []*job {
		return slices.DeleteFunc(jobs, func(other *job) bool { return other == j })
	}
	t.running, t.waiting = without(t.running), without(t.waiting)
	if len(t.waiting) > 0 && len(t.running) < t.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.start(next)
	}
}

// crash stops the target: the jobs there end as broken, and the cache is lost.
func (t *target) crash() {
	t.down = true
	t.account()
	lost := slices.Concat(t.running, t.waiting)
	t.running, t.waiting, t.cached = nil, nil, nil
	for _, j := range lost {
		j.removed = true
		j.done(pick.Broken{})
	}
}

func (t *target) report() *pick.Report {
	return &pick.Report{Running: len(t.running), Waiting: len(t.waiting), WorkFactor: t.workFactor(t.world.events.Now())}
}
