// Package pick chooses the target of a request: the one that is expected to
// answer first, where a target that knows the request's object answers several
// times faster. All entries prefer the same target for an object, by rendezvous
// hash, so that its knowledge is used without a word between them; a target
// that is full, slow or failing loses its objects to the next in order.
//
// The score is a pure function of what is known of the candidates. Around it
// stands what an entry learns from answers. There is no input or output; the
// time is passed in.
package pick

import (
	"time"

	"github.com/endivechute/endivechute/fleet"
)

// Distance is how far a target is from this entry.
type Distance uint8

// The distances.
const (
	// SameZone: in this entry's availability zone.
	SameZone Distance = iota
	// SameRegion: in another availability zone of the region.
	SameRegion
	// OtherRegion: in another region.
	OtherRegion
)

// Candidate is what is known of one target that may get a request.
type Candidate struct {
	Member   *fleet.Member
	Distance Distance
	// Rank is the position in the rendezvous order of the request's object among
	// all targets of the service that can be reached, 0 for the first.
	Rank int
	// Familiar tells that the target has handled the object of late, or that the
	// request concerns none.
	Familiar bool
	// Load is how many requests run or wait at the target.
	Load float64
	// Slow is how many times longer than others the target takes.
	Slow float64
	// Fails is the share of requests that the target has failed of late.
	Fails float64
	// Trip is the time of a packet to the target and back.
	Trip time.Duration
	// Cold tells that the target has just started.
	Cold bool
	// Standing tells that the target's queue has long been longer than requests
	// should wait.
	Standing bool
	// Suspect tells that the target could not be reached.
	Suspect bool
}

// Work is how long the targets of a service work on a request.
type Work struct {
	// Hit is the time where the target knows the object, Miss where it doesn't.
	Hit, Miss time.Duration
}

// The weights of the score, as parts of the work of a service.
const (
	// homeWeight is how much more often a target of the own region comes first
	// in the order of an object than one of another region.
	homeWeight = 2.0
	// failCost is what a target that fails every request adds.
	failCost = 4.0
	// zoneCost and regionCost are for the bytes that leave the zone or region,
	// beside the time that they take.
	zoneCost   = 0.10
	regionCost = 0.05
	// coldSlow is by how much a cold target is expected to be slower.
	coldSlow = 2.0
	// rankCost is what each place in the rendezvous order adds, up to rankMax
	// places, so that entries agree on the order of targets that know nothing
	// of the object.
	rankCost = 1.0
	rankMax  = 4
	// teachCost is what a target adds that has no reason to know the object, as
	// a part of what the knowledge saves. The request would not only take
	// longer: it would keep the target from others, and make it forget another
	// object. Where every target is busy, an entry that spreads the requests
	// for an object over several targets lowers what all of them can do.
	teachCost = 15.0
)

// Estimate is what is expected of a request at a target.
type Estimate struct {
	// Wait is the time until the target begins with the request.
	Wait time.Duration
	// Total is the time until the answer.
	Total time.Duration
	// usual is Total for a target of the usual speed.
	usual time.Duration
	// cost is Total and what speaks against the target beside time.
	cost time.Duration
}

// knows tells whether the target is taken to know the object: this entry has
// sent it there, or all entries prefer the target for it.
func (c Candidate) knows() bool { return c.Familiar || c.Rank == 0 }

// Expect returns what is expected of a request at the candidate.
func Expect(c Candidate, w Work) Estimate {
	mean := float64(w.Hit+w.Miss) / 2
	slots := float64(max(c.Member.Slots(), 1))
	work := float64(w.Miss)
	if c.knows() {
		work = float64(w.Hit)
	}
	slow := c.Slow
	if c.Cold {
		slow = max(slow, coldSlow)
	}
	wait := max(c.Load+1-slots, 0) / slots * float64(w.Hit)
	usual := float64(c.Trip) + wait + work
	wait *= slow
	total := float64(c.Trip) + wait + work*slow
	cost := total + mean*(failCost*c.Fails+rankCost*float64(min(c.Rank, rankMax)))
	if !c.knows() {
		cost += teachCost * float64(w.Miss-w.Hit)
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
		usual: time.Duration(usual), cost: time.Duration(cost),
	}
}

// Best returns the index of the candidate with the least cost among those that
// the filter admits, and what is expected there; -1 if there is none.
func Best(candidates []Candidate, w Work, admit func(Candidate, Estimate) bool) (int, Estimate) {
	best, least := -1, Estimate{}
	for i, c := range candidates {
		estimate := Expect(c, w)
		if !admit(c, estimate) {
			continue
		}
		if best < 0 || estimate.cost < least.cost {
			best, least = i, estimate
		}
	}
	return best, least
}
