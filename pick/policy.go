package pick

import (
	"math"
	"time"
)

// Policy says on which targets a service keeps an object cached. It is one of
// Single and Replicated, and may change from one request to the next.
type Policy interface{ policy() }

// Single keeps an object on one target. Its requests go to another target only if
// the first one can't answer in time.
type Single struct{}

// Replicated keeps an object on as many of the first targets of each region as its
// requests need. A request goes to the target with the least expected time, which
// accounts for the probability that the object is cached there.
type Replicated struct{}

func (Single) policy()     {}
func (Replicated) policy() {}

func (q Query) replicated() bool {
	switch q.Policy.(type) {
	case Replicated:
		return true
	case Single, nil:
	}
	return false
}

const (
	// ownReplicas and otherReplicas are how many of the first targets of this
	// entry's region and of each other region are considered first.
	ownReplicas   = 6
	otherReplicas = 2
	// ownListed and otherListed are how many targets of a region are listed to find
	// that many that are reachable and not slow.
	ownListed   = 8
	otherListed = 4
)

// Replica is the position of a target among the replicas of an object.
type Replica struct {
	// Position is the target's position in the rendezvous order of its region,
	// without unreachable and slow targets; 0 is the first.
	Position int
	// Foreign is true if the target is in another region than this entry.
	Foreign bool
	// Familiar is true if this entry recently sent a request for the object there.
	Familiar bool
	// Home is true for the target that entries of this region prefer for the object
	// while nothing is known.
	Home bool
}

// Classes of replicas for which the probability of a hit is learned: the positions
// of the own region, those of other regions, and targets that this entry recently
// used for the object.
const (
	otherClasses   = ownReplicas + 1
	familiarClass  = otherClasses + otherReplicas + 1
	homeClass      = familiarClass + 1
	replicaClasses = homeClass + 1
)

func (r Replica) class() int {
	switch {
	case r.Familiar:
		return familiarClass
	case r.Home:
		return homeClass
	case r.Foreign:
		return otherClasses + min(r.Position, otherReplicas)
	}
	return min(r.Position, ownReplicas)
}

// initialHits are the assumed probabilities of a hit by class, until durations of
// requests tell.
var initialHits = [replicaClasses]float64{0.4, 0.4, 0.25, 0.1, 0.1, 0.1, 0.05, 0.3, 0.15, 0.05, 0.95, 0.9}

const (
	// hitGain is the weight of a sample in the probability of a hit.
	hitGain = 0.1
	// hitMin and hitMax bound a learned probability.
	hitMin = 0.02
	hitMax = 0.98
	// hitHalfLife is the time without samples after which a learned probability is
	// half way back to its initial value, so that a position that missed while caches
	// were empty is tried again.
	hitHalfLife = 10 * time.Second
)

// hitEstimate is the learned probability of a hit for one class of replicas.
type hitEstimate struct {
	probability float64
	updated     time.Time
}

// hitEstimates holds the estimates of a service by class. An estimate that has never
// been updated has its initial value.
type hitEstimates [replicaClasses]hitEstimate

func (h *hitEstimates) at(class int, now time.Time) float64 {
	initial := initialHits[class]
	if h[class].updated.IsZero() {
		return initial
	}
	weight := math.Exp2(-now.Sub(h[class].updated).Seconds() / hitHalfLife.Seconds())
	return initial + weight*(h[class].probability-initial)
}

// probabilities returns the current estimates of all classes.
func (h *hitEstimates) probabilities(now time.Time) [replicaClasses]float64 {
	var current [replicaClasses]float64
	for class := range current {
		current[class] = h.at(class, now)
	}
	return current
}

func (h *hitEstimates) observe(class int, hit float64, now time.Time) {
	current := h.at(class, now)
	h[class] = hitEstimate{probability: min(max(current+hitGain*(hit-current), hitMin), hitMax), updated: now}
}

// observeReplica learns from the duration of a request that didn't queue whether
// it hit the cache, and from that the probability for its class of replicas and the
// service times. A target that this entry used for the object tells the time of a
// hit; of the others, those that took longer than halfway between hit and miss tell
// the time of a miss.
func (s *serviceStats) observeReplica(took time.Duration, class int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hit := 1.0
	if saved := s.times.Miss - s.times.Hit; saved > 0 {
		hit = min(max(float64(s.times.Miss-took)/float64(saved), 0), 1)
	}
	s.hits.observe(class, hit, now)
	average := &s.times.Hit
	switch {
	case class == familiarClass && s.hits.at(class, now) < likelyHit:
		// Targets that have the object cached don't mostly miss: the time of a hit is too short.
	case hit < likelyHit:
		average = &s.times.Miss
	case class != familiarClass:
		return
	}
	*average += time.Duration(serviceTimeGain * float64(took-*average))
	s.times.Miss = max(s.times.Miss, s.times.Hit)
}

const (
	// replicaMissCost and replicaMissCostMax are the cost of a likely miss, as a
	// multiple of the time that a hit saves, at an idle service and at a full one. It
	// stands for the requests that the slot can't serve meanwhile.
	replicaMissCost    = 0.5
	replicaMissCostMax = 15
	// replicaRankCost is the cost per position, in mean service times. It keeps rare
	// objects together when popular ones have raised the probabilities of later
	// positions.
	replicaRankCost = 0.05
	// nearTie is how much more than the least a cost may be to count as equal. At 0.1 a
	// rare object would be spread over positions that differ only by replicaRankCost.
	nearTie = 0.05
	// likelyHit is the probability from which a request is expected to hit the cache.
	likelyHit = 0.5
	// crowdedTrials is how often a replica counts as having room for misses although the
	// service is crowded. Without them a service whose caches are empty would stay
	// crowded, and probabilities would not be learned.
	crowdedTrials = 0.04
)

// missPenalty returns the cost of a miss beyond its own time, as a multiple of the
// time that a hit saves, at a mean load per slot.
func missPenalty(meanUse float64) float64 {
	free := max(1-meanUse, 0.01)
	return min(replicaMissCost+2*meanUse*meanUse*meanUse/free, replicaMissCostMax)
}

// replicaCost returns the part of the cost of a replica that stands for likely misses
// and for its position, which doesn't count where the object is cached already. unit is
// the mean service time of the service.
func (c Candidate) replicaCost(times ServiceTimes, unit float64) float64 {
	cost := c.MissPenalty * (1 - c.HitProbability) * float64(times.Miss-times.Hit)
	if !c.Replica.Familiar {
		cost += unit * replicaRankCost * float64(min(c.Replica.Position, rankMax))
	}
	return cost
}
