package once

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// home sends requests to targets if their keys name this process or a home whose
// ledger it took over.
type home struct {
	self      ticket.ID
	network   Network
	runner    Runner
	now       func() time.Time
	log       *logrus.Logger
	onNoReply func(witness ticket.ID)
	budget    *ticket.Budget
	stopping  atomic.Bool
	tasks     conc.WaitGroup
	// lifetime is canceled when the process ends, not when a call ends.
	lifetime context.Context
	cancel   context.CancelFunc

	// ledgers points to a map that is never modified. Changes replace the map with
	// mu held.
	ledgers atomic.Pointer[map[ledgerID]*lockedLedger]
	mu      sync.Mutex
}

// ledgerID identifies a ledger.
type ledgerID struct {
	home    ticket.ID
	witness ticket.ID
}

// lockedLedger is a ledger with its lock and the requests that wait for an
// outcome. Once dropped is set, it issues no prefixes.
type lockedLedger struct {
	dropped bool

	mu      sync.Mutex
	ledger  *ticket.Ledger
	pending map[ticket.Key]*pending
	// handoverEnded is closed and replaced when a handover ends.
	handoverEnded chan struct{}
}

// pending is a request that is being recorded or runs. answer and err are set
// before done is closed.
type pending struct {
	done   chan struct{}
	answer *wire.Answer
	err    error
}

func newHome(self ticket.ID, limits ticket.Limits, network Network, runner Runner, now func() time.Time, log *logrus.Logger) *home {
	h := &home{self: self, network: network, runner: runner, now: now, log: log, budget: ticket.NewBudget(limits)}
	h.lifetime, h.cancel = context.WithCancel(context.Background())
	h.ledgers.Store(&map[ledgerID]*lockedLedger{})
	return h
}

// ledgerOf returns the ledger of the key, or nil if there is none.
func (h *home) ledgerOf(key ticket.Key) *lockedLedger {
	return (*h.ledgers.Load())[ledgerID{key.Prefix().Home(), key.Prefix().Witness()}]
}

// getOrAdd returns the ledger with the given ID. If there is none, it adds the
// one that newLedger returns.
func (h *home) getOrAdd(id ledgerID, newLedger func() *ticket.Ledger) *lockedLedger {
	if known := (*h.ledgers.Load())[id]; known != nil {
		return known
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ledgers := maps.Clone(*h.ledgers.Load())
	if ledgers[id] == nil {
		ledgers[id] = &lockedLedger{ledger: newLedger(), pending: map[ticket.Key]*pending{}, handoverEnded: make(chan struct{})}
	}
	h.ledgers.Store(&ledgers)
	return ledgers[id]
}

// issue returns a new key prefix, or false if the process is stopping or the
// ledger does not issue prefixes.
func (h *home) issue(witness ticket.ID, zone place.Zone) (ticket.Prefix, bool) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil || h.stopping.Load() {
		return ticket.Prefix{}, false
	}
	for {
		l := h.getOrAdd(ledgerID{h.self, witness}, func() *ticket.Ledger {
			return ticket.NewLedger(h.self, witness, zone, h.budget)
		})
		l.mu.Lock()
		prefix, ok := l.ledger.Issue(h.now(), binary.BigEndian.Uint64(nonce[:]))
		dropped := l.dropped
		l.mu.Unlock()
		if !dropped {
			return prefix, ok
		}
	}
}

// serve runs the request, joins the one that runs under its key, or returns the
// kept outcome. The error wraps errHomeGone if this process is not the home.
func (h *home) serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	l := h.ledgerOf(r.key)
	if l == nil && r.key.Prefix().Home() == h.self {
		return nil, errs.MayHaveRun(errs.ReasonKeyExpired, "the key expired so long ago that its record is gone")
	}
	if l == nil {
		return nil, errors.Wrapf(errHomeGone, "instance %s", h.self.Instance())
	}
	for {
		answer, err := h.admit(ctx, l, r)
		if !errors.Is(err, errRetry) {
			return answer, err
		}
	}
}

