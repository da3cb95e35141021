package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
)

// Limiter admits concurrent requests to one target. Its Ledger decides which of
// them start, and they start only while this entry is the target's keeper. Its
// methods are safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	name      string
	lease     *Lease
	ledger    *Ledger
	clock     func() time.Duration
	waiting   map[uint64]chan error
	lastID    uint64
	held      bool
	term      uint64
	began     time.Duration // when this entry became the keeper
	lostAt    time.Duration // when it was last seen not to be the keeper any more
	inherited bool          // the previous keeper's ledger has been received since then
}

// View is the state of a target as its keeper reports it to other entries.
type View struct {
	Held    bool          `msgpack:"held" json:"held"`
	Free    int           `msgpack:"free" json:"free"`
	Waiting int           `msgpack:"waiting" json:"waiting"`
	Running int           `msgpack:"running" json:"running"`
	Wait    time.Duration `msgpack:"wait" json:"wait_ns"`
	Failing int           `msgpack:"failing" json:"failures_in_a_row"`
	Leaving bool          `msgpack:"leaving" json:"leaving"`
	// Service is the mean time from dispatch to answer; it decays while no
	// answers arrive.
	Service time.Duration `msgpack:"service" json:"service_ns"`
	// Limit is the limit that the target names on its requests, in requests per
	// second, nil if it names none.
	Limit *float64 `msgpack:"limit,omitempty" json:"limit_per_second,omitempty"`
}

// NewLimiter returns the Limiter of a target. The clock must be the one whose
// time is passed to the Leases that the lease belongs to.
func NewLimiter(name string, lease *Lease, limits Limits, clock func() time.Duration) *Limiter {
	return &Limiter{name: name, lease: lease, ledger: NewLedger(limits), clock: clock, waiting: map[uint64]chan error{}}
}

// Permit is the permission to send one request to the target. Done must be called
// exactly once.
type Permit struct {
	limiter *Limiter
	id      uint64
}

// Acquire waits for a slot until the deadline, a time on the Limiter's clock, or
// until ctx is done. The error is an *errs.Refusal with the verdict not-run.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Duration) (*Permit, error) {
	l.mu.Lock()
	now := l.clock()
	if !l.refresh(now) {
		l.mu.Unlock()
		return nil, l.notKeeper()
	}
	l.lastID++
	permit := &Permit{limiter: l, id: l.lastID}
	switch d := l.ledger.Arrive(permit.id, deadline, now).(type) {
	case Started:
		l.mu.Unlock()
		return permit, nil
	case Refused:
		l.mu.Unlock()
		return nil, errs.NotRun(d.reason, d.retryAfter, "target %s: no slot is expected to be free in time", l.name)
	case Queued:
	}
	result := make(chan error, 1)
	l.waiting[permit.id] = result
	l.mu.Unlock()
	return l.await(ctx, permit, result)
}

func (l *Limiter) await(ctx context.Context, permit *Permit, result chan error) (*Permit, error) {
	var err error
	select {
	case err = <-result:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		reason := errs.ReasonDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = errs.ReasonCanceled
		}
		err = errs.NotRun(reason, l.Wait(), "target %s: the request was canceled or timed out while it waited for a slot", l.name)
	}
	if err == nil && l.lease.Held(l.clock()) {
		return permit, nil
	}
	l.mu.Lock()
	delete(l.waiting, permit.id)
	l.ledger.Cancel(permit.id)
	l.mu.Unlock()
	permit.Done(OutcomeUnused)
	if err == nil {
		err = l.notKeeper()
	}
	return nil, err
}

func (l *Limiter) notKeeper() error {
	return errs.NotRun(errs.ReasonLostKeeper, LeaseTime, "target %s: this entry is not its keeper", l.name)
}

// Held reports whether the request may still be sent. It must be called right
// before the first byte is written.
func (p *Permit) Held() bool { return p.limiter.lease.Held(p.limiter.clock()) }

// Done frees the slot and records how the request ended.
func (p *Permit) Done(outcome Outcome) {
	g := p.limiter
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.ledger.Finish(p.id, outcome, now)
	g.refresh(now)
}

// Tick refuses the queued requests that can't be answered in time any more, or
// all of them if the lease is lost. It must be called at least every
// HeartbeatInterval.
func (l *Limiter) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(l.clock())
}

