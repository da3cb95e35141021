// Package model compares, in a deterministic model with discrete events, three
// ways to share the slots of a zone's targets among its entries: fixed shares,
// units leased by demand, and one keeper for each target with a queue that the
// other entries know late. It does no I/O and uses no clock.
package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/event"
)

// Constants of the model.
const (
	// Hop is the time that a message takes inside the zone, one way.
	Hop = 500 * time.Microsecond
	// HotPeriod is the time after which the callers move to other entries.
	HotPeriod = 5 * time.Second
	// HotShare is the share of the requests that reach HotEntries of the
	// entries.
	HotShare = 0.8
	// HotEntries is the share of the entries that are hot.
	HotEntries = 0.2
	// LeasePeriod is the time between two exchanges of units by demand.
	LeasePeriod = 700 * time.Millisecond
	// ViewPeriod is the time after which an entry asks ViewsAsked others what
	// they keep.
	ViewPeriod = 250 * time.Millisecond
	// ViewsAsked is how many entries are asked each ViewPeriod.
	ViewsAsked = 3
	// BeatPeriod is the time between two renewals of a keeper's leases.
	BeatPeriod = 500 * time.Millisecond
	// electors is the number of other entries that renew a lease.
	electors = 2
)

// Way is one of the ways to share the slots.
type Way uint8

// The ways.
const (
	// WayFixed: each entry has an equal part of all slots for good.
	WayFixed Way = iota
	// WayLeased: the slots move to the entries with the longest queues.
	WayLeased
	// WayKeeper: each target has one keeper; an entry hands a request to the
	// better of two by what it last heard.
	WayKeeper
	// WayPool: one queue for all, known at once; the bound of the possible.
	WayPool
)

// String returns the name of the way.
func (w Way) String() string {
	return [...]string{"fixed shares", "leased units", "keepers", "one pool"}[w]
}

// Setting is what a run is made of.
type Setting struct {
	entries  int
	targets  int
	slots    int
	service  time.Duration
	load     float64
	deadline time.Duration
	length   time.Duration
}

// NewSetting makes a Setting: the zone, the mean service time, the load as a
// share of the capacity, and the deadline of each request.
func NewSetting(entries, targets, slots int, service time.Duration, load float64, deadline, length time.Duration) Setting {
	return Setting{entries: entries, targets: targets, slots: slots, service: service, load: load, deadline: deadline, length: length}
}

// Result is what a run measured.
type Result struct {
	requests int
	late     int
	messages int
	waits    []time.Duration
	length   time.Duration
}

// Late returns the share of the requests that had no slot before their
// deadline, in percent.
func (r *Result) Late() float64 { return 100 * float64(r.late) / float64(max(r.requests, 1)) }

// Wait returns the wait for a slot that the share q of the requests did not
// exceed. Late ones count with their deadline.
func (r *Result) Wait(q float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[min(int(q*float64(len(r.waits))), len(r.waits)-1)]
}

// Messages returns the number of messages a second in the whole zone.
func (r *Result) Messages() float64 { return float64(r.messages) / r.length.Seconds() }

// request is one request on its way.
type request struct {
	arrived time.Duration
	service time.Duration
	ended   func() // called when it ends, if set
}

// queue is a set of slots with the requests that wait for one.
type queue struct {
	slots   int
	running int
	waiting []request
	arrived int // since the last exchange
}

func (q *queue) expected(service time.Duration) time.Duration {
	over := q.running + len(q.waiting) - q.slots + 1
	if over <= 0 {
		return 0
	}
	return service * time.Duration(over) / time.Duration(max(q.slots, 1))
}

// world is the state of a run.
type world struct {
	setting Setting
	random  *rand.Rand
	events  event.Queue
	hot     []int
	queues  []queue
	keepers []int // the entry that keeps each target
	views   [][]view
	result  Result
}

// view is what one entry knows of one target.
type view struct {
	known bool
	free  int
	wait  time.Duration
	at    time.Duration
	sent  int
}

// Run runs the way in the setting. The same seed gives the same result.
func Run(way Way, setting Setting, seed uint64) *Result {
	w := &world{setting: setting, random: rand.New(rand.NewPCG(seed, seed))}
	w.result.length = setting.length
	w.prepare(way)
	w.moveCallers()
	w.nextArrival(way)
	w.events.Run(setting.length + setting.deadline)
	for _, q := range w.queues {
		for range q.waiting {
			w.expire()
		}
	}
	slices.Sort(w.result.waits)
	return &w.result
}

