// Package pick chooses the target of a request: the one that is expected to
// answer first. A target that has the request's object cached answers several
// times faster. All entries prefer the same target for an object, by rendezvous
// hashing, so that they share its cache without communicating. If a target is
// full, slow or failing, its objects move to the next target in rendezvous order.
//
// The score is a pure function of the candidates' statistics, which a Chooser
// collects from the answers to an entry's requests. The package does no I/O and
// takes the current time as an argument.
package pick

import (
	"time"

	"github.com/endivechute/endivechute/fleet"
)

// Distance classifies the network distance from this entry to a target.
type Distance uint8

// The distances, nearest first.
const (
	// SameZone means that the target is in this entry's availability zone.
	SameZone Distance = iota
	// SameRegion means that the target is in another availability zone of this
	// entry's region.
	SameRegion
	// OtherRegion means that the target is in another region.
	OtherRegion
)

// Candidate holds the inputs to the score of a target that may get a request.
type Candidate struct {
	Member   *fleet.Member
	Distance Distance
	// Rank is the target's position in the rendezvous order of the request's
	// object among the reachable targets of the service, 0 for the first.
	Rank int
	// LikelyCached is true if this entry recently sent a request for the object
	// to the target, or if the request concerns no object.
	LikelyCached bool
	// Load is the estimated number of requests running or waiting at the target.
	Load float64
	// Slowdown is the slowdown of the target: the ratio of its response times
	// to the expected ones.
	Slowdown float64
	// HeardSlowdown is the slowdown that another entry has seen, 0 if none told
	// of any. It counts for the cost only: whether a request fits into its time is
	// judged by what this entry itself has seen.
	HeardSlowdown float64
	// FailureRate is the target's recent failure rate, from 0 to 1.
	FailureRate float64
	// RTT is the round-trip time to the target.
	RTT time.Duration
	// Cold is true if the target has just started and still runs slowly.
	Cold bool
	// Standing is true if the target has a standing queue: one that has exceeded
	// the longest acceptable wait for a while.
	Standing bool
	// Unreachable is true if the target was found unreachable.
	Unreachable bool
	// Paused is true if the target asked this entry to send nothing for a while.
	Paused bool
	// Crowded is true if the target's service has no room for requests that miss the
	// cache.
	Crowded bool
	// Short is true if the target's service is short of room, or the target because
	// of its standing queue.
	Short bool
	// WorkFactor is how many times as long as usual work currently takes at the
	// target's machine, 0 if it doesn't report that.
	WorkFactor float64
	// Replicated is true under the policy Replicated for a request with an object. Rank
	// doesn't count then, but Replica, HitProbability and MissPenalty: the cost of a
	// miss beyond its own time, as a multiple of the time that a hit saves.
	Replicated                  bool
	Replica                     Replica
	HitProbability, MissPenalty float64
}

// ServiceTimes holds the service times of a service: how long its targets work
// on a request, without queueing.
type ServiceTimes struct {
	// Hit is the service time if the target has the object cached, Miss if not.
	Hit, Miss time.Duration
}

// The weights of the score. Costs are multiples of a service's mean service time
// unless stated otherwise.
const (
	// failCost is the cost of a target that fails every request.
	failCost = 4.0
	// zoneCost and regionCost are the costs of traffic that leaves the zone or
	// the region, in addition to its round-trip time.
	zoneCost   = 0.10
	regionCost = 0.05
	// coldSlow is the smallest slowdown assumed for a cold target.
	coldSlow = 2.0
	// rankCost is the cost per rank, up to rankMax ranks. It makes entries agree
	// on the order of targets that don't have the object cached.
	rankCost = 1.0
	rankMax  = 4
	// missCost is the cost of a target that is not expected to have the object
	// cached, as a multiple of the time that a hit saves. A miss doesn't only take
	// longer: it occupies the target's slot for that time and evicts another
	// object from its cache. If all targets are busy, spreading the requests for
	// one object over several targets lowers the throughput of all of them.
	missCost = 15.0
)

// Estimate is the expected performance of a request at a target.
type Estimate struct {
	// Wait is the queueing time at the target.
	Wait time.Duration
	// Total is the time until the answer, with queueing and round trip.
	Total time.Duration
	// nominal is Total at a slowdown of 1.
	nominal time.Duration
	// cost is Total plus the penalties for failures, distance, rank and cache
	// misses.
	cost time.Duration
}

// expectsHit reports whether the target is expected to have the object cached:
// this entry recently sent a request for it there, or all entries prefer the
// target for it.
func (c Candidate) expectsHit() bool {
	if c.Replicated {
		return c.HitProbability >= likelyHit || c.Replica.Home
	}
	return c.LikelyCached || c.Rank == 0
}

// slow reports whether the target is so slow that its objects move to the next
// target.
func (c Candidate) slow() bool { return max(c.Slowdown, c.HeardSlowdown) >= slowThreshold }

// Expect returns the estimate for a request at the candidate.
func Expect(c Candidate, times ServiceTimes) Estimate {
	mean := float64(times.Hit+times.Miss) / 2
	slots := float64(max(c.Member.Slots(), 1))
	serviceTime := float64(times.Miss)
	switch {
	case c.Replicated:
		serviceTime = float64(times.Hit) + (1-c.HitProbability)*float64(times.Miss-times.Hit)
	case c.expectsHit():
		serviceTime = float64(times.Hit)
	}
	slowdown := c.Slowdown
	if c.Cold {
		slowdown = max(slowdown, coldSlow)
	}
	wait := max(c.Load+1-slots, 0) / slots * float64(times.Hit)
	nominal := float64(c.RTT) + wait + serviceTime
	workSlowdown := slowdown
	if c.WorkFactor > 0 {
		workSlowdown *= c.WorkFactor
	}
	wait *= workSlowdown
	total := float64(c.RTT) + wait + serviceTime*workSlowdown
	cost := total + serviceTime*max(c.HeardSlowdown-slowdown, 0) + mean*failCost*c.FailureRate
	switch {
	case c.Replicated:
		cost += c.replicaCost(times, mean)
	case c.expectsHit():
		cost += mean * rankCost * float64(min(c.Rank, rankMax))
	default:
		cost += mean*rankCost*float64(min(c.Rank, rankMax)) + missCost*float64(times.Miss-times.Hit)
	}
	switch c.Distance {
	case SameZone:
	case SameRegion:
		cost += zoneCost * mean
	case OtherRegion:
		cost += regionCost * mean
	}
	return Estimate{
		Wait: time.Duration(wait), Total: time.Duration(total),
		nominal: time.Duration(nominal), cost: time.Duration(cost),
	}
}

// Best returns the index and the estimate of the candidate with the lowest cost
// among those for which admit returns true, or -1 if there is none. Replicas whose
// costs are nearly the lowest are chosen from at random.
func Best(candidates []Candidate, times ServiceTimes, admit func(Candidate, Estimate) bool) (int, Estimate) {
	best, least := -1, Estimate{}
	for i, c := range candidates {
		estimate := Expect(c, times)
		if !admit(c, estimate) {
			continue
		}
		if best < 0 || estimate.cost < least.cost {
			best, least = i, estimate
		}
	}
	if best >= 0 && candidates[best].Replicated {
		return nearBest(candidates, times, admit, least.cost)
	}
	return best, least
}