// refresh brings the ledger up to the time now, starts or refuses queued
// requests, and reports whether this entry is the keeper. The caller holds the
// lock.
func (l *Limiter) refresh(now time.Duration) bool {
	held := l.lease.Held(now)
	term := l.lease.Term()
	lapsed := l.held && (!held || term != l.term)
	if lapsed {
		l.lostAt = now
		l.inherited = false
	}
	l.held = held
	if !held {
		l.refuse(l.ledger.DropQueue(), l.notKeeper())
		return false
	}
	if term != l.term {
		l.beginTerm(term, now)
	}
	started, late := l.ledger.StartQueued(now)
	for _, s := range started {
		l.waiting[s.id] <- nil
		delete(l.waiting, s.id)
	}
	l.refuse(late, errs.NotRun(errs.ReasonDeadline, l.ledger.Wait(now), "target %s: the request waited too long to be answered before its deadline", l.name))
	return true
}

// beginTerm starts this entry's term as the keeper. Without the previous
// keeper's ledger, every slot counts as taken.
func (l *Limiter) beginTerm(term uint64, now time.Duration) {
	l.term = term
	l.began = now
	if !l.inherited {
		l.ledger.ReserveAll(now)
	}
}

func (l *Limiter) refuse(ids []uint64, err error) {
	for _, id := range ids {
		l.waiting[id] <- err
		delete(l.waiting, id)
	}
}

// Release returns, for the next keeper, how long each request at the target may
// still run, and refuses the queue if this entry is no longer the keeper.
// Leases that are to be given up must have been given up before the call.
func (l *Limiter) Release() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	left := l.ledger.RemainingTimes(now)
	l.refresh(now)
	return left
}

// Inherit takes over the ledger that the previous keeper sent in answer to this
// entry's request for the leases. asked is when that request was sent, on this
// entry's clock. A ledger that was requested before this entry last lost the
// leases, or after its present term began, is ignored.
func (l *Limiter) Inherit(asked time.Duration, left []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	held := l.refresh(now)
	if asked <= l.lostAt || (held && l.began < asked) {
		return
	}
	l.inherited = true
	l.ledger.Inherit(asked, left, now)
	l.refresh(now)
}

// FinishInherited records the end of a request that the previous keeper had sent.
// asked is the value that was passed to Inherit.
func (l *Limiter) FinishInherited(asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.FinishInherited(asked)
	l.refresh(l.clock())
}

// Report records how many requests the target says it is running, in the answer
// to a query that was sent at the time asked. Answers to queries from before
// this entry became the keeper are ignored.
func (l *Limiter) Report(running int, asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refresh(l.clock()) && asked > l.began {
		l.ledger.Report(running)
		l.refresh(l.clock())
	}
}

// HasUnverified reports whether slots are still reserved for requests of an
// earlier keeper or of unknown outcome, so that a report of the target could
// free them.
func (l *Limiter) HasUnverified() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(l.clock()) && l.ledger.hasUnverified(l.clock())
}

// SetLeaving sets whether the target is leaving. The queued requests of a
// leaving target are refused.
func (l *Limiter) SetLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refusal := errs.NotRun(errs.ReasonNoTarget, 0, "target %s: the target is leaving", l.name)
	l.refuse(l.ledger.SetLeaving(leaving), refusal)
}

// SetLimits changes the target's limits.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.SetLimits(limits)
	l.refresh(l.clock())
}

// SetCold records that the target starts cold now; its slots become available
// over RampTime.
func (l *Limiter) SetCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.SetCold(l.clock())
}

// Wait returns the expected wait for a slot of a request that arrives now.
func (l *Limiter) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Wait(l.clock())
}

// View returns the target's state for other entries.
func (l *Limiter) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	v := View{
		Held:    l.refresh(now),
		Free:    l.ledger.Free(now),
		Waiting: l.ledger.Waiting(),
		Running: l.ledger.Running(),
		Wait:    l.ledger.Wait(now),
		Failing: l.ledger.Failures(now),
		Leaving: l.ledger.leaving,
		Service: l.ledger.AnswerTime(now),
	}
	if perSecond, named := l.ledger.NamedLimit(); named {
		v.Limit = &perSecond
	}
	return v
}
