package quota

import (
	"math"
	"time"

	"github.com/endivechute/endivechute/place"
)

// Counts holds how many requests of a tenant were received and how many of them were
// admitted. Requests that were admitted and then reached no target are taken out
// again, so that counts may also fall.
type Counts struct{ asked, admitted int64 }

// NewCounts returns Counts.
func NewCounts(asked, admitted int64) Counts { return Counts{asked: asked, admitted: admitted} }

// Asked returns how many requests were received.
func (c Counts) Asked() int64 { return c.asked }

// Admitted returns how many requests were admitted.
func (c Counts) Admitted() int64 { return c.admitted }

func (c Counts) plus(d Counts) Counts {
	return Counts{asked: c.asked + d.asked, admitted: c.admitted + d.admitted}
}

func (c Counts) minus(d Counts) Counts {
	return Counts{asked: c.asked - d.asked, admitted: c.admitted - d.admitted}
}

// Usage holds counts by tenant.
type Usage map[place.Tenant]Counts

// Position is how far somebody knows the counts of a collector. ID is the identity of
// the collector, which changes when its counts start from zero. Revision grows with
// each change of them.
type Position struct{ ID, Revision uint64 }

// Report tells a collector what an instance received and admitted since its previous
// report. One that isn't acknowledged is sent again with the same sequence number.
type Report struct {
	Sequence uint64
	Usage    Usage
	// Known is how far the instance knows the counts of the fleet.
	Known Position
}

// Totals holds cumulative counts of a collector. Those that haven't changed after the
// revision After are left out.
type Totals struct {
	Position Position
	After    uint64
	// Age is how long ago the counts started from zero.
	Age   time.Duration
	Usage Usage
	// Reserved holds, by tenant, the part of the quota that is counted for instances and
	// zones that are silent.
	Reserved map[place.Tenant]float64
}

const (
	// usedQuota and usedSlack are the parts of the quota and of the slack that the fleet
	// uses. The rest, and the overage, are a reserve for what the instances don't know
	// yet.
	usedQuota = 0.97
	usedSlack = 0.25
)

// effective returns the quota that the fleet keeps to.
func (b Bounds) effective(q Quota) Quota {
	return Quota{perSecond: q.perSecond * usedQuota, burst: q.burst*usedQuota + b.Slack*usedSlack}
}

// average is an exponentially weighted mean of a rate per second.
type average float64

// add takes in a count over a time. memory is the time constant.
func (a *average) add(count float64, over, memory time.Duration) {
	over = max(over, time.Millisecond)
	keep := math.Exp(-over.Seconds() / memory.Seconds())
	*a = *a*average(keep) + average(count/over.Seconds()*(1-keep))
}

// silentAfter is how long after the last message an instance or a zone counts as cut
// off. Messages come every 200 ms. A tenant whose demand rises at the moment of the cut
// gets too much on both sides until then: with 1 s up to 4 % more than the bounds allow.
const silentAfter = 600 * time.Millisecond

const (
	// shareMemory is the time constant of the rates from which shares are computed.
	shareMemory = 3 * time.Second
	// evenShare is the part of a quota that is shared evenly, whatever each used.
	evenShare = 0.05
)

// share returns the part of a quota that one of n keeps while it is cut off: what it
// used of the whole usage, both per second. The shares of all add up to 1.
func share(perSecond float64, own, whole average, n int) float64 {
	even := evenShare * perSecond
	if even <= 0 {
		return 0
	}
	return (max(float64(own), 0) + even/float64(max(n, 1))) / (max(float64(whole), float64(own), 0) + even)
}
