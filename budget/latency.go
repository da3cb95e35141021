package budget

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// LatencyWindow is the length of a window. An observation counts until the
	// window after its own ends: for one to two windows.
	LatencyWindow = 10 * time.Second
	// LatencySamplesMin is the minimum number of observations for a quantile.
	LatencySamplesMin = 20

	subBucketBits  = 4
	subBuckets     = 1 << subBucketBits
	bucketCount    = 40 * subBuckets // up to 2^43 µs, 101 days
	updateInterval = 32              // observations
)

// window is a histogram of the observations in one time window. From 16 µs on,
// the width of each bucket is at most 1/16 of its lower edge; the last bucket
// also holds everything above.
type window struct {
	counts [bucketCount]atomic.Uint32
	total  atomic.Uint32
}

// Latency tracks one quantile of the latency of a service over the last 10 to
// 20 seconds. Record performs a few atomic operations and allocates only when a
// new window begins, once in 10 s. It is safe for concurrent use.
type Latency struct {
	quantile float64
	// started is when the first window began. windowStart is when the current
	// one began, in nanoseconds since then, by the monotonic clock.
	started     time.Time
	windowStart atomic.Int64
	current     atomic.Pointer[window]
	previous    atomic.Pointer[window]
	value       atomic.Int64
}

// NewLatency returns a tracker of the quantile, such as 0.95, whose first window
// begins at the time now.
func NewLatency(quantile float64, now time.Time) *Latency {
	l := &Latency{quantile: quantile, started: now}
	l.current.Store(&window{})
	l.previous.Store(&window{})
	return l
}

// Record adds a latency that was observed at the time now. The quantile is
// updated at every observation up to LatencySamplesMin in a window, then at
// every 32nd.
func (l *Latency) Record(now time.Time, latency time.Duration) {
	l.rotate(now)
	w := l.current.Load()
	w.counts[bucketOf(latency)].Add(1)
	if n := w.total.Add(1); n <= LatencySamplesMin || n%updateInterval == 0 {
		l.updateQuantile()
	}
}

// Value returns the quantile, rounded up by at most 1/16, and false while there
// are fewer than LatencySamplesMin observations.
func (l *Latency) Value() (time.Duration, bool) {
	value := time.Duration(l.value.Load())
	return value, value > 0
}

// rotate begins a new window if the current one is over. When several
// goroutines call it, the one that advances windowStart does the work. After
// two windows without an observation it drops the previous one too.
func (l *Latency) rotate(now time.Time) {
	windowStart := l.windowStart.Load()
	sinceStarted := int64(now.Sub(l.started))
	elapsed := sinceStarted - windowStart
	if elapsed < int64(LatencyWindow) || !l.windowStart.CompareAndSwap(windowStart, sinceStarted) {
		return
	}
	ended := l.current.Swap(&window{})
	if elapsed >= 2*int64(LatencyWindow) {
		ended = &window{}
	}
	l.previous.Store(ended)
	l.updateQuantile()
}

// updateQuantile computes the quantile from both windows, or sets it to unknown
// if they have too few observations.
func (l *Latency) updateQuantile() {
	current := l.current.Load()
	previous := l.previous.Load()
	total := uint64(current.total.Load()) + uint64(previous.total.Load())
	if total < LatencySamplesMin {
		l.value.Store(0)
		return
	}
	rank := uint64(l.quantile*float64(total) + 1)
	cumulative := uint64(0)
	for i := range bucketCount {
		cumulative += uint64(current.counts[i].Load()) + uint64(previous.counts[i].Load())
		if cumulative >= min(rank, total) {
			l.value.Store(int64(upperEdge(i)))
			return
		}
	}
}

// bucketOf returns the index of the bucket for a latency: one bucket per
// microsecond below 16 µs, and 16 buckets per power of two above.
func bucketOf(latency time.Duration) int {
	micros := uint64(max(latency.Microseconds(), 0))
	if micros < subBuckets {
		return int(micros)
	}
	power := bits.Len64(micros) - 1 - subBucketBits
	return min(power*subBuckets+int(micros>>power), bucketCount-1)
}

// upperEdge returns the exclusive upper edge of a bucket.
func upperEdge(bucket int) time.Duration {
	next := bucket + 1
	if next < subBuckets {
		return time.Duration(next) * time.Microsecond
	}
	power := next/subBuckets - 1
	return time.Duration((next%subBuckets+subBuckets)<<power) * time.Microsecond
}

// Wait estimates how long a new request waits for one of the slots, given the
// numbers of running and queued requests and the mean duration of a request. It
// is zero if a slot is free, and the maximum duration if there are no slots.
func Wait(running, queued, slots int, mean time.Duration) time.Duration {
	if slots < 1 {
		return 1<<63 - 1
	}
	ahead := running + queued + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return mean * time.Duration(ahead) / time.Duration(slots)
}
