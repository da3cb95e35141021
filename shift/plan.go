package shift

import (
	"maps"
	"time"

	"github.com/endivechute/endivechute/place"
)

// The times of planned shifts.
const (
	// TableLapse is how long an entry may go on as if its plan were the newest
	// after it last learned that it is.
	TableLapse = 15 * time.Second
	// LapseMargin is added by who counts on the lapse, for clocks that run at
	// different speeds and for reading late.
	LapseMargin = time.Second
	// StepInterval is the least time between two steps of one entry.
	StepInterval = 5 * time.Second
)

// Way is one direction of a shift.
type Way struct {
	From place.Region
	To   place.Region
}

// Shares holds the share of each way.
type Shares map[Way]Share

// Plan is the step at which the shifts of one service are. It is one object in
// the store; its version is the object's.
type Plan struct {
	version uint64
	shares  Shares
}

// NewPlan makes a Plan. The shares must not be changed afterwards.
func NewPlan(version uint64, shares Shares) Plan { return Plan{version: version, shares: shares} }

// Version returns the version of the object.
func (p Plan) Version() uint64 { return p.version }

// Shares returns the shares of the step. The caller must not change them.
func (p Plan) Shares() Shares { return p.shares }

// toward returns the shares that one step from has, in the direction of wanted:
// no way changes by more than the step.
func toward(from, wanted Shares, step Share) Shares {
	next := Shares{}
	ways := maps.Clone(from)
	if ways == nil {
		ways = Shares{}
	}
	maps.Copy(ways, wanted)
	for way := range ways {
		share := min(max(wanted[way], from[way]-step), from[way]+step)
		if share > 0 {
			next[way] = share
		}
	}
	return next
}

// Standing is what the holder of the plan knows to be in force at one entry.
type Standing struct {
	version uint64
}

// NewStanding makes a Standing: the newest version that the entry has wholly in
// force.
func NewStanding(version uint64) Standing { return Standing{version: version} }

// Next returns the shares of the next step, or false if there is none to take
// now: the plan is where it is wanted, or the present step isn't in force
// everywhere. An entry that doesn't report counts until the plan has been seen
// for TableLapse; by then its table has lapsed unless it has this version.
//
// The result is written on the condition that the object still has the plan's
// version, so that a holder which was paused or has a rival loses.
func Next(plan Plan, wanted Shares, step Share, standing []Standing, seen, now time.Duration) (Shares, bool) {
	if maps.Equal(plan.shares, wanted) {
		return nil, false
	}
	if now-seen < TableLapse+LapseMargin {
		for _, s := range standing {
			if s.version < plan.version {
				return nil, false
			}
		}
	}
	return toward(plan.shares, wanted, step), true
}

// Follower is the part of one entry in the shifts of one service: it takes each
// plan into force in steps of its own, at most one in StepInterval, so that an
// entry which was cut off doesn't jump when it learns of several steps at once.
// It isn't safe for use by several goroutines.
type Follower struct {
	plan      Plan
	step      Share
	inForce   Shares
	stepped   time.Duration
	began     bool
	confirmed time.Duration
}

// Learn takes in the newest plan of the store as it was known at the time
// confirmed, and the team's step. An older version is ignored. The first plan
// is taken into force at once, as it already is at the other entries.
func (f *Follower) Learn(plan Plan, step Share, confirmed, now time.Duration) {
	if f.began && plan.version < f.plan.version {
		return
	}
	if !f.began {
		f.inForce = plan.shares
		f.stepped = now
	}
	f.began = true
	f.plan = plan
	f.step = step
	f.confirmed = max(f.confirmed, confirmed)
	f.advance(now)
}

func (f *Follower) advance(now time.Duration) {
	if maps.Equal(f.inForce, f.plan.shares) || now-f.stepped < StepInterval {
		return
	}
	if now-f.confirmed >= TableLapse {
		return
	}
	f.inForce = toward(f.inForce, f.plan.shares, f.step)
	f.stepped = now
}

// InForce returns the shares at the time now. With the table lapsed they stay
// as they are.
func (f *Follower) InForce(now time.Duration) Shares {
	f.advance(now)
	return f.inForce
}

// Standing returns what to tell the holder of the plan: its version once it is
// wholly in force, and the one before until then.
func (f *Follower) Standing(now time.Duration) Standing {
	f.advance(now)
	if !f.began || !maps.Equal(f.inForce, f.plan.shares) {
		return Standing{}
	}
	return Standing{version: f.plan.version}
}

// Lapsed tells whether the entry doesn't know any more that its plan is the
// newest.
func (f *Follower) Lapsed(now time.Duration) bool { return now-f.confirmed >= TableLapse }
