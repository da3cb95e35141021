// Package model compares, by deterministic discrete-event simulation, three ways
// to share the slots of a zone's targets among its entries: fixed shares, slots
// leased by demand, and one keeper for each target, whose queue the other entries
// see with a delay. It does no I/O and uses no clock.
package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/event"
)

// Parameters of the simulation.
const (
	// MessageDelay is the one-way delay of a message within the zone.
	MessageDelay = 500 * time.Microsecond
	// HotPeriod is the time after which another set of entries becomes hot, that
	// is, receives most requests.
	HotPeriod = 5 * time.Second
	// HotShare is the share of the requests that are sent to a hot entry; the
	// others go to any entry.
	HotShare = 0.8
	// HotEntries is the share of the entries that are hot.
	HotEntries = 0.2
	// LeasePeriod is the time between two reallocations of leased slots.
	LeasePeriod = 700 * time.Millisecond
	// PollPeriod is the time between two polls of the targets' states by an
	// entry.
	PollPeriod = 250 * time.Millisecond
	// PolledEntries is the number of entries that an entry asks in each poll.
	PolledEntries = 3
	// RenewalPeriod is the time between two renewals of a keeper's leases.
	RenewalPeriod = 500 * time.Millisecond
	// electors is the number of other entries that grant the lease of a target.
	electors = 2
)

// Strategy is a way to share the slots among the entries.
type Strategy uint8

// The ways to share the slots.
const (
	// FixedShares gives each entry an equal, constant part of all slots.
	FixedShares Strategy = iota
	// LeasedSlots reallocates the slots to the entries in proportion to their
	// demand, every LeasePeriod.
	LeasedSlots
	// KeeperQueues gives each target one keeper; an entry sends a request to the
	// keeper of the better of two targets in its view.
	KeeperQueues
	// SharedPool has one queue for all entries, without delay. No other
	// strategy can do better.
	SharedPool
)

// String returns the name of the strategy.
func (w Strategy) String() string {
	return [...]string{"fixed shares", "leased units", "keepers", "one pool"}[w]
}

// Parameters holds the parameters of a run.
type Parameters struct {
	entries  int
	targets  int
	slots    int
	service  time.Duration
	load     float64
	deadline time.Duration
	length   time.Duration
}

// NewParameters makes Parameters from the number of entries and targets of the
// zone, the slots of each target, the mean service time, the load as a share of
// the capacity, the deadline of each request after its arrival, and the time
// during which requests arrive.
func NewParameters(entries, targets, slots int, service time.Duration, load float64, deadline, length time.Duration) Parameters {
	return Parameters{entries: entries, targets: targets, slots: slots, service: service, load: load, deadline: deadline, length: length}
}

// Result holds the measurements of a run.
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

// Wait returns the quantile q, from 0 to 1, of the time that requests waited for
// a slot. Late requests count with their deadline.
func (r *Result) Wait(q float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[min(int(q*float64(len(r.waits))), len(r.waits)-1)]
}

// Messages returns the number of messages per second in the whole zone.
func (r *Result) Messages() float64 { return float64(r.messages) / r.length.Seconds() }

// request is one request with its service time.
type request struct {
	arrived time.Duration
	service time.Duration
	onEnd   func() // called when its service ends, if not nil
}

// queue holds the requests that wait for one of a set of slots.
type queue struct {
	slots   int
	running int
	waiting []request
	arrived int // since the last reallocation
}

func (q *queue) expectedWait(service time.Duration) time.Duration {
	excess := q.running + len(q.waiting) - q.slots + 1
	if excess <= 0 {
		return 0
	}
	return service * time.Duration(excess) / time.Duration(max(q.slots, 1))
}

// world is the state of one simulation run.
type world struct {
	parameters Parameters
	random     *rand.Rand
	events     event.Queue
	hot        []int
	queues     []queue
	keepers    []int // the entry that is the keeper of each target
	views      [][]view
	result     Result
}

// view is the state of a target as an entry last received it.
type view struct {
	known      bool
	free       int
	wait       time.Duration
	observedAt time.Duration
	sent       int
}

// Run simulates the strategy with the parameters. The same seed gives the same
// result.
func Run(strategy Strategy, parameters Parameters, seed uint64) *Result {
	w := &world{parameters: parameters, random: rand.New(rand.NewPCG(seed, seed))}
	w.result.length = parameters.length
	w.setUp(strategy)
	w.chooseHotEntries()
	w.scheduleArrival(strategy)
	w.events.Run(parameters.length + parameters.deadline)
	for _, q := range w.queues {
		for range q.waiting {
			w.expire()
		}
	}
	slices.Sort(w.result.waits)
	return &w.result
}

