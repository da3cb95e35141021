package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// regionList holds the targets of one region, sorted by their scores.
type regionList struct {
	region  place.Region
	allowed bool
	// count is the number of targets, of which at most limit are listed.
	count, limit int
	listed       []listedTarget
}

// replicaScore returns the score of a target for an object. It has no weights, so
// that entries of all regions agree on the order within a region.
func replicaScore(m *fleet.Member, hash uint64) float64 {
	return float64(mix64(hash^m.Hash())>>11) / (1 << 53)
}

// listReplicas lists the first targets of each region in the order of their scores,
// this entry's region first, and those that recently handled the object. If partial
// is not set it lists all targets.
func (c *Chooser) listReplicas(work *scratch, members []*fleet.Member, q Query, o object, partial bool) {
	work.listed, work.partial = work.listed[:0], partial
	lists := work.regions[:0]
	at := -1
	for _, m := range members {
		region := m.Region()
		if at < 0 || lists[at].region != region {
			if at = slices.IndexFunc(lists, func(l regionList) bool { return l.region == region }); at < 0 {
				lists = c.addRegion(lists, region, q, partial, len(members))
				at = len(lists) - 1
			}
		}
		list := &lists[at]
		if !list.allowed {
			continue
		}
		list.count++
		score := replicaScore(m, o.hash)
		switch n := len(list.listed); {
		case !partial:
			list.listed = append(list.listed, listedTarget{member: m, score: score})
		case n < list.limit || score > list.listed[n-1].score:
			list.listed = insertSorted(list.listed, listedTarget{member: m, score: score}, list.limit)
		}
	}
	work.regions = lists
	for own := range 2 {
		for _, list := range lists {
			if (list.region == c.region) != (own == 0) {
				continue
			}
			if !partial {
				slices.SortStableFunc(list.listed, func(a, b listedTarget) int { return cmp.Compare(b.score, a.score) })
			}
			work.listed = append(work.listed, list.listed...)
		}
	}
	work.home = c.homeRegion(lists)
	if partial {
		work.addFamiliar(members, q, o)
	}
}

// homeRegion returns the region of the target that is preferred for an object: this
// entry's, unless that has less than half of its fair share of the targets. Then all
// its entries prefer the same targets of other regions for a part of the objects.
func (c *Chooser) homeRegion(lists []regionList) place.Region {
	total, own, regions := 0, 0, 0
	for _, list := range lists {
		if list.count == 0 {
			continue
		}
		total += list.count
		regions++
		if list.region == c.region {
			own = list.count
		}
	}
	if 2*own*regions >= total {
		return c.region
	}
	home, best := c.region, -1.0
	for _, list := range lists {
		if list.count == 0 {
			continue
		}
		score := list.listed[0].score
		if list.region != c.region {
			// Weighted rendezvous hashing, as in score.
			score *= score
		}
		if score > best {
			home, best = list.region, score
		}
	}
	return home
}

// addRegion appends an empty list for a region. It reuses the memory of lists of
// earlier choices.
func (c *Chooser) addRegion(lists []regionList, region place.Region, q Query, partial bool, members int) []regionList {
	limit := members
	if partial {
		limit = otherListed
		if region == c.region {
			limit = ownListed
		}
	}
	if len(lists) < cap(lists) {
		lists = lists[:len(lists)+1]
	} else {
		lists = append(lists, regionList{})
	}
	list := &lists[len(lists)-1]
	*list = regionList{region: region, allowed: q.Allowed(region), limit: limit, listed: list.listed[:0]}
	return lists
}

// insertSorted inserts a target into a list that is sorted by score and keeps at most
// limit of them.
func insertSorted(listed []listedTarget, l listedTarget, limit int) []listedTarget {
	if len(listed) < limit {
		listed = append(listed, l)
	} else {
		listed[len(listed)-1] = l
	}
	for i := len(listed) - 1; i > 0 && listed[i-1].score < listed[i].score; i-- {
		listed[i-1], listed[i] = listed[i], listed[i-1]
	}
	return listed
}

// addFamiliar lists the targets that recently handled the object, unless they are
// listed already.
func (w *scratch) addFamiliar(members []*fleet.Member, q Query, o object) {
	for _, process := range o.processes {
		at, found := slices.BinarySearchFunc(members, process, func(m *fleet.Member, p fleet.Process) int {
			return strings.Compare(string(m.Target()), string(p.Target()))
		})
		if !found || !q.Allowed(members[at].Region()) || slices.ContainsFunc(w.listed, func(l listedTarget) bool { return l.member == members[at] }) {
			continue
		}
		w.listed = append(w.listed, listedTarget{member: members[at], score: -1})
	}
}

