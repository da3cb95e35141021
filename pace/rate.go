package pace

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivechute/endivechute/fleet"
)

const (
	// limitMargin is the fraction of a limit that the senders use. Entries that
	// start need some requests to learn of the limit.
	limitMargin = 0.75
	// trickleShare is the fraction of a limit that the other entries use.
	trickleShare = 0.05
	// burstSpan times the limit, and burstMin more, is the number of requests that
	// the senders together may send at once after an idle time.
	burstSpan = 2 * time.Second
	burstMin  = 2
	// slotAge is how long after its start a slot of the trickle may still be used.
	slotAge = time.Second
	// rateMin replaces lower limits, in requests per second. Without any request
	// the end of a limit would not be noticed.
	rateMin = 0.1
	// observationTime is how long an observation is told to other entries.
	observationTime = 1500 * time.Millisecond
	// changeTime is how long a change is told to entries of other availability
	// zones, and changeMin the least change of a limit that is, as a fraction of it.
	changeTime = time.Second
	changeMin  = 0.2
	// limitMemory is how long the limit of a process that isn't listed is kept. A
	// target may disappear from the list for a while.
	limitMemory = 10 * time.Minute
)

// Turn is the position of this entry in an order of all entries on which they agree.
type Turn struct {
	position, size int
}

// NewTurn returns the turn of an entry at a position from 0 to size-1 among size
// entries.
func NewTurn(position, size int) Turn { return Turn{position: position, size: max(size, 1)} }

// Share is an entry's part of a limit. The first entries in the order are the
// senders, as many as may send a request at the same moment without exceeding the
// limit. Each has a token bucket. The others only send a trickle, from which they
// learn whether the limit is still there if nobody tells them.
type Share struct {
	// perSecond is the rate of the entry and burst the capacity of its bucket, 0 if
	// it isn't a sender.
	perSecond, burst float64
}

// WholeLimit returns the part of a limit that the only entry has which sends to a
// target.
func WholeLimit(limit float64) Share { return NewTurn(0, 1).share(limit) }

// Bucket is the token bucket of a sender. The zero value is empty.
type Bucket struct{ tokens float64 }

// Refill adds the tokens of the given time, which has passed since the last call.
func (b *Bucket) Refill(s Share, passed time.Duration) {
	b.tokens = min(b.tokens+s.perSecond*max(passed, 0).Seconds(), s.burst)
}

// Tokens returns how many requests may be sent now.
func (b *Bucket) Tokens() int { return int(max(b.tokens, 0)) }

// Wait returns after which time the given number of requests may have been sent, 0 if
// they may be sent now.
func (b *Bucket) Wait(s Share, requests int) time.Duration {
	return seconds(max(float64(requests)-b.tokens, 0) / s.perSecond)
}

// Take counts a request.
func (b *Bucket) Take() { b.tokens-- }

func (t Turn) share(limit float64) Share {
	limit = max(limit, rateMin)
	tokens := math.Floor(limit*burstSpan.Seconds()) + burstMin
	senders := min(float64(t.size), tokens)
	if float64(t.position) < senders {
		return Share{perSecond: limitMargin * limit / senders, burst: math.Floor(tokens / senders)}
	}
	return Share{perSecond: trickleShare * limit / (float64(t.size) - senders)}
}

// shift moves the order of the entries by the hash of a target, so that they aren't
// senders for the same targets.
func (t Turn) shift(target uint64) Turn {
	size := uint64(t.size)
	return Turn{position: int((uint64(t.position) + target%size) % size), size: t.size}
}

// Limit is what an entry knows of the limit of a target's process.
type Limit struct {
	process fleet.Process
	// perSecond is the limit on the requests of all entries together.
	perSecond float64
	// named is false if the target named a limit before and doesn't any more.
	named bool
	age   time.Duration
}

// NewLimit returns an observation of a process made the given time ago: that it
// names the limit, or, if named is false, that it names none any more.
func NewLimit(process fleet.Process, perSecond float64, named bool, age time.Duration) Limit {
	return Limit{process: process, perSecond: perSecond, named: named, age: age}
}

// Process returns the process that the limit is for.
func (l Limit) Process() fleet.Process { return l.process }

// PerSecond returns the limit, in requests per second from all entries together.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Named reports whether the process names the limit. If not, it did before.
func (l Limit) Named() bool { return l.named }

// Age returns how long ago the limit was observed.
func (l Limit) Age() time.Duration { return l.age }

// limitRecord is the newest observation of a process.
type limitRecord struct {
	perSecond float64
	named     bool
	// at is when any entry made the newest observation, and ownAt when this one
	// made its own newest.
	at, ownAt time.Time
	// changedAt is when this entry itself observed that a limit began, ended or
	// changed, and toldPerSecond the limit as of then.
	changedAt     time.Time
	toldPerSecond float64
	// bucket is that of a sender, as of refilledAt.
	bucket     Bucket
	refilledAt time.Time
	// nextSlot is the start of the slot of the trickle that is used next, zero if
	// there is none yet.
	nextSlot time.Time
}

// wait returns after which time a request may be sent, 0 if it may now.
func (l *limitRecord) wait(s Share, now time.Time) time.Duration {
	if s.burst == 0 {
		l.advanceSlot(s, now)
		return max(l.nextSlot.Sub(now), 0)
	}
	l.bucket.Refill(s, now.Sub(l.refilledAt))
	l.refilledAt = now
	return l.bucket.Wait(s, 1)
}

// use counts a request that may be sent now.
func (l *limitRecord) use(s Share) {
	if s.burst == 0 {
		l.nextSlot = l.nextSlot.Add(seconds(1 / s.perSecond))
		return
	}
	l.bucket.Take()
}

