package pace

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/place"
)

const (
	// coldSpan is the length of the window in which requests to a cold target are
	// counted, and coldParts its number of parts.
	coldSpan  = time.Second
	coldParts = 10
	// coldMargin is the fraction of the bound that the entries use. The entries of
	// a zone may briefly disagree on how many of them there are.
	coldMargin = 0.75
)

// ColdBound returns how many requests per second a cold target may get from all
// entries together.
func ColdBound(rate, factor, slack float64) float64 { return rate*factor + slack }

// ColdShare returns how many requests per second the entry self may send to a
// cold target: an equal share of the bound for each entry of the target's
// availability zone, and 0 for entries of other zones. If the bound allows fewer
// requests than there are entries, rendezvous hashing selects the entries that
// may send one request each.
func ColdShare(bound float64, self place.Instance, zone []place.Instance, to place.Target) int64 {
	if !slices.Contains(zone, self) {
		return 0
	}
	allowed := int(math.Floor(bound * coldMargin))
	if share := allowed / len(zone); share > 0 {
		return int64(share)
	}
	ahead, own := 0, rendezvousWeight(self, to)
	for _, instance := range zone {
		if w := rendezvousWeight(instance, to); w > own || (w == own && instance < self) {
			ahead++
		}
	}
	if ahead < allowed {
		return 1
	}
	return 0
}

// rendezvousWeight returns the weight of an instance in the rendezvous order for
// a target. The highest weight comes first.
func rendezvousWeight(instance place.Instance, to place.Target) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(to))
}

// ColdLimiter limits this entry's request rate to each cold target. It is safe
// for concurrent use.
type ColdLimiter struct {
	mu      sync.Mutex
	windows map[place.Target]*Window
}

// NewColdLimiter returns a ColdLimiter without targets.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{windows: map[place.Target]*Window{}} }

// Take counts a request to a cold target and returns true, or returns false if
// this entry has used up its share, in requests per second.
func (c *ColdLimiter) Take(to place.Target, share int64, now time.Time) bool {
	return c.window(to).TryAdd(share, now)
}

// HasRoom reports whether Take would succeed, without counting a request.
func (c *ColdLimiter) HasRoom(to place.Target, share int64, now time.Time) bool {
	return c.window(to).Sum(now) < share
}

func (c *ColdLimiter) window(to place.Target) *Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, found := c.windows[to]
	if !found {
		w = NewWindow(coldSpan, coldParts)
		c.windows[to] = w
	}
	return w
}

// Forget drops the counts of the targets that are not known.
func (c *ColdLimiter) Forget(known func(place.Target) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to := range c.windows {
		if !known(to) {
			delete(c.windows, to)
		}
	}
}
