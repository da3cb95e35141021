package keeper

import (
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
)

// Constants of a target's ledger.
const (
	// QueuePerSlot is how many requests may wait for each slot of a target.
	QueuePerSlot = 64
	// RampTime is how long a cold target takes to get all of its slots.
	RampTime = 10 * time.Second
	// ShedRecovery is the time after which a target that shed is believed to
	// have one slot more again.
	ShedRecovery = time.Second
	// ReportsAgreeing is how many reports in a row have to agree before they
	// free the slots that an earlier keeper's work was counted in.
	ReportsAgreeing = 2
	// ServiceTimeFirst is taken for a target's service time before any answer.
	ServiceTimeFirst = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the mean service time:
	// one part in so many.
	serviceTimeWeight = 16
	// canceledWeight is the weight of a canceled request in the mean service
	// time: one part in so many.
	canceledWeight = 8
	// ServiceTimeHalfLife is the time in which a mean service time that no
	// answer renews loses half of its weight, so that a target that was slow is
	// tried again.
	ServiceTimeHalfLife = 2 * time.Second
	// CancelTime is how long a target may take to give up a request after its
	// connection was closed.
	CancelTime = 20 * time.Millisecond
	// canceledFactor times its age counts for a canceled request: its answer
	// would have taken longer, nobody knows how much.
	canceledFactor = 4
	// FailuresForgotten is the time after the last failure from which on a
	// target is tried again.
	FailuresForgotten = 2 * time.Second
	// waitMargin is how many times the expected wait has to fit into the time
	// left. Without it a queue in overload is as long as the callers' patience,
	// and most answers come just too late.
	waitMargin = 2
)

// Outcome is how the work of a request at a target ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeRan: the target answered.
	OutcomeRan Outcome = iota
	// OutcomeShed: the target refused before it ran the request.
	OutcomeShed
	// OutcomeFailed: the target couldn't be reached, or its answer was cut.
	OutcomeFailed
	// OutcomeUnused: the slot was given back before the request was sent.
	OutcomeUnused
	// OutcomeUnknown: the request was sent and given up; the target may still
	// run it, so that its slot stays counted as inherited work is.
	OutcomeUnknown
	// OutcomeCanceled: the request was sent and given up, and it is one that a
	// target stops when its connection is closed.
	OutcomeCanceled
)

// Limits are what a target allows at once.
type Limits struct {
	slots       int
	connections int
	longest     time.Duration
}

// NewLimits makes the Limits of a target: how many requests it runs at once,
// how many connections it accepts, and the longest time that a request may take.
func NewLimits(slots, connections int, longest time.Duration) Limits {
	return Limits{slots: slots, connections: connections, longest: longest}
}

// allowed returns how many requests may be at the target at once.
func (l Limits) allowed() int { return max(0, min(l.slots, l.connections)) }

// Started is a request that waited and has a slot now.
type Started struct{ id uint64 }

// Queued is a request that waits, behind so many others.
type Queued struct{ ahead int }

// Refused is a request that doesn't run.
type Refused struct {
	reason   errs.Reason
	comeBack time.Duration
}

// Decision is what a Ledger decides for a request: Started, Queued or Refused.
type Decision interface{ decision() }

func (Started) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}

// ID returns the request's number.
func (s Started) ID() uint64 { return s.id }

// Ahead returns how many requests wait before this one.
func (q Queued) Ahead() int { return q.ahead }

// Reason returns why the request is refused.
func (r Refused) Reason() errs.Reason { return r.reason }

// ComeBack returns when there may be room.
func (r Refused) ComeBack() time.Duration { return r.comeBack }

type waiter struct {
	id       uint64
	deadline time.Duration
}

// Ledger counts the slots of one target at its keeper. It isn't safe for use by
// several goroutines; Gate is.
type Ledger struct {
	limits    Limits
	running   map[uint64]time.Duration // when each began
	queue     []waiter
	inherited []time.Duration // until when work of unknown end is counted, the earliest first
	handover  time.Duration   // which handover the inherited work came with, or 0
	doubtful  bool            // inherited holds work that may have ended long ago
	reports   []int           // running as the last reports said, since the takeover
	leaving   bool
	coldSince time.Duration
	cold      bool
	believed  int // slots that the target is believed to have after it shed
	shedAt    time.Duration
	service   time.Duration // mean time from dispatch to answer
	learnedAt time.Duration // when service was last learned
	failures  int           // in a row
	failedAt  time.Duration // the last one
}

// NewLedger makes the Ledger of a target that nobody has used.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits:   limits,
		running:  map[uint64]time.Duration{},
		believed: limits.allowed(),
		service:  ServiceTimeFirst,
	}
}