// errRetry means that the request has to be passed to the ledger again.
var errRetry = errors.New("pass the request to the ledger again")

// admit passes the request to the ledger and waits for its outcome.
func (h *home) admit(ctx context.Context, l *lockedLedger, r *Request) (*wire.Answer, error) {
	bound := min(SendTimeMax, time.Duration(millisLeft(ctx))*time.Millisecond)
	l.mu.Lock()
	ended := l.handoverEnded
	step := l.ledger.Admit(h.now(), r.key, r.digest, bound)
	switch s := step.(type) {
	case ticket.StepRecord, ticket.StepRun:
		p := l.join(r.key)
		l.mu.Unlock()
		h.tasks.Go(func() { h.execute(l, r, step, bound) })
		return p.wait(ctx)
	case ticket.StepJoin:
		p := l.join(r.key)
		l.mu.Unlock()
		return p.wait(ctx)
	case ticket.StepAwaitHandover:
		l.mu.Unlock()
		return waitForHandover(ctx, ended)
	case ticket.StepDone:
		l.mu.Unlock()
		return unpackOutcome(s.Outcome())
	default:
		l.mu.Unlock()
		return nil, errors.Wrapf(errHomeGone, "instance %s handed over its keys", h.self.Instance())
	}
}

// join returns the pending request of a key, which is new if there is none. If
// the former home runs the request, the report of that home ends it.
func (l *lockedLedger) join(key ticket.Key) *pending {
	if l.pending[key] == nil {
		l.pending[key] = &pending{done: make(chan struct{})}
	}
	return l.pending[key]
}

// wait waits until the request ends or ctx does.
func (p *pending) wait(ctx context.Context) (*wire.Answer, error) {
	select {
	case <-p.done:
		return p.answer, p.err
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonDeadline, retryDelay, "the request is still in progress; repeat it with the same key")
	}
}

// waitForHandover waits until the handover or ctx ends.
func waitForHandover(ctx context.Context, ended chan struct{}) (*wire.Answer, error) {
	select {
	case <-ended:
		return nil, errRetry
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonStopping, retryDelay, "the home of the key is handing over its keys; repeat the request with the same key")
	}
}

// execute records the key of a new request if needed, runs the request, and ends
// the wait for its outcome.
func (h *home) execute(l *lockedLedger, r *Request, step ticket.Step, bound time.Duration) {
	ctx, cancel := context.WithTimeout(h.lifetime, bound)
	defer cancel()
	if _, record := step.(ticket.StepRecord); record {
		step = h.record(ctx, l, r, bound)
	}
	switch s := step.(type) {
	case ticket.StepRun:
		h.run(ctx, l, r)
	case ticket.StepDone:
		answer, err := unpackOutcome(s.Outcome())
		l.resolve(r.key, func(p *pending) { p.answer, p.err = answer, err })
	default:
		l.resolve(r.key, func(p *pending) { p.err = errRetry })
	}
}

// record asks the witness to record the key, passes the reply to the ledger and
// returns the next step.
func (h *home) record(ctx context.Context, l *lockedLedger, r *Request, bound time.Duration) ticket.Step {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	reply, why := h.askRecord(ctx, r, bound)
	for reply == ticket.RecordMoved && !l.withoutWitness() && wait.Sleep(ctx, stopPollInterval) {
		reply, why = h.askRecord(ctx, r, bound)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply == ticket.RecordAcknowledged {
		return l.ledger.Acknowledge(h.now(), r.key)
	}
	return l.ledger.Refuse(h.now(), r.key, errs.ReasonNoWitness, why)
}

// withoutWitness reports whether the ledger needs no acknowledgements. When a
// witness stops, it first ceases to acknowledge keys and then sends the release
// that has this effect.
func (l *lockedLedger) withoutWitness() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.WithoutWitness()
}

