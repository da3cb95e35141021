package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// renewLeases sends the lease requests that are due, processes the answers and
// then updates the keeper and the queue of every target.
func (l *limits) renewLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, addressed := range l.leases.Tick(l.clock()) {
		calls.Go(func() {
			answer, err := l.entry.pool.Call(ctx, addressed.To, beatToWire(addressed.Heartbeat))
			if ack, ok := answer.(*wire.LeaseAck); err == nil && ok {
				l.leases.HandleAck(addressed.To, ackFromWire(ack), l.clock())
			}
		})
	}
	calls.Wait()
	for _, k := range *l.targets.Load() {
		l.updateKeeper(k)
		k.limiter.Tick()
	}
}

// releaseLeases gives up all leases before a planned stop and tells the other
// electors at once.
func (l *limits) releaseLeases(ctx context.Context) {
	l.leases.Leave(l.clock())
	l.renewLeases(ctx)
}

// handle answers the messages that the entries of a zone exchange about keepers.
func (l *limits) handle(ctx context.Context, peer wire.Hello, message wire.Message) wire.Message {
	switch m := message.(type) {
	case *wire.LeaseHeartbeat:
		return l.handleHeartbeat(ctx, peer.Instance, m)
	case *wire.Handover:
		if k := (*l.targets.Load())[m.Target]; k != nil {
			remaining := make([]time.Duration, len(m.RemainingMillis))
			for i, millis := range m.RemainingMillis {
				remaining[i] = time.Duration(millis) * time.Millisecond
			}
			k.limiter.Inherit(time.Duration(m.RequestedNanos), remaining)
		}
	case *wire.InheritedDone:
		if k := (*l.targets.Load())[m.Target]; k != nil {
			k.limiter.FinishInherited(time.Duration(m.RequestedNanos))
		}
	case *wire.KeepersRequest:
		answer := &wire.Keepers{}
		for name := range *l.targets.Load() {
			if view := l.ownView(name); view != nil {
				answer.Views = append(answer.Views, *view)
			}
		}
		return answer
	}
	return &wire.Ack{}
}

// handleHeartbeat grants or takes back leases. It hands over the targets that
// this entry gave up to the sender before it answers, so that the sender knows
// the running requests before it becomes the keeper.
func (l *limits) handleHeartbeat(ctx context.Context, from place.Instance, m *wire.LeaseHeartbeat) wire.Message {
	heartbeat := keeper.Heartbeat{Incarnation: m.Incarnation, Sent: time.Duration(m.SentNanos)}
	released := false
	for _, a := range m.Requests {
		released = released || a.Release
		heartbeat.Requests = append(heartbeat.Requests, keeper.LeaseRequest{Resource: keeper.Resource(a.Resource), View: a.View, Release: a.Release})
	}
	ack, transfers := l.leases.HandleHeartbeat(from, heartbeat, l.clock())
	var calls conc.WaitGroup
	for _, t := range transfers {
		calls.Go(func() { l.handOver(ctx, t) })
	}
	calls.Wait()
	if released {
		l.signalReleased()
	}
	answer := &wire.LeaseAck{Incarnation: ack.Incarnation, SentNanos: int64(ack.Sent)}
	for _, r := range ack.Granted {
		answer.Granted = append(answer.Granted, string(r))
	}
	return answer
}

// handOver stops sending to a target and tells its next keeper how long each
// running request may still take.
func (l *limits) handOver(ctx context.Context, t keeper.Transfer) {
	for name, k := range *l.targets.Load() {
		if k.resource != t.Resource {
			continue
		}
		k.mu.Lock()
		remaining := k.limiter.Release()
		for permit := range k.permits {
			k.handedOver[permit] = handover{to: t.To, requestedAt: t.Asked}
		}
		k.mu.Unlock()
		message := &wire.Handover{Target: name, RequestedNanos: int64(t.Asked)}
		for _, d := range remaining {
			message.RemainingMillis = append(message.RemainingMillis, d.Milliseconds()+1)
		}
		l.updateKeeper(k)
		l.notify(ctx, t.To, message)
	}
}

// notify sends a message to the next keeper and ignores the answer. If the
// message is lost, the next keeper assumes that the requests run until their
// maximum time has passed.
func (l *limits) notify(ctx context.Context, to place.Instance, message wire.Message) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if _, err := l.entry.pool.Call(ctx, to, message); err != nil {
		l.entry.log.WithError(err).WithField("instance", to).Debug("Cannot notify the next keeper of a target.")
	}
}

// acquireSlot waits for a free slot of the target. The deadline is on the clock
// of limits. The error is an *errs.Refusal with the verdict not-run.
func (k *targetState) acquireSlot(ctx context.Context, deadline time.Duration) (*keeper.Permit, error) {
	permit, err := k.limiter.Acquire(ctx, deadline)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permits[permit] = struct{}{}
	return permit, nil
}

// releaseSlot gives the slot back. If the target was handed over meanwhile, it
// tells the next keeper that the request has ended, unless the target may still
// be running it.
func (l *limits) releaseSlot(ctx context.Context, name place.Target, k *targetState, permit *keeper.Permit, outcome keeper.Outcome) {
	k.mu.Lock()
	permit.Done(outcome)
	delete(k.permits, permit)
	next, found := k.handedOver[permit]
	delete(k.handedOver, permit)
	k.mu.Unlock()
	if outcome == keeper.OutcomeCanceled {
		time.AfterFunc(keeper.CancelTime, k.limiter.Tick)
	}
	if found && outcome != keeper.OutcomeUnknown && outcome != keeper.OutcomeCanceled {
		l.notify(context.WithoutCancel(ctx), next.to, &wire.InheritedDone{Target: name, RequestedNanos: int64(next.requestedAt)})
	}
}

func beatToWire(b keeper.Heartbeat) *wire.LeaseHeartbeat {
	m := &wire.LeaseHeartbeat{Incarnation: b.Incarnation, SentNanos: int64(b.Sent)}
	for _, a := range b.Requests {
		m.Requests = append(m.Requests, wire.LeaseRequest{Resource: string(a.Resource), View: a.View, Release: a.Release})
	}
	return m
}

func ackFromWire(m *wire.LeaseAck) keeper.HeartbeatReply {
	ack := keeper.HeartbeatReply{Incarnation: m.Incarnation, Sent: time.Duration(m.SentNanos)}
	for _, r := range m.Granted {
		ack.Granted = append(ack.Granted, keeper.Resource(r))
	}
	return ack
}
