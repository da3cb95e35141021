// Package steer decides where a request is sent: to which target of the entry's
// own availability zone, then to which other zone of the region, and to which
// other region if the team's cap allows it. It also holds the admission control
// by which the entries of a region stay within the region's limit. It does no
// I/O; what is known about targets and zones is passed in, with its age.
package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
)

// Parameters of the choice.
const (
	// ViewMaxAge is the age at which a keeper's view of a target counts as
	// unknown.
	ViewMaxAge = 2 * time.Second
	// MinUnknownWait is the minimum wait that is expected at a target without a
	// current view, so that such a target never counts as idle.
	MinUnknownWait = 20 * time.Millisecond
	// ExcludedDivisor limits how many targets of a zone are excluded for bad
	// health at once: one in ExcludedDivisor.
	ExcludedDivisor = 3
	// RefusalMaxAge is the age at which a region's refusal for lack of capacity
	// no longer counts.
	RefusalMaxAge = time.Second
)

// Candidate is a target of the availability zone and what this entry knows
// about it.
type Candidate struct {
	target   place.Target
	keeper   place.Instance
	known    bool
	wait     time.Duration
	free     int
	age      time.Duration
	sent     int // requests sent to the keeper since the view was taken
	failures int
	leaving  bool
	service  time.Duration
}

// NewCandidate returns a Candidate of which only the keeper is known.
func NewCandidate(target place.Target, keeper place.Instance) Candidate {
	return Candidate{target: target, keeper: keeper}
}

// WithView adds the keeper's view of the target: the free slots, the expected
// wait, the number of consecutive failures and whether the target is leaving.
// age is the age of the view, and sent is how many requests for the target this
// entry has sent to the keeper since.
func (c Candidate) WithView(free int, wait time.Duration, failures int, leaving bool, age time.Duration, sent int) Candidate {
	c.known = true
	c.free = free
	c.wait = wait
	c.failures = failures
	c.leaving = leaving
	c.age = age
	c.sent = sent
	return c
}

// WithService adds how long the target takes to answer a request that has a
// slot.
func (c Candidate) WithService(service time.Duration) Candidate {
	c.service = service
	return c
}

// Target returns the target.
func (c Candidate) Target() place.Target { return c.target }

// Keeper returns the entry that is believed to be the target's keeper.
func (c Candidate) Keeper() place.Instance { return c.keeper }

// ExpectedWait returns how long a request that is sent to the keeper now is
// expected to wait. service is the mean time that a request takes. Requests
// that were sent since the keeper's last view add to the wait, so that a keeper
// that stops reporting is soon avoided.
func (c Candidate) ExpectedWait(service time.Duration) time.Duration {
	if !c.known || c.age >= ViewMaxAge {
		return max(MinUnknownWait, service) * time.Duration(1+c.sent)
	}
	if c.sent < c.free {
		return 0
	}
	return c.wait + service*time.Duration(c.sent-c.free)
}

// Usable returns the candidates that may get new requests: it drops those that
// are leaving or have no keeper, and of the rest the unhealthy ones, the worst
// first, but no more than one in ExcludedDivisor.
func Usable(candidates []Candidate) []Candidate {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.leaving || c.keeper == "" })
	slices.SortStableFunc(usable, func(a, b Candidate) int { return cmp.Compare(b.failures, a.failures) })
	excluded := 0
	for excluded < len(usable)/ExcludedDivisor && usable[excluded].failures >= UnhealthyFailures {
		excluded++
	}
	return usable[excluded:]
}

// UnhealthyFailures is how many consecutive failures make a target unhealthy.
const UnhealthyFailures = 3

// Choose picks two usable candidates at random and returns the one that is
// expected to answer sooner, followed by the other one to try next. pick
// returns a random number below n. The result has at most two candidates.
func Choose(candidates []Candidate, service time.Duration, pick func(n int) int) []Candidate {
	usable := Usable(candidates)
	if len(usable) <= 1 {
		return usable
	}
	i := pick(len(usable))
	j := pick(len(usable) - 1)
	if j >= i {
		j++
	}
	first, second := usable[i], usable[j]
	if answersSooner(second, first, service) {
		first, second = second, first
	}
	return []Candidate{first, second}
}

// answersSooner reports whether a is expected to answer before b. If their
// expected waits are equal, a must take less than two thirds of b's service
// time: smaller differences are noise, and following them would starve a target
// after one slow answer.
func answersSooner(a, b Candidate, service time.Duration) bool {
	waitA, waitB := a.ExpectedWait(service), b.ExpectedWait(service)
	if waitA == waitB {
		return a.service+a.service/2 < b.service
	}
	return waitA+a.service < waitB+b.service
}

// Zone is an availability zone that has usable targets of the service.
type Zone struct {
	name    place.Zone
	refused bool
	age     time.Duration
}

// NewZone returns a Zone whose region isn't known to have refused.
func NewZone(name place.Zone) Zone { return Zone{name: name} }

// WithRefusal adds that the zone's region refused a request for lack of
// capacity, and how long ago.
func (z Zone) WithRefusal(age time.Duration) Zone {
	z.refused = true
	z.age = age
	return z
}

// Name returns the name of the zone.
func (z Zone) Name() place.Zone { return z.name }

// full reports whether the zone's region refused recently, so that sending
// there would be useless.
func (z Zone) full() bool { return z.refused && z.age < RefusalMaxAge }

// Credit limits diversions to other regions. shift.Meter implements it.
type Credit interface {
	// Divert reports whether the plan sends the request to the region, and
	// deducts the cost if so.
	Divert(to place.Region) bool
	// Spill reports whether the request may leave its home region for lack of
	// capacity there, and deducts the cost if so.
	Spill() bool
}

// PlannedRegion returns the region to which the plan diverts the request, or ""
// if it stays at home. A region that is known to be full is skipped before its
// credit is spent.
func PlannedRegion(credit Credit, to []place.Region, zones []Zone) place.Region {
	for _, region := range to {
		open := slices.ContainsFunc(zones, func(z Zone) bool { return z.name.Region() == region && !z.full() })
		if open && credit.Divert(region) {
			return region
		}
	}
	return ""
}

// TryOrder returns the zones in the order in which to try them: those of the
// planned region, the own zone, the others of the own region, and then those of
// other regions, for each of which the caller has to call Spill first. Of the
// last group, zones of regions that are known to be full are left out. The own
// region's zones never are, because its own admission decides. pick returns a
// random number below n.
func TryOrder(own place.Zone, planned place.Region, zones []Zone, pick func(n int) int) []place.Zone {
	type ranked struct {
		zone   place.Zone
		rank   int
		random int
	}
	const ranks = 1 << 20
	var order []ranked
	for _, z := range zones {
		rank := 3
		switch {
		case planned != "" && z.name.Region() == planned:
			rank = 0
		case z.name == own:
			rank = 1
		case z.name.Region() == own.Region():
			rank = 2
		}
		if rank == 3 && z.full() {
			continue
		}
		order = append(order, ranked{zone: z.name, rank: rank, random: pick(ranks)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.random, b.random), cmp.Compare(a.zone, b.zone))
	})
	names := make([]place.Zone, len(order))
	for i, r := range order {
		names[i] = r.zone
	}
	return names
}

// NeedsSpill reports whether a request may go to the zone only if Spill allows
// it, because the zone is in a region that is neither its own nor the planned
// one.
func NeedsSpill(own place.Zone, planned place.Region, to place.Zone) bool {
	return to.Region() != own.Region() && to.Region() != planned
}
