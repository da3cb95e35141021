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
	self     ticket.ID
	network  Network
	runner   Runner
	now      func() time.Time
	log      *logrus.Logger
	silent   func(witness ticket.ID)
	budget   *ticket.Budget
	stopping atomic.Bool
	tasks    conc.WaitGroup
	// lifetime is canceled when the process ends, not when a call ends.
	running context.Context
	cancel  context.CancelFunc

	// ledgers points to a map that is never modified. Changes replace the map with
	// mu held.
	books atomic.Pointer[map[pair]*book]
	mu    sync.Mutex
}

// ledgerID identifies a ledger.
type pair struct {
	home    ticket.ID
	witness ticket.ID
}

// lockedLedger is a ledger with its lock and the requests that wait for an
// outcome. Once dropped is set, it issues no prefixes.
type book struct {
	dropped bool

	mu      sync.Mutex
	ledger  *ticket.Ledger
	pending map[ticket.Key]*pending
	// handoverEnded is closed and replaced when a handover ends.
	changed chan struct{}
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
	h.running, h.cancel = context.WithCancel(context.Background())
	h.books.Store(&map[pair]*book{})
	return h
}

// ledgerOf returns the ledger of the key, or nil if there is none.
func (h *home) book(key ticket.Key) *book {
	return (*h.books.Load())[pair{key.Prefix().Home(), key.Prefix().Witness()}]
}

// getOrAdd returns the ledger with the given ID. If there is none, it adds the
// one that newLedger returns.
func (h *home) add(p pair, newLedger func() *ticket.Ledger) *book {
	if known := (*h.books.Load())[p]; known != nil {
		return known
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	books := maps.Clone(*h.books.Load())
	if books[p] == nil {
		books[p] = &book{ledger: newLedger(), pending: map[ticket.Key]*pending{}, changed: make(chan struct{})}
	}
	h.books.Store(&books)
	return books[p]
}

// issue returns a new key prefix, or false if the process is stopping or the
// ledger does not issue prefixes.
func (h *home) issue(witness ticket.ID, zone place.Zone) (ticket.Prefix, bool) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil || h.stopping.Load() {
		return ticket.Prefix{}, false
	}
	for {
		b := h.add(pair{h.self, witness}, func() *ticket.Ledger {
			return ticket.NewLedger(h.self, witness, zone, h.budget)
		})
		b.mu.Lock()
		prefix, ok := b.ledger.Issue(h.now(), binary.BigEndian.Uint64(nonce[:]))
		dropped := b.dropped
		b.mu.Unlock()
		if !dropped {
			return prefix, ok
		}
	}
}

// serve runs the request, joins the one that runs under its key, or returns the
// kept outcome. The error wraps errHomeGone if this process is not the home.
func (h *home) serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	b := h.book(r.key)
	if b == nil && r.key.Prefix().Home() == h.self {
		return nil, errs.MayHaveRun(errs.ReasonKeyExpired, "the key expired so long ago that its record is gone")
	}
	if b == nil {
		return nil, errors.Wrapf(errAway, "instance %s", h.self.Instance())
	}
	for {
		answer, err := h.arrive(ctx, b, r)
		if !errors.Is(err, errAgain) {
			return answer, err
		}
	}
}

// errRetry means that the request has to be passed to the ledger again.
var errAgain = errors.New("pass the request to the ledger again")

// admit passes the request to the ledger and waits for its outcome.
func (h *home) arrive(ctx context.Context, b *book, r *Request) (*wire.Answer, error) {
	bound := min(BoundMax, time.Duration(millisLeft(ctx))*time.Millisecond)
	b.mu.Lock()
	changed := b.changed
	step := b.ledger.Arrive(h.now(), r.key, r.digest, bound)
	switch s := step.(type) {
	case ticket.StepRecord, ticket.StepRun:
		p := b.join(r.key)
		b.mu.Unlock()
		h.tasks.Go(func() { h.begin(b, r, step, bound) })
		return p.wait(ctx)
	case ticket.StepJoin:
		p := b.join(r.key)
		b.mu.Unlock()
		return p.wait(ctx)
	case ticket.StepHold:
		b.mu.Unlock()
		return hold(ctx, changed)
	case ticket.StepDone:
		b.mu.Unlock()
		return unpackOutcome(s.Outcome())
	default:
		b.mu.Unlock()
		return nil, errors.Wrapf(errAway, "instance %s handed over its keys", h.self.Instance())
	}
}

// join returns the pending request of a key, which is new if there is none. If
// the former home runs the request, the report of that home ends it.
func (b *book) join(key ticket.Key) *pending {
	if b.pending[key] == nil {
		b.pending[key] = &pending{done: make(chan struct{})}
	}
	return b.pending[key]
}

// wait waits until the request ends or ctx does.
func (p *pending) wait(ctx context.Context) (*wire.Answer, error) {
	select {
	case <-p.done:
		return p.answer, p.err
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonDeadline, askAgain, "the request is still in progress; repeat it with the same key")
	}
}

