// Package shift limits how much of a service's traffic leaves its home region:
// the cap on diversions, the allotments for requests whose home entries are
// unavailable, and the steps of a planned shift. It does no I/O; the time is
// passed in.
//
// Caps need no messages between entries. Every arrival adds the share that may
// be diverted to a credit of at most one request, and a diverted request costs
// one. Over any interval an entry diverts at most share * arrivals + 1
// requests. All entries together therefore exceed the cap by at most one
// request each, even during a network partition. Unused credit doesn't add up to
// a later burst.
package shift

import (
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
)

// WholeShare is the share of all arrivals, in millionths.
const WholeShare Share = 1_000_000

// Share is a fraction of the arrivals, in millionths.
type Share int64

// ShareOf converts a percentage to a Share, rounded down and limited to the
// range from 0 to WholeShare.
func ShareOf(percent float64) Share {
	return min(max(Share(percent/100*float64(WholeShare)+1e-6), 0), WholeShare)
}

// Percent returns the share in percent.
func (s Share) Percent() float64 { return float64(s) * 100 / float64(WholeShare) }

// Credit is what arrivals have earned for diversions, in millionths of a
// request and at most one request. The zero value is an empty credit. Its
// methods are safe for concurrent use.
type Credit struct{ millionths atomic.Int64 }

// Arrive adds the share of one arrival.
func (c *Credit) Arrive(share Share) {
	for {
		held := c.millionths.Load()
		next := min(held+int64(share), int64(WholeShare))
		if held == next || c.millionths.CompareAndSwap(held, next) {
			return
		}
	}
}

// Take deducts the cost of one request and reports whether the credit was
// sufficient.
func (c *Credit) Take() bool {
	for {
		held := c.millionths.Load()
		if held < int64(WholeShare) {
			return false
		}
		if c.millionths.CompareAndSwap(held, held-int64(WholeShare)) {
			return true
		}
	}
}

// refund returns the cost that Take deducted for a request that was not
// diverted.
func (c *Credit) refund() { c.Arrive(WholeShare) }

// Meter counts the arrivals of one service from one home region at one entry,
// and how many of them it may divert. Its methods are safe for concurrent use.
// The zero value is ready for use.
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

// creditFor returns the credit for diversions to the region, or nil if there
// are more than RegionsMax regions.
func (m *Meter) creditFor(to place.Region) *Credit {
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

// RegionShare is the share of the arrivals that is to be diverted to a region.
type RegionShare struct {
	to    place.Region
	share Share
}

// NewRegionShare returns a RegionShare.
func NewRegionShare(to place.Region, share Share) RegionShare {
	return RegionShare{to: to, share: share}
}

// To returns the region that receives the requests.
func (w RegionShare) To() place.Region { return w.to }

// Share returns the share of the arrivals.
func (w RegionShare) Share() Share { return w.share }

// Arrive counts one arrival. limit is the team's cap, and shares holds the
// shares of the plan in force. It must be called once for each request of a
// caller, and not for requests from other entries.
func (m *Meter) Arrive(limit Share, shares []RegionShare) {
	m.cap.Arrive(limit)
	for _, w := range shares {
		if c := m.creditFor(w.to); c != nil {
			c.Arrive(w.share)
		}
	}
}

// Divert reports whether the plan diverts the request to the region, and
// deducts the cost if so.
func (m *Meter) Divert(to place.Region) bool {
	c := m.creditFor(to)
	if c == nil || !c.Take() {
		return false
	}
	if m.cap.Take() {
		return true
	}
	c.refund()
	return false
}

// Spill reports whether the request may go to any other region for lack of
// capacity at home, and deducts the cost if so.
func (m *Meter) Spill() bool { return m.cap.Take() }

// Refund gives back to the cap what Spill or Divert deducted from it for a
// request that wasn't sent.
func (m *Meter) Refund() { m.cap.refund() }

// NewAllotment returns the allotment of one availability zone for requests
// whose home entries are unavailable, in requests per second. Over any interval
// it allows at most the rate times the interval's length, plus one request.
func NewAllotment(perSecond float64, now time.Duration) *keeper.Bucket {
	return keeper.NewBucket(perSecond, 1, now)
}
