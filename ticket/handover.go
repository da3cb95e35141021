package ticket

import (
	"math"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// HandoverKeysMax is the maximum number of refused keys in a handover, and of
// sealed keys in a release. If there are more, the message withdraws all
// prefixes instead of listing them.
const HandoverKeysMax = 20_000

// Handover lets the witness take over the ledger of a home that stops. It does
// not list the keys that ran, since the witness recorded those.
type Handover struct {
	Home        ID
	Witness     ID
	Zone        place.Zone
	LastExpires int64
	// ClosedUntil is the last expiry, in Unix milliseconds, of the keys that must
	// not run, since they are withdrawn or expired by the home's clock.
	ClosedUntil int64
	// Refused lists the keys that the home refused. They must never run.
	Refused []HandoverKey
	// Unused lists the keys that the home asked the witness to record and did
	// not run.
	Unused []HandoverKey
}

// HandoverKey is one key in a Handover or Release. Expires is in Unix
// milliseconds.
type HandoverKey struct {
	Nonce   uint64
	Number  uint64
	Expires int64
	Digest  Digest
}

func (k HandoverKey) id() keyID { return keyID{nonce: k.Nonce, number: k.Number} }

// Freeze stops the ledger from starting further requests and returns the
// handover for the witness. Requests that wait for an acknowledgement must be
// passed to Admit again once the handover has ended. If the ledger is not open,
// Freeze changes nothing and returns false.
func (l *Ledger) Freeze(now time.Time) (Handover, bool) {
	if l.phase != phaseOpen {
		return Handover{}, false
	}
	handover := Handover{Home: l.home, Witness: l.witness, Zone: l.zone, LastExpires: l.lastExpires, ClosedUntil: max(l.closedUntil, now.UnixMilli())}
	for id, e := range l.entries {
		key := HandoverKey{Nonce: id.nonce, Number: id.number, Expires: e.expires, Digest: e.digest}
		switch e.state {
		case stateRefused:
			handover.Refused = append(handover.Refused, key)
		case stateRecording:
			handover.Unused = append(handover.Unused, key)
			e.state = stateReserved
		case stateReserved:
			handover.Unused = append(handover.Unused, key)
		case stateRunning, stateRunningRemote, stateDone:
		}
	}
	if len(handover.Refused) > HandoverKeysMax {
		handover.Refused = nil
		handover.ClosedUntil = l.lastExpires
	}
	l.phase = phaseFrozen
	return handover, true
}

// Unfreeze ends a handover that the witness certainly did not accept. The
// ledger is open again.
func (l *Ledger) Unfreeze() {
	if l.phase == phaseFrozen {
		l.phase = phaseOpen
	}
}

// MarkMoved ends a handover that the witness accepted. From then on the witness
// decides on the keys.
func (l *Ledger) MarkMoved() {
	if l.phase == phaseFrozen {
		l.phase = phaseMoved
	}
}

// Unreported returns the keys with an outcome that the witness has not
// confirmed.
func (l *Ledger) Unreported() []Key {
	var keys []Key
	for id, e := range l.entries {
		if e.reported || (e.state != stateDone && e.state != stateRefused) {
			continue
		}
		prefix := Prefix{home: l.home, witness: l.witness, zone: l.zone, expires: e.expires, nonce: id.nonce}
		keys = append(keys, prefix.Key(id.number))
	}
	return keys
}

// Outcome returns the outcome of the key, or false if it has none.
func (l *Ledger) Outcome(key Key) (Outcome, bool) {
	e, known := l.entries[key.id()]
	if !known || (e.state != stateDone && e.state != stateRefused) {
		return Outcome{}, false
	}
	return e.outcome, true
}

// Adopt takes over the ledger of a home that stops and returns it. A second
// handover of the same home changes nothing and returns the same ledger.
// budget is the one that the ledgers of this process share.
func (r *Records) Adopt(handover Handover, budget *Budget) *Ledger {
	if r.adopted != nil {
		return r.adopted
	}
	l := NewLedger(handover.Home, handover.Witness, handover.Zone, budget)
	l.phase = phaseNoWitness
	l.lastExpires = handover.LastExpires
	l.closedUntil = handover.ClosedUntil
	for id, e := range r.entries {
		l.adopt(id, e)
		r.remove(id)
	}
	for _, k := range handover.Refused {
		if _, known := l.entries[k.id()]; known {
			l.budget.releaseEntry(l.entries[k.id()])
		}
		l.putRefusal(k.id(), &entry{expires: k.Expires, digest: k.Digest})
	}
	for _, k := range handover.Unused {
		l.reserve(k)
	}
	r.adopted = l
	r.adoptedEnd = time.UnixMilli(l.lastExpires).Add(SkewMax + r.budget.limits.KeepTime)
	return l
}

// reserve takes over a key that the home did not run. A sealed key stays
// refused.
func (l *Ledger) reserve(k HandoverKey) {
	e, known := l.entries[k.id()]
	if !known {
		e = &entry{state: stateRunningRemote, digest: k.Digest, expires: k.Expires}
		l.put(k.id(), e)
		l.adoptKey()
	}
	if e.state == stateRunningRemote {
		e.state = stateReserved
	}
}

// adopt takes over one record. It may exceed the budget of the ledgers, since
// the budget of the records has already bounded the number and size of records.
func (l *Ledger) adopt(id keyID, record *entry) {
	if record.state == stateRefused {
		l.putRefusal(id, record)
		return
	}
	l.adoptKey()
	copied := *record
	copied.state = stateRunningRemote
	if record.state == stateDone {
		copied.state = stateDone
		l.budget.releaseUnused(len(copied.outcome.answer))
	}
	l.put(id, &copied)
}

// adoptKey counts a key and AnswerBytesMax for its answer without regard to the
// limits.
func (l *Ledger) adoptKey() {
	l.budget.keys.Add(1)
	l.budget.bytes.Add(l.budget.limits.AnswerBytesMax)
}

// putRefusal stores a key that must never run. It may exceed the budget, since
// HandoverKeysMax bounds the number of such keys in one message.
func (l *Ledger) putRefusal(id keyID, e *entry) {
	l.budget.refusals.Add(1)
	outcome := Refused(errs.NotRun(errs.ReasonLostHome, 0, "the request was refused before the home or the witness stopped"))
	l.put(id, &entry{state: stateRefused, digest: e.digest, expires: e.expires, outcome: outcome, reported: true})
}

// Release tells a home that its witness stops. It lists the keys that the
// witness sealed. Since the witness seals no others, the home needs no
// acknowledgement for the rest.
type Release struct {
	Home    ID
	Witness ID
	// Sealed lists the keys that the witness sealed. They must never run.
	Sealed []HandoverKey
	// ClosedUntil is the last expiry, in Unix milliseconds, of the unused keys
	// that must never run either, since they expired by the clock of the witness
	// or there are too many sealed keys to list.
	ClosedUntil int64
}

// Release ends the recording and sealing of keys and returns the message for
// the home. It may be called again. It returns false if the witness took over
// the ledger of the home, which then needs no message.
func (r *Records) Release(now time.Time) (Release, bool) {
	if r.adopted != nil {
		return Release{}, false
	}
	r.released = true
	release := Release{Home: r.home, Witness: r.witness, ClosedUntil: now.Add(-SkewMax).UnixMilli()}
	for id, e := range r.entries {
		if e.state == stateRefused {
			release.Sealed = append(release.Sealed, HandoverKey{Nonce: id.nonce, Number: id.number, Expires: e.expires, Digest: e.digest})
		}
	}
	if len(release.Sealed) > HandoverKeysMax {
		release.Sealed = nil
		release.ClosedUntil = math.MaxInt64
	}
	return release, true
}

// Release applies the message of a witness that stops. It reports whether the
// ledger runs requests without a witness afterwards; if it is frozen or moved,
// Release changes nothing. A repeated message has no further effect.
func (l *Ledger) Release(release Release) bool {
	if l.phase != phaseOpen {
		return l.phase == phaseNoWitness
	}
	l.phase = phaseNoWitness
	l.withdraw(release.ClosedUntil)
	for _, k := range release.Sealed {
		l.seal(k)
	}
	return true
}

// unused reports whether the request of the key was never sent to a target and
// still may be.
func (e *entry) unused() bool { return e.state == stateRecording || e.state == stateReserved }

// withdraw refuses every unused key that expires at or before the given time,
// in Unix milliseconds.
func (l *Ledger) withdraw(until int64) {
	l.closedUntil = max(l.closedUntil, min(until, l.lastExpires))
	for id, e := range l.entries {
		if e.unused() && e.expires <= l.closedUntil {
			l.seal(HandoverKey{Nonce: id.nonce, Number: id.number, Expires: e.expires, Digest: e.digest})
		}
	}
}

// seal refuses a key that the witness sealed. The request of such a key was
// never sent to a target.
func (l *Ledger) seal(k HandoverKey) {
	if e, known := l.entries[k.id()]; known {
		if !e.unused() {
			return
		}
		l.budget.releaseEntry(e)
	}
	l.putRefusal(k.id(), &entry{expires: k.Expires, digest: k.Digest})
}
