package keeper

import (
	"math"
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
)

// Parameters of a target's ledger.
const (
	// QueuePerSlot is how many requests may wait for each slot of a target.
	QueuePerSlot = 64
	// RampTime is how long it takes until all slots of a cold target are
	// available.
	RampTime = 10 * time.Second
	// ShedRecovery is the time after which a target that shed a request is
	// assumed to have one more slot again.
	ShedRecovery = time.Second
	// ReportsRequired is the number of consecutive reports that are needed to
	// free reserved slots. The highest of them counts.
	ReportsRequired = 2
	// InitialServiceTime is the service time that is assumed before a target's
	// first answer.
	InitialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the inverse weight of one answer in the mean service
	// time.
	serviceTimeWeight = 16
	// canceledWeight is the inverse weight of one canceled request in the mean
	// service time.
	canceledWeight = 8
	// serviceWeightMax is the highest weight of one answer in the mean service
	// time.
	serviceWeightMax = 0.5
	// ServiceTimeHalfLife is the longest time after which a mean service time is
	// halved if no answer updates it, so that a target that was slow is tried
	// again.
	ServiceTimeHalfLife = 2 * time.Second
	// serviceHalfLifeMin is the shortest such time, and serviceHalfLifeAnswers
	// times the mean service time is the time between the two limits. A target
	// that answers quickly is tried again soon.
	serviceHalfLifeMin     = 250 * time.Millisecond
	serviceHalfLifeAnswers = 2
	// CancelTime is how long a target may take to stop a request after its
	// connection was closed.
	CancelTime = 20 * time.Millisecond
	// canceledFactor times the age of a canceled request is taken as its
	// service time, since its answer would have taken longer by an unknown
	// amount.
	canceledFactor = 4
	// FailureMemory is the time after the last failure at which a target is
	// tried again.
	FailureMemory = 2 * time.Second
	// waitMargin is how many times the expected wait must fit into the time
	// left. With 1, the queue of an overloaded target takes up all of the
	// callers' time, and most answers arrive just after the deadline.
	waitMargin = 2
)

// Outcome is how a request at a target ended.
type Outcome uint8

// Outcomes of a request at a target.
const (
	// OutcomeRan: the target answered.
	OutcomeRan Outcome = iota
	// OutcomeShed: the target refused the request before it ran it.
	OutcomeShed
	// OutcomeFailed: the target couldn't be reached, or its answer was cut off.
	OutcomeFailed
	// OutcomeUnused: the slot was returned before the request was sent.
	OutcomeUnused
	// OutcomeUnknown: the request was sent and then abandoned. The target may
	// still run it, so its slot stays reserved like that of an inherited
	// request.
	OutcomeUnknown
	// OutcomeCanceled: the request was sent and then abandoned, and the target
	// stops such a request when its connection is closed.
	OutcomeCanceled
)

// Limits are the concurrency limits of a target and the longest duration of its
// requests.
type Limits struct {
	slots       int
	connections int
	maxDuration time.Duration
}

// NewLimits returns the Limits of a target: how many requests it runs at once,
// how many connections it accepts, and the longest time that a request may
// take.
func NewLimits(slots, connections int, maxDuration time.Duration) Limits {
	return Limits{slots: slots, connections: connections, maxDuration: maxDuration}
}

// allowed returns how many requests may be at the target at once.
func (l Limits) allowed() int { return max(0, min(l.slots, l.connections)) }

// Started is a request that has a slot and can be sent.
type Started struct{ id uint64 }

// Queued is a request that waits for a slot.
type Queued struct{ ahead int }

// Refused is a request that won't be sent.
type Refused struct {
	reason     errs.Reason
	retryAfter time.Duration
}

// Decision is a Ledger's decision on a request: Started, Queued or Refused.
type Decision interface{ decision() }

func (Started) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}

// ID returns the request's ID.
func (s Started) ID() uint64 { return s.id }

// Ahead returns how many requests are in the queue before this one.
func (q Queued) Ahead() int { return q.ahead }

// Reason returns why the request is refused.
func (r Refused) Reason() errs.Reason { return r.reason }

// RetryAfter returns how long to wait before trying again, or 0 if that is
// unknown.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

