package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

const (
	// crashesMax is the number of targets that may crash under a request before it
	// is quarantined. Other requests that run at a target when it crashes are
	// suspected as well, but rarely at that many.
	crashesMax = 3
	// quarantineTime is how long a request is quarantined for the first time. Then it
	// may run again, and a single crash begins a longer quarantine.
	quarantineTime = 10 * time.Minute
	// holdTime is how long a request is held back if the targets may have crashed
	// together, whatever ran there. Then a single crash begins a quarantine.
	holdTime = 1500 * time.Millisecond
	// crashGap is how far apart crashes are that follow from each other. Of targets that
	// are lost within less, one may get a request after another one has crashed.
	crashGap = 8 * time.Millisecond
	// trialDelay is how long after the last crash one target may get a quarantined
	// request once more, trialsMax times in each quarantine. Targets that were lost
	// together are back by then, or refuse.
	trialDelay = 1500 * time.Millisecond
	trialsMax  = 2
	// crashMemory is how long a crash is held against a request.
	crashMemory = 10 * time.Minute
	// newsTime is how long a change is told to other instances.
	newsTime = 1500 * time.Millisecond
	// heardSlack is how much later than it was a crash may seem that another instance
	// tells of.
	heardSlack = 5 * time.Millisecond
	// processesMax limits the crashed processes that are kept of a request.
	processesMax = 8
)

// Crash is the crash of a target's process while it had a request.
type Crash struct {
	// Process is a hash of the process that all instances compute alike.
	Process uint64
	// Age is how long ago the request's connection broke, Ran how long before that
	// the request was sent, 0 if that is unknown.
	Age time.Duration
	Ran time.Duration
	// Target is the target, and Witness the instance that saw the crash. They are
	// empty if they are unknown.
	Target  place.Target
	Witness place.Instance
}

// Suspect is what an instance knows of a request that targets had when they crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Cleared is true if a target answered the request ClearedAge ago, which a
	// request that crashes every target never gets.
	Cleared    bool
	ClearedAge time.Duration
	// Successive is how many of the crashes followed from each other.
	Successive int
}

// Guard tells the requests under which targets crash from those that ran beside
// them, by the crashes of all instances, and quarantines them. It answers the load
// pattern of one request that is repeated at all instances and takes down target
// after target. Targets that are lost together are another pattern: what ran at them is
// held back for a moment, and quarantined only if one more target crashes under it. It
// is safe for concurrent use.
type Guard struct {
	size atomic.Int64

	mu      sync.Mutex
	records *table
	// changedAt is when a record last changed, and expiredAt when those that are too old
	// were last dropped.
	changedAt, expiredAt time.Time
}

// NewGuard returns a Guard that suspects nothing.
func NewGuard() *Guard { return &Guard{records: newTable()} }

// Empty reports whether no request is suspected, so that fingerprints need not be
// computed. It takes no lock.
func (g *Guard) Empty() bool { return g.size.Load() == 0 }

// Size returns how many requests are kept.
func (g *Guard) Size() int { return int(g.size.Load()) }

// Repeated reports whether more than one target crashed under the request. A single
// crash makes suspects of all requests that ran beside it, which is no hurry.
func (g *Guard) Repeated(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records.get(f)
	return found && len(r.crashes) > 1
}

// Blame records that a process crashed while it had the request, and reports whether
// the request is quarantined from now on.
func (g *Guard) Blame(f Fingerprint, c Crash, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.recordOf(f)
	defer g.keep(f, r, now)
	r.own = true
	if r.addCrash(newCrash(c, now)) {
		g.touch(r, now)
		g.releaseCovered(r, now)
	}
	return g.judge(r, now)
}

// Clear records that a target answered the request, which lifts all suspicion, and
// reports whether there was any.
func (g *Guard) Clear(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records.get(f)
	if !found || len(r.crashes) == 0 && r.heldUntil.IsZero() {
		return false
	}
	defer g.keep(f, r, now)
	r.clear(now)
	g.touch(r, now)
	return true
}

// Lift ends the quarantine of a request for an operator, who names it in the form that
// Fingerprint.String returns, and reports whether there was one. Other instances are
// told as if a target had answered the request.
func (g *Guard) Lift(fingerprint string, now time.Time) (lifted bool, err error) {
	f, valid := ParseFingerprint(fingerprint)
	if !valid {
		return false, errors.Newf("fingerprint: %q is given; want 16 hexadecimal digits, as in the dump", fingerprint)
	}
	return g.Held(f, now) > 0 && g.Clear(f, now), nil
}

