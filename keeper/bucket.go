package keeper

import (
	"sync"
	"time"
)

// Bucket limits a flow, such as the bytes that a zone sends on a link or the
// requests that it takes over: over any stretch of time it lets through at most
// the rate times the stretch, and the burst. Its methods may be called from
// several goroutines.
type Bucket struct {
	mu    sync.Mutex
	rate  float64 // units a second
	burst float64
	level float64
	at    time.Duration
}

// NewBucket makes a full Bucket with the rate in units a second.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, at: now}
}

// SetRate changes the rate and the burst; what is in the bucket stays, up to
// the new burst.
func (b *Bucket) SetRate(rate, burst float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

func (b *Bucket) fill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// Take takes the units if they are there. If not, it takes nothing and returns
// the time after which they will be, or the longest time if they never will.
func (b *Bucket) Take(units float64, now time.Duration) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if units <= b.level {
		b.level -= units
		return true, 0
	}
	if b.rate <= 0 || units > b.burst {
		return false, 1<<63 - 1
	}
	return false, time.Duration((units-b.level)/b.rate*float64(time.Second)) + 1
}

// Charge takes units that have been used already, as when an answer was longer
// than expected, or gives unused ones back if they are negative. The bucket may
// be left in debt.
func (b *Bucket) Charge(units float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.level = min(b.burst, b.level-units)
}
