package steer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/place"
)

// RaiseDelay is how long an entry waits before it uses a larger share of its
// region's limit. By then every other entry of the region has the list of
// instances that makes its own share smaller.
const RaiseDelay = 4 * time.Second

// ShareOfLimit returns the part of a region's limit that the entry self may
// use. The parts of all members add up to the limit. The members are those of
// the platform's list, whether they can be reached or not, so that the two
// sides of a network partition within the region don't both use the whole
// limit.
func ShareOfLimit(limit int, self place.Instance, members []place.Instance) int {
	if !slices.Contains(members, self) || limit <= 0 {
		return 0
	}
	before := 0
	for _, m := range members {
		if m < self {
			before++
		}
	}
	share := limit / len(members)
	if before < limit%len(members) {
		share++
	}
	return share
}

// Admission counts the requests that one entry has in flight for its own
// region, and refuses those that would exceed its share of the region's limit.
// Its methods are safe for concurrent use.
type Admission struct {
	mu       sync.Mutex
	limited  bool
	share    int // in effect
	wanted   int
	raiseAt  time.Duration
	inFlight int
}

// SetShare sets this entry's share according to the newest list and settings. A
// smaller share takes effect at once, a larger one after RaiseDelay. With
// limited false the region has no limit; its first limit then takes effect at
// once, because it is smaller than none.
func (a *Admission) SetShare(share int, limited bool, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRaise(now)
	a.limited = limited
	if !limited {
		share = math.MaxInt
		a.share = share
	}
	if share > a.wanted {
		a.raiseAt = now + RaiseDelay
	}
	a.wanted = share
	a.share = min(a.share, share)
}

// Settled reports whether the first share of a new entry is in effect. Until
// then the entry would refuse requests for which the region has capacity.
func (a *Admission) Settled(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRaise(now)
	return !a.limited || a.share > 0 || a.wanted == 0
}

// applyRaise puts a larger share into effect once RaiseDelay has passed.
func (a *Admission) applyRaise(now time.Duration) {
	if now >= a.raiseAt {
		a.share = a.wanted
	}
}

// Admit counts one more request in flight and reports whether the share allows
// it.
func (a *Admission) Admit(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRaise(now)
	if a.limited && a.inFlight >= a.share {
		return false
	}
	a.inFlight++
	return true
}

// Done records the end of a request that was admitted.
func (a *Admission) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// State returns how many requests are in flight and how many may be. limited
// reports whether there is a limit at all.
func (a *Admission) State(now time.Duration) (inFlight, share int, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRaise(now)
	return a.inFlight, a.share, a.limited
}