// Held returns for how much longer the request is quarantined, 0 if it isn't.
func (g *Guard) Held(f Fingerprint, now time.Time) time.Duration {
	if g.Empty() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records.get(f)
	if !found || r.heldUntil.IsZero() {
		return 0
	}
	if !r.held(now) {
		r.release(now)
		g.keep(f, r, now)
		return 0
	}
	return r.heldUntil.Sub(now)
}

// MayTry reports whether a quarantined request has not had its trials yet: it may be
// sent to one target, and later to another one, which ends a wrong quarantine if it
// answers. Only an instance that knows of the crashes may do so.
func (g *Guard) MayTry(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records.get(f)
	return found && r.mayTry(now)
}

// Try is like MayTry, and begins the trial. No other instance may call it.
func (g *Guard) Try(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records.get(f)
	if !found || !r.mayTry(now) {
		return false
	}
	r.trials++
	r.triedAt = now
	return true
}

// Untry takes back a trial that reached no target.
func (g *Guard) Untry(f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, found := g.records.get(f); found {
		r.trials = max(r.trials-1, 0)
	}
}

// Hear takes in what another instance knows of a request, and reports whether any of
// it is new, and whether the request is quarantined from now on. If relay is set,
// what is new is told on.
func (g *Guard) Hear(s Suspect, relay bool, now time.Time) (changed, quarantined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, found := g.records.get(s.Fingerprint); !found && len(s.Crashes) == 0 {
		return false, false
	}
	r := g.recordOf(s.Fingerprint)
	defer g.keep(s.Fingerprint, r, now)
	if at := now.Add(-max(s.ClearedAge, 0)); s.Cleared && at.After(r.clearedAt) {
		changed = len(r.crashes) > 0
		r.clear(at)
	}
	for _, c := range s.Crashes[:min(len(s.Crashes), processesMax)] {
		heard := newCrash(c, now)
		if heard.timed() {
			heard.began = heard.began.Add(min(heardSlack, c.Ran-1))
		}
		if r.addCrash(heard) {
			changed = true
		}
	}
	r.successive = max(r.successive, min(s.Successive, len(r.crashes)))
	if changed {
		g.releaseCovered(r, now)
	}
	// An instance that tells of fewer crashes than a quarantine needs has missed it, as
	// one that started later has. It is told what this one knows more.
	missed := r.held(now) && 0 < len(s.Crashes) && len(s.Crashes) < min(crashesMax, len(r.crashes))
	if relay && changed || missed {
		g.touch(r, now)
	}
	return changed, g.judge(r, now)
}

// Adopt quarantines a request that an instance stored as quarantined, and reports
// whether that is new. own is true if this instance did. What was cleared or served
// its time since is left alone.
func (g *Guard) Adopt(f Fingerprint, own bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.recordOf(f)
	defer g.keep(f, r, now)
	r.own = r.own || own
	if !r.clearedAt.IsZero() || r.served > 0 || !r.heldUntil.IsZero() && !r.together {
		return false
	}
	r.heldUntil, r.together = now.Add(quarantineTime), false
	return true
}

// News returns what changed of late, at most most requests, those with the most
// crashes first.
func (g *Guard) News(most int, now time.Time) []Suspect {
	if g.Empty() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.expiredAt) >= newsTime {
		g.expiredAt = now
		g.expire(now)
	}
	if now.Sub(g.changedAt) >= newsTime {
		return nil
	}
	var news []Suspect
	for f, r := range g.records.changed() {
		if now.Sub(r.changedAt) < newsTime {
			news = append(news, r.suspect(f, now))
		}
	}
	slices.SortFunc(news, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return news[:min(len(news), most)]
}

// Quarantined returns the quarantined requests for which this instance saw a crash,
// at most most, in ascending order.
func (g *Guard) Quarantined(most int, now time.Time) []Fingerprint {
	if g.Empty() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var held []Fingerprint
	for f, r := range g.records.quarantined() {
		if r.own && r.held(now) && !r.together {
			held = append(held, f)
		}
	}
	slices.Sort(held)
	return held[:min(len(held), most)]
}

// State is the state of a suspected request for operators.
type State struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of targets that crashed under the request, as far as
	// they are kept.
	Crashes int `json:"crashes"`
	// HeldMillis is how much longer it is quarantined, in milliseconds.
	HeldMillis int64 `json:"held_ms"`
	// Together is true if the targets may have crashed together, so that the request
	// is only held back until they are back.
	Together bool `json:"together"`
	// Crashed lists the crashes, the latest first. It is empty if this instance knows
	// of the quarantine from the platform's store alone.
	Crashed []CrashState `json:"crashed"`
}

