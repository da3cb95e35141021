package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/sender"
)

const (
	// takeoverTime is how long after this entry gave up its leases another keeper may
	// still be missing, so that requests are tried again.
	takeoverTime = time.Second
	// targetsProbed is how many targets are asked for their load in each round while
	// this entry reaches none.
	targetsProbed = 3
)

// targetsOfZone is the scope of all targets that this entry can be the keeper of.
var targetsOfZone = reach.NewScope("", nil)

// observeReach records whether an attempt that began at the given time shows that this
// entry reaches the targets of its zone. A keeper that reaches none of its targets gives
// up its leases, so that another entry of the zone becomes their keeper.
func (l *limits) observeReach(name place.Target, answer sender.Answer, err error, began time.Time) {
	now := l.entry.now()
	switch {
	case err == nil || answer.Status() != 0:
		l.recordReach(l.reach.Answered(targetsOfZone, began, now))
	case !l.hasSubstitute():
		// Nobody else could be the keeper, whether the links are cut or the targets down.
	case errs.AsRefusal(err).Reason() == errs.ReasonDeadline, errs.AsRefusal(err).Reason() == errs.ReasonTargetSilent,
		errs.AsRefusal(err).Reason() == errs.ReasonTargetFailed && errs.VerdictOf(err) == errs.VerdictNotRun:
		l.reach.Missed(targetsOfZone, name, l.kept(), began, now)
	}
	if l.reach.Check(now) {
		l.entry.log.Warn("The targets are out of reach; their leases are given up.")
		l.leases.StandDown(l.clock())
		l.signalReleased()
	}
}

// hasSubstitute reports whether another entry of this availability zone could be the
// keeper of its targets.
func (l *limits) hasSubstitute() bool {
	now := l.entry.now()
	for name, other := range l.entry.view.Load().entries {
		health := l.entry.heartbeats.Health(name)
		if name != l.entry.self.Instance && other.Zone == l.entry.self.Zone && health.Reachable(now) && !health.Leaving() {
			return true
		}
	}
	return false
}

// recordReach requests leases again if the targets are in reach again.
func (l *limits) recordReach(regained bool) {
	if regained {
		l.entry.log.Info("The targets are in reach again.")
		l.leases.StandUp()
	}
}

// kept returns how many targets this entry is the keeper of.
func (l *limits) kept() int {
	n, now := 0, l.clock()
	for _, k := range *l.targets.Load() {
		if k.lease.Held(now) {
			n++
		}
	}
	return n
}

// checkReach returns a refusal while this entry reaches no target.
func (l *limits) checkReach() error {
	if !l.reach.Lost(targetsOfZone) {
		return nil
	}
	if l.entry.now().Sub(l.reach.LostAt(targetsOfZone.Service())) < takeoverTime {
		return errs.NotRun(errs.ReasonLostKeeper, DefaultRetryAfter, "instance %s has given up the leases of its targets, which it doesn't reach", l.entry.self.Instance)
	}
	return errs.NotRun(errs.ReasonTargetFailed, DefaultRetryAfter, "the targets of availability zone %s are out of reach of instance %s", l.entry.self.Zone, l.entry.self.Instance)
}

// probeReach asks a few random targets for their load while this entry reaches none.
func (l *limits) probeReach(ctx context.Context) {
	clients := l.entry.view.Load().clients
	names := make([]place.Target, 0, len(clients))
	for name := range clients {
		names = append(names, name)
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var calls conc.WaitGroup
	for _, name := range names[:min(len(names), targetsProbed)] {
		calls.Go(func() {
			if clients[name].UpdateReport(ctx) == nil {
				l.recordReach(l.reach.Proven(targetsOfZone, name, len(names), l.entry.now()))
			}
		})
	}
	calls.Wait()
}

// isWitness reports whether this entry can tell that a target crashed: it reaches
// another one that it keeps, or keeps no other.
func (l *limits) isWitness(ctx context.Context, name place.Target) bool {
	if l.reach.Lost(targetsOfZone) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	clients, others := l.entry.view.Load().clients, 0
	for other, k := range *l.targets.Load() {
		if other == name || clients[other] == nil || !k.lease.Held(l.clock()) {
			continue
		}
		if others++; others > targetsProbed {
			break
		}
		if clients[other].UpdateReport(ctx) == nil {
			return true
		}
	}
	return others == 0
}
