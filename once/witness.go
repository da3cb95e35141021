package once

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

// witness keeps the records of the keys of other homes.
type witness struct {
	self     ticket.ID
	now      func() time.Time
	budget   *ticket.Budget
	stopping atomic.Bool

	// byHome points to a map that is never modified. Changes replace the map with
	// mu held.
	byHome atomic.Pointer[map[ticket.ID]*lockedRecords]
	mu     sync.Mutex
}

// lockedRecords is the records of one home with their lock. Once dropped is set,
// they are not used any more: a key recorded in them could not be found.
type lockedRecords struct {
	mu      sync.Mutex
	records *ticket.Records
	dropped bool
}

func newWitness(self ticket.ID, limits ticket.Limits, now func() time.Time) *witness {
	w := &witness{self: self, now: now, budget: ticket.NewBudget(limits)}
	w.byHome.Store(&map[ticket.ID]*lockedRecords{})
	return w
}

// withRecords calls do with the records of a home, with their lock held.
func (w *witness) withRecords(home ticket.ID, do func(*ticket.Records)) {
	for !w.recordsOf(home).tryUse(do) {
	}
}

// tryUse calls do with the records and their lock held, unless they were dropped.
// It reports whether it called do.
func (r *lockedRecords) tryUse(do func(*ticket.Records)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dropped {
		do(r.records)
	}
	return !r.dropped
}

// recordsOf returns the records of a home. If there are none, it adds new ones.
func (w *witness) recordsOf(home ticket.ID) *lockedRecords {
	if known := (*w.byHome.Load())[home]; known != nil {
		return known
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	byHome := maps.Clone(*w.byHome.Load())
	if byHome[home] == nil {
		r := &lockedRecords{records: ticket.NewRecords(w.self, home, w.budget)}
		if w.stopping.Load() {
			r.records.Release(w.now())
		}
		byHome[home] = r
	}
	w.byHome.Store(&byHome)
	return byHome[home]
}

func (w *witness) record(key ticket.Key, digest ticket.Digest, bound time.Duration) (reply ticket.RecordReply) {
	w.withRecords(key.Prefix().Home(), func(r *ticket.Records) { reply = r.Record(w.now(), key, digest, bound) })
	return reply
}

func (w *witness) seal(key ticket.Key, digest ticket.Digest) (sealed ticket.Seal) {
	if key.Prefix().Witness() != w.self {
		return ticket.NewSealUnknown(0, "the home of the key is gone, and its witness was restarted")
	}
	w.withRecords(key.Prefix().Home(), func(r *ticket.Records) { sealed = r.Seal(w.now(), key, digest) })
	return sealed
}

// report stores an outcome, unless this process took over the home's ledger. It
// returns true if it took over and stored nothing.
func (w *witness) report(key ticket.Key, outcome ticket.Outcome) (adopted bool) {
	w.withRecords(key.Prefix().Home(), func(r *ticket.Records) {
		if adopted = r.Adopted() != nil; !adopted {
			r.Report(key, outcome)
		}
	})
	return adopted
}

// adopt takes over a home's ledger and adds it to the home of this process. It
// does both with the lock of the records held, so that no reader sees only one
// of the two. It returns false if this process is stopping.
func (w *witness) adopt(handover ticket.Handover, h *home) (adopted bool) {
	w.withRecords(handover.Home, func(r *ticket.Records) {
		if !w.stopping.Load() {
			h.adopt(r.Adopt(handover, h.budget))
			adopted = true
		}
	})
	return adopted
}

// release ends the role of the witness and returns a message for each home that
// needs one.
func (w *witness) release() []ticket.Release {
	w.mu.Lock()
	w.stopping.Store(true)
	byHome := *w.byHome.Load()
	w.mu.Unlock()
	var messages []ticket.Release
	for _, r := range byHome {
		r.mu.Lock()
		if message, ok := r.records.Release(w.now()); ok {
			messages = append(messages, message)
		}
		r.mu.Unlock()
	}
	return messages
}

// sweep removes expired keys and drops records that are no longer needed.
func (w *witness) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	byHome := maps.Clone(*w.byHome.Load())
	for home, r := range byHome {
		r.mu.Lock()
		if r.dropped = r.records.Sweep(w.now()); r.dropped {
			delete(byHome, home)
		}
		r.mu.Unlock()
	}
	w.byHome.Store(&byHome)
}

// Handle returns the reply to a message of another process about keys. These are
// wire.Forward with wire.ScopeHome and the messages whose names begin with Key.
// It returns nil for any other message.
func (k *Keys) Handle(ctx context.Context, peer wire.Hello, message wire.Message) wire.Message {
	from := ticket.NewID(peer.Instance, peer.Incarnation)
	switch m := message.(type) {
	case *wire.Forward:
		if m.Scope == wire.ScopeHome {
			return k.handleForward(ctx, m)
		}
	case *wire.KeyRecord:
		key, err := ticket.ParseKey(m.Key)
		if err != nil || key.Prefix().Home() != from {
			return &wire.KeyRecorded{Reply: uint8(ticket.RecordMismatch)}
		}
		bound := min(SendTimeMax, time.Duration(m.BoundMillis)*time.Millisecond)
		return &wire.KeyRecorded{Reply: uint8(k.witness.record(key, ticket.Digest(m.Digest), bound))}
	case *wire.KeySeal:
		key, err := ticket.ParseKey(m.Key)
		if err != nil {
			return sealToWire(ticket.NewSealUnknown(0, err.Error()))
		}
		return sealToWire(k.witness.seal(key, ticket.Digest(m.Digest)))
	case *wire.KeyReport:
		return k.handleReport(from, m)
	case *wire.KeyHandover:
		return k.handleHandover(from, m)
	case *wire.KeyRelease:
		release := ticket.Release{Home: processFromWire(m.Home), Witness: processFromWire(m.Witness), Sealed: rowsFromWire(m.Sealed), ClosedUntil: m.ClosedUntil}
		return &wire.KeyAccepted{Accepted: release.Witness == from && k.home.applyRelease(release)}
	}
	return nil
}

func (k *Keys) handleForward(ctx context.Context, m *wire.Forward) wire.Message {
	r, err := NewRequest(m)
	if err != nil {
		return refusalToWire(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMillis)*time.Millisecond)
	defer cancel()
	answer, err := k.home.serve(ctx, r)
	switch {
	case errors.Is(err, errHomeGone):
		return &wire.KeyNotHome{}
	case err != nil:
		return refusalToWire(err)
	}
	return answer
}

func (k *Keys) handleReport(from ticket.ID, m *wire.KeyReport) wire.Message {
	key, err := ticket.ParseKey(m.Key)
	if err != nil || key.Prefix().Home() != from || key.Prefix().Witness() != k.witness.self {
		return &wire.KeyAccepted{}
	}
	outcome := outcomeFromWire(m.Outcome)
	if k.witness.report(key, outcome) {
		k.home.finishRemote(key, outcome)
	}
	return &wire.KeyAccepted{Accepted: true}
}

func (k *Keys) handleHandover(from ticket.ID, m *wire.KeyHandover) wire.Message {
	handover := handoverFromWire(m)
	switch {
	case handover.Home != from:
		return refusalToWire(errs.NotRun(errs.ReasonKeyInvalid, 0, "instance %s hands over the keys of another process", from.Instance()))
	case handover.Witness != k.witness.self:
		return refusalToWire(errs.MayHaveRun(errs.ReasonLostHome, "instance %s was restarted", k.witness.self.Instance()))
	}
	return &wire.KeyAccepted{Accepted: k.witness.adopt(handover, k.home)}
}
