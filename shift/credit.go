// Package shift bounds how much of a service's traffic leaves its home region:
// the cap on what is diverted, the allotments for arrivals whose home entries
// are gone, and the steps in which a planned shift moves. It does no I/O; the
// time is passed in.
//
// Caps need no messages. Every arrival adds the share that may be diverted to a
// credit that never exceeds one request, and a diverted request costs one. Over
// any stretch of time an entry diverts at most share * arrivals + 1 requests,
// so all entries together keep the cap, and one request for each entry, in any
// partition. A quiet past buys no burst.
package shift

import (
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
)

// ShareWhole is the share of all arrivals. A Share is in millionths.
const ShareWhole Share = 1_000_000

// Share is a share of the arrivals, in millionths.
type Share int64

// ShareOf returns the share of so many percent, rounded down.
func ShareOf(percent float64) Share {
	return min(max(Share(percent/100*float64(ShareWhole)+1e-6), 0), ShareWhole)
}

// Percent returns the share in percent.
func (s Share) Percent() float64 { return float64(s) * 100 / float64(ShareWhole) }

// Credit is what arrivals have earned for diversions, in millionths of a
// request: at most one request. The zero value is an empty credit.
type Credit struct{ parts atomic.Int64 }

// Arrive adds the share of one arrival.
func (c *Credit) Arrive(share Share) {
	for {
		held := c.parts.Load()
		next := min(held+int64(share), int64(ShareWhole))
		if held == next || c.parts.CompareAndSwap(held, next) {
			return
		}
	}
}

// Take takes the cost of one request if it is there.
func (c *Credit) Take() bool {
	for {
		held := c.parts.Load()
		if held < int64(ShareWhole) {
			return false
		}
		if c.parts.CompareAndSwap(held, held-int64(ShareWhole)) {
			return true
		}
	}
}

// giveBack returns what Take took for a request that was not diverted.
func (c *Credit) giveBack() { c.Arrive(ShareWhole) }

// Meter counts the arrivals of one service from one home region at one entry,
// and what it diverts of them. Its methods may be called from several
// goroutines. The zero value is ready for use.
type Meter struct {
	cap Credit
	to  [RegionsMax]regionCredit
}

// RegionsMax is how many regions one Meter can divert to.
const RegionsMax = 16

type regionCredit struct {
	region atomic.Pointer[place.Region]
	credit Credit
}

// of returns the credit for diversions to the region, or nil if there are too
// many regions.
func (m *Meter) of(to place.Region) *Credit {
	for i := range m.to {
		c := &m.to[i]
		held := c.region.Load()
		if held == nil && c.region.CompareAndSwap(nil, &to) {
			return &c.credit
		}
		if *c.region.Load() == to {
			return &c.credit
		}
	}
	return nil
}

// Wanted is the share that is to be diverted to a region.
type Wanted struct {
	to    place.Region
	share Share
}

// NewWanted makes a Wanted.
func NewWanted(to place.Region, share Share) Wanted { return Wanted{to: to, share: share} }

// To returns the region that receives the requests.
func (w Wanted) To() place.Region { return w.to }

// Share returns the share of the arrivals.
func (w Wanted) Share() Share { return w.share }

// Arrive counts one arrival: limit is the team's cap, and wanted the shares
// that the plan has in force. It has to be called once for each arrival of a
// caller, and not for requests that come from other entries.
func (m *Meter) Arrive(limit Share, wanted []Wanted) {
	m.cap.Arrive(limit)
	for _, w := range wanted {
		if c := m.of(w.to); c != nil {
			c.Arrive(w.share)
		}
	}
}

// Divert tells whether the plan diverts the request to the region, and takes
// the cost if so.
func (m *Meter) Divert(to place.Region) bool {
	c := m.of(to)
	if c == nil || !c.Take() {
		return false
	}
	if m.cap.Take() {
		return true
	}
	c.giveBack()
	return false
}

// Spill tells whether the request may go to any other region because its home
// has no room, and takes the cost if so.
func (m *Meter) Spill() bool { return m.cap.Take() }

// Return gives the cost back of a request that Spill or Divert allowed and that
// was sent nowhere.
func (m *Meter) Return() { m.cap.giveBack() }

// NewAllotment makes the allotment of one availability zone for arrivals whose
// home entries are gone, in requests a second: over any stretch of time it
// allows at most the rate times the stretch, and one.
func NewAllotment(perSecond float64, now time.Duration) *keeper.Bucket {
	return keeper.NewBucket(perSecond, 1, now)
}
