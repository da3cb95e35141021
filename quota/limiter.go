package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/place"
)

const (
	// horizon is the time for whose requests the room has to suffice.
	horizon = time.Second
	// leavingPart is the divisor of the horizon up to which requests that leave the
	// window make room. With the whole horizon, the requests of a burst make room up to
	// 1 s early when they leave, and a window holds up to 16 % too many.
	leavingPart = 2
	// demandMemory is the time constant of the fleet's demand. It has to be short,
	// because the counts that it is computed from are up to 0.6 s old. With a low quota
	// it is the time of demandRequests, up to demandMemoryMax, because a few requests
	// that come together by chance are no rise.
	demandMemory    = 300 * time.Millisecond
	demandMemoryMax = time.Second
	demandRequests  = 6
	// replyLag is how old the others' counts in a reply may be. The bucket of an
	// instance holds at most an allowanceParts-th of its part of the room, but
	// allowanceMin requests, so that those that come together by chance are admitted.
	replyLag       = 600 * time.Millisecond
	allowanceParts = 3
	allowanceMin   = 5
	// ownSpan is the time over which the instance's own requests are counted, in
	// ownBins bins. Fewer than significant requests say nothing about the demand.
	ownSpan     = 300 * time.Millisecond
	ownBins     = 6
	significant = 8
	// At the start there is room for startSlack of the slack, less the requests of
	// startDebt at the quota's rate, because the previous usage is unknown.
	startSlack = 0.25
	startDebt  = 0.4
	// The bounds of the time after which a refused client may try again.
	retryAfterMin = 500 * time.Millisecond
	retryAfterMax = 5 * time.Second
)

// Limiter decides at one instance which requests of tenants are admitted. It is safe
// for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	random  func() float64
	started time.Time
	bounds  Bounds
	// instances is the number of instances in the fleet.
	instances int
	buckets   map[place.Tenant]*bucket
	// sequence is the number of the latest report, which is unacknowledged if
	// waiting is set.
	sequence  uint64
	waiting   bool
	known     Position
	lastReply time.Time
	cutOff    bool
}

// bucket holds the fleet's usage of a tenant's quota, as this instance computes it.
type bucket struct {
	quota Quota
	// span is the length of the window that the quota holds for, and used holds the
	// fleet's requests in it. Own requests are counted at once, those of others when a
	// reply tells of them.
	span time.Duration
	used window
	// tokens are those of the instance's own token bucket at refilled, while it is cut
	// off.
	tokens   float64
	refilled time.Time
	// pending holds what no report contains yet, sent what is in the latest report.
	pending, sent Counts
	fleet         Counts
	// allowance holds the tokens at allowedAt of the bucket by which the instance uses its
	// part of the room.
	allowance float64
	allowedAt time.Time
	// replied holds the room as of the last reply, and since how many requests were
	// admitted here since then.
	replied float64
	since   int64
	// fleetDemand and ownDemand are the rates of the requests that the replies told
	// of, fleetUsage and ownUsage those of the admitted ones.
	fleetDemand, ownDemand, fleetUsage, ownUsage average
	recent                                       recent
	// share is the part of the quota that the instance has while it is cut off, reserved
	// the part that is counted for others that are.
	share, reserved float64
}

// recent counts the requests of the last ownSpan.
type recent struct {
	bins   [ownBins]int
	newest int64
}

// count adds n requests and returns the number of those in the last ownSpan.
func (r *recent) count(n int, sinceStart time.Duration) (total int) {
	bin := int64(sinceStart / (ownSpan / ownBins))
	for r.newest < bin {
		r.newest = max(r.newest+1, bin-ownBins)
		r.bins[r.newest%ownBins] = 0
	}
	r.bins[r.newest%ownBins] += n
	for _, bin := range r.bins {
		total += bin
	}
	return total
}

