package shift

import (
	"maps"
	"time"

	"github.com/endivechute/endivechute/place"
)

// Durations of planned shifts.
const (
	// PlanValidity is how long an entry may treat its plan as the newest after
	// that was last confirmed.
	PlanValidity = 15 * time.Second
	// ValidityMargin is added to PlanValidity where another process relies on it,
	// for clocks that run at different speeds and for late reads.
	ValidityMargin = time.Second
	// StepInterval is the minimum time between two steps of one entry.
	StepInterval = 5 * time.Second
)

// Direction is the direction of a shift, from one region to another.
type Direction struct {
	From place.Region
	To   place.Region
}

// Shares holds the diverted share for each direction.
type Shares map[Direction]Share

// Plan is the current step of the shifts of one service. It is one object in
// the store; its version is the object's.
type Plan struct {
	version uint64
	shares  Shares
}

// NewPlan returns a Plan. The shares must not be changed afterwards.
func NewPlan(version uint64, shares Shares) Plan { return Plan{version: version, shares: shares} }

// Version returns the version of the object.
func (p Plan) Version() uint64 { return p.version }

// Shares returns the shares of the step. The caller must not change them.
func (p Plan) Shares() Shares { return p.shares }

// stepToward returns the shares after one step from the shares from to wanted:
// no share changes by more than the step.
func stepToward(from, wanted Shares, step Share) Shares {
	next := Shares{}
	directions := maps.Clone(from)
	if directions == nil {
		directions = Shares{}
	}
	maps.Copy(directions, wanted)
	for direction := range directions {
		share := min(max(wanted[direction], from[direction]-step), from[direction]+step)
		if share > 0 {
			next[direction] = share
		}
	}
	return next
}

// AppliedVersion is the plan version that the holder of the plan knows to be in
// force at one entry.
type AppliedVersion struct {
	version uint64
}

// NewAppliedVersion returns an AppliedVersion. The version is the newest one
// that is completely in force at the entry.
func NewAppliedVersion(version uint64) AppliedVersion { return AppliedVersion{version: version} }

// Next returns the shares of the next step. It returns false if no step is to
// be taken now, because the plan is as wanted or the present step isn't in
// force at all entries. An entry that doesn't report blocks the step until
// PlanValidity and ValidityMargin have passed since the plan was seen; by then
// its plan has expired unless it has this version.
//
// The caller must write the result on the condition that the object still has
// the plan's version, so that the write of a holder that was paused or has a
// rival fails.
func Next(plan Plan, wanted Shares, step Share, applied []AppliedVersion, seen, now time.Duration) (Shares, bool) {
	if maps.Equal(plan.shares, wanted) {
		return nil, false
	}
	if now-seen < PlanValidity+ValidityMargin {
		for _, s := range applied {
			if s.version < plan.version {
				return nil, false
			}
		}
	}
	return stepToward(plan.shares, wanted, step), true
}

// Follower puts the plans of one service into force at one entry, in steps of
// its own and at most one in StepInterval, so that an entry that was
// disconnected doesn't jump when it learns of several steps at once. It isn't
// safe for concurrent use.
type Follower struct {
	plan        Plan
	step        Share
	inForce     Shares
	steppedAt   time.Duration
	started     bool
	confirmedAt time.Duration
}

// SetPlan sets the team's step and the newest plan of the store as of the time
// confirmed. An older version is ignored. The first plan is in force at once,
// because it already is at the other entries.
func (f *Follower) SetPlan(plan Plan, step Share, confirmed, now time.Duration) {
	if f.started && plan.version < f.plan.version {
		return
	}
	if !f.started {
		f.inForce = plan.shares
		f.steppedAt = now
	}
	f.started = true
	f.plan = plan
	f.step = step
	f.confirmedAt = max(f.confirmedAt, confirmed)
	f.advance(now)
}

func (f *Follower) advance(now time.Duration) {
	if maps.Equal(f.inForce, f.plan.shares) || now-f.steppedAt < StepInterval {
		return
	}
	if now-f.confirmedAt >= PlanValidity {
		return
	}
	f.inForce = stepToward(f.inForce, f.plan.shares, f.step)
	f.steppedAt = now
}

// InForce returns the shares in force at the time now. They don't change while
// the plan is expired.
func (f *Follower) InForce(now time.Duration) Shares {
	f.advance(now)
	return f.inForce
}

// Standing returns what to report to the holder of the plan: its version once
// it is completely in force, and 0 until then.
func (f *Follower) Standing(now time.Duration) AppliedVersion {
	f.advance(now)
	if !f.started || !maps.Equal(f.inForce, f.plan.shares) {
		return AppliedVersion{}
	}
	return AppliedVersion{version: f.plan.version}
}

// Expired reports whether the plan has expired, that is, is no longer known to
// be the newest.
func (f *Follower) Expired(now time.Duration) bool { return now-f.confirmedAt >= PlanValidity }