// CrashState is a crash of a target under a suspected request, for operators.
type CrashState struct {
	Target place.Target `json:"target"`
	// Witness is the instance that saw the crash.
	Witness place.Instance `json:"witness"`
	// AgeMillis is how long ago it was, and RanMillis how long the request had run, in
	// milliseconds.
	AgeMillis int64 `json:"age_ms"`
	RanMillis int64 `json:"ran_ms"`
}

// States returns the quarantined requests in the order of their fingerprints.
func (g *Guard) States(now time.Time) []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := []State{}
	for f, r := range g.records.quarantined() {
		if !r.held(now) {
			continue
		}
		state := State{Fingerprint: f.String(), Crashes: len(r.crashes), HeldMillis: r.heldUntil.Sub(now).Milliseconds(), Together: r.together, Crashed: []CrashState{}}
		for _, c := range r.crashes {
			state.Crashed = append(state.Crashed, CrashState{
				Target: c.target, Witness: c.witness, AgeMillis: now.Sub(c.at).Milliseconds(), RanMillis: c.at.Sub(c.began).Milliseconds(),
			})
		}
		slices.SortFunc(state.Crashed, func(a, b CrashState) int {
			return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Target, b.Target))
		})
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return states
}

// recordOf returns the record of a request, a new one if there is none. The caller
// holds g.mu and keeps the record.
func (g *Guard) recordOf(f Fingerprint) *record {
	if r, found := g.records.get(f); found {
		return r
	}
	return &record{}
}

// keep puts a record that has changed into the table. The caller holds g.mu.
func (g *Guard) keep(f Fingerprint, r *record, now time.Time) {
	g.records.put(f, r, now)
	g.size.Store(int64(g.records.size()))
}

// touch notes that a record has changed and has to be told. The caller holds g.mu.
func (g *Guard) touch(r *record, now time.Time) { r.changedAt, g.changedAt = now, now }

// expire ends the quarantines that are over and drops records that are too old. The
// caller holds g.mu.
func (g *Guard) expire(now time.Time) {
	for f, r := range g.records.quarantined() {
		if !r.held(now) {
			if !r.heldUntil.IsZero() {
				r.release(now)
			}
			g.keep(f, r, now)
		}
	}
	g.records.dropExpired(now)
	g.size.Store(int64(g.records.size()))
}

// judge quarantines the request if enough processes crashed under it that no
// quarantined request explains, and reports whether it did so now. If they may have
// crashed together, it holds the request back first. The caller holds g.mu.
func (g *Guard) judge(r *record, now time.Time) bool {
	if r.held(now) && (!r.together || r.successive < crashesMax) {
		return false
	}
	if !r.heldUntil.IsZero() && !r.held(now) {
		r.release(now)
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return r.forgets(c, now) })
	if len(r.crashes) < crashesMax {
		return false
	}
	unexplained := slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return g.explained(c.process, r, now) })
	if len(unexplained) < crashesMax {
		return false
	}
	r.successive = max(r.successive, successive(unexplained))
	if r.served == 0 && r.heldFrom.IsZero() && r.successive < crashesMax {
		r.heldFrom, r.heldUntil, r.together = now, now.Add(holdTime), true
		return false
	}
	r.together = false
	r.heldUntil = now.Add(quarantineTime << min(r.served, 3))
	r.trials = 0
	g.touch(r, now)
	return true
}

// successive returns how many of the crashes followed from each other: the request
// was sent to the next target only after the one before had crashed, which in turn
// crashed crashGap later or more.
func successive(crashes []crash) int {
	ordered := slices.SortedFunc(slices.Values(crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, c := range ordered {
		if n == 0 || !c.began.Before(last) && (c.at.Sub(last) >= crashGap || !c.timed()) {
			n, last = n+1, c.at
		}
	}
	return n
}

// explained reports whether a quarantined request was at the process when it
// crashed, which was at as many crashes as the suspected one or more, and also at
// one of which the suspected one was not.
func (g *Guard) explained(process uint64, suspected *record, now time.Time) bool {
	for _, r := range g.records.quarantined() {
		if r.held(now) && len(r.crashes) >= len(suspected.crashes) && r.has(process) && !suspected.covers(r) {
			return true
		}
	}
	return false
}

// releaseCovered ends the quarantine of requests that were only at some of the
// crashes of another quarantined request, which has just been at one more. A request
// that is only held back says nothing about others.
func (g *Guard) releaseCovered(by *record, now time.Time) {
	if !by.held(now) || by.together {
		return
	}
	for f, r := range g.records.quarantined() {
		if r.held(now) && len(r.crashes) > 0 && by.covers(r) && !r.covers(by) {
			r.heldUntil, r.heldFrom, r.together = time.Time{}, time.Time{}, false
			g.touch(r, now)
			g.keep(f, r, now)
		}
	}
}