// waitForHandover waits until the handover or ctx ends.
func hold(ctx context.Context, changed chan struct{}) (*wire.Answer, error) {
	select {
	case <-changed:
		return nil, errAgain
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonStopping, askAgain, "the home of the key is handing over its keys; repeat the request with the same key")
	}
}

// execute records the key of a new request if needed, runs the request, and ends
// the wait for its outcome.
func (h *home) begin(b *book, r *Request, step ticket.Step, bound time.Duration) {
	ctx, cancel := context.WithTimeout(h.running, bound)
	defer cancel()
	if _, record := step.(ticket.StepRecord); record {
		step = h.record(ctx, b, r, bound)
	}
	switch s := step.(type) {
	case ticket.StepRun:
		h.run(ctx, b, r)
	case ticket.StepDone:
		answer, err := unpackOutcome(s.Outcome())
		b.end(r.key, func(p *pending) { p.answer, p.err = answer, err })
	default:
		b.end(r.key, func(p *pending) { p.err = errAgain })
	}
}

// record asks the witness to record the key, passes the reply to the ledger and
// returns the next step.
func (h *home) record(ctx context.Context, b *book, r *Request, bound time.Duration) ticket.Step {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	reply, why := h.askRecord(ctx, r, bound)
	for reply == ticket.RecordMoved && !b.alone() && wait.For(ctx, stopPoll) {
		reply, why = h.askRecord(ctx, r, bound)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if reply == ticket.RecordAcknowledged {
		return b.ledger.Acknowledge(h.now(), r.key)
	}
	return b.ledger.Refuse(h.now(), r.key, errs.ReasonNoWitness, why)
}

// withoutWitness reports whether the ledger needs no acknowledgements. When a
// witness stops, it first ceases to acknowledge keys and then sends the release
// that has this effect.
func (b *book) alone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Alone()
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
		h.silent(to)
		return 0, "the witness " + string(to.Instance()) + " does not answer; look up again for a new key"
	}
	return ticket.RecordReply(recorded.Reply), ticket.RecordReply(recorded.Reply).String()
}

// run sends the request to a target and passes the outcome to the ledger, to all
// callers that wait for it, and to the witness.
func (h *home) run(ctx context.Context, b *book, r *Request) {
	forward := *r.forward
	forward.DeadlineMillis = millisLeft(ctx)
	answer, err := h.runner.RunOnce(ctx, &forward)
	outcome := packOutcome(answer, err)
	b.mu.Lock()
	kept, _ := b.ledger.Finish(r.key, outcome)
	b.mu.Unlock()
	b.end(r.key, func(p *pending) { p.answer, p.err = answer, err })
	h.report(b, r.key, kept)
}

// resolve ends the wait for the outcome of a key. set sets the result.
func (b *book) end(key ticket.Key, set func(p *pending)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pending[key]
	if p == nil {
		return
	}
	delete(b.pending, key)
	set(p)
	close(p.done)
}

// report sends an outcome to the witness. If the witness does not confirm it, the
// outcome stays unreported and is sent again when the process stops.
func (h *home) report(b *book, key ticket.Key, outcome ticket.Outcome) {
	if key.Prefix().Home() != h.self {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), RecordTimeout)
	defer cancel()
	reply, err := call(ctx, h.network, key.Prefix().Witness(), func() wire.Message {
		return &wire.KeyReport{Key: key.String(), Outcome: outcomeToWire(outcome)}
	})
	taken, ok := reply.(*wire.KeyTaken)
	if err != nil || !ok || !taken.Taken {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Reported(key)
}

// adopt takes over the ledger of a home that stops.
func (h *home) adopt(l *ticket.Ledger) {
	h.add(pair{l.Home(), l.Witness()}, func() *ticket.Ledger { return l })
}

// finishRemote applies the outcome of a request that the former home ran.
func (h *home) reported(key ticket.Key, outcome ticket.Outcome) {
	b := h.book(key)
	if b == nil {
		return
	}
	b.mu.Lock()
	kept, ok := b.ledger.Finish(key, outcome)
	b.mu.Unlock()
	if !ok {
		return
	}
	answer, err := unpackOutcome(kept)
	b.end(key, func(p *pending) { p.answer, p.err = answer, err })
}

// applyRelease applies the release of a witness that stops. It reports whether
// the release is taken care of.
func (h *home) released(release ticket.Release) bool {
	b := (*h.books.Load())[pair{release.Home, release.Witness}]
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Release(release)
}

// sweep removes expired keys and drops ledgers that are no longer needed.
func (h *home) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	books := maps.Clone(*h.books.Load())
	for p, b := range books {
		if b.sweep(h.now()) {
			delete(books, p)
		}
	}
	h.books.Store(&books)
}

// sweep removes expired keys and reports whether the ledger can be dropped. It
// ends the wait for requests that the former home ran and never reported.
func (b *book) sweep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	drop := b.ledger.Sweep(now)
	for key, p := range b.pending {
		if !b.ledger.Knows(key) {
			delete(b.pending, key)
			p.err = errs.MayHaveRun(errs.ReasonLostHome, "the former home of the key did not report the outcome of the request")
			close(p.done)
		}
	}
	b.dropped = drop && len(b.pending) == 0
	return b.dropped
}
