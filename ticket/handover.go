package ticket

import (
	"math"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// HandoverKeysMax is how many refused keys a handover names. With more, it
// withdraws the prefixes instead.
const HandoverKeysMax = 20_000

// Handover gives the witness the right to hand on the keys of a home that
// stops. The witness already knows the keys that ran: it recorded them.
type Handover struct {
	Home        ID
	Witness     ID
	Zone        place.Zone
	LastExpires int64
	// ClosedUntil is the last expiry, in Unix milliseconds, of the keys that
	// must not run: withdrawn ones, and those expired by the home's clock.
	ClosedUntil int64
	// Refused are the keys that the home refused: they must never run.
	Refused []HandoverKey
	// Unused are the keys that the home had asked to record and did not run.
	Unused []HandoverKey
}

// HandoverKey is one key of a handover.
type HandoverKey struct {
	Nonce   uint64
	Number  uint64
	Expires int64
	Digest  Digest
}

func (k HandoverKey) serial() serial { return serial{nonce: k.Nonce, number: k.Number} }

// Freeze stops the ledger from running further keys and returns the handover
// for the witness. Requests that wait for an acknowledgement must be taken in
// again once the handover has ended. It returns false, and changes nothing,
// unless the ledger is open.
func (l *Ledger) Freeze(now time.Time) (Handover, bool) {
	if l.phase != phaseOpen {
		return Handover{}, false
	}
	handover := Handover{Home: l.home, Witness: l.witness, Zone: l.zone, LastExpires: l.lastExpires, ClosedUntil: max(l.closedUntil, now.UnixMilli())}
	for s, e := range l.entries {
		named := HandoverKey{Nonce: s.nonce, Number: s.number, Expires: e.expires, Digest: e.digest}
		switch e.state {
		case stateRefused:
			handover.Refused = append(handover.Refused, named)
		case stateRecording:
			handover.Unused = append(handover.Unused, named)
			e.state = stateReserved
		case stateReserved:
			handover.Unused = append(handover.Unused, named)
		case stateRunning, stateElsewhere, stateDone:
		}
	}
	if len(handover.Refused) > HandoverKeysMax {
		handover.Refused = nil
		handover.ClosedUntil = l.lastExpires
	}
	l.phase = phaseFrozen
	return handover, true
}

// Thaw takes in that the witness certainly did not take over.
func (l *Ledger) Thaw() {
	if l.phase == phaseFrozen {
		l.phase = phaseOpen
	}
}

// Hand takes in that the witness took over.
func (l *Ledger) Hand() {
	if l.phase == phaseFrozen {
		l.phase = phaseMoved
	}
}

// Unreported returns the keys whose outcome the witness has not confirmed.
func (l *Ledger) Unreported() []Key {
	var keys []Key
	for s, e := range l.entries {
		if e.reported || (e.state != stateDone && e.state != stateRefused) {
			continue
		}
		prefix := Prefix{home: l.home, witness: l.witness, zone: l.zone, expires: e.expires, nonce: s.nonce}
		keys = append(keys, prefix.Key(s.number))
	}
	return keys
}

// Outcome returns the outcome of a key that has one.
func (l *Ledger) Outcome(key Key) (Outcome, bool) {
	e, known := l.entries[key.serial()]
	if !known || (e.state != stateDone && e.state != stateRefused) {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Adopt takes over the ledger of a home that stops and returns it. A second
// handover of the same home returns the same ledger and changes nothing.
// budget is that of the ledgers of this process.
func (r *Records) Adopt(handover Handover, budget *Budget) *Ledger {
	if r.adopted != nil {
		return r.adopted
	}
	l := NewLedger(handover.Home, handover.Witness, handover.Zone, budget)
	l.phase = phaseAlone
	l.lastExpires = handover.LastExpires
	l.closedUntil = handover.ClosedUntil
	for s, e := range r.entries {
		l.adopt(s, e)
		r.forget(s)
	}
	for _, k := range handover.Refused {
		if _, known := l.entries[k.serial()]; known {
			l.budget.giveEntry(l.entries[k.serial()])
		}
		l.keepRefusal(k.serial(), &entry{expires: k.Expires, digest: k.Digest})
	}
	for _, k := range handover.Unused {
		l.reserve(k)
	}
	r.adopted = l
	r.adoptedEnd = time.UnixMilli(l.lastExpires).Add(SkewMax + r.budget.limits.KeepTime)
	return l
}

// reserve takes over a key that the home did not run. A sealed key stays
// sealed.
func (l *Ledger) reserve(k HandoverKey) {
	e, known := l.entries[k.serial()]
	if !known {
		e = &entry{state: stateElsewhere, digest: k.Digest, expires: k.Expires}
		l.keep(k.serial(), e)
		l.takeOver()
	}
	if e.state == stateElsewhere {
		e.state = stateReserved
	}
}

// adopt takes over one record. It may exceed the budget, since the room of the
// record was counted before.
func (l *Ledger) adopt(s serial, record *entry) {
	if record.state == stateRefused {
		l.keepRefusal(s, record)
		return
	}
	l.takeOver()
	copied := *record
	copied.state = stateElsewhere
	if record.state == stateDone {
		copied.state = stateDone
		l.budget.settle(len(copied.outcome.answer))
	}
	l.keep(s, &copied)
}

// takeOver counts the room of a key beyond the budget.
func (l *Ledger) takeOver() {
	l.budget.keys.Add(1)
	l.budget.bytes.Add(l.budget.limits.AnswerBytesMax)
}

// keepRefusal keeps a key that must never run. It may exceed the budget, since
// the number of such keys in one message is bounded.
func (l *Ledger) keepRefusal(s serial, e *entry) {
	l.budget.refusals.Add(1)
	outcome := Refused(errs.NotRun(errs.ReasonLostHome, 0, "the request was refused before the home or the witness stopped"))
	l.keep(s, &entry{state: stateRefused, digest: e.digest, expires: e.expires, outcome: outcome, reported: true})
}

// Release tells a home that its witness stops. The witness names the keys that
// it sealed and seals no others, so the home needs no acknowledgement for the
// rest.
type Release struct {
	Home    ID
	Witness ID
	// Sealed are the keys that must never run.
	Sealed []HandoverKey
	// ClosedUntil is the last expiry, in Unix milliseconds, of the unused keys
	// that must never run either. They expired by the clock of the witness, or
	// the sealed keys are too many to name.
	ClosedUntil int64
}

// Release ends the recording and sealing of keys and returns the message for
// the home. It may be called again. A home whose ledger was taken over needs no
// message, which is told by false.
func (r *Records) Release(now time.Time) (Release, bool) {
	if r.adopted != nil {
		return Release{}, false
	}
	r.released = true
	release := Release{Home: r.home, Witness: r.witness, ClosedUntil: now.Add(-SkewMax).UnixMilli()}
	for s, e := range r.entries {
		if e.state == stateRefused {
			release.Sealed = append(release.Sealed, HandoverKey{Nonce: s.nonce, Number: s.number, Expires: e.expires, Digest: e.digest})
		}
	}
	if len(release.Sealed) > HandoverKeysMax {
		release.Sealed = nil
		release.ClosedUntil = math.MaxInt64
	}
	return release, true
}

// Release takes in that the witness stops: it sealed the named keys and will
// seal no others. It returns false, and changes nothing, unless the ledger is
// open; a repeated message has no further effect.
func (l *Ledger) Release(release Release) bool {
	if l.phase != phaseOpen {
		return l.phase == phaseAlone
	}
	l.phase = phaseAlone
	l.withdraw(release.ClosedUntil)
	for _, k := range release.Sealed {
		l.seal(k)
	}
	return true
}

// unused tells whether the key is known and was never handed on.
func (e *entry) unused() bool { return e.state == stateRecording || e.state == stateReserved }

// withdraw refuses every unused key that expires no later than the given time.
func (l *Ledger) withdraw(until int64) {
	l.closedUntil = max(l.closedUntil, min(until, l.lastExpires))
	for s, e := range l.entries {
		if e.unused() && e.expires <= l.closedUntil {
			l.seal(HandoverKey{Nonce: s.nonce, Number: s.number, Expires: e.expires, Digest: e.digest})
		}
	}
}

// seal refuses a key that the witness sealed. Such a key was never handed on.
func (l *Ledger) seal(k HandoverKey) {
	if e, known := l.entries[k.serial()]; known {
		if !e.unused() {
			return
		}
		l.budget.giveEntry(e)
	}
	l.keepRefusal(k.serial(), &entry{expires: k.Expires, digest: k.Digest})
}