func (w *world) setUp(strategy Strategy) {
	s := w.parameters
	total := s.targets * s.slots
	switch strategy {
	case SharedPool:
		w.queues = []queue{{slots: total}}
	case FixedShares, LeasedSlots:
		w.queues = make([]queue, s.entries)
		for i := range total {
			w.queues[i%s.entries].slots++
		}
		if strategy == LeasedSlots {
			w.events.After(LeasePeriod, w.reallocate)
		}
	case KeeperQueues:
		w.queues = make([]queue, s.targets)
		w.keepers = make([]int, s.targets)
		for i := range w.queues {
			w.queues[i].slots = s.slots
			w.keepers[i] = w.random.IntN(s.entries)
		}
		w.views = make([][]view, s.entries)
		for i := range w.views {
			w.views[i] = make([]view, s.targets)
			w.events.After(time.Duration(w.random.Int64N(int64(PollPeriod))), func() { w.pollViews(i) })
		}
		w.events.After(RenewalPeriod, w.renewLeases)
	}
}

// chooseHotEntries chooses the hot entries at random, every HotPeriod.
func (w *world) chooseHotEntries() {
	count := max(1, int(HotEntries*float64(w.parameters.entries)))
	w.hot = w.random.Perm(w.parameters.entries)[:count]
	w.events.After(HotPeriod, w.chooseHotEntries)
}

func (w *world) scheduleArrival(strategy Strategy) {
	s := w.parameters
	rate := s.load * float64(s.targets*s.slots) / s.service.Seconds()
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.events.After(gap, func() {
		if w.events.Now() > s.length {
			return
		}
		w.arrive(strategy)
		w.scheduleArrival(strategy)
	})
}

func (w *world) arrive(strategy Strategy) {
	entry := w.random.IntN(w.parameters.entries)
	if w.random.Float64() < HotShare {
		entry = w.hot[w.random.IntN(len(w.hot))]
	}
	r := request{arrived: w.events.Now(), service: time.Duration(w.random.ExpFloat64() * float64(w.parameters.service))}
	w.result.requests++
	switch strategy {
	case SharedPool:
		w.enqueue(0, r)
	case FixedShares, LeasedSlots:
		w.enqueue(entry, r)
	case KeeperQueues:
		w.sendToKeeper(entry, r)
	}
}

// enqueue adds the request to a queue and starts it if a slot is free.
func (w *world) enqueue(i int, r request) {
	q := &w.queues[i]
	q.arrived++
	q.waiting = append(q.waiting, r)
	w.startWaiting(i)
}

func (w *world) startWaiting(i int) {
	q := &w.queues[i]
	for len(q.waiting) > 0 {
		r := q.waiting[0]
		wait := w.events.Now() - r.arrived
		if wait > w.parameters.deadline {
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
			if r.onEnd != nil {
				r.onEnd()
			}
			w.startWaiting(i)
		})
	}
}

func (w *world) expire() {
	w.result.late++
	w.result.waits = append(w.result.waits, w.parameters.deadline)
}

// reallocate shares the slots in proportion to the demand of the entries: the
// load of the requests that arrived since the last reallocation, and the requests
// that wait. A slot in use moves once it is free. It counts two messages for each
// entry, which reports its demand and receives its number of slots, and two for
// each slot that moves.
func (w *world) reallocate() {
	w.result.messages += 2 * len(w.queues)
	demands := make([]float64, len(w.queues))
	sum := 0.0
	for i := range w.queues {
		q := &w.queues[i]
		demands[i] = float64(q.arrived)*w.parameters.service.Seconds()/LeasePeriod.Seconds() + float64(len(q.waiting))
		q.arrived = 0
		sum += demands[i]
	}
	total := w.parameters.targets * w.parameters.slots
	assigned, cumulativeShare := 0, 0.0
	for i := range w.queues {
		if sum > 0 {
			cumulativeShare += demands[i] / sum * float64(total)
		}
		slots := int(cumulativeShare+0.5) - assigned
		if sum == 0 {
			slots = w.queues[i].slots
		}
		assigned += slots
		w.result.messages += 2 * max(0, slots-w.queues[i].slots)
		w.queues[i].slots = slots
	}
	for i := range w.queues {
		w.startWaiting(i)
	}
	w.events.After(LeasePeriod, w.reallocate)
}
