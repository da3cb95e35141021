package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/steer"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Times of the exchange between the keepers of an availability zone.
const (
	// limitsInterval is the time between two rounds.
	limitsInterval = 250 * time.Millisecond
	// limitsTimeout bounds a call to another entry of the zone.
	limitsTimeout = 400 * time.Millisecond
	// viewsAsked is how many entries of the zone are asked in each round what
	// they keep.
	viewsAsked = 3
	// settleTime is how long a new process takes until the keepers of its zone
	// can be known: the wait for leases that an earlier process gave, and the
	// reports of the targets.
	settleTime = keeper.LeaseTime + keeper.ViewSpread + 3*keeper.BeatInterval
	// unsettledInterval is the time between two rounds while a keeper isn't
	// known or reports may free slots.
	unsettledInterval = 50 * time.Millisecond
	// reportInterval is the time between two load reports of a target.
	reportInterval = 500 * time.Millisecond
	// coldAfter is the age of a process from which on it takes a target that
	// it sees for the first time for a cold one.
	coldAfter = 10 * time.Second
)

// kept is one target of the zone as this entry knows it.
type kept struct {
	resource keeper.Resource
	hold     *keeper.Hold
	gate     *keeper.Gate
	keeper   atomic.Pointer[place.Instance]
	view     atomic.Pointer[keptView]
	sent     atomic.Int64 // handed to the keeper since the view was gained
	leaving  atomic.Bool

	mu     sync.Mutex
	handed map[*keeper.Pass]handover // whose end the next keeper is told
	passes map[*keeper.Pass]struct{}
}

type keptView struct {
	wire.KeeperView
	gained time.Duration
}

type handover struct {
	to    place.Instance
	asked time.Duration
}

// limits is the entry's part in keeping the targets of its zone and the limits
// of its region.
type limits struct {
	entry     *Entry
	began     time.Time
	leases    *keeper.Leases
	targets   atomic.Pointer[map[place.Target]*kept]
	admission steer.Admission
	links     links
	meters    atomic.Pointer[map[place.Service]*meter]
	known     atomic.Bool
	updated   bool // the last update knew settings and instances; used by the round alone
	woken     chan struct{}
	heard     map[place.Instance]firstHeard // used by the round alone
	full      sync.Map                      // place.Region -> time.Duration of the last refusal
}

func newLimits(e *Entry) *limits {
	l := &limits{entry: e, began: e.now(), woken: make(chan struct{}, 1), heard: map[place.Instance]firstHeard{}}
	l.leases = keeper.NewLeases(e.self.Instance, e.self.Incarnation, l.clock())
	l.targets.Store(&map[place.Target]*kept{})
	l.meters.Store(&map[place.Service]*meter{})
	return l
}

// clock returns the time since the process began, never 0.
func (l *limits) clock() time.Duration { return l.entry.now().Sub(l.began) + 1 }

// settled tells whether the keepers of the zone's targets are known and the
// entry's share of its region's limit is in force.
func (l *limits) settled() bool {
	now := l.clock()
	return l.known.Load() || now >= settleTime && l.admission.Settled(now)
}

// settle tells whether the keeper of a target isn't known at the moment, and
// notes the first time that all are and the entry's share is in force.
func (l *limits) settle() (unsettled bool) {
	now := l.clock()
	sure := l.updated && l.admission.Settled(now)
	for _, k := range *l.targets.Load() {
		view := k.view.Load()
		_, known := l.leases.Keeper(k.resource, now)
		if !known && (view == nil || now-view.gained >= steer.ViewStale) {
			unsettled = true
		}
		sure = sure && !k.gate.Unsure()
	}
	if sure && !unsettled {
		l.known.Store(true)
	}
	return unsettled
}

// run keeps the leases, the reports and the shares up to date until ctx ends.
func (l *limits) run(ctx context.Context) {
	var beaten, polled time.Duration
	for {
		l.update()
		now := l.clock()
		if unsettled := l.settle(); unsettled || now >= beaten+keeper.BeatInterval {
			beaten = now
			l.beat(ctx)
		}
		all := now >= polled+reportInterval
		if all {
			polled = now
		}
		l.poll(ctx, all)
		l.askViews(ctx)
		if !l.rest(ctx) {
			return
		}
	}
}

