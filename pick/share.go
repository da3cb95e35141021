package pick

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

const (
	// slowThreshold is the slowdown from which a target is left out of the ranks,
	// so that its objects move to the next target, and told to other entries.
	slowThreshold = 2.5
	// observationAge is how long an observation of another entry counts. Entries
	// repeat theirs with each heartbeat.
	observationAge = 1500 * time.Millisecond
)

// Observation is what an entry tells others about a slow or unreachable target.
// Born is the start of the target's process in Unix milliseconds.
type Observation struct {
	Target   place.Target
	Service  place.Service
	Born     int64
	Slowdown float64
	// Unanswered is when the target was found unreachable, or a request there had taken
	// so long without an answer. It is zero if answers show that the target is slow.
	Unanswered time.Time
}

// Observations returns what this entry itself has seen of slow and unreachable
// targets, at most limit of them, the slowest first. It leaves out those for which
// credible returns false. It answers the load pattern
// of many entries each of which rarely sends to a target: the first one that
// finds a target slow tells the others. An entry to which most targets seem slow
// is slow itself, and tells only what stands out.
func (c *Chooser) Observations(limit int, credible func(Observation) bool, now time.Time) []Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var slow []Observation
	// A few targets that are assumed to be as usual keep the first slow ones from
	// looking typical.
	all := make([]float64, 3)
	for target, k := range c.targets {
		slowdown, unanswered, recent := k.stats.observed(now)
		if !recent {
			continue
		}
		all = append(all, slowdown)
		if slowdown >= slowThreshold {
			slow = append(slow, Observation{Target: target, Service: k.service, Born: k.process.Born(), Slowdown: slowdown, Unanswered: unanswered})
		}
	}
	if len(slow) == 0 {
		return nil
	}
	slices.Sort(all)
	typical := max(all[len(all)/2], 1)
	slow = slices.DeleteFunc(slow, func(o Observation) bool { return o.Slowdown < slowThreshold*typical || !credible(o) })
	slices.SortFunc(slow, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), strings.Compare(string(a.Target), string(b.Target)))
	})
	return slow[:min(len(slow), limit)]
}

// Observe takes in the observations of another entry. Those of other processes of
// the targets than the present ones are ignored.
func (c *Chooser) Observe(view *fleet.View, observations []Observation, now time.Time) {
	for _, o := range observations {
		m, found := view.Member(o.Target)
		if !found || m.Process().Born() != o.Born || math.IsNaN(o.Slowdown) {
			continue
		}
		c.mu.Lock()
		service, known := c.services[m.Service()]
		if known {
			c.statsFor(m, service, now).setHeard(min(o.Slowdown, slowdownMax), now)
		}
		c.mu.Unlock()
	}
}

// observed returns the slowdown that this entry itself has seen, when it was seen
// without an answer, and whether it is recent.
func (l *targetStats) observed(now time.Time) (slowdown float64, unanswered time.Time, recent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return slowdownMax, l.unreachableAt, true
	}
	l.decay(now)
	slowdown = l.currentSlowdown(now)
	if l.slowdown < slowThreshold && slowdown >= slowThreshold {
		unanswered = l.slowSince()
	}
	return slowdown, unanswered, len(l.running) > 0 || now.Sub(l.answeredAt) < decayHalfLife
}

// slowSince returns when the first of the requests in flight had taken so long that the
// target counts as slow. The caller holds l.mu.
func (l *targetStats) slowSince() time.Time {
	var first time.Time
	for a := range l.running {
		if a.expected <= 0 {
			continue
		}
		if at := a.at.Add(time.Duration((1 + slowThreshold) * float64(a.expected))); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// setHeard records the slowdown that another entry has seen.
func (l *targetStats) setHeard(slowdown float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.heardAt) >= observationAge || slowdown > l.heard {
		l.heard = slowdown
	}
	l.heardAt = now
}

// heardSlowdown returns the slowdown that others have seen, 0 if none is recent.
// The caller holds l.mu.
func (l *targetStats) heardSlowdown(now time.Time) float64 {
	if now.Sub(l.heardAt) >= observationAge {
		return 0
	}
	return l.heard
}
