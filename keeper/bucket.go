package keeper

import (
	"sync"
	"time"
)

// Bucket is a token bucket that limits a flow, such as the bytes that a zone
// sends on a link or the requests that it takes over. Over any interval it
// admits at most the rate times the interval's length, plus the burst. Its
// methods are safe for concurrent use.
type Bucket struct {
	mu         sync.Mutex
	rate       float64 // units per second
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns a full Bucket that refills at rate units per second and
// holds at most burst units.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// SetRate changes the rate and the burst. What the bucket holds beyond the new
// burst is discarded.
func (b *Bucket) SetRate(rate, burst float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Take removes the units and reports whether the bucket held that many. If not,
// it removes nothing and returns the time until they are available, or the
// maximum Duration if they never will be.
func (b *Bucket) Take(units float64, now time.Duration) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if units <= b.tokens {
		b.tokens -= units
		return true, 0
	}
	if b.rate <= 0 || units > b.burst {
		return false, 1<<63 - 1
	}
	return false, time.Duration((units-b.tokens)/b.rate*float64(time.Second)) + 1
}

// Debit removes units that have been used already, as when an answer was
// longer than expected; negative units are given back. The balance may become
// negative.
func (b *Bucket) Debit(units float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens-units)
}
