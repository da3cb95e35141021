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
	// coldSpan is the span in which the requests to a cold target are counted.
	coldSpan = time.Second
	// coldParts divides it.
	coldParts = 10
	// coldMargin is the part of the bound that is used: the instances of a
	// zone may for a moment disagree on how many they are.
	coldMargin = 0.75
)

// ColdBound is how many requests a cold target may get in one second from all
// entries together.
func ColdBound(rate, factor, slack float64) float64 { return rate*factor + slack }

// ColdShare returns how many requests a second this entry may send to a cold
// target: an equal part for each entry of the target's own availability zone,
// and nothing for those of other zones. Where there are more entries than
// requests, as many as there are requests get one each, by rendezvous hash.
func ColdShare(bound float64, self place.Instance, zone []place.Instance, to place.Target) int64 {
	if !slices.Contains(zone, self) {
		return 0
	}
	whole := int(math.Floor(bound * coldMargin))
	if share := whole / len(zone); share > 0 {
		return int64(share)
	}
	ahead, own := 0, weight(self, to)
	for _, instance := range zone {
		if w := weight(instance, to); w > own || (w == own && instance < self) {
			ahead++
		}
	}
	if ahead < whole {
		return 1
	}
	return 0
}

// weight is the weight of an instance in the rendezvous order for a target.
func weight(instance place.Instance, to place.Target) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(to))
}

// Cold counts this entry's requests to cold targets.
type Cold struct {
	mu      sync.Mutex
	windows map[place.Target]*Window
}

// NewCold makes a Cold without targets.
func NewCold() *Cold { return &Cold{windows: map[place.Target]*Window{}} }

// Take counts a request to a cold target if its share has room.
func (c *Cold) Take(to place.Target, share int64, now time.Time) bool {
	return c.window(to).TryAdd(share, now)
}

// Room tells whether the share has room for a request.
func (c *Cold) Room(to place.Target, share int64, now time.Time) bool {
	return c.window(to).Sum(now) < share
}

func (c *Cold) window(to place.Target) *Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, found := c.windows[to]
	if !found {
		w = NewWindow(coldSpan, coldParts)
		c.windows[to] = w
	}
	return w
}

// Forget drops the counts of targets that are gone.
func (c *Cold) Forget(known func(place.Target) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to := range c.windows {
		if !known(to) {
			delete(c.windows, to)
		}
	}
}
