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

// Timing of the exchange between the entries of an availability zone.
const (
	// roundInterval is the time between two rounds of limits.run.
	limitsInterval = 250 * time.Millisecond
	// roundTimeout limits the calls to other entries and to targets in a round.
	limitsTimeout = 400 * time.Millisecond
	// peersAskedPerRound is the number of entries of the zone that are asked in
	// each round for the targets that they keep.
	viewsAsked = 3
	// keepersKnownAfter is the uptime after which a process knows the keepers of
	// its zone: leases that its predecessor granted have expired, and the
	// targets have reported their load.
	settleTime = keeper.LeaseTime + keeper.ViewSpread + 3*keeper.BeatInterval
	// fastRoundInterval is the time between two rounds while a keeper is
	// unknown or load reports may free slots.
	unsettledInterval = 50 * time.Millisecond
	// reportInterval is the time between two polls of a target's load report.
	reportInterval = 500 * time.Millisecond
	// coldAfterUptime is the uptime of this process from which on a newly listed
	// target is treated as cold. Before, all targets are new to the process.
	coldAfter = 10 * time.Second
)

// targetState is the state of one target of the zone at this entry.
type kept struct {
	resource keeper.Resource
	hold     *keeper.Hold
	gate     *keeper.Gate
	keeper   atomic.Pointer[place.Instance]
	view     atomic.Pointer[keptView]
	sent     atomic.Int64 // forwarded to the keeper since the view was received
	leaving  atomic.Bool

	mu     sync.Mutex
	handed map[*keeper.Pass]handover // running requests whose end the next keeper must be told
	passes map[*keeper.Pass]struct{}
}

// receivedView is what a keeper told about its target, and when, in time since
// the process began.
type keptView struct {
	wire.KeeperView
	gained time.Duration
}

// handover names the next keeper of a target and the time of its lease request,
// on the clock of the next keeper.
type handover struct {
	to    place.Instance
	asked time.Duration
}

// limits enforces this entry's share of the concurrency limits: the targets that
// it keeps in its zone, its share of the region's in-flight limit, its shares of
// the links to other regions and the caps on diversions.
type limits struct {
	entry     *Entry
	began     time.Time
	leases    *keeper.Leases
	targets   atomic.Pointer[map[place.Target]*kept]
	admission steer.Admission
	links     links
	meters    atomic.Pointer[map[place.Service]*meter]
	known     atomic.Bool
	updated   bool // synced was true at the last update; accessed only by run
	woken     chan struct{}
	heard     map[place.Instance]firstHeard // accessed only by run
	full      sync.Map                      // place.Region to time.Duration of its last refusal
}

func newLimits(e *Entry) *limits {
	l := &limits{entry: e, began: e.now(), woken: make(chan struct{}, 1), heard: map[place.Instance]firstHeard{}}
	l.leases = keeper.NewLeases(e.self.Instance, e.self.Incarnation, l.clock())
	l.targets.Store(&map[place.Target]*kept{})
	l.meters.Store(&map[place.Service]*meter{})
	return l
}

// clock returns the time since the process began. It is never 0.
func (l *limits) clock() time.Duration { return l.entry.now().Sub(l.began) + 1 }

// ready reports whether the keepers of the zone's targets are known and this
// entry's share of its region's limit is in effect.
func (l *limits) settled() bool {
	now := l.clock()
	return l.known.Load() || now >= settleTime && l.admission.Settled(now)
}

// checkKeepers reports whether the keeper of any target is unknown. Once all
// keepers are known and this entry's share is in effect, ready stays true.
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

// run updates the leases, the load reports and the shares in rounds until ctx
// ends.
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

// waitNextRound waits until the next round is due or wake is called. It returns
// false when ctx ends.
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

// needsReports reports whether this entry keeps a target whose slots are counted
// for requests of an earlier keeper. Load reports can free these slots.
func (l *limits) unsure() bool {
	for _, k := range *l.targets.Load() {
		if k.gate.Unsure() {
			return true
		}
	}
	return false
}

// wake starts the next round at once, for instance because a lease was released.
func (l *limits) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// update applies the current list of instances and settings.
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

// members returns the sorted entries of the zone that take part in leases. It
// omits entries whose process has ended, and processes that started so recently
// that they may not grant leases yet.
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

// firstHeard holds the current process of an instance, by its incarnation, and
// the time at which it first answered a heartbeat.
type firstHeard struct {
	incarnation uint64
	at          time.Duration
}

// updateTargets applies the list of targets of the zone and their policies.
// Targets without a policy are omitted.
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

// updateKeeper sets the entry to forward requests for the target to. A recent
// view from the keeper itself takes precedence over the first elector, which is
// only the likely keeper.
func (l *limits) takeKeeper(k *kept) {
	now := l.clock()
	name, known := l.leases.Keeper(k.resource, now)
	view := k.view.Load()
	if !known && view != nil && now-view.gained < steer.ViewStale {
		return
	}
	k.keeper.Store(&name)
}