// NewLimiter returns a Limiter. random returns random numbers from 0 to 1.
func NewLimiter(bounds Bounds, random func() float64, now time.Time) *Limiter {
	return &Limiter{random: random, started: now, bounds: bounds, instances: 1, buckets: map[place.Tenant]*bucket{}, lastReply: now}
}

// Update sets the quotas that are in force and the number of instances in the fleet.
// Tenants without a quota are forgotten.
func (l *Limiter) Update(quotas map[place.Tenant]Quota, bounds Bounds, instances int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds, l.instances = bounds, instances
	for name := range l.buckets {
		if _, found := quotas[name]; !found {
			delete(l.buckets, name)
		}
	}
	if len(quotas) == 0 {
		// Without quotas there are no replies, and nobody is cut off.
		l.lastReply, l.cutOff = now, false
	}
	for name, q := range quotas {
		l.bucket(name, q, now)
	}
	l.checkReplies(now)
}

// bucket returns the bucket of a tenant with the quota that is in force now.
func (l *Limiter) bucket(name place.Tenant, q Quota, now time.Time) *bucket {
	q = l.bounds.effective(q)
	span := time.Duration(l.bounds.Window * float64(time.Second))
	b, found := l.buckets[name]
	if !found {
		b = &bucket{quota: q, span: span, refilled: now, share: 1 / float64(max(l.instances, 1)), allowance: allowanceMin, allowedAt: now}
		b.setRoom(min(l.bounds.Slack*startSlack, q.burst)-startDebt*q.perSecond, now.Sub(l.started))
		b.replied = b.room()
		l.buckets[name] = b
	}
	if l.cutOff && b.quota != q {
		b.refill(now)
	}
	if room := b.room(); b.span != span {
		b.span, b.quota = span, q
		b.setRoom(room, now.Sub(l.started))
	}
	b.quota = q
	b.used.advance(now.Sub(l.started))
	return b
}

// capacity returns how many requests of the fleet the window may hold. What others that
// are cut off may use of the rate is counted like their requests, and what they may use
// of the burst is left out here.
func (b *bucket) capacity() float64 {
	return b.quota.perSecond*b.span.Seconds() + b.quota.burst*(1-b.reserved)
}

// room returns how many more requests of the fleet the window may hold. It may be
// negative.
func (b *bucket) room() float64 { return b.capacity() - b.used.sum }

// setRoom makes the window hold as many requests as leave the given room.
func (b *bucket) setRoom(room float64, sinceStart time.Duration) {
	b.used = newWindow(b.span, max(b.capacity()-room, 0), sinceStart)
}

// refill refills the token bucket of an instance that is cut off. It has the instance's
// share of the rate and of the burst.
func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.refilled); passed > 0 {
		b.tokens += b.quota.perSecond * b.share * passed.Seconds()
		b.refilled = now
	}
	b.tokens = min(b.tokens, b.quota.burst*b.share)
}

// checkReplies limits the instance to its share of each quota if there has been no
// reply for too long. Its zone counts that share for it.
func (l *Limiter) checkReplies(now time.Time) {
	if l.cutOff || now.Sub(l.lastReply) <= silentAfter {
		return
	}
	for _, b := range l.buckets {
		b.share = share(b.quota.perSecond, b.ownUsage, b.fleetUsage, l.instances)
		tokens := b.replied + b.quota.perSecond*now.Sub(l.lastReply).Seconds()
		b.tokens, b.refilled = min(tokens, b.quota.burst)*b.share-float64(b.since), now
	}
	l.cutOff = true
}

// CutOff reports whether there has been no reply for so long that the instance keeps to
// its share of the quotas.
func (l *Limiter) CutOff(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkReplies(now)
	return l.cutOff
}

