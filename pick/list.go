package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// shortlistMax is the number of targets that a choice considers first. Those
// beyond rankMax have the same cost for their rank, so that the shortlist holds
// a dozen alternatives of the kind that a full list would offer.
const shortlistMax = 16

// object is the object of a request.
type object struct {
	hash uint64
	// processes are those that recently handled it.
	processes [objectTargets]fleet.Process
}

func objectOf(q Query, s *serviceStats, now time.Time) object {
	hash := xxhash.Sum64String(q.Object)
	return object{hash: hash, processes: s.objects.recentProcesses(hash, now)}
}

// scratch holds the slices of a choice, which are reused.
type scratch struct {
	listed  []listedTarget
	regions []regionList
	// home is the region of the target that is preferred for the object.
	home place.Region
	// partial is set if listed is a shortlist.
	partial    bool
	candidates []Candidate
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

// listedTarget is a target with its score in weighted rendezvous hashing; the
// target with the highest score ranks first.
type listedTarget struct {
	member *fleet.Member
	score  float64
}

// listAll lists all targets that the request may go to, in the order of their
// ranks, or in random order if the request concerns no object.
func (c *Chooser) listAll(work *scratch, members []*fleet.Member, q Query, o object) {
	work.listed, work.partial = work.listed[:0], false
	for _, m := range members {
		if q.Allowed(m.Region()) {
			work.listed = append(work.listed, listedTarget{member: m, score: c.score(m, o.hash)})
		}
	}
	if q.Object == "" {
		// Caches make no difference, and ties are broken at random.
		rand.Shuffle(len(work.listed), func(i, j int) { work.listed[i], work.listed[j] = work.listed[j], work.listed[i] })
		return
	}
	slices.SortStableFunc(work.listed, func(a, b listedTarget) int { return cmp.Compare(b.score, a.score) })
}

// shortlist lists the first shortlistMax targets in the order of their ranks and
// those that recently handled the object, or a random sample if the request
// concerns no object.
func (c *Chooser) shortlist(work *scratch, members []*fleet.Member, q Query, o object) {
	work.listed, work.partial = work.listed[:0], true
	if q.Object == "" {
		first := rand.IntN(len(members))
		for range shortlistMax {
			// Steps of a fixed length through the sorted list visit no target twice.
			first = (first + len(members)/shortlistMax) % len(members)
			if m := members[first]; q.Allowed(m.Region()) {
				work.listed = append(work.listed, listedTarget{member: m})
			}
		}
		return
	}
	least := 0.0
	for _, m := range members {
		if !q.Allowed(m.Region()) {
			continue
		}
		score := c.score(m, o.hash)
		if len(work.listed) == shortlistMax && score <= least {
			continue
		}
		work.insert(listedTarget{member: m, score: score})
		least = work.listed[len(work.listed)-1].score
	}
	ranked := len(work.listed)
	for _, process := range o.processes {
		at, found := slices.BinarySearchFunc(members, process, func(m *fleet.Member, p fleet.Process) int {
			return strings.Compare(string(m.Target()), string(p.Target()))
		})
		isListed := func(l listedTarget) bool { return l.member == members[at] }
		if !found || !q.Allowed(members[at].Region()) || slices.ContainsFunc(work.listed[:ranked], isListed) {
			continue
		}
		work.listed = append(work.listed, listedTarget{member: members[at]})
	}
}

// insert puts a target into the sorted list, which keeps shortlistMax of them.
func (w *scratch) insert(l listedTarget) {
	if len(w.listed) < shortlistMax {
		w.listed = append(w.listed, l)
	} else {
		w.listed[len(w.listed)-1] = l
	}
	for i := len(w.listed) - 1; i > 0 && w.listed[i].score > w.listed[i-1].score; i-- {
		w.listed[i], w.listed[i-1] = w.listed[i-1], w.listed[i]
	}
}

// score returns the score of a target for an object. All entries of a region
// compute the same score. In weighted rendezvous hashing a target of weight w has
// the w-th root of a uniform random number as its score. Targets in this entry's
// region have weight 2 and others 1; squares of these scores have the same order.
func (c *Chooser) score(m *fleet.Member, hash uint64) float64 {
	uniform := float64(mix64(hash^m.Hash())>>11) / (1 << 53)
	if m.Region() != c.region {
		return uniform * uniform
	}
	return uniform
}

// mix64 spreads the bits of a combined hash (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
