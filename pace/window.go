// Package pace bounds how often something is done: retries, requests to cold
// targets, and the share of requests that leave their region. Every entry
// decides by itself; the bounds are parts of what the whole fleet may do. It
// does no input or output and is passed the time.
package pace

import (
	"sync"
	"time"
)

// Window counts events over a span of time that slides in steps of a part of
// the span. It is safe for use by several goroutines.
type Window struct {
	mu    sync.Mutex
	step  time.Duration
	parts []int64
	last  int64
}

// NewWindow makes a Window of the span, divided into parts.
func NewWindow(span time.Duration, parts int) *Window {
	return &Window{step: span / time.Duration(parts), parts: make([]int64, parts+1)}
}

// Add counts n events.
func (w *Window) Add(n int64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.parts[w.at(w.last)] += n
}

// Sum returns the number of events of the last span, or of up to one part more.
func (w *Window) Sum(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.sum()
}

// TryAdd counts one event if the sum stays within most.
func (w *Window) TryAdd(most int64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.sum() >= most {
		return false
	}
	w.parts[w.at(w.last)]++
	return true
}

func (w *Window) sum() int64 {
	total := int64(0)
	for _, n := range w.parts {
		total += n
	}
	return total
}

func (w *Window) at(step int64) int { return int(step % int64(len(w.parts))) }

// advance empties the parts that fell out of the span. A clock that goes back
// counts as standing still.
func (w *Window) advance(now time.Time) {
	step := now.UnixNano() / int64(w.step)
	if step-w.last >= int64(len(w.parts)) {
		clear(w.parts)
		w.last = step
	}
	for w.last < step {
		w.last++
		w.parts[w.at(w.last)] = 0
	}
}