// Admit decides whether a request of a tenant is admitted. If not, the client may try
// again after retryAfter.
func (l *Limiter) Admit(name place.Tenant, q Quota, now time.Time) (retryAfter time.Duration, admitted bool) {
	if !q.Limited() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkReplies(now)
	b := l.bucket(name, q, now)
	b.pending.asked++
	expected := b.demand(l.cutOff, b.recent.count(1, now.Sub(l.started))) * horizon.Seconds()
	perSecond := b.quota.perSecond * (1 - b.reserved)
	available := b.room() + b.used.leaving(horizon/leavingPart)
	if l.cutOff {
		b.refill(now)
		perSecond = b.quota.perSecond * b.share
		available = b.tokens + perSecond*horizon.Seconds()
	}
	if available > 0 && (available >= expected || l.random()*expected < available) && (l.cutOff || l.known.ID == 0 || b.takeAllowance(l.instances, now)) {
		b.count(1)
		b.since++
		b.pending.admitted++
		return 0, true
	}
	wait := time.Duration(max(expected-available, 0) / perSecond * float64(time.Second))
	if wait < 0 || wait > retryAfterMax {
		wait = retryAfterMax
	}
	// The times are spread, so that those refused together don't return together.
	return time.Duration((0.5 + l.random()) * float64(max(wait, retryAfterMin))), false //nolint:mnd // half to one and a half times
}

// takeAllowance counts a request against the instance's own token bucket and reports
// whether there was a token. The bucket lets all instances together use the room once
// until they hear of each other: each has its part by demand. Without it they use a
// small room many times over when a tenant's demand rises everywhere at once. A low
// quota has no such bucket: what it may hold at all instances would exceed the quota.
func (b *bucket) takeAllowance(instances int, now time.Time) bool {
	if b.capacity() <= float64(allowanceMin*instances) {
		return true
	}
	part := 1 / float64(max(instances, 1))
	if b.fleetDemand > 0 {
		part = max(part, min(float64(b.ownDemand/b.fleetDemand), 1))
	}
	room := part * max(b.room()+b.used.leaving(replyLag), 0)
	if passed := now.Sub(b.allowedAt); passed > 0 {
		b.allowance += room * min(passed.Seconds()/replyLag.Seconds(), 1)
		b.allowedAt = now
	}
	b.allowance = min(b.allowance, max(room/allowanceParts, allowanceMin))
	if b.allowance < 1 {
		return false
	}
	b.allowance--
	return true
}

// count takes in requests that were admitted here.
func (b *bucket) count(requests int64) {
	b.tokens -= float64(requests)
	b.used.add(float64(requests))
}

// demand returns the expected requests per second in the whole fleet, or here if the
// instance is cut off. own is the number of requests here in the last ownSpan. A rise
// of it counts before a reply tells of it.
func (b *bucket) demand(cutOff bool, own int) float64 {
	ownNow := 0.0
	if own >= significant {
		ownNow = float64(own) / ownSpan.Seconds()
	}
	if cutOff {
		return ownNow
	}
	return float64(b.fleetDemand) + max(ownNow-float64(b.ownDemand), 0)
}

// Return takes back an admitted request that ran at no target and never will.
func (l *Limiter) Return(name place.Tenant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, found := l.buckets[name]; found {
		b.count(-1)
		b.since--
		b.pending.admitted--
	}
}

// Report returns the next report. It repeats the previous one if Take hasn't been
// called since, because the reply may have been lost.
func (l *Limiter) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.waiting {
		l.sequence++
		l.waiting = true
		for _, b := range l.buckets {
			b.sent, b.pending = b.pending, Counts{}
		}
	}
	r := Report{Sequence: l.sequence, Usage: Usage{}, Known: l.known}
	for name, b := range l.buckets {
		if b.sent != (Counts{}) {
			r.Usage[name] = b.sent
		}
	}
	return r
}

