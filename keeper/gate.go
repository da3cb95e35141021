package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
)

// Gate lets the requests of many goroutines through to one target, as its
// Ledger decides and only while this entry is the target's keeper.
type Gate struct {
	mu      sync.Mutex
	name    string
	hold    *Hold
	ledger  *Ledger
	clock   func() time.Duration
	waiting map[uint64]chan error
	next    uint64
	held    bool
	term    uint64
	began   time.Duration // when this entry became the keeper
	lost    time.Duration // when it last ceased to be
	handed  bool          // the ledger of the keeper before came ahead of the leases
}

// View is what others may know of a target at its keeper.
type View struct {
	Held    bool          `msgpack:"held" json:"held"`
	Free    int           `msgpack:"free" json:"free"`
	Waiting int           `msgpack:"waiting" json:"waiting"`
	Running int           `msgpack:"running" json:"running"`
	Wait    time.Duration `msgpack:"wait" json:"wait_ns"`
	Failing int           `msgpack:"failing" json:"failures_in_a_row"`
	Leaving bool          `msgpack:"leaving" json:"leaving"`
	// Service is the time from dispatch to answer.
	Service time.Duration `msgpack:"service" json:"service_ns"`
}

// NewGate makes the Gate of a target. The clock is the one that the Leases
// behind hold are told the time of.
func NewGate(name string, hold *Hold, limits Limits, clock func() time.Duration) *Gate {
	return &Gate{name: name, hold: hold, ledger: NewLedger(limits), clock: clock, waiting: map[uint64]chan error{}}
}

// Pass is the right to send one request to the target. Done must be called
// once.
type Pass struct {
	gate *Gate
	id   uint64
}

// Enter waits for a slot. The deadline is on the Gate's clock; the context ends
// the wait early. The error is an *errs.Refusal with the verdict not-run.
func (g *Gate) Enter(ctx context.Context, deadline time.Duration) (*Pass, error) {
	g.mu.Lock()
	now := g.clock()
	if !g.settle(now) {
		g.mu.Unlock()
		return nil, g.notKeeper()
	}
	g.next++
	pass := &Pass{gate: g, id: g.next}
	switch d := g.ledger.Arrive(pass.id, deadline, now).(type) {
	case Started:
		g.mu.Unlock()
		return pass, nil
	case Refused:
		g.mu.Unlock()
		return nil, errs.NotRun(d.reason, d.comeBack, "target %s: no slot is expected in time", g.name)
	case Queued:
	}
	turn := make(chan error, 1)
	g.waiting[pass.id] = turn
	g.mu.Unlock()
	return g.await(ctx, pass, turn)
}

func (g *Gate) await(ctx context.Context, pass *Pass, turn chan error) (*Pass, error) {
	var err error
	select {
	case err = <-turn:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		reason := errs.ReasonDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = errs.ReasonCanceled
		}
		err = errs.NotRun(reason, g.Wait(), "target %s: the request ended while it waited for a slot", g.name)
	}
	if err == nil && g.hold.Held(g.clock()) {
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

func (g *Gate) notKeeper() error {
	return errs.NotRun(errs.ReasonLostKeeper, LeaseTime, "target %s: this entry is not its keeper", g.name)
}

// Held tells whether the request may still be sent; it has to be asked right
// before the first byte.
func (p *Pass) Held() bool { return p.gate.hold.Held(p.gate.clock()) }

// Done gives the slot back.
func (p *Pass) Done(outcome Outcome) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.ledger.Finish(p.id, outcome, now)
	g.settle(now)
}

// Tick refuses what has waited too long and everything that waits if the leases
// are lost. It has to be called every BeatInterval or more often.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.clock())
}

// settle brings the ledger up to the time now and tells whether this entry is
// the keeper. The caller holds the lock.
func (g *Gate) settle(now time.Duration) bool {
	held := g.hold.Held(now)
	term := g.hold.Term()
	lapsed := g.held && (!held || term != g.term)
	if lapsed {
		g.lost = now
		g.handed = false
	}
	g.held = held
	if !held {
		g.refuse(g.ledger.DropQueue(), g.notKeeper())
		return false
	}
	if term != g.term {
		g.begin(term, now)
	}
	started, late := g.ledger.Next(now)
	for _, s := range started {
		g.waiting[s.id] <- nil
		delete(g.waiting, s.id)
	}
	g.refuse(late, errs.NotRun(errs.ReasonDeadline, g.ledger.Wait(now), "target %s: the deadline passed while the request waited", g.name))
	return true
}

// begin begins this entry's term as the keeper.
func (g *Gate) begin(term uint64, now time.Duration) {
	g.term = term
	g.began = now
	if !g.handed {
		g.ledger.TakeOver(now)
	}
}

func (g *Gate) refuse(ids []uint64, err error) {
	for _, id := range ids {
		g.waiting[id] <- err
		delete(g.waiting, id)
	}
}

// Release stops the use of the target in favour of another keeper and returns
// what is due to it: the time that each running request may still take. Leases
// that were given up must have been so before.
func (g *Gate) Release() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	left := g.ledger.Export(now)
	g.settle(now)
	return left
}

// Inherit takes the ledger of the keeper before this one, which it handed over
// when this entry asked at the time asked for the leases. One from before this
// entry's last term, or from within the present one, is void.
func (g *Gate) Inherit(asked time.Duration, left []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	held := g.settle(now)
	if asked <= g.lost || (held && g.began < asked) {
		return
	}
	g.handed = true
	g.ledger.Inherit(asked, left, now)
	g.settle(now)
}

// InheritedDone tells that a request ended which the keeper before this one had
// sent. asked is the same as at Inherit.
func (g *Gate) InheritedDone(asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.InheritedDone(asked)
	g.settle(g.clock())
}

// Report takes in how many requests the target says it runs, in an answer to a
// question that was sent at the time asked. A question from before this entry
// became the keeper says nothing.
func (g *Gate) Report(running int, asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settle(g.clock()) && asked > g.began {
		g.ledger.Report(running)
		g.settle(g.clock())
	}
}

// Unsure tells whether slots are counted for work of an earlier keeper, so that
// reports are worth asking for.
func (g *Gate) Unsure() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settle(g.clock()) && g.ledger.unsure(g.clock())
}

// SetLeaving tells whether the target is leaving.
func (g *Gate) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := errs.NotRun(errs.ReasonNoTarget, 0, "target %s: it is leaving", g.name)
	g.refuse(g.ledger.SetLeaving(leaving), refusal)
}

// SetLimits changes what the target allows.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(limits)
	g.settle(g.clock())
}

// SetCold tells that the target starts cold.
func (g *Gate) SetCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetCold(g.clock())
}

// Wait returns how long a request that arrives now would wait.
func (g *Gate) Wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Wait(g.clock())
}

// View returns what others may know of the target.
func (g *Gate) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	return View{
		Held:    g.settle(now),
		Free:    g.ledger.Free(now),
		Waiting: g.ledger.Waiting(),
		Running: g.ledger.Running(),
		Wait:    g.ledger.Wait(now),
		Failing: g.ledger.Failures(now),
		Leaving: g.ledger.leaving,
		Service: g.ledger.AnswerTime(now),
	}
}
