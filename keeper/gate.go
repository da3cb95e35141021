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
}

// NewLimiter returns the Gate of a target. The clock must be the one whose time is
// passed to the Leases that the lease belongs to.
func NewLimiter(name string, lease *Lease, limits Limits, clock func() time.Duration) *Limiter {
	return &Limiter{name: name, lease: lease, ledger: NewLedger(limits), clock: clock, waiting: map[uint64]chan error{}}
}

// Permit is the permission to send one request to the target. Done must be called
// exactly once.
type Permit struct {
	gate *Limiter
	id   uint64
}

// Acquire waits for a slot until the deadline, a time on the Gate's clock, or
// until ctx is done. The error is an *errs.Refusal with the verdict not-run.
func (g *Limiter) Acquire(ctx context.Context, deadline time.Duration) (*Permit, error) {
	g.mu.Lock()
	now := g.clock()
	if !g.refresh(now) {
		g.mu.Unlock()
		return nil, g.notKeeper()
	}
	g.lastID++
	pass := &Permit{gate: g, id: g.lastID}
	switch d := g.ledger.Arrive(pass.id, deadline, now).(type) {
	case Started:
		g.mu.Unlock()
		return pass, nil
	case Refused:
		g.mu.Unlock()
		return nil, errs.NotRun(d.reason, d.retryAfter, "target %s: no slot is expected to be free in time", g.name)
	case Queued:
	}
	result := make(chan error, 1)
	g.waiting[pass.id] = result
	g.mu.Unlock()
	return g.await(ctx, pass, result)
}

func (g *Limiter) await(ctx context.Context, pass *Permit, result chan error) (*Permit, error) {
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
		err = errs.NotRun(reason, g.Wait(), "target %s: the request was canceled or timed out while it waited for a slot", g.name)
	}
	if err == nil && g.lease.Held(g.clock()) {
		return pass, nil
	}
	g.mu.Lock()
	delete(g.waiting, pass.id)
	g.ledger.Cancel(pass.id)
	g.mu.Unlock()
	pass.Done(OutcomeUnused)
	if err == nil {
		err = g.notKeeper()
	}
	return nil, err
}

func (g *Limiter) notKeeper() error {
	return errs.NotRun(errs.ReasonLostKeeper, LeaseTime, "target %s: this entry is not its keeper", g.name)
}

// Held reports whether the request may still be sent. It must be called right
// before the first byte is written.
func (p *Permit) Held() bool { return p.gate.lease.Held(p.gate.clock()) }

// Done frees the slot and records how the request ended.
func (p *Permit) Done(outcome Outcome) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.ledger.Finish(p.id, outcome, now)
	g.refresh(now)
}

// Tick refuses the queued requests that can't be answered in time any more, or
// all of them if the lease is lost. It must be called at least every
// BeatInterval.
func (g *Limiter) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(g.clock())
}

// refresh brings the ledger up to the time now, starts or refuses queued
// requests, and reports whether this entry is the keeper. The caller holds the
// lock.
func (g *Limiter) refresh(now time.Duration) bool {
	held := g.lease.Held(now)
	term := g.lease.Term()
	lapsed := g.held && (!held || term != g.term)
	if lapsed {
		g.lostAt = now
		g.inherited = false
	}
	g.held = held
	if !held {
		g.refuse(g.ledger.DropQueue(), g.notKeeper())
		return false
	}
	if term != g.term {
		g.beginTerm(term, now)
	}
	started, late := g.ledger.StartQueued(now)
	for _, s := range started {
		g.waiting[s.id] <- nil
		delete(g.waiting, s.id)
	}
	g.refuse(late, errs.NotRun(errs.ReasonDeadline, g.ledger.Wait(now), "target %s: the request waited too long to be answered before its deadline", g.name))
	return true
}

// beginTerm starts this entry's term as the keeper. Without the previous
// keeper's ledger, every slot counts as taken.
func (g *Limiter) beginTerm(term uint64, now time.Duration) {
	g.term = term
	g.began = now
	if !g.inherited {
		g.ledger.ReserveAll(now)
	}
}

func (g *Limiter) refuse(ids []uint64, err error) {
	for _, id := range ids {
		g.waiting[id] <- err
		delete(g.waiting, id)
	}
}

// Release returns, for the next keeper, how long each request at the target may
// still run, and refuses the queue if this entry is no longer the keeper.
// Leases that are to be given up must have been given up before the call.
func (g *Limiter) Release() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	left := g.ledger.RemainingTimes(now)
	g.refresh(now)
	return left
}

// Inherit takes over the ledger that the previous keeper sent in answer to this
// entry's request for the leases. asked is when that request was sent, on this
// entry's clock. A ledger that was requested before this entry last lost the
// leases, or after its present term began, is ignored.
func (g *Limiter) Inherit(asked time.Duration, left []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	held := g.refresh(now)
	if asked <= g.lostAt || (held && g.began < asked) {
		return
	}
	g.inherited = true
	g.ledger.Inherit(asked, left, now)
	g.refresh(now)
}

// FinishInherited records the end of a request that the previous keeper had sent.
// asked is the value that was passed to Inherit.
func (g *Limiter) FinishInherited(asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.FinishInherited(asked)
	g.refresh(g.clock())
}

// Report records how many requests the target says it is running, in the answer
// to a query that was sent at the time asked. Answers to queries from before
// this entry became the keeper are ignored.
func (g *Limiter) Report(running int, asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refresh(g.clock()) && asked > g.began {
		g.ledger.Report(running)
		g.refresh(g.clock())
	}
}

// HasUnverified reports whether slots are still reserved for requests of an earlier
// keeper or of unknown outcome, so that a report of the target could free them.
func (g *Limiter) HasUnverified() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refresh(g.clock()) && g.ledger.hasUnverified(g.clock())
}

// SetLeaving sets whether the target is leaving. The queued requests of a
// leaving target are refused.
func (g *Limiter) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := errs.NotRun(errs.ReasonNoTarget, 0, "target %s: the target is leaving", g.name)
	g.refuse(g.ledger.SetLeaving(leaving), refusal)
}

// SetLimits changes the target's limits.
func (g *Limiter) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(limits)
	g.refresh(g.clock())
}

// SetCold records that the target starts cold now; its slots become available
// over RampTime.
func (g *Limiter) SetCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetCold(g.clock())
}

// Wait returns the expected wait for a slot of a request that arrives now.
func (g *Limiter) Wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Wait(g.clock())
}

// View returns the target's state for other entries.
func (g *Limiter) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	return View{
		Held:    g.refresh(now),
		Free:    g.ledger.Free(now),
		Waiting: g.ledger.Waiting(),
		Running: g.ledger.Running(),
		Wait:    g.ledger.Wait(now),
		Failing: g.ledger.Failures(now),
		Leaving: g.ledger.leaving,
		Service: g.ledger.AnswerTime(now),
	}
}
