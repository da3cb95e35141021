package pick

import (
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// Probes returns the unreachable targets whose next probe is due, and schedules
// the probe after it. It leaves out the services for which skip returns true. A probe
// counts for the limit that a target names.
func (c *Chooser) Probes(view *fleet.View, skip func(place.Service) bool, now time.Time) []*fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*fleet.Member
	for target, k := range c.targets {
		m, found := view.Member(target)
		if found && m.Process() == k.process && !skip(m.Service()) && c.pauseOf(k.process, now) == 0 && k.stats.probeDue(now) && c.rateLimiter.Take(m, now) {
			due = append(due, m)
		}
	}
	return due
}

func (l *targetStats) probeDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreachable || now.Before(l.probeAt) {
		return false
	}
	l.probes++
	l.probeAt = now.Add(min(probePauseMin<<min(l.probes, 8), probePauseMax))
	return true
}

// Recheck makes the targets of a service that were found unreachable or slow since the
// given time candidates again, because the fault was in this entry's own links.
func (c *Chooser) Recheck(view *fleet.View, service place.Service, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range view.Members(service) {
		if k, found := c.targets[m.Target()]; found && k.process == m.Process() {
			k.stats.recheck(since)
		}
	}
}

func (l *targetStats) recheck(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable && !l.unreachableAt.Before(since) {
		l.unreachable = false
		l.consecutiveBreaks = 0
		l.failureRate = 0
	}
	if !l.updated.Before(since) {
		l.slowdown = 1
	}
}

// Probed records the result of a probe. A healthy target is used again.
func (c *Chooser) Probed(m *fleet.Member, healthy bool) {
	c.mu.Lock()
	k, found := c.targets[m.Target()]
	c.mu.Unlock()
	if !found || k.process != m.Process() {
		return
	}
	l := k.stats
	l.mu.Lock()
	defer l.mu.Unlock()
	if healthy {
		l.unreachable = false
		l.consecutiveBreaks = 0
		l.failureRate = 0
	}
}