type waiter struct {
	id       uint64
	deadline time.Duration
}

// Ledger tracks the slots of one target at its keeper. It isn't safe for
// concurrent use; Limiter is.
type Ledger struct {
	limits           Limits
	running          map[uint64]time.Duration // start times by request ID
	queue            []waiter
	inherited        []time.Duration // when the slots reserved for unobserved requests expire, in ascending order
	handover         time.Duration   // ID of the handover that the inherited requests came with, or 0
	unverified       bool            // inherited may include requests that ended long ago
	reports          []int           // running requests in the last reports since the takeover
	leaving          bool
	coldSince        time.Duration
	cold             bool
	assumedSlots     int // slots that the target is assumed to have after it shed a request
	shedAt           time.Duration
	service          time.Duration // mean time from dispatch to answer
	serviceUpdatedAt time.Duration // when service was last updated
	serviceHalfLife  time.Duration // time without updates after which service is halved
	failures         int           // consecutive
	failedAt         time.Duration // when the last failure occurred
	rate             rate          // the limit that the target names
}

// NewLedger returns the Ledger of a target that hasn't been used yet.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits:          limits,
		running:         map[uint64]time.Duration{},
		assumedSlots:    limits.allowed(),
		service:         InitialServiceTime,
		serviceHalfLife: ServiceTimeHalfLife,
	}
}

// SetLimits changes the target's limits. Requests that are running go on.
func (l *Ledger) SetLimits(limits Limits) {
	if l.assumedSlots == l.limits.allowed() {
		l.assumedSlots = limits.allowed()
	}
	l.limits = limits
}

// SetLeaving sets whether the target is leaving. A leaving target gets no new
// requests, and its queue is emptied; the returned requests have to be refused
// as not run.
func (l *Ledger) SetLeaving(leaving bool) []uint64 {
	l.leaving = leaving
	if !leaving {
		return nil
	}
	return l.dropQueue()
}

// SetCold records that the target starts cold at the time now. Its slots become
// available one after the other within RampTime.
func (l *Ledger) SetCold(now time.Duration) {
	l.cold = true
	l.coldSince = now
}

// ReserveAll begins a term after a keeper that was lost without a handover. Every
// slot counts as taken by its requests until the longest duration of a request
// has passed, or until ReportsRequired new reports show fewer.
func (l *Ledger) ReserveAll(now time.Duration) {
	l.unverified = true
	l.reports = nil
	l.handover = 0
	l.inherited = l.inherited[:0]
	for range l.limits.allowed() - len(l.running) {
		l.inherited = append(l.inherited, now+l.limits.maxDuration)
	}
}

// Inherit begins a term after a handover from the previous keeper. left holds
// how long each request that it sent may still run. handover is an ID other
// than 0, by which FinishInherited ignores the requests of other terms.
func (l *Ledger) Inherit(handover time.Duration, left []time.Duration, now time.Duration) {
	l.unverified = true
	l.reports = nil
	l.handover = handover
	l.inherited = l.inherited[:0]
	for _, d := range left {
		l.inherited = append(l.inherited, now+d)
	}
	slices.Sort(l.inherited)
}

// FinishInherited records the end of a request that the previous keeper had sent
// and handed over. Once reports have freed slots it has no effect, because the
// slot of this request may have been one of them. Since it isn't known which
// request ended, the slot that expires first is freed, so that no running
// request loses its slot early.
func (l *Ledger) FinishInherited(handover time.Duration) {
	if l.handover == handover && len(l.inherited) > 0 {
		l.inherited = l.inherited[1:]
	}
}

// RemainingTimes returns how long each request at the target may still run, for
// the keeper that takes over.
func (l *Ledger) RemainingTimes(now time.Duration) []time.Duration {
	left := make([]time.Duration, 0, len(l.running)+len(l.inherited))
	for _, began := range l.running {
		left = append(left, max(0, began+l.limits.maxDuration-now))
	}
	for _, until := range l.inherited {
		if until > now {
			left = append(left, until-now)
		}
	}
	return left
}