// advanceSlot passes over the slots that can't be used any more. A slot that isn't
// used is lost, so that not all entries have one after an idle time. The first slot
// is at a random time, so that those of the entries are spread.
func (l *limitRecord) advanceSlot(s Share, now time.Time) {
	interval := seconds(1 / s.perSecond)
	if l.nextSlot.IsZero() {
		l.nextSlot = now.Add(time.Duration(rand.Float64() * float64(interval)))
	}
	if late := now.Sub(l.nextSlot) - slotAge; late > 0 {
		l.nextSlot = l.nextSlot.Add((late/interval + 1) * interval)
	}
	// The interval is shorter than before if the limit has risen.
	if latest := now.Add(interval); l.nextSlot.After(latest) {
		l.nextSlot = latest
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RateLimiter keeps the requests of all entries to a target within the limit that
// the target names. It answers the load pattern of a target that can't serve its
// usual load: what doesn't fit goes to other targets. It is safe for concurrent use.
type RateLimiter struct {
	turn func() Turn

	mu      sync.Mutex
	records map[fleet.Process]*limitRecord
}

// NewRateLimiter returns a RateLimiter without limits. turn returns the present
// turn of this entry.
func NewRateLimiter(turn func() Turn) *RateLimiter {
	return &RateLimiter{turn: turn, records: map[fleet.Process]*limitRecord{}}
}

// Named records that a process named a limit in an answer, and reports whether that
// is new or differs from what was known.
func (r *RateLimiter) Named(process fleet.Process, perSecond float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[process]
	if !found {
		record = r.add(process, now)
	}
	changed := !record.named || record.perSecond != perSecond
	if !record.named || math.Abs(perSecond-record.toldPerSecond) > changeMin*record.toldPerSecond {
		record.changedAt, record.toldPerSecond = now, perSecond
	}
	record.perSecond, record.named, record.at, record.ownAt = perSecond, true, now, now
	return changed
}

// Unnamed records that a process named no limit in its answer to a request sent at
// the given time, and reports whether that ended a limit. It doesn't if the limit
// was named after the request was sent.
func (r *RateLimiter) Unnamed(process fleet.Process, sent, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[process]
	if !found || !record.named || !sent.After(record.at) {
		return false
	}
	record.named, record.at, record.ownAt, record.changedAt = false, now, now, now
	return true
}

// Hear records the observation of another entry, and reports whether it changes
// what was known. If relay is set, Observations returns it like this entry's own.
func (r *RateLimiter) Hear(l Limit, relay bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[l.process]
	at := now.Add(-max(l.age, 0))
	switch {
	case !found && !l.named, found && !at.After(record.at):
		return false
	case !found:
		record = r.add(l.process, now)
	}
	changed := record.named != l.named || l.named && record.perSecond != l.perSecond
	record.perSecond, record.named, record.at, record.toldPerSecond = l.perSecond, l.named, at, l.perSecond
	if relay {
		record.ownAt = at
	}
	return changed
}

// Observations returns what this entry itself has observed of late, the newest
// first, at most most of them.
func (r *RateLimiter) Observations(most int, now time.Time) []Limit {
	return r.observed(most, now, func(*limitRecord) bool { return true })
}

// Changes returns the observations that showed the start, the end or a change of a
// limit. There are few of them, so that they can be told to entries far away.
func (r *RateLimiter) Changes(most int, now time.Time) []Limit {
	return r.observed(most, now, func(l *limitRecord) bool { return now.Sub(l.changedAt) < changeTime })
}

func (r *RateLimiter) observed(most int, now time.Time, match func(*limitRecord) bool) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Limit
	for process, record := range r.records {
		// A later observation of another entry may say something else.
		if age := now.Sub(record.ownAt); age < observationTime && !record.at.After(record.ownAt) && match(record) {
			recent = append(recent, NewLimit(process, record.perSecond, record.named, age))
		}
	}
	slices.SortFunc(recent, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.age, b.age), strings.Compare(string(a.process.Target()), string(b.process.Target())))
	})
	return recent[:min(len(recent), most)]
}

// Limit returns the limit that a process names, and false if it names none.
func (r *RateLimiter) Limit(process fleet.Process) (perSecond float64, named bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[process]
	if !found || !record.named {
		return 0, false
	}
	return record.perSecond, true
}

// Size returns how many processes name a limit.
func (r *RateLimiter) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, record := range r.records {
		if record.named {
			n++
		}
	}
	return n
}

// Wait returns after which time this entry may send the target a request, 0 if it
// may now.
func (r *RateLimiter) Wait(m *fleet.Member, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[m.Process()]
	if !found || !record.named {
		return 0
	}
	return record.wait(r.shareOf(m, record), now)
}

// Take counts a request to the target and returns true, or returns false if this
// entry may not send it one now.
func (r *RateLimiter) Take(m *fleet.Member, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, found := r.records[m.Process()]
	if !found || !record.named {
		return true
	}
	part := r.shareOf(m, record)
	if record.wait(part, now) > 0 {
		return false
	}
	record.use(part)
	return true
}

// add adds a record of a process. The caller holds r.mu.
func (r *RateLimiter) add(process fleet.Process, now time.Time) *limitRecord {
	record := &limitRecord{refilledAt: now}
	r.records[process] = record
	return record
}

// shareOf returns this entry's part of the limit of a target.
func (r *RateLimiter) shareOf(m *fleet.Member, record *limitRecord) Share {
	return r.turn().shift(m.Hash()).share(record.perSecond)
}

// Forget drops what is known of processes that have ended.
func (r *RateLimiter) Forget(view *fleet.View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.records, func(process fleet.Process, record *limitRecord) bool {
		m, found := view.Member(process.Target())
		listed := found && m.Process() == process
		return !listed && now.Sub(record.at) > limitMemory
	})
}