// askRecord asks the witness to record the key. It returns the reply, or 0 if
// there is none, and a description for error messages.
func (h *home) askRecord(ctx context.Context, r *Request, bound time.Duration) (ticket.RecordReply, string) {
	to := r.key.Prefix().Witness()
	if !h.network.Reachable(to.Instance()) {
		return 0, "the witness " + string(to.Instance()) + " is unreachable; look up again for a new key"
	}
	reply, err := call(ctx, h.network, to, func() wire.Message {
		return &wire.KeyRecord{Key: r.key.String(), Digest: uint64(r.digest), BoundMillis: bound.Milliseconds()}
	})
	recorded, ok := reply.(*wire.KeyRecorded)
	if err != nil || !ok {
		h.onNoReply(to)
		return 0, "the witness " + string(to.Instance()) + " does not answer; look up again for a new key"
	}
	return ticket.RecordReply(recorded.Reply), ticket.RecordReply(recorded.Reply).String()
}

// run sends the request to a target and passes the outcome to the ledger, to all
// callers that wait for it, and to the witness.
func (h *home) run(ctx context.Context, l *lockedLedger, r *Request) {
	forward := *r.forward
	forward.DeadlineMillis = millisLeft(ctx)
	answer, err := h.runner.RunOnce(ctx, &forward)
	outcome := packOutcome(answer, err)
	l.mu.Lock()
	kept, _ := l.ledger.Finish(r.key, outcome)
	l.mu.Unlock()
	l.resolve(r.key, func(p *pending) { p.answer, p.err = answer, err })
	h.report(l, r.key, kept)
}

// resolve ends the wait for the outcome of a key. set sets the result.
func (l *lockedLedger) resolve(key ticket.Key, set func(p *pending)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[key]
	if p == nil {
		return
	}
	delete(l.pending, key)
	set(p)
	close(p.done)
}

// report sends an outcome to the witness. If the witness does not confirm it, the
// outcome stays unreported and is sent again when the process stops.
func (h *home) report(l *lockedLedger, key ticket.Key, outcome ticket.Outcome) {
	if key.Prefix().Home() != h.self {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), RecordTimeout)
	defer cancel()
	reply, err := call(ctx, h.network, key.Prefix().Witness(), func() wire.Message {
		return &wire.KeyReport{Key: key.String(), Outcome: outcomeToWire(outcome)}
	})
	taken, ok := reply.(*wire.KeyAccepted)
	if err != nil || !ok || !taken.Accepted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Reported(key)
}

// adopt takes over the ledger of a home that stops.
func (h *home) adopt(l *ticket.Ledger) {
	h.getOrAdd(ledgerID{l.Home(), l.Witness()}, func() *ticket.Ledger { return l })
}

// finishRemote applies the outcome of a request that the former home ran.
func (h *home) finishRemote(key ticket.Key, outcome ticket.Outcome) {
	l := h.ledgerOf(key)
	if l == nil {
		return
	}
	l.mu.Lock()
	kept, ok := l.ledger.Finish(key, outcome)
	l.mu.Unlock()
	if !ok {
		return
	}
	answer, err := unpackOutcome(kept)
	l.resolve(key, func(p *pending) { p.answer, p.err = answer, err })
}

// applyRelease applies the release of a witness that stops. It reports whether
// the release took effect or there is no such ledger.
func (h *home) applyRelease(release ticket.Release) bool {
	l := (*h.ledgers.Load())[ledgerID{release.Home, release.Witness}]
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Release(release)
}

// sweep removes expired keys and drops ledgers that are no longer needed.
func (h *home) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	ledgers := maps.Clone(*h.ledgers.Load())
	for id, l := range ledgers {
		if l.sweep(h.now()) {
			delete(ledgers, id)
		}
	}
	h.ledgers.Store(&ledgers)
}

// sweep removes expired keys and reports whether the ledger can be dropped. It
// ends the wait for requests that the former home ran and never reported.
func (l *lockedLedger) sweep(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop := l.ledger.Sweep(now)
	for key, p := range l.pending {
		if !l.ledger.Has(key) {
			delete(l.pending, key)
			p.err = errs.MayHaveRun(errs.ReasonLostHome, "the former home of the key did not report the outcome of the request")
			close(p.done)
		}
	}
	l.dropped = drop && len(l.pending) == 0
	return l.dropped
}
