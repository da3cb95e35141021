package steer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/place"
)

// RaiseDelay is how long an entry waits before it uses a larger share of its
// region's limit than before, so that every other entry of the region has taken
// the list of instances by which its own share is smaller.
const RaiseDelay = 4 * time.Second

// ShareOfLimit returns the part of a region's limit that one of its entries may
// use. The parts of all members add up to the limit. The members are those of
// the platform's list, whether they can be reached or not, so that two halves
// of a cut region don't both use the whole limit.
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

// Admission counts what one entry has in flight for its own region, and refuses
// what would exceed its share of the region's limit. Its methods may be called
// from several goroutines.
type Admission struct {
	mu       sync.Mutex
	limited  bool
	share    int // in force
	wanted   int
	raiseAt  time.Duration
	inFlight int
}

// SetShare takes in the share of this entry as the newest list and settings
// have it. A smaller one is in force at once, a larger one after RaiseDelay.
// With limited false the region has no limit; its first limit is then in force
// at once, as it is smaller than none.
func (a *Admission) SetShare(share int, limited bool, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
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

// Settled tells whether the first share of a new entry is in force. Before, the
// entry would refuse requests for which the region has room.
func (a *Admission) Settled(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	return !a.limited || a.share > 0 || a.wanted == 0
}

func (a *Admission) settle(now time.Duration) {
	if now >= a.raiseAt {
		a.share = a.wanted
	}
}

// Admit counts one more request in flight, or returns false if the share is
// used up.
func (a *Admission) Admit(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	if a.limited && a.inFlight >= a.share {
		return false
	}
	a.inFlight++
	return true
}

// Done ends a request that was admitted.
func (a *Admission) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// State returns how many requests are in flight and how many may be; limited
// tells whether there is a limit at all.
func (a *Admission) State(now time.Duration) (inFlight, share int, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	return a.inFlight, a.share, a.limited
}
