// Package pace limits retries, requests to cold targets, and how fast the share
// of requests that leave their region changes. Each entry enforces its share of
// a fleet-wide limit locally. The package does no I/O and takes the current time
// as an argument.
package pace

import (
	"sync"
	"time"
)

// Window counts events in a sliding window that is divided into parts and
// advances one part at a time. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	step     time.Duration
	parts    []int64
	lastStep int64
	// start is the time of the first use. The time since then is measured by the
	// monotonic clock, so that a jump of the time of day doesn't move the window.
	start time.Time
}

// NewWindow returns a Window over the span with the given number of parts.
func NewWindow(span time.Duration, parts int) *Window {
	return &Window{step: span / time.Duration(parts), parts: make([]int64, parts+1)}
}

// Add counts n events.
func (w *Window) Add(n int64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.parts[w.index(w.lastStep)] += n
}

// Sum returns the number of events in the last span and up to one part before
// it.
func (w *Window) Sum(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.sum()
}

// TryAdd counts one event and returns true, or returns false if the sum has
// reached the limit.
func (w *Window) TryAdd(limit int64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.sum() >= limit {
		return false
	}
	w.parts[w.index(w.lastStep)]++
	return true
}

func (w *Window) sum() int64 {
	total := int64(0)
	for _, n := range w.parts {
		total += n
	}
	return total
}

func (w *Window) index(step int64) int { return int(step % int64(len(w.parts))) }

// advance clears the parts that have left the window. If the clock goes back,
// the window stays where it is.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	step := int64(now.Sub(w.start) / w.step)
	if step-w.lastStep >= int64(len(w.parts)) {
		clear(w.parts)
		w.lastStep = step
	}
	for w.lastStep < step {
		w.lastStep++
		w.parts[w.index(w.lastStep)] = 0
	}
}