// Report records how many requests the target says it is running. The report
// must have been requested after this keeper's term began. Reports free only
// reserved slots, that is, those for an earlier keeper's requests and for
// abandoned ones. The ledger itself is more accurate about the requests that
// this keeper has running.
func (l *Ledger) Report(running int) {
	if len(l.inherited) == 0 {
		return
	}
	l.reports = append(l.reports, running)
	if len(l.reports) < ReportsRequired {
		return
	}
	l.reports = l.reports[len(l.reports)-ReportsRequired:]
	most := 0
	for _, r := range l.reports {
		most = max(most, r)
	}
	if most < len(l.inherited) {
		l.inherited = l.inherited[len(l.inherited)-max(0, most):]
		l.handover = 0
	}
}

// capacity returns how many requests may be at the target at the time now.
func (l *Ledger) capacity(now time.Duration) int {
	capacity := l.limits.allowed()
	if l.assumedSlots < capacity {
		recovered := l.assumedSlots + int((now-l.shedAt)/ShedRecovery)
		capacity = min(capacity, max(1, recovered))
	}
	if l.cold && now-l.coldSince < RampTime {
		ramped := 1 + int(int64(capacity)*int64(now-l.coldSince)/int64(RampTime))
		capacity = min(capacity, ramped)
	}
	return capacity
}

// hasUnverified reports whether slots are still reserved for requests of an
// earlier keeper or of unknown outcome, so that reports could free them.
func (l *Ledger) hasUnverified(now time.Duration) bool {
	if l.occupied(now) == len(l.running) {
		l.unverified = false
	}
	return l.unverified
}

// occupied returns how many slots are in use or reserved.
func (l *Ledger) occupied(now time.Duration) int {
	count := len(l.running)
	for _, until := range l.inherited {
		if until > now {
			count++
		}
	}
	return count
}

// Free returns how many requests could be sent at the time now. It is 0 for a
// leaving target.
func (l *Ledger) Free(now time.Duration) int {
	if l.leaving {
		return 0
	}
	return l.rate.free(max(0, l.capacity(now)-l.occupied(now)-len(l.queue)), now)
}

// Wait returns the expected wait for a slot of a request that arrives now.
func (l *Ledger) Wait(now time.Duration) time.Duration {
	if l.Free(now) > 0 {
		return 0
	}
	capacity := max(1, l.capacity(now))
	slotWait := l.service * time.Duration(len(l.queue)+1) / time.Duration(capacity)
	return max(slotWait, l.rate.wait(len(l.queue)+1, now))
}

// Waiting returns how many requests are queued.
func (l *Ledger) Waiting() int { return len(l.queue) }

// Running returns how many of this keeper's requests are at the target.
func (l *Ledger) Running() int { return len(l.running) }

// Failures returns how many requests in a row the target failed, or 0 if the
// last failure is at least FailureMemory ago.
func (l *Ledger) Failures(now time.Duration) int {
	if now-l.failedAt >= FailureMemory {
		return 0
	}
	return l.failures
}

// ServiceTime returns the mean time from dispatch to answer.
func (l *Ledger) ServiceTime() time.Duration { return l.service }

// Arrive decides on a new request. The ID must be unique, and the deadline is
// on the same clock as now.
func (l *Ledger) Arrive(id uint64, deadline, now time.Duration) Decision {
	if l.leaving {
		return Refused{reason: errs.ReasonNoTarget}
	}
	if l.Free(now) > 0 {
		l.rate.take()
		l.running[id] = now
		return Started{id: id}
	}
	wait := l.Wait(now)
	if now+waitMargin*wait+l.service > deadline {
		return Refused{reason: errs.ReasonDeadline, retryAfter: wait}
	}
	if len(l.queue) >= QueuePerSlot*l.limits.allowed() {
		return Refused{reason: errs.ReasonTargetBusy, retryAfter: wait}
	}
	l.queue = append(l.queue, waiter{id: id, deadline: deadline})
	return Queued{ahead: len(l.queue) - 1}
}

