package ticket

import (
	"time"

	"github.com/endivechute/endivechute/errs"
)

// clockDriftDivisor sets the margin that the witness adds to each bound,
// 1/clockDriftDivisor of it, because its clock may run faster than the home's.
const clockDriftDivisor = 16

// SkewMax is how far the clock of a witness may be ahead of the home's before
// the witness refuses keys that the home still accepts. A larger skew costs
// availability only; no request runs twice.
const SkewMax = 30 * time.Second

// sealRetryDelay is the delay before the next call after the witness has reached
// its limit of sealed keys.
const sealRetryDelay = time.Second

// The numbers of the replies are sent to other processes.
const (
	RecordAcknowledged RecordReply = iota + 1
	RecordSealed
	RecordExpired
	RecordReused
	RecordFull
	RecordMoved
	RecordMismatch
)

// RecordReply is the reply of the witness to a home that asks it to record a
// key. Only RecordAcknowledged lets the request run.
type RecordReply uint8

// String returns the reply as a clause for error messages.
func (r RecordReply) String() string {
	switch r {
	case RecordAcknowledged:
		return "the witness recorded the key"
	case RecordSealed:
		return "the witness sealed the key, since the home seemed to be down"
	case RecordExpired:
		return "the key has expired by the clock of the witness"
	case RecordReused:
		return "the witness recorded the key for another request"
	case RecordFull:
		return "the witness has reached its limit of keys"
	case RecordMoved:
		return "the witness accepts no more keys of this home, since one of the two is stopping"
	case RecordMismatch:
		return "the key names another process or one that was restarted, or it expires too late"
	}
	return "the witness sent an unknown reply"
}

// Records is what a witness keeps for the keys of one home. It is not safe for
// concurrent use.
type Records struct {
	witness ID
	home    ID
	budget  *Budget
	table
	adopted *Ledger
	// adoptedEnd is when the keys of the adopted ledger are no longer kept.
	adoptedEnd time.Time
	// released is set once the witness stops and records no more keys.
	released bool
}

// NewRecords returns the empty records of the witness for the home.
func NewRecords(witness, home ID, budget *Budget) *Records {
	return &Records{witness: witness, home: home, budget: budget, table: newTable()}
}

// Adopted returns the ledger that the witness took over from the home, or nil.
func (r *Records) Adopted() *Ledger { return r.adopted }

// matches reports whether the key names this home and this witness.
func (r *Records) matches(key Key) bool {
	return key.prefix.home == r.home && key.prefix.witness == r.witness
}

// Record records a key for the home. The home may send the request to a target
// for the time of bound, which starts before the home asks the witness.
func (r *Records) Record(now time.Time, key Key, digest Digest, bound time.Duration) RecordReply {
	if !r.matches(key) || r.expiresTooLate(now, key) {
		return RecordMismatch
	}
	if r.adopted != nil || r.released {
		return RecordMoved
	}
	if e, known := r.entries[key.id()]; known {
		switch {
		case e.state == stateRefused:
			return RecordSealed
		case e.digest != digest:
			return RecordReused
		}
		return RecordAcknowledged
	}
	if !now.Before(key.prefix.Expires().Add(SkewMax)) {
		return RecordExpired
	}
	if !r.budget.reserveKey() {
		return RecordFull
	}
	lastStart := now.Add(bound + bound/clockDriftDivisor)
	r.put(key.id(), &entry{state: stateRecording, digest: digest, expires: key.prefix.expires, startBy: lastStart})
	return RecordAcknowledged
}

// expiresTooLate reports whether the key expires later than any key that a home
// issues, so that it would be kept too long.
func (r *Records) expiresTooLate(now time.Time, key Key) bool {
	return key.prefix.Expires().After(now.Add(r.budget.limits.PrefixLife + r.budget.limits.KeepTime))
}

// Report stores the outcome of a recorded key, so that the witness can return it
// once the home is gone. A late or repeated report changes nothing.
func (r *Records) Report(key Key, outcome Outcome) {
	if !r.matches(key) {
		return
	}
	if r.adopted != nil {
		r.adopted.Finish(key, outcome)
		return
	}
	e, known := r.entries[key.id()]
	if !known || e.state != stateRecording {
		return
	}
	e.outcome = outcome.forStorage(r.budget.limits.AnswerBytesMax)
	e.state = stateDone
	r.budget.releaseUnused(len(e.outcome.answer))
}

// Seal returns what the witness knows about a key whose home is gone. Before it
// returns SealNotRun, it seals the key: the key can't be recorded any more, so
// its request never runs.
func (r *Records) Seal(now time.Time, key Key, digest Digest) Seal {
	if !r.matches(key) || r.expiresTooLate(now, key) {
		return SealUnknown{why: "the key names another process or one that was restarted, or it expires too late"}
	}
	if r.adopted != nil {
		return SealTakenOver{}
	}
	if e, known := r.entries[key.id()]; known {
		return e.sealRecorded(now, digest)
	}
	if r.released {
		return SealUnknown{why: "the home is gone, and its witness is stopping"}
	}
	if done, expired := refuseExpired(now.Add(-SkewMax), key.prefix.expires, r.budget.limits.KeepTime); expired {
		return SealKnown(done)
	}
	if !r.budget.reserveRefusal() {
		return SealUnknown{after: sealRetryDelay, why: "the witness has reached its limit of sealed keys"}
	}
	r.put(key.id(), &entry{state: stateRefused, digest: digest, expires: key.prefix.expires})
	return SealNotRun{}
}

// sealRecorded returns what the witness knows about a key that has an entry.
func (e *entry) sealRecorded(now time.Time, digest Digest) Seal {
	switch {
	case e.state == stateRefused:
		return SealNotRun{}
	case e.digest != digest:
		return SealKnown{outcome: refused(errs.ReasonKeyReused, "the key was used for another request; use a new number for each request").outcome}
	case e.state == stateDone:
		return SealKnown{outcome: e.outcome}
	case now.Before(e.startBy):
		return SealUnknown{after: e.startBy.Sub(now), why: "the home is gone, and it may have sent the request to a target"}
	}
	return SealUnknown{why: "the home is gone, and it may have sent the request to a target"}
}

// Sweep removes the entries whose KeepTime and SkewMax after expiry are over,
// and reports whether the records can be dropped.
func (r *Records) Sweep(now time.Time) bool {
	r.sweep(r.budget, func(e *entry) bool {
		return !now.Before(time.UnixMilli(e.expires).Add(SkewMax + r.budget.limits.KeepTime))
	})
	if r.adopted != nil {
		return !now.Before(r.adoptedEnd)
	}
	return len(r.entries) == 0 && !r.released
}

func (r *Records) remove(id keyID) {
	if e, known := r.entries[id]; known {
		r.budget.releaseEntry(e)
		delete(r.entries, id)
	}
}
