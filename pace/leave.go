package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// leaveSpan is the span over which the platform compares the regions in
	// which requests ran.
	leaveSpan = 2 * time.Second
	// leaveParts divides it.
	leaveParts = 8
	// leaveMargin is the part of the allowed change that is used. Two windows of
	// the platform can touch three of these, and counts move in whole requests.
	leaveMargin = 0.25
	// leaveLeast is how many requests a window needs to show a share.
	leaveLeast = 10
)

// Leave bounds how fast the share of the requests that run outside their own
// region changes, in both directions. It is safe for use by several goroutines.
type Leave struct {
	mu   sync.Mutex
	step float64
	all  *Window
	out  *Window
	low  float64
	high float64
	next time.Time
}

// NewLeave makes a bound on the change: at most shiftMax of the requests from
// one window to the next.
func NewLeave(shiftMax float64) *Leave {
	return &Leave{
		step: shiftMax * leaveMargin, high: 1,
		all: NewWindow(leaveSpan, leaveParts), out: NewWindow(leaveSpan, leaveParts),
	}
}

// Direction says what the bound asks of the next request.
type Direction uint8

// The directions.
const (
	// Free: the request may run in its own region or another.
	Free Direction = iota
	// Stay: the request must run in its own region.
	Stay
	// Go: the request should run in another region, as so many do now.
	Go
)

// Next returns what the bound asks of the next request.
func (l *Leave) Next(now time.Time) Direction {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, out := l.all.Sum(now), l.out.Sum(now)
	if !now.Before(l.next) {
		l.bound(all, out)
		l.next = now.Add(leaveSpan)
	}
	switch share := float64(out+1) / float64(all+1); {
	case share > l.high && float64(out) >= l.high*float64(all):
		return Stay
	case float64(out) < l.low*float64(all+1):
		return Go
	}
	return Free
}

// bound sets the bounds of the next window from what ran in the last. Without
// requests there is nothing to keep to. The share of few requests varies by
// chance, which no other entry shares; a bound tighter than its standard
// deviation would send objects to targets that don't know them for nothing.
func (l *Leave) bound(all, out int64) {
	if all < leaveLeast {
		l.low, l.high = 0, 1
		return
	}
	share := float64(out) / float64(all)
	step := max(l.step, math.Sqrt(share*(1-share)/float64(all)))
	l.low, l.high = share-step, share+step
}

// Ran counts a request that was sent to a target.
func (l *Leave) Ran(outside bool, now time.Time) {
	l.all.Add(1, now)
	if outside {
		l.out.Add(1, now)
	}
}
