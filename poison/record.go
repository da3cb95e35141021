package poison

import (
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
)

type crash struct {
	process   uint64
	began, at time.Time
	target    place.Target
	witness   place.Instance
}

func newCrash(c Crash, now time.Time) crash {
	at := now.Add(-max(c.Age, 0))
	return crash{process: c.Process, began: at.Add(-max(c.Ran, 0)), at: at, target: c.Target, witness: c.Witness}
}

// timed reports whether it is known when the request was sent. Instances of earlier
// versions don't tell.
func (c crash) timed() bool { return c.began.Before(c.at) }

// record is what is known of a suspected request.
type record struct {
	crashes   []crash
	clearedAt time.Time
	// heldUntil is the end of the quarantine, zero if there is none. together is true
	// if the request is only held back, because the targets may have crashed together,
	// and heldFrom is when that began. It happens once.
	heldUntil time.Time
	together  bool
	heldFrom  time.Time
	// successive is how many of the crashes followed from each other, as this instance
	// or another one saw them.
	successive int
	// trials is how many trials the request had in this quarantine, the last one at
	// triedAt.
	trials  int
	triedAt time.Time
	// own is true if this instance saw one of the crashes itself, or had the request
	// stored as quarantined before.
	own bool
	// served is the number of quarantines that ended, the last one, or the time in
	// which the request was held back, at releasedAt.
	served     int
	releasedAt time.Time
	changedAt  time.Time
}

func (r *record) held(now time.Time) bool { return now.Before(r.heldUntil) }

// has reports whether the process crashed under the request.
func (r *record) has(process uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.process == process })
}

// covers reports whether the request was at all crashes of the other one.
func (r *record) covers(other *record) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !r.has(c.process) })
}

// addCrash adds a crash that isn't known yet, unless the request was cleared after
// it, and reports whether it did. Of targets that may have crashed together, those
// that had the request before it was held back don't count any more.
func (r *record) addCrash(c crash) bool {
	if i := slices.IndexFunc(r.crashes, func(known crash) bool { return known.process == c.process }); i >= 0 {
		// The process had the request several times at once.
		if c.began.Before(r.crashes[i].began) {
			r.crashes[i].began = c.began
		}
		return false
	}
	if len(r.crashes) >= processesMax || !c.at.After(r.clearedAt) {
		return false
	}
	if !r.together && !r.heldFrom.IsZero() && c.began.Before(r.heldFrom) {
		return false
	}
	r.crashes = append(r.crashes, c)
	return true
}

func (r *record) clear(at time.Time) {
	r.clearedAt, r.heldUntil, r.heldFrom, r.together, r.trials, r.successive = at, time.Time{}, time.Time{}, false, 0, 0
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
}

// release ends a quarantine whose time is over, or holds the request back no longer.
// What is kept lets one more crash begin the next quarantine.
func (r *record) release(now time.Time) {
	r.heldUntil = time.Time{}
	if !r.together {
		r.served++
	}
	r.together = false
	r.crashes = r.crashes[max(len(r.crashes)-(crashesMax-1), 0):]
	r.releasedAt = now
}

func (r *record) mayTry(now time.Time) bool {
	return r.held(now) && !r.together && r.trials < trialsMax && len(r.crashes) >= crashesMax && now.Sub(r.triedAt) >= trialDelay &&
		!slices.ContainsFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) < trialDelay })
}

// forgets reports whether a crash is too long ago to be held against the request. What
// a quarantine kept counts from its end.
func (r *record) forgets(c crash, now time.Time) bool {
	return now.Sub(c.at) > crashMemory && now.Sub(r.releasedAt) > crashMemory
}

func (r *record) expired(now time.Time) bool {
	recent := slices.ContainsFunc(r.crashes, func(c crash) bool { return !r.forgets(c, now) })
	return !r.held(now) && !recent && now.Sub(r.clearedAt) > crashMemory
}

func (r *record) suspect(f Fingerprint, now time.Time) Suspect {
	s := Suspect{Fingerprint: f, Successive: r.successive, Crashes: make([]Crash, 0, len(r.crashes))}
	for _, c := range r.crashes {
		s.Crashes = append(s.Crashes, Crash{Process: c.process, Age: now.Sub(c.at), Ran: c.at.Sub(c.began), Target: c.target, Witness: c.witness})
	}
	if !r.clearedAt.IsZero() {
		s.Cleared, s.ClearedAge = true, now.Sub(r.clearedAt)
	}
	return s
}
