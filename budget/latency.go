package budget

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// LatencyWindow is how long an observation counts at least; it counts for
	// at most two windows.
	LatencyWindow = 10 * time.Second
	// LatencySamplesMin is how many observations a quantile needs.
	LatencySamplesMin = 20

	subBits      = 4
	subBuckets   = 1 << subBits
	buckets      = 40 * subBuckets
	refreshEvery = 32
)

// window counts observations by size. Bucket edges grow by at most 1/16.
type window struct {
	counts [buckets]atomic.Uint32
	total  atomic.Uint32
}

// Latency tracks one quantile of the latency of a service over the last 10 to
// 20 seconds. Recording costs a few atomic operations and no allocation, but
// for one new window in 10 s. It is safe for use by several goroutines.
type Latency struct {
	quantile float64
	began    atomic.Int64
	recent   atomic.Pointer[window]
	older    atomic.Pointer[window]
	value    atomic.Int64
}

// NewLatency makes a tracker of the quantile, such as 0.95.
func NewLatency(quantile float64, now time.Time) *Latency {
	l := &Latency{quantile: quantile}
	l.began.Store(now.UnixNano())
	l.recent.Store(&window{})
	l.older.Store(&window{})
	return l
}

// Record counts an observation made at the time now.
func (l *Latency) Record(now time.Time, took time.Duration) {
	l.rotate(now)
	w := l.recent.Load()
	w.counts[bucketOf(took)].Add(1)
	if n := w.total.Add(1); n <= LatencySamplesMin || n%refreshEvery == 0 {
		l.refresh()
	}
}

// Value returns the quantile, rounded up by at most 1/16, and false while there
// are too few observations to tell.
func (l *Latency) Value() (time.Duration, bool) {
	value := time.Duration(l.value.Load())
	return value, value > 0
}

// rotate begins a new window when the present one is over. Of several
// goroutines only the one that moves the beginning does it.
func (l *Latency) rotate(now time.Time) {
	began := l.began.Load()
	passed := now.UnixNano() - began
	if passed < int64(LatencyWindow) || !l.began.CompareAndSwap(began, now.UnixNano()) {
		return
	}
	kept := l.recent.Swap(&window{})
	if passed >= 2*int64(LatencyWindow) {
		kept = &window{}
	}
	l.older.Store(kept)
	l.refresh()
}

func (l *Latency) refresh() {
	recent := l.recent.Load()
	older := l.older.Load()
	total := uint64(recent.total.Load()) + uint64(older.total.Load())
	if total < LatencySamplesMin {
		l.value.Store(0)
		return
	}
	wanted := uint64(l.quantile*float64(total) + 1)
	seen := uint64(0)
	for i := range buckets {
		seen += uint64(recent.counts[i].Load()) + uint64(older.counts[i].Load())
		if seen >= min(wanted, total) {
			l.value.Store(int64(edgeOf(i)))
			return
		}
	}
}

// bucketOf returns the bucket of a latency, counted in microseconds: one bucket
// a microsecond up to 16, and 16 buckets for each doubling above.
func bucketOf(took time.Duration) int {
	micros := uint64(max(took.Microseconds(), 0))
	if micros < subBuckets {
		return int(micros)
	}
	power := bits.Len64(micros) - 1 - subBits
	return min(power*subBuckets+int(micros>>power), buckets-1)
}

// edgeOf returns the latency at which the next bucket begins.
func edgeOf(bucket int) time.Duration {
	next := bucket + 1
	if next < subBuckets {
		return time.Duration(next) * time.Microsecond
	}
	power := next/subBuckets - 1
	return time.Duration((next%subBuckets+subBuckets)<<power) * time.Microsecond
}

// Wait returns how long a request that comes now has to wait for a slot, when
// queued others wait already and each takes about mean. With a free slot it is
// zero; with no slot it is forever.
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
