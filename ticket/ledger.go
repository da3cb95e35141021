package ticket

import (
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// phase is the state of a ledger.
type phase uint8

const (
	// phaseOpen: a request may run once the witness has acknowledged its key.
	phaseOpen phase = iota
	// phaseFrozen: a handover to the witness is in progress and no request may
	// start.
	phaseFrozen
	// phaseMoved: the witness took over the ledger.
	phaseMoved
	// phaseNoWitness: requests run without acknowledgement, since this process
	// is the witness that took over from the home, or the witness stopped.
	phaseNoWitness
)

// state is the state of one key in a ledger or in the records of a witness.
type state uint8

const (
	// stateRecording: in a ledger, the witness was asked to record the key; in
	// records, the key is recorded and has no outcome.
	stateRecording state = iota
	// stateReserved: a handover began before the acknowledgement, so the caller
	// has to pass the request to Admit again. The key keeps its digest.
	stateReserved
	// stateRunning: this process sent the request to a target.
	stateRunning
	// stateRunningRemote: the former home sent the request to a target and has
	// not reported the outcome.
	stateRunningRemote
	// stateDone: the outcome is known, and its verdict is not "not run".
	stateDone
	// stateRefused: the key has not run and never will.
	stateRefused
)

// entry is what a ledger or records keep for one key. expires is in Unix
// milliseconds. From startBy on, by the local clock, the home no longer sends
// the request to a target. reported is set once the witness needs no report of
// the outcome.
type entry struct {
	state    state
	digest   Digest
	expires  int64
	startBy  time.Time
	outcome  Outcome
	reported bool
}

// Ledger is the state of the keys that name one home and one witness. It decides
// for each key whether the home may send the request to a target: at most once,
// and only after the witness has acknowledged the key. It is not safe for
// concurrent use.
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

// NewLedger returns an empty ledger for the keys that name the home and the
// witness. zone is the availability zone of the witness.
func NewLedger(home, witness ID, zone place.Zone, budget *Budget) *Ledger {
	return &Ledger{home: home, witness: witness, zone: zone, budget: budget, table: newTable()}
}

// Home returns the home that the keys name.
func (l *Ledger) Home() ID { return l.home }

// Witness returns the witness that the keys name.
func (l *Ledger) Witness() ID { return l.witness }

// Running returns the number of requests that this process sent to a target and
// that have no outcome yet.
func (l *Ledger) Running() int { return l.running }

// Alive reports whether there may be unexpired keys whose requests only this
// process can run.
func (l *Ledger) Alive(now time.Time) bool {
	return l.phase != phaseMoved && now.Before(time.UnixMilli(l.lastExpires))
}

// WithoutWitness reports whether requests run without acknowledgement, since
// this process took over from the home, or the witness stops.
func (l *Ledger) WithoutWitness() bool { return l.phase == phaseNoWitness }

// Has reports whether the ledger has an entry for the key.
func (l *Ledger) Has(key Key) bool {
	_, known := l.entries[key.id()]
	return known
}

// Issue returns a new key prefix. nonce must be random, so that no two look-ups
// get the same prefix and no caller can guess the prefix of another. It returns
// false during and after a handover and once the witness has stopped.
func (l *Ledger) Issue(now time.Time, nonce uint64) (Prefix, bool) {
	if l.phase != phaseOpen {
		return Prefix{}, false
	}
	expires := now.Add(l.budget.limits.PrefixLife).UnixMilli()
	l.lastExpires = max(l.lastExpires, expires, l.closedUntil+1)
	return Prefix{home: l.home, witness: l.witness, zone: l.zone, expires: l.lastExpires, nonce: nonce}, true
}

// Admit decides on a request or a repeat of one. For bound from now on, the
// home may send the request to a target. The caller must ask the witness to
// record the key after Admit, so that the bound ends at the home first.
func (l *Ledger) Admit(now time.Time, key Key, digest Digest, bound time.Duration) Step {
	e, known := l.entries[key.id()]
	if known && (e.state != stateReserved || e.digest != digest) {
		return e.repeat(digest)
	}
	switch l.phase {
	case phaseFrozen:
		return StepAwaitHandover{}
	case phaseMoved:
		return StepMoved{to: l.witness}
	case phaseOpen, phaseNoWitness:
	}
	done, expired := refuseExpired(now, key.prefix.expires, l.budget.limits.KeepTime)
	switch {
	case known && expired:
		return l.setOutcome(key, e, done.outcome)
	case known:
		return l.begin(now, key, e, bound)
	case expired:
		return done
	}
	return l.admitNew(now, key, digest, bound)
}

// admitNew decides on a request whose key has no entry.
func (l *Ledger) admitNew(now time.Time, key Key, digest Digest, bound time.Duration) Step {
	if key.prefix.expires > l.lastExpires {
		return l.refuseNew(key, digest, errs.ReasonKeyInvalid, "this process never issued the key prefix")
	}
	if key.prefix.expires <= l.closedUntil {
		return refused(errs.ReasonKeysFull, "the key prefix was withdrawn; look up again for a new one")
	}
	if !l.budget.reserveKey() {
		return l.refuseNew(key, digest, errs.ReasonKeysFull, "the home has reached its limit of keys; look up again for a new key")
	}
	e := &entry{digest: digest, expires: key.prefix.expires}
	l.put(key.id(), e)
	return l.begin(now, key, e, bound)
}

// begin starts the recording of a key, or runs its request at once if there is
// no witness. A reserved key keeps its first bound, since the witness measures
// the bound from the first recording.
func (l *Ledger) begin(now time.Time, key Key, e *entry, bound time.Duration) Step {
	if e.startBy.IsZero() {
		e.startBy = now.Add(bound)
	}
	if !now.Before(e.startBy) {
		return l.setOutcome(key, e, refused(errs.ReasonDeadline, "the handover of the home took too long").outcome)
	}
	e.state = stateRecording
	if l.phase == phaseNoWitness {
		return l.run(e)
	}
	return StepRecord{}
}

// repeat decides on a request whose key has an entry.
func (e *entry) repeat(digest Digest) Step {
	if e.digest != digest {
		return refused(errs.ReasonKeyReused, "the key was used for another request; use a new number for each request")
	}
	switch e.state {
	case stateDone, stateRefused:
		return StepDone{outcome: e.outcome}
	case stateReserved:
		return StepAwaitHandover{}
	case stateRecording, stateRunning, stateRunningRemote:
	}
	return StepJoin{}
}

// refuseExpired reports whether a key that has not run here has expired, and
// returns its refusal. Entries are kept for the given time after the expiry, so
// a key without one has not run; after that time, it may have run.
func refuseExpired(now time.Time, expires int64, keep time.Duration) (StepDone, bool) {
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

// refuseNew refuses a key that has no entry. It keeps the refusal, since a copy
// of the request may arrive later. If the budget has no room for the refusal,
// it withdraws every prefix issued so far, which refuses the copy too.
func (l *Ledger) refuseNew(key Key, digest Digest, reason errs.Reason, text string) Step {
	done := refused(reason, text)
	if !l.budget.reserveRefusal() {
		l.closedUntil = l.lastExpires
		if key.prefix.expires > l.closedUntil {
			return StepDone{outcome: Refused(errs.MayHaveRun(reason, "%s", text))}
		}
		return done
	}
	l.put(key.id(), &entry{state: stateRefused, digest: digest, expires: key.prefix.expires, outcome: done.outcome, reported: true})
	return done
}

// Acknowledge returns the next step after the witness has recorded the key.
func (l *Ledger) Acknowledge(now time.Time, key Key) Step {
	e, known := l.entries[key.id()]
	if !known {
		return StepAwaitHandover{}
	}
	if e.state != stateRecording {
		return e.repeat(e.digest)
	}
	if !now.Before(e.startBy) {
		return l.setOutcome(key, e, refused(errs.ReasonDeadline, "the acknowledgement of the witness came too late").outcome)
	}
	return l.run(e)
}

func (l *Ledger) run(e *entry) Step {
	e.state = stateRunning
	l.running++
	return StepRun{}
}

// Refuse returns the next step after the witness did not acknowledge the key. A
// later acknowledgement has no effect. If the witness has stopped in the
// meantime without sealing the key, the request runs without acknowledgement.
func (l *Ledger) Refuse(now time.Time, key Key, reason errs.Reason, text string) Step {
	e, known := l.entries[key.id()]
	if !known {
		return StepAwaitHandover{}
	}
	if e.state != stateRecording {
		return e.repeat(e.digest)
	}
	if l.phase == phaseNoWitness {
		return l.Acknowledge(now, key)
	}
	e.reported = true
	return l.setOutcome(key, e, refused(reason, text).outcome)
}

// Finish sets the outcome of a request that this process or the former home sent
// to a target. It returns the outcome as kept for repeats, or false if no
// request runs under the key.
func (l *Ledger) Finish(key Key, outcome Outcome) (Outcome, bool) {
	e, known := l.entries[key.id()]
	if !known || (e.state != stateRunning && e.state != stateRunningRemote) {
		return Outcome{}, false
	}
	if e.state == stateRunning {
		l.running--
	}
	l.setOutcome(key, e, outcome)
	return e.outcome, true
}

// setOutcome ends a key that was counted by reserveKey or adoptKey. If the
// request did not run, the key counts as a refusal afterwards.
func (l *Ledger) setOutcome(key Key, e *entry, outcome Outcome) Step {
	e.outcome = outcome.forStorage(l.budget.limits.AnswerBytesMax)
	l.budget.releaseUnused(len(e.outcome.answer))
	e.state = stateDone
	if !e.outcome.notRun() {
		return StepDone{outcome: e.outcome}
	}
	l.budget.releaseKey(0)
	e.state = stateRefused
	if !l.budget.reserveRefusal() {
		l.closedUntil = l.lastExpires
		delete(l.entries, key.id())
	}
	return StepDone{outcome: e.outcome}
}

// Reported marks the outcome of the key as one that the witness has, or that
// need not be sent to it any more.
func (l *Ledger) Reported(key Key) {
	if e, known := l.entries[key.id()]; known {
		e.reported = true
	}
}

// Sweep removes ended entries whose KeepTime after expiry is over. It reports
// whether the ledger can be dropped: it has no entries, and KeepTime is over for
// all of its prefixes.
func (l *Ledger) Sweep(now time.Time) bool {
	l.sweep(l.budget, func(e *entry) bool {
		return e.ended() && !now.Before(time.UnixMilli(e.expires).Add(l.budget.limits.KeepTime))
	})
	return len(l.entries) == 0 && !now.Before(time.UnixMilli(l.lastExpires).Add(l.budget.limits.KeepTime))
}

// ended reports whether this process waits neither for the acknowledgement of
// the key nor for the end of its request.
func (e *entry) ended() bool { return e.state != stateRecording && e.state != stateRunning }

// releaseEntry releases the budget that an entry takes.
func (b *Budget) releaseEntry(e *entry) {
	switch e.state {
	case stateRefused:
		b.releaseRefusal()
	case stateDone:
		b.releaseKey(len(e.outcome.answer))
	case stateRecording, stateReserved, stateRunning, stateRunningRemote:
		b.releaseKey(int(b.limits.AnswerBytesMax))
	}
}
