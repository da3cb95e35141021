package entry

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// pollReports reads the load reports of the targets that this entry keeps. With
// all false it reads only those that may free slots.
func (l *limits) pollReports(ctx context.Context, all bool) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if l.reach.Lost(targetsOfZone) {
		l.probeReach(ctx)
		return
	}
	clients := l.entry.view.Load().clients
	var calls conc.WaitGroup
	for name, k := range *l.targets.Load() {
		client := clients[name]
		if client == nil || !k.lease.Held(l.clock()) || (!all && !k.limiter.HasUnverified()) {
			continue
		}
		calls.Go(func() {
			asked, began := l.clock(), l.entry.now()
			err := client.UpdateReport(ctx)
			l.observeReach(name, sender.Answer{}, err, began)
			if err == nil {
				k.limiter.Report(client.LastReport().Running(), asked)
			}
		})
	}
	calls.Wait()
}

// askKeepers asks a few random entries of the zone for the targets that they keep
// and applies the answers.
func (l *limits) askKeepers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, member := range l.entry.pick(l.entry.view.Load().zoneEntries[l.entry.self.Zone], peersAskedPerRound) {
		calls.Go(func() {
			answer, err := l.entry.pool.Call(ctx, member.Instance, &wire.KeepersRequest{})
			if views, ok := answer.(*wire.Keepers); err == nil && ok {
				for i := range views.Views {
					l.applyView(member.Instance, &views.Views[i])
				}
			}
		})
	}
	calls.Wait()
}

// applyView stores what the keeper of a target reported about it. It does nothing
// if the view is nil or the target is not in the list.
func (l *limits) applyView(from place.Instance, keeperView *wire.KeeperView) {
	if keeperView == nil {
		return
	}
	k := (*l.targets.Load())[keeperView.Target]
	if k == nil {
		return
	}
	k.view.Store(&receivedView{KeeperView: *keeperView, receivedAt: l.clock()})
	k.sent.Store(0)
	k.keeper.Store(&from)
	// The next keeper has to know the limit before its first request.
	if now := l.clock(); !k.lease.Held(now) {
		if keeperView.Limit != nil {
			k.limiter.NameLimit(*keeperView.Limit)
		} else {
			k.limiter.UnnameLimit(now)
		}
	}
}

// ownView returns the view of a target that this entry keeps, or nil if it is not
// the target's keeper.
func (l *limits) ownView(name place.Target) *wire.KeeperView {
	k := (*l.targets.Load())[name]
	if k == nil || !k.lease.Held(l.clock()) {
		return nil
	}
	v := k.limiter.View()
	return &wire.KeeperView{Target: name, Free: v.Free, WaitMicros: v.Wait.Microseconds(), Failures: v.Failing, Leaving: v.Leaving, ServiceMicros: v.Service.Microseconds(), Limit: v.Limit}
}
