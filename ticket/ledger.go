package ticket

import (
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// phase is the stage of a ledger's life.
type phase uint8

const (
	// phaseOpen: keys run once the witness has acknowledged them.
	phaseOpen phase = iota
	// phaseFrozen: the handover is under way and no key starts to run.
	phaseFrozen
	// phaseMoved: another process took over.
	phaseMoved
	// phaseAlone: no witness is left, since this process took over from the
	// home or the witness stopped.
	phaseAlone
)

// state is the stage of one key in a ledger.
type state uint8

const (
	// stateRecording: the witness was asked to record the key.
	stateRecording state = iota
	// stateReserved: a handover came before the acknowledgement, and the
	// request has to be taken in again. The key stays bound to its digest.
	stateReserved
	// stateRunning: the request was handed on.
	stateRunning
	// stateElsewhere: the former home handed the request on.
	stateElsewhere
	// stateDone: the outcome is known; it is not "not run".
	stateDone
	// stateRefused: the key has not run and never will.
	stateRefused
)

type entry struct {
	state    state
	digest   Digest
	expires  int64
	startBy  time.Time
	outcome  Outcome
	reported bool
}

// Ledger is what a home knows of the keys that name it and one witness. It
// decides, for each key, whether the request may be handed on: at most once,
// after the witness has acknowledged the key. It is not safe for use by
// several goroutines at once.
type Ledger struct {
	home    ID
	witness ID
	zone    place.Zone
	budget  *Budget
	table
	phase       phase
	lastExpires int64
	closedUntil int64
	running     int
}

// NewLedger makes the ledger of a home's keys that name the given witness,
// which stands in the given availability zone.
func NewLedger(home, witness ID, zone place.Zone, budget *Budget) *Ledger {
	return &Ledger{home: home, witness: witness, zone: zone, budget: budget, table: newTable()}
}

// Home returns the home that the keys name.
func (l *Ledger) Home() ID { return l.home }

// Witness returns the witness that the keys name.
func (l *Ledger) Witness() ID { return l.witness }

// Running returns how many requests were handed on and have no outcome yet.
func (l *Ledger) Running() int { return l.running }

// Alive tells whether there may be keys that only this process can run.
func (l *Ledger) Alive(now time.Time) bool {
	return l.phase != phaseMoved && now.Before(time.UnixMilli(l.lastExpires))
}

// Alone tells whether keys run without acknowledgement, since this process
// took over from the home or the witness stops.
func (l *Ledger) Alone() bool { return l.phase == phaseAlone }

// Knows tells whether the ledger keeps the key.
func (l *Ledger) Knows(key Key) bool {
	_, known := l.entries[key.serial()]
	return known
}

// Issue makes a key prefix. nonce must be random, so that no two look-ups get
// the same prefix and no caller can guess another's. It returns false once the
// ledger is handed over or its witness has stopped.
func (l *Ledger) Issue(now time.Time, nonce uint64) (Prefix, bool) {
	if l.phase != phaseOpen {
		return Prefix{}, false
	}
	expires := now.Add(l.budget.limits.PrefixLife).UnixMilli()
	l.lastExpires = max(l.lastExpires, expires, l.closedUntil+1)
	return Prefix{home: l.home, witness: l.witness, zone: l.zone, expires: l.lastExpires, nonce: nonce}, true
}

// Arrive takes in a request, or a repeat of one. bound is how long from now
// the request may still be handed on. The caller sends the record after
// Arrive, so that the bound is over here before it is over at the witness.
func (l *Ledger) Arrive(now time.Time, key Key, digest Digest, bound time.Duration) Step {
	e, known := l.entries[key.serial()]
	if known && (e.state != stateReserved || e.digest != digest) {
		return e.repeat(digest)
	}
	switch l.phase {
	case phaseFrozen:
		return StepHold{}
	case phaseMoved:
		return StepMoved{to: l.witness}
	case phaseOpen, phaseAlone:
	}
	done, expired := judgeExpired(now, key.prefix.expires, l.budget.limits.KeepTime)
	switch {
	case known && expired:
		return l.settle(key, e, done.outcome)
	case known:
		return l.begin(now, key, e, bound)
	case expired:
		return done
	}
	return l.arriveNew(now, key, digest, bound)
}

// arriveNew takes in a key that is not kept so far.
func (l *Ledger) arriveNew(now time.Time, key Key, digest Digest, bound time.Duration) Step {
	if key.prefix.expires > l.lastExpires {
		return l.refuseNew(key, digest, errs.ReasonKeyInvalid, "this process never gave out the key prefix")
	}
	if key.prefix.expires <= l.closedUntil {
		return refused(errs.ReasonKeysFull, "the key prefix was withdrawn; look up again for a new one")
	}
	if !l.budget.takeKey() {
		return l.refuseNew(key, digest, errs.ReasonKeysFull, "the home keeps as many keys as it may; look up again for a new key")
	}
	e := &entry{digest: digest, expires: key.prefix.expires}
	l.keep(key.serial(), e)
	return l.begin(now, key, e, bound)
}

// begin asks for the acknowledgement of the witness, if there is one. A key
// that was reserved keeps its first bound, since the witness counts from then.
func (l *Ledger) begin(now time.Time, key Key, e *entry, bound time.Duration) Step {
	if e.startBy.IsZero() {
		e.startBy = now.Add(bound)
	}
	if !now.Before(e.startBy) {
		return l.settle(key, e, refused(errs.ReasonDeadline, "the handover of the home took too long").outcome)
	}
	e.state = stateRecording
	if l.phase == phaseAlone {
		return l.run(e)
	}
	return StepRecord{}
}

// repeat decides on a request whose key is known.
func (e *entry) repeat(digest Digest) Step {
	if e.digest != digest {
		return refused(errs.ReasonKeyReused, "the key was used for another request; take a new number for each request")
	}
	switch e.state {
	case stateDone, stateRefused:
		return StepDone{outcome: e.outcome}
	case stateReserved:
		return StepHold{}
	case stateRecording, stateRunning, stateElsewhere:
	}
	return StepJoin{}
}

// judgeExpired decides on a key that is not kept. While keys are remembered
// past their expiry, one that is not kept was never taken in; afterwards
// nobody knows.
func judgeExpired(now time.Time, expires int64, keep time.Duration) (StepDone, bool) {
	end := time.UnixMilli(expires)
	switch {
	case now.Before(end):
		return StepDone{}, false
	case now.Before(end.Add(keep)):
		return refused(errs.ReasonKeyExpired, "the key expired before it was used; look up again for a new one"), true
	}
	unknown := errs.MayHaveRun(errs.ReasonKeyExpired, "the key expired so long ago that its record is gone")
	return StepDone{outcome: Refused(unknown)}, true
}

// refuseNew refuses a key that was not kept so far. The refusal is kept, since
// a copy of the request may come later; if there is no room for it, every
// prefix given out so far is withdrawn, which refuses the copy as well.
func (l *Ledger) refuseNew(key Key, digest Digest, reason errs.Reason, text string) Step {
	done := refused(reason, text)
	if !l.budget.takeRefusal() {
		l.closedUntil = l.lastExpires
		if key.prefix.expires > l.closedUntil {
			return StepDone{outcome: Refused(errs.MayHaveRun(reason, "%s", text))}
		}
		return done
	}
	l.keep(key.serial(), &entry{state: stateRefused, digest: digest, expires: key.prefix.expires, outcome: done.outcome, reported: true})
	return done
}

// Acknowledge takes in that the witness recorded the key.
func (l *Ledger) Acknowledge(now time.Time, key Key) Step {
	e, known := l.entries[key.serial()]
	if !known {
		return StepHold{}
	}
	if e.state != stateRecording {
		return e.repeat(e.digest)
	}
	if !now.Before(e.startBy) {
		return l.settle(key, e, refused(errs.ReasonDeadline, "the acknowledgement of the witness came too late").outcome)
	}
	return l.run(e)
}

func (l *Ledger) run(e *entry) Step {
	e.state = stateRunning
	l.running++
	return StepRun{}
}

// Refuse takes in that the witness did not acknowledge the key. An
// acknowledgement that comes later has no effect. If the witness has stopped
// meanwhile and did not seal the key, no acknowledgement is needed.
func (l *Ledger) Refuse(now time.Time, key Key, reason errs.Reason, text string) Step {
	e, known := l.entries[key.serial()]
	if !known {
		return StepHold{}
	}
	if e.state != stateRecording {
		return e.repeat(e.digest)
	}
	if l.phase == phaseAlone {
		return l.Acknowledge(now, key)
	}
	e.reported = true
	return l.settle(key, e, refused(reason, text).outcome)
}

// Finish takes in the outcome of a request that was handed on, here or by the
// former home, and returns it as it is kept. It returns false if the key does
// not run.
func (l *Ledger) Finish(key Key, outcome Outcome) (Outcome, bool) {
	e, known := l.entries[key.serial()]
	if !known || (e.state != stateRunning && e.state != stateElsewhere) {
		return Outcome{}, false
	}
	if e.state == stateRunning {
		l.running--
	}
	l.settle(key, e, outcome)
	return e.outcome, true
}

// settle ends a key that took room.
func (l *Ledger) settle(key Key, e *entry, outcome Outcome) Step {
	e.outcome = outcome.kept(l.budget.limits.AnswerBytesMax)
	l.budget.settle(len(e.outcome.answer))
	e.state = stateDone
	if !e.outcome.notRun() {
		return StepDone{outcome: e.outcome}
	}
	l.budget.giveKey(0)
	e.state = stateRefused
	if !l.budget.takeRefusal() {
		l.closedUntil = l.lastExpires
		delete(l.entries, key.serial())
	}
	return StepDone{outcome: e.outcome}
}

// Reported takes in that the witness has the outcome of the key.
func (l *Ledger) Reported(key Key) {
	if e, known := l.entries[key.serial()]; known {
		e.reported = true
	}
}

// Sweep forgets keys whose time is past, and tells whether the ledger can be
// dropped: it keeps nothing, and no prefix of it is alive.
func (l *Ledger) Sweep(now time.Time) bool {
	l.sweep(l.budget, func(e *entry) bool {
		return e.ended() && !now.Before(time.UnixMilli(e.expires).Add(l.budget.limits.KeepTime))
	})
	return len(l.entries) == 0 && !now.Before(time.UnixMilli(l.lastExpires).Add(l.budget.limits.KeepTime))
}

// ended tells whether nothing more can be heard of the key in this process.
func (e *entry) ended() bool { return e.state != stateRecording && e.state != stateRunning }

// giveEntry gives back the room of an entry.
func (b *Budget) giveEntry(e *entry) {
	switch e.state {
	case stateRefused:
		b.giveRefusal()
	case stateDone:
		b.giveKey(len(e.outcome.answer))
	case stateRecording, stateReserved, stateRunning, stateElsewhere:
		b.giveKey(int(b.limits.AnswerBytesMax))
	}
}
