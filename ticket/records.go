package ticket

import (
	"time"

	"github.com/endivechute/endivechute/errs"
)

// finalMargin is the part of a bound that the witness adds to it, because its
// clock may run faster than the home's.
const finalMargin = 16

// SkewMax is by how much the clock of a witness may run ahead of a home's
// before it refuses keys that the home still accepts. Safety does not need it.
const SkewMax = 30 * time.Second

// fullPause is when to ask again after a witness had no room to seal a key.
const fullPause = time.Second

// The replies, as they travel.
const (
	RecordAcknowledged RecordReply = iota + 1
	RecordSealed
	RecordExpired
	RecordReused
	RecordFull
	RecordMoved
	RecordStranger
)

// RecordReply is what the witness says to a home that asks it to record a
// key. Only RecordAcknowledged lets the request run.
type RecordReply uint8

// String returns the sentence for a person.
func (r RecordReply) String() string {
	switch r {
	case RecordAcknowledged:
		return "the witness recorded the key"
	case RecordSealed:
		return "the witness sealed the key, since the home seemed gone"
	case RecordExpired:
		return "the key has expired by the clock of the witness"
	case RecordReused:
		return "the witness knows the key from another request"
	case RecordFull:
		return "the witness keeps as many keys as it may"
	case RecordMoved:
		return "the witness takes no more keys of this home"
	case RecordStranger:
		return "the key names another witness, or one that was restarted"
	}
	return "the witness gave an unknown answer"
}

// Records is what a witness knows of the keys of one home. It is not safe for
// use by several goroutines at once.
type Records struct {
	witness ID
	home    ID
	budget  *Budget
	table
	adopted *Ledger
	// adoptedEnd is when nothing is known any more of the adopted keys.
	adoptedEnd time.Time
	// released: the home needs no acknowledgements any more.
	released bool
}

// NewRecords makes the records that the witness keeps for a home.
func NewRecords(witness, home ID, budget *Budget) *Records {
	return &Records{witness: witness, home: home, budget: budget, table: newTable()}
}

// Adopted returns the ledger that was taken over from the home, or nil.
func (r *Records) Adopted() *Ledger { return r.adopted }

// names tells whether the key names this home and this witness.
func (r *Records) names(key Key) bool {
	return key.prefix.home == r.home && key.prefix.witness == r.witness
}

// Record keeps a key for the home. bound is how long, from before it asked,
// the home may hand the request on.
func (r *Records) Record(now time.Time, key Key, digest Digest, bound time.Duration) RecordReply {
	if !r.names(key) || r.tooFar(now, key) {
		return RecordStranger
	}
	if r.adopted != nil || r.released {
		return RecordMoved
	}
	if e, known := r.entries[key.serial()]; known {
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
	if !r.budget.takeKey() {
		return RecordFull
	}
	final := now.Add(bound + bound/finalMargin)
	r.keep(key.serial(), &entry{state: stateRecording, digest: digest, expires: key.prefix.expires, startBy: final})
	return RecordAcknowledged
}

// tooFar tells whether the key expires later than any that a home gives out,
// so that it would be kept too long.
func (r *Records) tooFar(now time.Time, key Key) bool {
	return key.prefix.Expires().After(now.Add(r.budget.limits.PrefixLife + r.budget.limits.KeepTime))
}

// Report keeps the outcome of a recorded key, for when the home is gone. A
// late or repeated report changes nothing.
func (r *Records) Report(key Key, outcome Outcome) {
	if !r.names(key) {
		return
	}
	if r.adopted != nil {
		r.adopted.Finish(key, outcome)
		return
	}
	e, known := r.entries[key.serial()]
	if !known || e.state != stateRecording {
		return
	}
	e.outcome = outcome.kept(r.budget.limits.AnswerBytesMax)
	e.state = stateDone
	r.budget.settle(len(e.outcome.answer))
}

// Seal tells what is known of a key whose home is gone. After SealNotRun the
// key can't be recorded any more, and so never runs.
func (r *Records) Seal(now time.Time, key Key, digest Digest) Seal {
	if !r.names(key) || r.tooFar(now, key) {
		return SealUnknown{why: "the key names another witness, or one that was restarted"}
	}
	if r.adopted != nil {
		return SealActing{}
	}
	if e, known := r.entries[key.serial()]; known {
		return e.sealKnown(now, digest)
	}
	if r.released {
		return SealUnknown{why: "the home is gone, and its witness is stopping"}
	}
	if done, expired := judgeExpired(now.Add(-SkewMax), key.prefix.expires, r.budget.limits.KeepTime); expired {
		return SealKnown(done)
	}
	if !r.budget.takeRefusal() {
		return SealUnknown{after: fullPause, why: "the witness keeps as many sealed keys as it may"}
	}
	r.keep(key.serial(), &entry{state: stateRefused, digest: digest, expires: key.prefix.expires})
	return SealNotRun{}
}

func (e *entry) sealKnown(now time.Time, digest Digest) Seal {
	switch {
	case e.state == stateRefused:
		return SealNotRun{}
	case e.digest != digest:
		return SealKnown{outcome: refused(errs.ReasonKeyReused, "the key was used for another request; take a new number for each request").outcome}
	case e.state == stateDone:
		return SealKnown{outcome: e.outcome}
	case now.Before(e.startBy):
		return SealUnknown{after: e.startBy.Sub(now), why: "the home is gone, and it may have handed the request on"}
	}
	return SealUnknown{why: "the home is gone, and it may have handed the request on"}
}

// Sweep forgets keys whose time is past, and tells whether the records can be
// dropped.
func (r *Records) Sweep(now time.Time) bool {
	r.sweep(r.budget, func(e *entry) bool {
		return !now.Before(time.UnixMilli(e.expires).Add(SkewMax + r.budget.limits.KeepTime))
	})
	if r.adopted != nil {
		return !now.Before(r.adoptedEnd)
	}
	return len(r.entries) == 0 && !r.released
}

func (r *Records) forget(s serial) {
	if e, known := r.entries[s]; known {
		r.budget.giveEntry(e)
		delete(r.entries, s)
	}
}
