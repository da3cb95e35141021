package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/steer"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Timing of the exchange between the entries of an availability zone.
const (
	// roundInterval is the time between two rounds of limits.run.
	roundInterval = 250 * time.Millisecond
	// roundTimeout limits the calls to other entries and to targets in a round.
	roundTimeout = 400 * time.Millisecond
	// peersAskedPerRound is the number of entries of the zone that are asked in
	// each round for the targets that they keep.
	peersAskedPerRound = 3
	// keepersKnownAfter is the uptime after which a process knows the keepers of
	// its zone: leases that its predecessor granted have expired, and the
	// targets have reported their load.
	keepersKnownAfter = keeper.LeaseTime + keeper.ViewPropagationMax + 3*keeper.HeartbeatInterval
	// fastRoundInterval is the time between two rounds while a keeper is
	// unknown or load reports may free slots.
	fastRoundInterval = 50 * time.Millisecond
	// reportInterval is the time between two polls of a target's load report.
	reportInterval = 500 * time.Millisecond
	// coldAfterUptime is the uptime of this process from which on a newly listed
	// target is treated as cold. Before, all targets are new to the process.
	coldAfterUptime = 10 * time.Second
)

// targetState is the state of one target of the zone at this entry.
type targetState struct {
	resource keeper.Resource
	lease    *keeper.Lease
	limiter  *keeper.Limiter
	keeper   atomic.Pointer[place.Instance]
	view     atomic.Pointer[receivedView]
	sent     atomic.Int64 // forwarded to the keeper since the view was received
	leaving  atomic.Bool

	mu         sync.Mutex
	handedOver map[*keeper.Permit]handover // running requests of which the next keeper must be notified
	permits    map[*keeper.Permit]struct{}
}

// receivedView is a keeper's view of its target, with the time at which it was
// received, on the clock of limits.
type receivedView struct {
	wire.KeeperView
	receivedAt time.Duration
}

// handover names the next keeper of a target and the time of its lease request,
// on the clock of the next keeper.
type handover struct {
	to          place.Instance
	requestedAt time.Duration
}

// limits enforces this entry's share of the concurrency limits: the targets that
// it keeps in its zone, its share of the region's in-flight limit, its shares of
// the links to other regions and the caps on diversions.
type limits struct {
	entry        *Entry
	startedAt    time.Time
	leases       *keeper.Leases
	reach        *reach.Links
	targets      atomic.Pointer[map[place.Target]*targetState]
	admission    steer.Admission
	links        links
	meters       atomic.Pointer[map[place.Service]*meter]
	keepersKnown atomic.Bool
	wasSynced    bool // Entry.synced at the last update; accessed only by run
	released     chan struct{}
	heardSince   map[place.Instance]firstHeard // accessed only by run
	regionFullAt sync.Map                      // place.Region to time.Duration of its last refusal
}

func newLimits(e *Entry) *limits {
	l := &limits{entry: e, startedAt: e.now(), released: make(chan struct{}, 1), heardSince: map[place.Instance]firstHeard{}}
	l.reach = reach.NewLinks()
	l.leases = keeper.NewLeases(e.self.Instance, e.self.Incarnation, l.clock())
	l.targets.Store(&map[place.Target]*targetState{})
	l.meters.Store(&map[place.Service]*meter{})
	return l
}

// clock returns the time since the process began. It is never 0.
func (l *limits) clock() time.Duration { return l.entry.now().Sub(l.startedAt) + 1 }

// ready reports whether the keepers of the zone's targets are known and this
// entry's share of its region's limit is in effect.
func (l *limits) ready() bool {
	now := l.clock()
	return l.keepersKnown.Load() || now >= keepersKnownAfter && l.admission.Settled(now)
}

// checkKeepers reports whether the keeper of any target is unknown. Once all
// keepers are known and this entry's share is in effect, ready stays true.
func (l *limits) checkKeepers() (keeperUnknown bool) {
	now := l.clock()
	ready := l.wasSynced && l.admission.Settled(now)
	for _, k := range *l.targets.Load() {
		view := k.view.Load()
		_, known := l.leases.Keeper(k.resource, now)
		if !known && (view == nil || now-view.receivedAt >= steer.ViewMaxAge) {
			keeperUnknown = true
		}
		ready = ready && !k.limiter.HasUnverified()
	}
	if ready && !keeperUnknown {
		l.keepersKnown.Store(true)
	}
	return keeperUnknown
}

