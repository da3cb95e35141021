package keeper

import (
	"time"

	"github.com/endivechute/endivechute/pace"
)

// rate is the limit on the requests per second that a target names in its answers.
// It holds for all entries together, of which only the keeper sends.
type rate struct {
	perSecond  float64
	named      bool
	namedAt    time.Duration
	bucket     pace.Bucket
	refilledAt time.Duration
}

// Name records that the target named a limit at the time now.
func (r *rate) name(perSecond float64, now time.Duration) {
	if !r.named {
		r.bucket, r.refilledAt = pace.Bucket{}, now
	}
	r.perSecond, r.named, r.namedAt = perSecond, true, now
}

// unname records that the target named no limit in the answer to a request that was
// sent at the given time. It has no effect if a limit was named later.
func (r *rate) unname(sent time.Duration) {
	if sent > r.namedAt {
		r.named = false
	}
}

// free returns how many of the requests that have slots may be sent now.
func (r *rate) free(slots int, now time.Duration) int {
	if !r.named {
		return slots
	}
	r.refill(now)
	return min(slots, r.bucket.Tokens())
}

// wait returns after which time the given number of requests may have been sent.
func (r *rate) wait(requests int, now time.Duration) time.Duration {
	if !r.named {
		return 0
	}
	r.refill(now)
	return r.bucket.Wait(pace.WholeLimit(r.perSecond), requests)
}

func (r *rate) take() {
	if r.named {
		r.bucket.Take()
	}
}

func (r *rate) refill(now time.Duration) {
	r.bucket.Refill(pace.WholeLimit(r.perSecond), now-r.refilledAt)
	r.refilledAt = now
}

// NameLimit records that the target named a limit on its requests per second in an
// answer.
func (l *Ledger) NameLimit(perSecond float64, now time.Duration) { l.rate.name(perSecond, now) }

// UnnameLimit records that the target named no limit in the answer to a request that
// was sent at the given time.
func (l *Ledger) UnnameLimit(sent time.Duration) { l.rate.unname(sent) }

// NamedLimit returns the limit that the target names, and false if it names none.
func (l *Ledger) NamedLimit() (perSecond float64, named bool) { return l.rate.perSecond, l.rate.named }

// NameLimit records that the target named a limit on its requests per second in an
// answer, or that its keeper told of one.
func (l *Limiter) NameLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.NameLimit(perSecond, l.clock())
}

// UnnameLimit records that the target named no limit in the answer to a request that
// was sent at the given time on the Limiter's clock.
func (l *Limiter) UnnameLimit(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.UnnameLimit(sent)
}