func (w *world) prepare(way Way) {
	s := w.setting
	total := s.targets * s.slots
	switch way {
	case WayPool:
		w.queues = []queue{{slots: total}}
	case WayFixed, WayLeased:
		w.queues = make([]queue, s.entries)
		for i := range total {
			w.queues[i%s.entries].slots++
		}
		if way == WayLeased {
			w.events.After(LeasePeriod, w.exchange)
		}
	case WayKeeper:
		w.queues = make([]queue, s.targets)
		w.keepers = make([]int, s.targets)
		for i := range w.queues {
			w.queues[i].slots = s.slots
			w.keepers[i] = w.random.IntN(s.entries)
		}
		w.views = make([][]view, s.entries)
		for i := range w.views {
			w.views[i] = make([]view, s.targets)
			w.events.After(time.Duration(w.random.Int64N(int64(ViewPeriod))), func() { w.askViews(i) })
		}
		w.events.After(BeatPeriod, w.beat)
	}
}

// moveCallers picks the entries that most callers use.
func (w *world) moveCallers() {
	count := max(1, int(HotEntries*float64(w.setting.entries)))
	w.hot = w.random.Perm(w.setting.entries)[:count]
	w.events.After(HotPeriod, w.moveCallers)
}

func (w *world) nextArrival(way Way) {
	s := w.setting
	rate := s.load * float64(s.targets*s.slots) / s.service.Seconds()
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.events.After(gap, func() {
		if w.events.Now() > s.length {
			return
		}
		w.arrive(way)
		w.nextArrival(way)
	})
}

func (w *world) arrive(way Way) {
	entry := w.random.IntN(w.setting.entries)
	if w.random.Float64() < HotShare {
		entry = w.hot[w.random.IntN(len(w.hot))]
	}
	r := request{arrived: w.events.Now(), service: time.Duration(w.random.ExpFloat64() * float64(w.setting.service))}
	w.result.requests++
	switch way {
	case WayPool:
		w.enqueue(0, r)
	case WayFixed, WayLeased:
		w.enqueue(entry, r)
	case WayKeeper:
		w.handOver(entry, r)
	}
}

// enqueue gives the request a slot or lets it wait.
func (w *world) enqueue(i int, r request) {
	q := &w.queues[i]
	q.arrived++
	q.waiting = append(q.waiting, r)
	w.serve(i)
}

func (w *world) serve(i int) {
	q := &w.queues[i]
	for len(q.waiting) > 0 {
		r := q.waiting[0]
		wait := w.events.Now() - r.arrived
		if wait > w.setting.deadline {
			q.waiting = q.waiting[1:]
			w.expire()
			continue
		}
		if q.running >= q.slots {
			return
		}
		q.waiting = q.waiting[1:]
		w.result.waits = append(w.result.waits, wait)
		q.running++
		w.events.After(r.service, func() {
			q.running--
			if r.ended != nil {
				r.ended()
			}
			w.serve(i)
		})
	}
}

func (w *world) expire() {
	w.result.late++
	w.result.waits = append(w.result.waits, w.setting.deadline)
}

// exchange shares the units by demand: what arrived since the last exchange and
// what waits. A unit in use moves when it is next free. Each entry tells its
// demand and hears its part, and each unit that moves is a message and its
// answer.
func (w *world) exchange() {
	w.result.messages += 2 * len(w.queues)
	demands := make([]float64, len(w.queues))
	sum := 0.0
	for i := range w.queues {
		q := &w.queues[i]
		demands[i] = float64(q.arrived)*w.setting.service.Seconds()/LeasePeriod.Seconds() + float64(len(q.waiting))
		q.arrived = 0
		sum += demands[i]
	}
	total := w.setting.targets * w.setting.slots
	given, carried := 0, 0.0
	for i := range w.queues {
		if sum > 0 {
			carried += demands[i] / sum * float64(total)
		}
		slots := int(carried+0.5) - given
		if sum == 0 {
			slots = w.queues[i].slots
		}
		given += slots
		w.result.messages += 2 * max(0, slots-w.queues[i].slots)
		w.queues[i].slots = slots
	}
	for i := range w.queues {
		w.serve(i)
	}
	w.events.After(LeasePeriod, w.exchange)
}