// run updates the leases, the load reports and the shares in rounds until ctx
// ends.
func (l *limits) run(ctx context.Context) {
	var lastRenewal, lastPoll time.Duration
	released := false
	for {
		l.update()
		now := l.clock()
		if keeperUnknown := l.checkKeepers(); released || keeperUnknown || now >= lastRenewal+keeper.HeartbeatInterval {
			lastRenewal = now
			l.renewLeases(ctx)
		}
		all := now >= lastPoll+reportInterval
		if all {
			lastPoll = now
		}
		l.pollReports(ctx, all)
		l.askKeepers(ctx)
		released = l.waitNextRound(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

// waitNextRound waits until the next round is due, a lease is released or ctx
// ends. It reports whether a lease was released, which this entry then requests
// without waiting for its next heartbeat.
func (l *limits) waitNextRound(ctx context.Context) bool {
	wait := roundInterval
	if l.checkKeepers() || l.needsReports() {
		wait = fastRoundInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-l.released:
		return true
	case <-ctx.Done():
		return false
	}
}

// needsReports reports whether this entry keeps a target whose slots are counted
// for requests of an earlier keeper. Load reports can free these slots.
func (l *limits) needsReports() bool {
	for _, k := range *l.targets.Load() {
		if k.limiter.HasUnverified() {
			return true
		}
	}
	return false
}

// signalReleased starts the next round at once, because a lease was released.
func (l *limits) signalReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// update applies the current list of instances and settings.
func (l *limits) update() {
	e := l.entry
	synced := e.synced()
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
	l.updateShares(v, now)
	l.updateMeters(now)
	l.wasSynced = synced
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
		health := e.heartbeats.Health(listed.Instance)
		if health.Refused() {
			l.leases.ProcessEnded(listed.Instance, now)
			continue
		}
		known := l.heardSince[listed.Instance]
		if known.incarnation != health.Incarnation() {
			known = firstHeard{incarnation: health.Incarnation(), at: now}
			l.heardSince[listed.Instance] = known
		}
		if known.at > keepersKnownAfter && now-known.at < keeper.LeaseTime+keeper.ViewPropagationMax {
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
	previous := *l.targets.Load()
	next := make(map[place.Target]*targetState, len(previous))
	for service, zones := range v.targets {
		policy, found := e.relay.Tables().Policy(service)
		if !found {
			continue
		}
		for _, t := range zones[e.self.Zone] {
			targetLimits := keeper.NewLimits(policy.SlotsOf(t.Target), policy.ConnectionsOf(t.Target), policy.Deadline())
			k := previous[t.Target]
			if k == nil {
				k = l.newTargetState(t, targetLimits, now)
			}
			k.limiter.SetLimits(targetLimits)
			client := v.clients[t.Target]
			leaving := t.State == store.StateLeaving || policy.LeavingInZone(t.Target, t.Zone) || client.Leaving()
			if k.leaving.Swap(leaving) != leaving {
				k.limiter.SetLeaving(leaving)
			}
			l.updateKeeper(k)
			k.limiter.Tick()
			next[t.Target] = k
		}
	}
	l.targets.Store(&next)
}

func (l *limits) newTargetState(t store.Target, allowed keeper.Limits, now time.Duration) *targetState {
	k := &targetState{resource: keeper.TargetResource(t.Target), handedOver: map[*keeper.Permit]handover{}, permits: map[*keeper.Permit]struct{}{}}
	k.lease = l.leases.Lease(k.resource)
	k.limiter = keeper.NewLimiter(string(t.Target), k.lease, allowed, l.clock)
	if now > coldAfterUptime {
		k.limiter.SetCold()
	}
	return k
}

// updateKeeper sets the entry to forward requests for the target to. A recent
// view from the keeper itself takes precedence over the first elector, which is
// only the likely keeper.
func (l *limits) updateKeeper(k *targetState) {
	now := l.clock()
	name, known := l.leases.Keeper(k.resource, now)
	view := k.view.Load()
	if !known && view != nil && now-view.receivedAt < steer.ViewMaxAge {
		return
	}
	k.keeper.Store(&name)
}
