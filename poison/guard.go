package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashesMax is the number of targets that may crash under a request before it
	// is quarantined. Other requests that run at a target when it crashes are
	// suspected as well, but rarely at that many.
	crashesMax = 3
	// quarantineTime is how long a request is quarantined for the first time. Then it
	// may run again, and a single crash begins a longer quarantine.
	quarantineTime = 10 * time.Minute
	// crashMemory is how long a crash is held against a request.
	crashMemory = 10 * time.Minute
	// newsTime is how long a change is told to other instances.
	newsTime = 1500 * time.Millisecond
	// processesMax limits the crashed processes that are kept of a request.
	processesMax = 8
	// suspectsMax limits the requests that are kept.
	suspectsMax = 1024
)

// Crash is the crash of a target's process while it had a request.
type Crash struct {
	// Process is a hash of the process that all instances compute alike.
	Process uint64
	Age     time.Duration
}

// Suspect is what an instance knows of a request that targets had when they crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Cleared is true if a target answered the request ClearedAge ago, which a
	// request that crashes every target never gets.
	Cleared    bool
	ClearedAge time.Duration
}

type crash struct {
	process uint64
	at      time.Time
}

type record struct {
	crashes   []crash
	clearedAt time.Time
	// heldUntil is the end of the quarantine, zero if there is none.
	heldUntil time.Time
	// own is true if this instance saw one of the crashes itself, or had the request
	// stored as quarantined before.
	own bool
	// served is the number of quarantines that ended.
	served    int
	changedAt time.Time
}

func (r *record) held(now time.Time) bool { return now.Before(r.heldUntil) }

// Guard tells the requests under which targets crash from those that ran beside
// them, by the crashes of all instances, and quarantines them. It answers the load
// pattern of one request that is repeated at all instances and takes down target
// after target. It is safe for concurrent use.
type Guard struct {
	size atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
}

// NewGuard returns a Guard that suspects nothing.
func NewGuard() *Guard { return &Guard{records: map[Fingerprint]*record{}} }

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
	r, found := g.records[f]
	return found && len(r.crashes) > 1
}

// Blame records that a process crashed while it had the request, and reports whether
// the request is quarantined from now on.
func (g *Guard) Blame(f Fingerprint, process uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.recordOf(f, now)
	r.own = true
	if r.addCrash(crash{process: process, at: now}) {
		r.changedAt = now
		g.releaseCovered(r, now)
	}
	return g.judge(r, now)
}

// Clear records that a target answered the request, which lifts all suspicion.
func (g *Guard) Clear(f Fingerprint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records[f]
	if !found || len(r.crashes) == 0 && r.heldUntil.IsZero() {
		return
	}
	r.clear(now)
	r.changedAt = now
}

// Held returns for how much longer the request is quarantined, 0 if it isn't.
func (g *Guard) Held(f Fingerprint, now time.Time) time.Duration {
	if g.Empty() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.records[f]
	if !found || r.heldUntil.IsZero() {
		return 0
	}
	if !r.held(now) {
		r.release(now)
		return 0
	}
	return r.heldUntil.Sub(now)
}

// Hear takes in what another instance knows of a request, and reports whether any of
// it is new, and whether the request is quarantined from now on. If relay is set,
// what is new is told on.
func (g *Guard) Hear(s Suspect, relay bool, now time.Time) (changed, quarantined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, found := g.records[s.Fingerprint]; !found && len(s.Crashes) == 0 {
		return false, false
	}
	r := g.recordOf(s.Fingerprint, now)
	if at := now.Add(-max(s.ClearedAge, 0)); s.Cleared && at.After(r.clearedAt) {
		changed = len(r.crashes) > 0
		r.clear(at)
	}
	for _, c := range s.Crashes[:min(len(s.Crashes), processesMax)] {
		if r.addCrash(crash{process: c.Process, at: now.Add(-max(c.Age, 0))}) {
			changed = true
		}
	}
	if changed {
		g.releaseCovered(r, now)
	}
	// An instance that tells of fewer crashes than a quarantine needs has missed it, as
	// one that started later has. It is told what this one knows more.
	missed := r.held(now) && 0 < len(s.Crashes) && len(s.Crashes) < min(crashesMax, len(r.crashes))
	if relay && changed || missed {
		r.changedAt = now
	}
	return changed, g.judge(r, now)
}

