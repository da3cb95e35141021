package pick

import (
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// TargetState is an entry's view of a target in the operators' status report.
type TargetState struct {
	Target  place.Target  `json:"target"`
	Service place.Service `json:"service"`
	Zone    place.Zone    `json:"zone"`
	Slots   int           `json:"slots"`
	// Running is the number of this entry's requests in flight to the target, and
	// Load the estimated number of requests from all entries.
	Running  int     `json:"running"`
	Load     float64 `json:"load"`
	Slowdown float64 `json:"slow"`
	// HeardSlowdown is the slowdown that another entry told of, 0 if none did.
	HeardSlowdown float64 `json:"heard_slow"`
	FailureRate   float64 `json:"fails"`
	Cold          bool    `json:"cold"`
	Unreachable   bool    `json:"unreachable"`
	// PausedMillis is how much longer the target wants no requests from this
	// entry, in milliseconds.
	PausedMillis int64 `json:"paused_ms"`
	// Limit is the limit that the target names on the requests of all entries
	// together, in requests per second, nil if it names none.
	Limit *float64 `json:"limit_per_second,omitempty"`
}

// States returns the state of the targets in the view that this entry has
// statistics of, sorted by name.
func (c *Chooser) States(view *fleet.View, now time.Time) []TargetState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]TargetState, 0, len(c.targets))
	for target, k := range c.targets {
		m, found := view.Member(target)
		if !found || m.Process() != k.process {
			continue
		}
		state := k.stats.state(m, now)
		state.PausedMillis = c.pauseOf(k.process, now).Milliseconds()
		if perSecond, named := c.rateLimiter.Limit(k.process); named {
			state.Limit = &perSecond
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b TargetState) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return states
}

func (l *targetStats) state(m *fleet.Member, now time.Time) TargetState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return TargetState{
		Target: m.Target(), Service: m.Service(), Zone: m.Zone(), Slots: m.Slots(),
		Running: len(l.running), Load: l.load(now), Slowdown: l.currentSlowdown(now), HeardSlowdown: l.heardSlowdown(now), FailureRate: l.failureRate,
		Cold: m.Cold(now), Unreachable: l.unreachable,
	}
}