// SetLimits changes what the target allows. Running work goes on.
func (l *Ledger) SetLimits(limits Limits) {
	if l.believed == l.limits.allowed() {
		l.believed = limits.allowed()
	}
	l.limits = limits
}

// SetLeaving tells whether the target is leaving: it gets no new work, and what
// waits for it is returned to be refused as not run.
func (l *Ledger) SetLeaving(leaving bool) []uint64 {
	l.leaving = leaving
	if !leaving {
		return nil
	}
	return l.dropQueue()
}

// SetCold tells that the target starts cold at the time now; its slots come
// into use one after the other within RampTime.
func (l *Ledger) SetCold(now time.Duration) {
	l.cold = true
	l.coldSince = now
}

// TakeOver begins a new term after a keeper that is lost: every slot is counted
// as taken by its work until the longest time has passed, or until
// ReportsAgreeing new reports say less.
func (l *Ledger) TakeOver(now time.Duration) {
	l.doubtful = true
	l.reports = nil
	l.handover = 0
	l.inherited = l.inherited[:0]
	for range l.limits.allowed() - len(l.running) {
		l.inherited = append(l.inherited, now+l.limits.longest)
	}
}

// Inherit begins a new term after a keeper that handed over. Each of left is
// the time that a request which it sent may still run. The handover is a number
// other than 0 by which InheritedDone is told from one of another term.
func (l *Ledger) Inherit(handover time.Duration, left []time.Duration, now time.Duration) {
	l.doubtful = true
	l.reports = nil
	l.handover = handover
	l.inherited = l.inherited[:0]
	for _, d := range left {
		l.inherited = append(l.inherited, now+d)
	}
	slices.Sort(l.inherited)
}

// InheritedDone tells that a request ended which the keeper before this one had
// sent and handed over. It counts only until reports have freed slots, as they
// may have freed the one of this request. Which one it was isn't said; the one
// that would be freed first stands for it, so that no other request is counted
// for a shorter time than it may take.
func (l *Ledger) InheritedDone(handover time.Duration) {
	if l.handover == handover && len(l.inherited) > 0 {
		l.inherited = l.inherited[1:]
	}
}

// Export returns, for a keeper that takes over, the time that each request at
// the target may still run.
func (l *Ledger) Export(now time.Duration) []time.Duration {
	left := make([]time.Duration, 0, len(l.running)+len(l.inherited))
	for _, began := range l.running {
		left = append(left, max(0, began+l.limits.longest-now))
	}
	for _, until := range l.inherited {
		if until > now {
			left = append(left, until-now)
		}
	}
	return left
}

// Report takes in how many requests the target says it runs; the report was
// asked for after this keeper's term began. It only ever frees slots that are
// counted for an earlier keeper's work: this keeper's own work is known better
// here.
func (l *Ledger) Report(running int) {
	if len(l.inherited) == 0 {
		return
	}
	l.reports = append(l.reports, running)
	if len(l.reports) < ReportsAgreeing {
		return
	}
	l.reports = l.reports[len(l.reports)-ReportsAgreeing:]
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
	if l.believed < capacity {
		recovered := l.believed + int((now-l.shedAt)/ShedRecovery)
		capacity = min(capacity, max(1, recovered))
	}
	if l.cold && now-l.coldSince < RampTime {
		ramped := 1 + int(int64(capacity)*int64(now-l.coldSince)/int64(RampTime))
		capacity = min(capacity, ramped)
	}
	return capacity
}

// unsure tells whether slots are still counted for the work of a keeper before
// this one or for requests of unknown fate, so that reports may free them.
func (l *Ledger) unsure(now time.Duration) bool {
	if l.busy(now) == len(l.running) {
		l.doubtful = false
	}
	return l.doubtful
}

// busy returns how many requests are counted as being at the target.
func (l *Ledger) busy(now time.Duration) int {
	count := len(l.running)
	for _, until := range l.inherited {
		if until > now {
			count++
		}
	}
	return count
}

// Free returns how many requests could be sent at the time now. A leaving
// target has none.
func (l *Ledger) Free(now time.Duration) int {
	if l.leaving {
		return 0
	}
	return max(0, l.capacity(now)-l.busy(now)-len(l.queue))
}

// Wait returns how long a request that arrives now would wait for a slot.
func (l *Ledger) Wait(now time.Duration) time.Duration {
	if l.Free(now) > 0 {
		return 0
	}
	capacity := max(1, l.capacity(now))
	return l.service * time.Duration(len(l.queue)+1) / time.Duration(capacity)
}

