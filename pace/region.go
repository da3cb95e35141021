package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// shareWindow is the length of the windows between which the platform compares
	// the shares of requests per region, and shareWindowParts the number of parts
	// of the window here.
	shareWindow      = 2 * time.Second
	shareWindowParts = 8
	// shareMargin is the fraction of the allowed change that is used. Two windows
	// of the platform can overlap three windows of this entry, and the count
	// changes by whole requests.
	shareMargin = 0.25
	// shareMinRequests is how many requests a window needs for its share to be
	// meaningful.
	shareMinRequests = 10
)

// RegionLimiter limits how fast the share of requests that run outside their
// own region rises or falls. It is safe for concurrent use.
type RegionLimiter struct {
	mu          sync.Mutex
	step        float64
	all         *Window
	outside     *Window
	minShare    float64
	maxShare    float64
	boundsUntil time.Time
}

// NewRegionLimiter returns a RegionLimiter that lets the share change by at
// most shiftMax, a fraction of all requests, from one window to the next.
func NewRegionLimiter(shiftMax float64) *RegionLimiter {
	return &RegionLimiter{
		step: shiftMax * shareMargin, maxShare: 1,
		all: NewWindow(shareWindow, shareWindowParts), outside: NewWindow(shareWindow, shareWindowParts),
	}
}

// Constraint is the constraint on the region in which the next request runs.
type Constraint uint8

// The directions.
const (
	// AnyRegion means that the request may run in any region.
	AnyRegion Constraint = iota
	// OwnRegion means that the request must run in its own region: the share of
	// requests that leave is at its upper bound.
	OwnRegion
	// OtherRegion means that the request should run in another region: the
	// share of requests that leave is below its lower bound.
	OtherRegion
)

// Next returns the constraint on the next request.
func (l *RegionLimiter) Next(now time.Time) Constraint {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, outside := l.all.Sum(now), l.outside.Sum(now)
	if !now.Before(l.boundsUntil) {
		l.setBounds(all, outside)
		l.boundsUntil = now.Add(shareWindow)
	}
	switch share := float64(outside+1) / float64(all+1); {
	case share > l.maxShare && float64(outside) >= l.maxShare*float64(all):
		return OwnRegion
	case float64(outside) < l.minShare*float64(all+1):
		return OtherRegion
	}
	return AnyRegion
}

// setBounds sets the bounds for the next window from the counts of the last one.
// With too few requests there are no bounds. The change allowed is at least the
// standard deviation of the share: random variation at one entry is independent
// of the other entries, and a tighter bound would only send requests to targets
// that don't have their objects cached.
func (l *RegionLimiter) setBounds(all, outside int64) {
	if all < shareMinRequests {
		l.minShare, l.maxShare = 0, 1
		return
	}
	share := float64(outside) / float64(all)
	step := max(l.step, math.Sqrt(share*(1-share)/float64(all)))
	l.minShare, l.maxShare = share-step, share+step
}

// Count counts a request that was sent to a target. outside says whether the
// target is in another region.
func (l *RegionLimiter) Count(outside bool, now time.Time) {
	l.all.Add(1, now)
	if outside {
		l.outside.Add(1, now)
	}
}