// rest waits for the next round, which comes soon while a keeper isn't known or
// reports may free slots.
func (l *limits) rest(ctx context.Context) bool {
	wait := limitsInterval
	if l.settle() || l.unsure() {
		wait = unsettledInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.woken:
		return true
	case <-ctx.Done():
		return false
	}
}

// unsure tells whether reports may free slots of a target that this entry keeps.
func (l *limits) unsure() bool {
	for _, k := range *l.targets.Load() {
		if k.gate.Unsure() {
			return true
		}
	}
	return false
}

// wake begins the next round at once, as after a lease was given back.
func (l *limits) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// update takes in the newest list of instances and settings.
func (l *limits) update() {
	e := l.entry
	informed := e.informed()
	v := e.view.Load()
	now := l.clock()
	var resources []keeper.Resource
	for _, zones := range v.targets {
		for _, t := range zones[e.self.Zone] {
			resources = append(resources, keeper.TargetResource(t.Target))
		}
	}
	l.leases.Update(l.members(v), resources, now)
	l.updateTargets(v, now)
	l.updateShare(v, now)
	l.updateMeters(now)
	l.updated = informed
}

// members returns the listed entries of the zone, without those whose process
// has ended, and without new ones that can't give leases yet.
func (l *limits) members(v *view) []place.Instance {
	e := l.entry
	now := l.clock()
	var members []place.Instance
	for _, listed := range v.zoneEntries[e.self.Zone] {
		if listed.Instance == e.self.Instance {
			members = append(members, listed.Instance)
			continue
		}
		health := e.heart.Health(listed.Instance)
		if health.Refused() {
			l.leases.Gone(listed.Instance, now)
			continue
		}
		known := l.heard[listed.Instance]
		if known.incarnation != health.Incarnation() {
			known = firstHeard{incarnation: health.Incarnation(), at: now}
			l.heard[listed.Instance] = known
		}
		if known.at > settleTime && now-known.at < keeper.LeaseTime+keeper.ViewSpread {
			continue
		}
		members = append(members, listed.Instance)
	}
	slices.Sort(members)
	return members
}

// firstHeard is when a process of an instance was first heard.
type firstHeard struct {
	incarnation uint64
	at          time.Duration
}

func (l *limits) updateTargets(v *view, now time.Duration) {
	e := l.entry
	before := *l.targets.Load()
	after := make(map[place.Target]*kept, len(before))
	for service, zones := range v.targets {
		policy, found := e.relay.Tables().Policy(service)
		if !found {
			continue
		}
		for _, t := range zones[e.self.Zone] {
			allowed := keeper.NewLimits(policy.SlotsOf(t.Target), policy.ConnectionsOf(t.Target), policy.Deadline())
			k := before[t.Target]
			if k == nil {
				k = l.newKept(t, allowed, now)
			}
			k.gate.SetLimits(allowed)
			client := v.clients[t.Target]
			leaving := t.State == store.StateLeaving || policy.LeavingAt(t.Target, t.Zone) || client.Leaving()
			if k.leaving.Swap(leaving) != leaving {
				k.gate.SetLeaving(leaving)
			}
			l.takeKeeper(k)
			k.gate.Tick()
			after[t.Target] = k
		}
	}
	l.targets.Store(&after)
}

func (l *limits) newKept(t store.Target, allowed keeper.Limits, now time.Duration) *kept {
	k := &kept{resource: keeper.TargetResource(t.Target), handed: map[*keeper.Pass]handover{}, passes: map[*keeper.Pass]struct{}{}}
	k.hold = l.leases.Hold(k.resource)
	k.gate = keeper.NewGate(string(t.Target), k.hold, allowed, l.clock)
	if now > coldAfter {
		k.gate.SetCold()
	}
	return k
}

// takeKeeper brings up to date which entry is taken for the target's keeper. A
// fresh word of the keeper itself counts for more than a guess.
func (l *limits) takeKeeper(k *kept) {
	now := l.clock()
	name, known := l.leases.Keeper(k.resource, now)
	view := k.view.Load()
	if !known && view != nil && now-view.gained < steer.ViewStale {
		return
	}
	k.keeper.Store(&name)
}