// replicas returns the listed targets that are eligible for the request, with the
// probabilities that they have the object cached. Of a shortlist these are the first
// few that are reachable and not slow in each region, and the familiar ones.
func (c *Chooser) replicas(work *scratch, q Query, s *serviceStats, o object, times ServiceTimes, now time.Time) []Candidate {
	candidates := work.candidates[:0]
	hits, use := s.replicaState(now)
	penalty := missPenalty(use)
	c.mu.Lock()
	defer c.mu.Unlock()
	position, region := 0, place.Region("")
	for i, l := range work.listed {
		m := l.member
		if r := m.Region(); i == 0 || r != region {
			position, region = 0, r
		}
		replica := Replica{Position: position, Foreign: region != c.region, Familiar: slices.Contains(o.processes[:], m.Process())}
		replica.Home = position == 0 && l.score >= 0 && region == work.home
		if l.score < 0 {
			replica.Position = ownReplicas
		} else if work.partial && !replica.Familiar && position >= replicasIn(replica.Foreign) {
			continue
		}
		candidate := c.candidate(m, q, s, times, now)
		limited := c.rateLimiter.Wait(m, now) > 0
		if l.score >= 0 && !candidate.Unreachable && !candidate.slow() && !limited {
			position++
		}
		if limited || slices.Contains(q.Tried, m.Target()) || c.pauseOf(m.Process(), now) > 0 {
			continue
		}
		candidate.Replicated, candidate.Replica, candidate.LikelyCached = true, replica, replica.Familiar
		candidate.HitProbability, candidate.MissPenalty = hits[replica.class()], penalty
		if replica.Position < replicasIn(replica.Foreign) && rand.Float64() < crowdedTrials {
			candidate.Crowded = false
		}
		candidates = append(candidates, candidate)
	}
	work.candidates = candidates
	return candidates
}

func replicasIn(foreign bool) int {
	if foreign {
		return otherReplicas
	}
	return ownReplicas
}

// replicaState returns the probabilities of a hit by class, and the mean load per
// slot.
func (s *serviceStats) replicaState(now time.Time) (hits [replicaClasses]float64, meanUse float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits.probabilities(now), s.meanUse * halfLifeWeight(now.Sub(s.meanLoadAt), meanLoadHalfLife)
}

// nearBest returns a random one of the candidates for which admit returns true and
// whose cost is at most nearTie above the least. Entries that know the same old
// report then don't all choose the same target.
func nearBest(candidates []Candidate, times ServiceTimes, admit func(Candidate, Estimate) bool, least time.Duration) (int, Estimate) {
	bound := time.Duration((1 + nearTie) * float64(least))
	chosen, estimate, ties := -1, Estimate{}, 0
	for i, c := range candidates {
		e := Expect(c, times)
		if e.cost > bound || !admit(c, e) {
			continue
		}
		if ties++; rand.IntN(ties) == 0 {
			chosen, estimate = i, e
		}
	}
	return chosen, estimate
}

// replicaChoice says how a replica was chosen: by which probability of a hit, and with
// which service times.
type replicaChoice struct {
	replica        Replica
	hitProbability float64
	times          ServiceTimes
}

// setReplica records how the replica was chosen. Where this entry hadn't used the
// replica for the object, the request may take as long as a miss before the target
// counts as slow.
func (a *Attempt) setReplica(chosen Candidate, times ServiceTimes) {
	if !chosen.Replica.Familiar {
		a.expected += time.Duration(chosen.HitProbability * float64(times.Miss-times.Hit))
	}
	a.choice = &replicaChoice{replica: chosen.Replica, hitProbability: chosen.HitProbability, times: times}
	a.sampled = a.estimate.Wait == 0 && !chosen.Cold && chosen.Slowdown < sampleSlowdownMax
}

// observeReplica records the duration of an answered request under the policy
// Replicated. A target that this entry hadn't used for the object may have missed
// its cache, so that a duration up to that of a miss doesn't make it slow. The caller
// holds l.mu.
func (l *targetStats) observeReplica(a *Attempt, took time.Duration, report *Report, now time.Time) {
	expected := a.expected
	if saved := a.choice.times.Miss - a.choice.times.Hit; !a.choice.replica.Familiar && took < expected-saved/2 {
		expected -= saved
	}
	l.observeDuration(took, expected)
	// A queue at the end tells that the report used for the estimate was too old.
	if a.sampled && (report == nil || report.Waiting == 0) {
		a.service.observeReplica(took-l.rtt, a.choice.replica.class(), now)
	}
}

// Replica returns the position of the target among the replicas of the object. It
// reports false unless the policy is Replicated and the request concerns an object.
func (a *Attempt) Replica() (Replica, bool) {
	if a.choice == nil {
		return Replica{}, false
	}
	return a.choice.replica, true
}

// HitProbability returns the probability, as of the choice, that the target has the
// object cached. It is 0 where Replica reports false.
func (a *Attempt) HitProbability() float64 {
	if a.choice == nil {
		return 0
	}
	return a.choice.hitProbability
}
