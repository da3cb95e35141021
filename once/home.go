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

// home hands on the requests whose keys name this process, and those of homes
// that it took over from.
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
	// running ends with the process, not with a call.
	running context.Context
	cancel  context.CancelFunc

	// books is replaced and never changed; mu is held while replacing it.
	books atomic.Pointer[map[pair]*book]
	mu    sync.Mutex
}

// pair names a ledger.
type pair struct {
	home    ticket.ID
	witness ticket.ID
}

// book is a ledger with the requests that wait on it. Once dropped, it gives
// out no prefix.
type book struct {
	dropped bool

	mu      sync.Mutex
	ledger  *ticket.Ledger
	pending map[ticket.Key]*pending
	// changed is closed when a handover ends.
	changed chan struct{}
}

// pending is a request that is recorded or runs. The fields but done are set
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

func (h *home) book(key ticket.Key) *book {
	return (*h.books.Load())[pair{key.Prefix().Home(), key.Prefix().Witness()}]
}

// add returns the book of a ledger. newLedger is called if there is none.
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

// serve runs the request, joins the one that runs under its key, or returns
// the kept outcome. An error holds errAway if this is not the home.
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

// errAgain tells that a request has to be taken in again.
var errAgain = errors.New("take the request in again")

// arrive takes the request in.
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
		return nil, errors.Wrapf(errAway, "instance %s handed over", h.self.Instance())
	}
}

// join returns what waits for a key. A key that the former home runs gets its
// end from the report of that home.
func (b *book) join(key ticket.Key) *pending {
	if b.pending[key] == nil {
		b.pending[key] = &pending{done: make(chan struct{})}
	}
	return b.pending[key]
}

func (p *pending) wait(ctx context.Context) (*wire.Answer, error) {
	select {
	case <-p.done:
		return p.answer, p.err
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonDeadline, askAgain, "the request is still under way; ask again with the same key")
	}
}

// hold waits for the end of a handover.
func hold(ctx context.Context, changed chan struct{}) (*wire.Answer, error) {
	select {
	case <-changed:
		return nil, errAgain
	case <-ctx.Done():
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonStopping, askAgain, "the home of the key is handing over; ask again with the same key")
	}
}

// begin takes a new key to its end.
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

// record asks the witness to record the key and tells the ledger.
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

// alone tells whether the message has come that the witness stops. Until it
// comes, the witness that stops acknowledges no key.
func (b *book) alone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Alone()
}

// askRecord returns the reply of the witness, or 0 without one, and the
// sentence for a person.
func (h *home) askRecord(ctx context.Context, r *Request, bound time.Duration) (ticket.RecordReply, string) {
	to := r.key.Prefix().Witness()
	if !h.network.Reachable(to.Instance()) {
		return 0, "the witness " + string(to.Instance()) + " is silent; look up again for a new key"
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

// run hands the request on, and gives the outcome to all that wait and to the
// witness.
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

// end ends the wait for a key.
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

// report tells the witness an outcome. Without its confirmation, the outcome
// stays unreported and is sent again when the process stops.
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

// reported takes in the outcome of a key that the former home ran.
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

// released takes in that a witness stops.
func (h *home) released(release ticket.Release) bool {
	b := (*h.books.Load())[pair{release.Home, release.Witness}]
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Release(release)
}

// sweep forgets keys whose time is past.
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

// sweep tells whether the book can be dropped. It ends the wait for keys that
// the former home ran and never reported.
func (b *book) sweep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	drop := b.ledger.Sweep(now)
	for key, p := range b.pending {
		if !b.ledger.Knows(key) {
			delete(b.pending, key)
			p.err = errs.MayHaveRun(errs.ReasonLostHome, "the former home of the key did not report what became of the request")
			close(p.done)
		}
	}
	b.dropped = drop && len(b.pending) == 0
	return b.dropped
}
