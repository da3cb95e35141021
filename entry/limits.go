package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/shift"
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

// meter counts the arrivals of one service at this entry.
type meter struct {
	shift.Meter
	follower shift.Follower // used by the round alone
	version  uint64
	shares   shift.Shares
	wanted   atomic.Pointer[[]shift.Wanted]
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

// updateShare takes in this entry's part of its region's limit, and of the
// links that leave the region.
func (l *limits) updateShare(v *view, now time.Duration) {
	e := l.entry
	if !e.informed() {
		return
	}
	fleet := e.relay.Tables().Fleet()
	home := e.self.Zone.Region()
	limit, limited := fleet.InFlightLimit(home)
	var members []place.Instance
	var regions []place.Region
	for zone, entries := range v.zoneEntries {
		regions = append(regions, zone.Region())
		if zone.Region() != home {
			continue
		}
		for _, listed := range entries {
			members = append(members, listed.Instance)
		}
	}
	l.admission.SetShare(steer.ShareOfLimit(limit, e.self.Instance, members), limited, now)
	l.links.update(home, regions, fleet, len(members), now)
}

// updateMeters brings the diversions of each service one step nearer to what
// its policy wants.
func (l *limits) updateMeters(now time.Duration) {
	e := l.entry
	before := *l.meters.Load()
	tables := e.relay.Tables()
	services := tables.Services()
	after := make(map[place.Service]*meter, len(services))
	for _, service := range services {
		policy, found := tables.Policy(service)
		if !found {
			continue
		}
		m := before[service]
		if m == nil {
			m = &meter{}
		}
		shares := shift.Shares{}
		for _, d := range policy.Diversions() {
			if d.From() == e.self.Zone.Region() {
				shares[shift.Way{From: d.From(), To: d.To()}] = shift.ShareOf(d.Percent())
			}
		}
		if !maps.Equal(shares, m.shares) || m.version == 0 {
			m.version++
			m.shares = shares
		}
		m.follower.Learn(shift.NewPlan(m.version, m.shares), shift.ShareOf(policy.StepPercent()), now, now)
		wanted := make([]shift.Wanted, 0, len(shares))
		for way, share := range m.follower.InForce(now) {
			wanted = append(wanted, shift.NewWanted(way.To, share))
		}
		m.wanted.Store(&wanted)
		after[service] = m
	}
	l.meters.Store(&after)
}

// beat sends the lease beats that are due and takes in the answers.
func (l *limits) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, envelope := range l.leases.Tick(l.clock()) {
		calls.Go(func() {
			answer, err := l.entry.pool.Call(ctx, envelope.To, beatToWire(envelope.Beat))
			if ack, ok := answer.(*wire.LeaseAck); err == nil && ok {
				l.leases.HandleAck(envelope.To, ackFromWire(ack), l.clock())
			}
		})
	}
	calls.Wait()
	for _, k := range *l.targets.Load() {
		l.takeKeeper(k)
		k.gate.Tick()
	}
}

// poll reads the load reports of the targets that this entry keeps: of all of
// them, or of those where it may free slots.
func (l *limits) poll(ctx context.Context, all bool) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	clients := l.entry.view.Load().clients
	var calls conc.WaitGroup
	for name, k := range *l.targets.Load() {
		client := clients[name]
		if client == nil || !k.hold.Held(l.clock()) || (!all && !k.gate.Unsure()) {
			continue
		}
		calls.Go(func() {
			asked := l.clock()
			if err := client.Poll(ctx); err == nil {
				k.gate.Report(client.LastReport().Running(), asked)
			}
		})
	}
	calls.Wait()
}

// askViews asks a few entries of the zone what they keep.
func (l *limits) askViews(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, member := range l.entry.pick(l.entry.view.Load().zoneEntries[l.entry.self.Zone], viewsAsked) {
		calls.Go(func() {
			answer, err := l.entry.pool.Call(ctx, member.Instance, &wire.KeepersAsk{})
			if views, ok := answer.(*wire.Keepers); err == nil && ok {
				for i := range views.Views {
					l.learn(member.Instance, &views.Views[i])
				}
			}
		})
	}
	calls.Wait()
}

// learn takes in what the keeper of a target tells of it.
func (l *limits) learn(from place.Instance, told *wire.KeeperView) {
	if told == nil {
		return
	}
	k := (*l.targets.Load())[told.Target]
	if k == nil {
		return
	}
	k.view.Store(&keptView{KeeperView: *told, gained: l.clock()})
	k.sent.Store(0)
	k.keeper.Store(&from)
}

// tell returns what this entry knows of the target as its keeper, or nil.
func (l *limits) tell(name place.Target) *wire.KeeperView {
	k := (*l.targets.Load())[name]
	if k == nil || !k.hold.Held(l.clock()) {
		return nil
	}
	v := k.gate.View()
	return &wire.KeeperView{Target: name, Free: v.Free, WaitMicros: v.Wait.Microseconds(), Failures: v.Failing, Leaving: v.Leaving, ServiceMicros: v.Service.Microseconds()}
}

// leave gives the leases up before a planned stop.
func (l *limits) leave(ctx context.Context) {
	l.leases.Leave(l.clock())
	l.beat(ctx)
}