// Finish records the end of a request that was started.
func (l *Ledger) Finish(id uint64, outcome Outcome, now time.Duration) {
	began, found := l.running[id]
	if !found {
		return
	}
	delete(l.running, id)
	switch outcome {
	case OutcomeRan:
		l.failures = 0
		l.observeAnswer(now-began, now)
		l.restoreCapacity(now)
	case OutcomeShed:
		l.assumedSlots = max(1, min(l.capacity(now), len(l.running)))
		l.shedAt = now
	case OutcomeFailed:
		l.failures++
		l.failedAt = now
	case OutcomeUnknown:
		l.failures++
		l.failedAt = now
		l.unverified = true
		l.reports = nil
		l.handover = 0
		l.reserveUntil(began + l.limits.maxDuration)
	case OutcomeCanceled:
		l.observeCanceled(now-began, now)
		l.reserveUntil(now + CancelTime)
	case OutcomeUnused:
	}
}

// reserveUntil counts a slot as taken until the given time.
func (l *Ledger) reserveUntil(until time.Duration) {
	at, _ := slices.BinarySearch(l.inherited, until)
	l.inherited = slices.Insert(l.inherited, at, until)
}

// observeAnswer updates the mean service time from an answer. An answer that is
// faster counts more the longer ago the last update was, so that the mean doesn't
// return to a value that AnswerTime has let decay.
func (l *Ledger) observeAnswer(took, now time.Duration) {
	weight := 1.0 / serviceTimeWeight
	if took < l.service {
		age := now - l.serviceUpdatedAt
		decayed := 1 - math.Exp2(-float64(age)/float64(l.serviceHalfLife))
		weight = min(max(weight, decayed), serviceWeightMax)
	}
	l.service += time.Duration(weight * float64(took-l.service))
	l.serviceUpdatedAt = now
	l.serviceHalfLife = min(max(serviceHalfLifeAnswers*l.service, serviceHalfLifeMin), ServiceTimeHalfLife)
}

// observeCanceled raises the mean service time for a request that was canceled
// at the given age. A target that doesn't answer is tried again only after the
// longest half-life.
func (l *Ledger) observeCanceled(age, now time.Duration) {
	l.service += (max(l.service, canceledFactor*age) - l.service) / canceledWeight
	l.serviceUpdatedAt = now
	l.serviceHalfLife = ServiceTimeHalfLife
}

// AnswerTime returns the mean time from dispatch to answer, halved for every
// half-life that has passed since it was last updated.
func (l *Ledger) AnswerTime(now time.Duration) time.Duration {
	service := l.service
	for age := now - l.serviceUpdatedAt; age >= l.serviceHalfLife && service > 0; age -= l.serviceHalfLife {
		service /= 2
	}
	return service
}

// restoreCapacity lifts the limit that a shed request caused, once the target
// is assumed to have all its slots again.
func (l *Ledger) restoreCapacity(now time.Duration) {
	if l.assumedSlots+int((now-l.shedAt)/ShedRecovery) >= l.limits.allowed() {
		l.assumedSlots = l.limits.allowed()
	}
}

// Cancel removes a request from the queue and reports whether it was queued.
func (l *Ledger) Cancel(id uint64) bool {
	for i, w := range l.queue {
		if w.id == id {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// StartQueued starts queued requests in the order of their arrival as long as
// slots are free, and returns those that can't be answered before their
// deadline any more.
func (l *Ledger) StartQueued(now time.Duration) (started []Started, late []uint64) {
	for len(l.queue) > 0 {
		first := l.queue[0]
		if first.deadline <= now+l.service {
			late = append(late, first.id)
			l.queue = l.queue[1:]
			continue
		}
		if l.leaving || l.occupied(now) >= l.capacity(now) || l.rate.wait(1, now) > 0 {
			break
		}
		l.rate.take()
		l.queue = l.queue[1:]
		l.running[first.id] = now
		started = append(started, Started{id: first.id})
	}
	return started, late
}

// DropQueue empties the queue, as when the lease is lost, and returns the IDs
// of its requests.
func (l *Ledger) DropQueue() []uint64 { return l.dropQueue() }

func (l *Ledger) dropQueue() []uint64 {
	ids := make([]uint64, 0, len(l.queue))
	for _, w := range l.queue {
		ids = append(ids, w.id)
	}
	l.queue = nil
	return ids
}