// Adopt quarantines a request that an instance stored as quarantined, and reports
// whether that is new. own is true if this instance did. What was cleared or served
// its time since is left alone.
func (g *Guard) Adopt(f Fingerprint, own bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.recordOf(f, now)
	r.own = r.own || own
	if !r.clearedAt.IsZero() || r.served > 0 || !r.heldUntil.IsZero() {
		return false
	}
	r.heldUntil = now.Add(quarantineTime)
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
	var news []Suspect
	for f, r := range g.records {
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
	for f, r := range g.records {
		if r.own && r.held(now) {
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
}

// States returns the quarantined requests in the order of their fingerprints.
func (g *Guard) States(now time.Time) []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := []State{}
	for _, f := range slices.Sorted(maps.Keys(g.records)) {
		if r := g.records[f]; r.held(now) {
			states = append(states, State{Fingerprint: f.String(), Crashes: len(r.crashes), HeldMillis: r.heldUntil.Sub(now).Milliseconds()})
		}
	}
	return states
}

// recordOf returns the record of a request and adds it if there is none. The caller
// holds g.mu.
func (g *Guard) recordOf(f Fingerprint, now time.Time) *record {
	r, found := g.records[f]
	if found {
		return r
	}
	if len(g.records) >= suspectsMax {
		g.evict(now)
	}
	r = &record{}
	g.records[f] = r
	g.size.Store(int64(len(g.records)))
	return r
}

// evict drops the records that are too old, and otherwise the one that says least.
func (g *Guard) evict(now time.Time) {
	maps.DeleteFunc(g.records, func(_ Fingerprint, r *record) bool { return !r.held(now) && r.expired(now) })
	if len(g.records) < suspectsMax {
		return
	}
	var least Fingerprint
	var leastRecord *record
	for f, r := range g.records {
		if leastRecord == nil || r.compare(leastRecord, now) < 0 {
			least, leastRecord = f, r
		}
	}
	delete(g.records, least)
	g.size.Store(int64(len(g.records)))
}

// judge quarantines the request if enough processes crashed under it that no
// quarantined request explains, and reports whether it did so now. The caller
// holds g.mu.
func (g *Guard) judge(r *record, now time.Time) bool {
	if r.held(now) {
		return false
	}
	if !r.heldUntil.IsZero() {
		r.release(now)
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > crashMemory })
	if len(r.crashes) < crashesMax {
		return false
	}
	unexplained := 0
	for _, c := range r.crashes {
		if !g.explained(c.process, r, now) {
			unexplained++
		}
	}
	if unexplained < crashesMax {
		return false
	}
	r.heldUntil = now.Add(quarantineTime << min(r.served, 3))
	r.changedAt = now
	return true
}

// explained reports whether a quarantined request was at the process when it
// crashed, which was at as many crashes as the suspected one or more, and also at
// one of which the suspected one was not.
func (g *Guard) explained(process uint64, suspected *record, now time.Time) bool {
	for _, r := range g.records {
		if r.held(now) && len(r.crashes) >= len(suspected.crashes) && r.has(process) && !suspected.covers(r) {
			return true
		}
	}
	return false
}

// releaseCovered ends the quarantine of requests that were only at some of the
// crashes of another quarantined request, which has just been at one more.
func (g *Guard) releaseCovered(by *record, now time.Time) {
	if !by.held(now) {
		return
	}
	for _, r := range g.records {
		if r.held(now) && len(r.crashes) > 0 && by.covers(r) && !r.covers(by) {
			r.heldUntil, r.changedAt = time.Time{}, now
		}
	}
}

// has reports whether the process crashed under the request.
func (r *record) has(process uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.process == process })
}

// covers reports whether the request was at all crashes of the other one.
func (r *record) covers(other *record) bool {
	return !slices.ContainsFunc(other.crashes, func(c crash) bool { return !r.has(c.process) })
}

// addCrash adds a crash that isn't known yet, unless the request was cleared after
// it, and reports whether it did.
func (r *record) addCrash(c crash) bool {
	if r.has(c.process) || len(r.crashes) >= processesMax || !c.at.After(r.clearedAt) {
		return false
	}
	r.crashes = append(r.crashes, c)
	return true
}

func (r *record) clear(at time.Time) {
	r.clearedAt, r.heldUntil = at, time.Time{}
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
}

// release ends a quarantine whose time is over. What is kept lets one more crash
// begin the next one.
func (r *record) release(now time.Time) {
	r.heldUntil = time.Time{}
	r.served++
	r.crashes = r.crashes[max(len(r.crashes)-(crashesMax-1), 0):]
	for i := range r.crashes {
		r.crashes[i].at = now
	}
}

func (r *record) expired(now time.Time) bool {
	recent := slices.ContainsFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) <= crashMemory })
	return !recent && now.Sub(r.clearedAt) > crashMemory
}

// compare orders records by how much they say: quarantined ones last, then by the
// number of crashes and by the time of the last change.
func (r *record) compare(other *record, now time.Time) int {
	rank := func(r *record) int {
		if r.held(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(r), rank(other)), cmp.Compare(len(r.crashes), len(other.crashes)), r.changedAt.Compare(other.changedAt))
}

func (r *record) suspect(f Fingerprint, now time.Time) Suspect {
	s := Suspect{Fingerprint: f, Crashes: make([]Crash, 0, len(r.crashes))}
	for _, c := range r.crashes {
		s.Crashes = append(s.Crashes, Crash{Process: c.process, Age: now.Sub(c.at)})
	}
	if !r.clearedAt.IsZero() {
		s.Cleared, s.ClearedAge = true, now.Sub(r.clearedAt)
	}
	return s
}
