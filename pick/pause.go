package pick

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// Pause records that a process of a target wants no requests from this entry for
// the given time. It answers the load pattern of targets that shed load: requests
// that they would reject don't reach them, and callers learn when to return. A
// shorter pause doesn't end a longer one.
func (c *Chooser) Pause(process fleet.Process, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := now.Add(pause); until.After(c.pauses[process]) {
		c.pauses[process] = until
	}
	maps.DeleteFunc(c.pauses, func(_ fleet.Process, until time.Time) bool { return !now.Before(until) })
}

// pauseOf returns how much longer a process is paused, 0 if it isn't. The caller
// holds c.mu.
func (c *Chooser) pauseOf(process fleet.Process, now time.Time) time.Duration {
	until, found := c.pauses[process]
	if !found {
		return 0
	}
	return max(until.Sub(now), 0)
}

// shortestPause returns after which time the first of the paused targets that the
// request may go to can be used again, 0 if none of them is paused.
func (c *Chooser) shortestPause(members []*fleet.Member, q Query, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	shortest := time.Duration(0)
	for _, m := range members {
		if !q.Allowed(m.Region()) || slices.Contains(q.Tried, m.Target()) {
			continue
		}
		if pause := c.pauseOf(m.Process(), now); pause > 0 && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	return shortest
}

// pausedRefusal returns the refusal of a request all of whose targets are paused.
// Callers are spread over the half of the pause that follows it.
func pausedRefusal(service place.Service, pause time.Duration) error {
	retryAfter := pause + time.Duration(pausedSpread*rand.Float64()*float64(pause))
	return errs.NotRun(errs.ReasonTargetBusy, retryAfter, "service %s: all targets asked for a pause; the shortest ends in %v", service, pause)
}

// pausedSpread is the part of a pause over which the callers return after it.
const pausedSpread = 0.5