// Waiting returns how many requests wait.
func (l *Ledger) Waiting() int { return len(l.queue) }

// Running returns how many requests of this keeper are at the target.
func (l *Ledger) Running() int { return len(l.running) }

// Failures returns how many requests in a row the target failed, 0 if the last
// one was long ago.
func (l *Ledger) Failures(now time.Duration) int {
	if now-l.failedAt >= FailuresForgotten {
		return 0
	}
	return l.failures
}

// ServiceTime returns the mean time from dispatch to answer.
func (l *Ledger) ServiceTime() time.Duration { return l.service }

// Arrive decides for a new request with a number of its own. The deadline is a
// time on the same clock as now.
func (l *Ledger) Arrive(id uint64, deadline, now time.Duration) Decision {
	if l.leaving {
		return Refused{reason: errs.ReasonNoTarget}
	}
	if l.Free(now) > 0 {
		l.running[id] = now
		return Started{id: id}
	}
	wait := l.Wait(now)
	if now+waitMargin*wait+l.service > deadline {
		return Refused{reason: errs.ReasonDeadline, comeBack: wait}
	}
	if len(l.queue) >= QueuePerSlot*l.limits.allowed() {
		return Refused{reason: errs.ReasonTargetBusy, comeBack: wait}
	}
	l.queue = append(l.queue, waiter{id: id, deadline: deadline})
	return Queued{ahead: len(l.queue) - 1}
}

// Finish ends the work of a request that was started.
func (l *Ledger) Finish(id uint64, outcome Outcome, now time.Duration) {
	began, found := l.running[id]
	if !found {
		return
	}
	delete(l.running, id)
	switch outcome {
	case OutcomeRan:
		l.failures = 0
		l.learnService(now-began, serviceTimeWeight, now)
		l.restore(now)
	case OutcomeShed:
		l.believed = max(1, min(l.capacity(now), len(l.running)))
		l.shedAt = now
	case OutcomeFailed:
		l.failures++
		l.failedAt = now
	case OutcomeUnknown:
		l.failures++
		l.failedAt = now
		l.doubtful = true
		l.reports = nil
		l.handover = 0
		l.countUntil(began + l.limits.longest)
	case OutcomeCanceled:
		l.learnService(max(l.service, canceledFactor*(now-began)), canceledWeight, now)
		l.countUntil(now + CancelTime)
	case OutcomeUnused:
	}
}

// countUntil counts a slot as taken until the time given.
func (l *Ledger) countUntil(until time.Duration) {
	at, _ := slices.BinarySearch(l.inherited, until)
	l.inherited = slices.Insert(l.inherited, at, until)
}

func (l *Ledger) learnService(took, weight, now time.Duration) {
	l.service += (took - l.service) / weight
	l.learnedAt = now
}

// AnswerTime returns how long a request takes from dispatch to answer, as far
// as old answers still count at the time now.
func (l *Ledger) AnswerTime(now time.Duration) time.Duration {
	service := l.service
	for age := now - l.learnedAt; age >= ServiceTimeHalfLife && service > 0; age -= ServiceTimeHalfLife {
		service /= 2
	}
	return service
}

// restore forgets a shedding once the target is believed to have all its slots.
func (l *Ledger) restore(now time.Duration) {
	if l.believed+int((now-l.shedAt)/ShedRecovery) >= l.limits.allowed() {
		l.believed = l.limits.allowed()
	}
}

// Cancel takes a request out of the queue. It returns false if the request
// doesn't wait.
func (l *Ledger) Cancel(id uint64) bool {
	for i, w := range l.queue {
		if w.id == id {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Next starts the requests for which there is room, in the order in which they
// came, and returns those whose answer would come too late by now.
func (l *Ledger) Next(now time.Duration) (started []Started, late []uint64) {
	for len(l.queue) > 0 {
		first := l.queue[0]
		if first.deadline <= now+l.service {
			late = append(late, first.id)
			l.queue = l.queue[1:]
			continue
		}
		if l.leaving || l.busy(now) >= l.capacity(now) {
			break
		}
		l.queue = l.queue[1:]
		l.running[first.id] = now
		started = append(started, Started{id: first.id})
	}
	return started, late
}

// DropQueue empties the queue, as when the lease is lost, and returns what
// waited in it.
func (l *Ledger) DropQueue() []uint64 { return l.dropQueue() }

func (l *Ledger) dropQueue() []uint64 {
	ids := make([]uint64, 0, len(l.queue))
	for _, w := range l.queue {
		ids = append(ids, w.id)
	}
	l.queue = nil
	return ids
}