// Take takes in the reply to the latest report: the counts of the fleet.
func (l *Limiter) Take(t Totals, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkReplies(now)
	sameCollector := t.Position.ID == l.known.ID
	since := now.Sub(l.lastReply)
	// All counts of a new collector are of requests since then if it is younger. If
	// not, its first counts are the baseline.
	isYounger := t.Age <= since
	sinceStart := now.Sub(l.started)
	for name, b := range l.buckets {
		total, changed := t.Usage[name]
		if !changed && sameCollector {
			total = b.fleet
		}
		b.used.advance(sinceStart)
		switch {
		case l.cutOff:
			// The room is that of the instance's share, or that of a start, because a
			// process that starts gets its first reply late.
			b.refill(now)
			if l.known.ID == 0 {
				b.tokens = max(b.tokens, b.replied-float64(b.since))
			}
			b.setRoom(b.tokens, sinceStart)
		case sameCollector:
			b.take(total.minus(b.fleet), since)
		case isYounger:
			b.take(total, since)
		default:
			// What others admitted since the last reply can't be told from the counts.
			b.used.add(max(float64(b.fleetUsage-b.ownUsage), 0) * since.Seconds())
		}
		b.reserve(t.Reserved[name])
		b.fleet, b.sent = total, Counts{}
		b.replied, b.since = b.room(), 0
	}
	l.known, l.lastReply, l.cutOff, l.waiting = t.Position, now, false, false
}

// reserve sets the part of the quota that is counted for others that are cut off. They
// may use that part of the room, too, as of the time when they were heard last, and their
// demand is no longer part of the fleet's.
func (b *bucket) reserve(part float64) {
	more := part - b.reserved
	if room := b.room(); more > 0 && room > 0 {
		used := float64(b.fleetDemand) * silentAfter.Seconds()
		// The capacity falls by their part of the burst.
		b.used.add(max(room+used-b.quota.burst, 0) * more)
		b.fleetDemand *= average(1 - more)
	}
	b.reserved = part
}

// take takes in what the fleet received and admitted since the previous reply. What is
// in sent is included, and was counted already. After a time without replies
// sent may hold more than the fleet counts.
func (b *bucket) take(fleet Counts, since time.Duration) {
	b.used.add(max(float64(fleet.admitted-b.sent.admitted), 0))
	memory := time.Duration(demandRequests / b.quota.perSecond * float64(time.Second))
	memory = min(max(memory, demandMemory), demandMemoryMax)
	b.fleetDemand.add(float64(fleet.asked), since, memory)
	b.ownDemand.add(float64(min(b.sent.asked, fleet.asked)), since, memory)
	b.fleetUsage.add(float64(fleet.admitted), since, shareMemory)
	b.ownUsage.add(float64(min(b.sent.admitted, fleet.admitted)), since, shareMemory)
}

// State is what the dump of a process shows of a tenant's quota.
type State struct {
	Tenant    place.Tenant `json:"tenant"`
	PerSecond float64      `json:"per_second"`
	Burst     float64      `json:"burst"`
	// Room is how many more requests fit into the quota's window, for an instance that is
	// cut off how many tokens it has.
	Room float64 `json:"room"`
	// Demand is the expected number of requests per second in the whole fleet.
	Demand    float64 `json:"demand"`
	AgeMillis int64   `json:"age_ms"`
	CutOff    bool    `json:"cut_off"`
}

// States returns the states of all tenants with a quota, by name. AgeMillis is the
// time since the last reply.
func (l *Limiter) States(now time.Time) []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkReplies(now)
	states := make([]State, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.used.advance(now.Sub(l.started))
		part, room := 1-b.reserved, b.room()
		if l.cutOff {
			b.refill(now)
			part, room = b.share, b.tokens
		}
		states = append(states, State{
			Tenant: name, PerSecond: b.quota.perSecond * part, Burst: b.quota.burst * part, Room: room,
			Demand:    b.demand(l.cutOff, b.recent.count(0, now.Sub(l.started))),
			AgeMillis: now.Sub(l.lastReply).Milliseconds(), CutOff: l.cutOff,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return states
}
