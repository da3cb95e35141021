// Package steer decides for one request where it goes: which target of the
// entry's own availability zone, then which other zone of the region, and which
// other region if the team's cap allows it. It also holds the admission by
// which a region's own entries keep it within its limit. It does no I/O; what
// is known is passed in, with its age.
package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
)

// Constants of the choice.
const (
	// ViewStale is the age from which on what is known of a target at its
	// keeper counts as unknown.
	ViewStale = 2 * time.Second
	// UnknownWait is the least wait that is expected at a target of which
	// nothing is known: unknown never counts as idle.
	UnknownWait = 20 * time.Millisecond
	// AsideDivisor: no more than one in so many of a zone's targets is set
	// aside for bad health at once.
	AsideDivisor = 3
	// FullStale is the age from which on it no longer counts that a region
	// refused for lack of room.
	FullStale = time.Second
)

// Candidate is a target of the availability zone as this entry knows it.
type Candidate struct {
	target   place.Target
	keeper   place.Instance
	known    bool
	wait     time.Duration
	free     int
	age      time.Duration
	sent     int // sent to its keeper since the knowledge was gained
	failures int
	leaving  bool
	service  time.Duration
}

// NewCandidate makes a Candidate of which nothing is known but its keeper.
func NewCandidate(target place.Target, keeper place.Instance) Candidate {
	return Candidate{target: target, keeper: keeper}
}

// WithView adds what the keeper told of the target: the free slots, the
// expected wait, how often in a row the target failed and whether it is
// leaving. age is how long ago that was, and sent how many requests this entry
// has handed over for the target since.
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

// WithService adds how long the target takes to answer once it has a slot.
func (c Candidate) WithService(service time.Duration) Candidate {
	c.service = service
	return c
}

// Target returns the target.
func (c Candidate) Target() place.Target { return c.target }

// Keeper returns the entry that is taken for the target's keeper.
func (c Candidate) Keeper() place.Instance { return c.keeper }

// ExpectedWait returns how long a request handed over now is expected to wait.
// Requests handed over since the last word of a keeper count against it, so that
// a keeper which has fallen silent is soon avoided.
// service is the mean time that a request takes.
func (c Candidate) ExpectedWait(service time.Duration) time.Duration {
	if !c.known || c.age >= ViewStale {
		return max(UnknownWait, service) * time.Duration(1+c.sent)
	}
	if c.sent < c.free {
		return 0
	}
	return c.wait + service*time.Duration(c.sent-c.free)
}

// Usable returns the candidates that may get new work: none that leave, and of
// those that fail no more than one in AsideDivisor left out, the worst first.
func Usable(candidates []Candidate) []Candidate {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.leaving || c.keeper == "" })
	slices.SortStableFunc(usable, func(a, b Candidate) int { return cmp.Compare(b.failures, a.failures) })
	aside := 0
	for aside < len(usable)/AsideDivisor && usable[aside].failures >= FailuresBad {
		aside++
	}
	return usable[aside:]
}

// FailuresBad is how many failures in a row make a target's health bad.
const FailuresBad = 3

// Choose returns the better of two random usable candidates, by their expected
// wait, and the other one to try next. pick returns a random number below n.
// It returns none, one or two candidates.
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
	if sooner(second, first, service) {
		first, second = second, first
	}
	return []Candidate{first, second}
}

// sooner tells whether a is expected to answer before b. Of two that have no
// difference in their waits the one that answers in less than two thirds of the
// other's time is: smaller differences are noise, and following them would
// starve a target for one slow answer.
func sooner(a, b Candidate, service time.Duration) bool {
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

// NewZone makes a Zone of whose region nothing is known.
func NewZone(name place.Zone) Zone { return Zone{name: name} }

// WithRefusal adds that the zone's region refused for lack of room so long ago.
func (z Zone) WithRefusal(age time.Duration) Zone {
	z.refused = true
	z.age = age
	return z
}

// Name returns the name of the zone.
func (z Zone) Name() place.Zone { return z.name }

// full tells whether sending there is known to be useless.
func (z Zone) full() bool { return z.refused && z.age < FullStale }

// Credit allows diversions to other regions. shift.Meter is one.
type Credit interface {
	// Divert tells whether the plan sends the request to the region.
	Divert(to place.Region) bool
	// Spill tells whether the request may leave because its home has no room.
	Spill() bool
}

// Planned returns the region to which the plan diverts the request, or "" if it
// stays at home. A region that is known to be full is passed over before its
// credit is spent.
func Planned(credit Credit, to []place.Region, zones []Zone) place.Region {
	for _, region := range to {
		open := slices.ContainsFunc(zones, func(z Zone) bool { return z.name.Region() == region && !z.full() })
		if open && credit.Divert(region) {
			return region
		}
	}
	return ""
}

// Order returns the zones in the order in which to try them: the planned
// region's, the own one, the region's others, and then the zones of other
// regions, for each of which the caller has to ask Spill first. Zones of
// regions that are known to be full are left out, but never the own region's:
// its own admission decides that. pick returns a random number below n.
func Order(own place.Zone, planned place.Region, zones []Zone, pick func(n int) int) []place.Zone {
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

// NeedsSpill tells whether a request may only go to the zone if Spill allows
// it: the zone lies in another region, which the plan didn't name for it.
func NeedsSpill(own place.Zone, planned place.Region, to place.Zone) bool {
	return to.Region() != own.Region() && to.Region() != planned
}
