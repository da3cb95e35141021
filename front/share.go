package front

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// slowTargetsMax limits the slow targets in a heartbeat, which then has up to
// 1.5 KB.
const slowTargetsMax = 32

// leavingTargetsMax limits the leaving targets in a heartbeat.
const leavingTargetsMax = 32

// limitsMax limits the limits of targets in a heartbeat, which then take up to
// 1.5 KB of it.
const limitsMax = 32

// addNotices adds to a heartbeat what it tells the other instances of the zone of
// targets. Processes that start learn from it which targets announced that they
// leave before.
func (s *Server) addNotices(heartbeat *wire.Heartbeat) {
	heartbeat.Slow = s.slowTargets()
	for _, process := range s.feed.LeavingListed(leavingTargetsMax) {
		heartbeat.Left = append(heartbeat.Left, wire.LeavingTarget{Target: process.Target(), Born: process.Born()})
	}
	heartbeat.Limits = limitsToWire(s.rateLimiter.Observations(limitsMax, s.now()))
	heartbeat.Suspects = peers.SuspectNews(s.guard, s.now())
}

// limitsToWire returns the limits as a heartbeat holds them.
func limitsToWire(limits []pace.Limit) []wire.TargetLimit {
	told := make([]wire.TargetLimit, 0, len(limits))
	for _, l := range limits {
		told = append(told, wire.TargetLimit{
			Target: l.Process().Target(), Born: l.Process().Born(), PerSecond: l.PerSecond(), Named: l.Named(), AgeMillis: l.Age().Milliseconds(),
		})
	}
	return told
}

// newsPause is the least time between two rounds of news.
const newsPause = 50 * time.Millisecond

// signalNews starts a round of news without waiting for the next heartbeat.
func (s *Server) signalNews() {
	select {
	case s.newsReady <- struct{}{}:
	default:
	}
}

// runNews tells the other availability zones the news of targets and of suspected
// requests until ctx ends: one instance of each, which tells the others of its zone.
// Within the zone heartbeats do that, unless signalNews says that there is no time.
func (s *Server) runNews(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(peers.HeartbeatInterval)
	defer ticker.Stop()
	for wait.Sleep(ctx, newsPause) {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-s.newsReady:
			urgent = true
		case <-ticker.C:
		}
		news := &wire.Heartbeat{
			Instance: s.self.Instance, Incarnation: s.self.Incarnation, Leaving: s.shuttingDown(),
			Limits: limitsToWire(s.rateLimiter.Changes(limitsMax, s.now())), Suspects: peers.SuspectNews(s.guard, s.now()),
		}
		if len(news.Limits) == 0 && len(news.Suspects) == 0 {
			continue
		}
		receivers := s.instances.OneOfEachOtherZone()
		if urgent {
			receivers = append(receivers, s.instances.InZone()...)
		}
		for _, peer := range receivers {
			calls.Go(func() { s.tellNews(ctx, peer, news) })
		}
	}
}

func (s *Server) tellNews(ctx context.Context, peer place.Instance, news *wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, peers.HeartbeatInterval)
	defer cancel()
	if _, err := s.instances.Call(ctx, peer, news); err != nil {
		s.log.WithError(err).WithField(fieldPeer, peer).Debug("Telling another instance the news of targets failed.")
	}
}

// takeNotices takes in what another instance's heartbeat tells of targets.
func (s *Server) takeNotices(from wire.Hello, heartbeat *wire.Heartbeat) {
	s.observe(heartbeat.Slow)
	s.hearLimits(heartbeat, from.Zone != s.self.Zone)
	s.hearSuspects(heartbeat, from.Zone != s.self.Zone)
	for _, left := range heartbeat.Left {
		m, found := s.feed.View().Member(left.Target)
		if found && m.Process().Born() == left.Born && s.feed.MarkLeaving(m.Process()) {
			s.log.WithFields(logrus.Fields{fieldTarget: left.Target, fieldPeer: heartbeat.Instance}).Info("Another instance tells that a target leaves.")
		}
	}
}

// hearLimits takes in the limits in another instance's heartbeat. If relay is set,
// they are told to the instances of this availability zone.
func (s *Server) hearLimits(heartbeat *wire.Heartbeat, relay bool) {
	for _, l := range heartbeat.Limits {
		m, found := s.feed.View().Member(l.Target)
		perSecond := l.PerSecond
		if !found || m.Process().Born() != l.Born || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			continue
		}
		limit := pace.NewLimit(m.Process(), perSecond, l.Named, time.Duration(l.AgeMillis)*time.Millisecond)
		if s.rateLimiter.Hear(limit, relay, s.now()) {
			s.log.WithFields(logrus.Fields{fieldTarget: l.Target, fieldLimit: perSecond, "named": l.Named, fieldPeer: heartbeat.Instance}).Info("Another instance tells of the limit of a target.")
		}
	}
}

// slowTargets returns what a heartbeat tells the other instances of the zone about
// slow targets.
func (s *Server) slowTargets() []wire.SlowTarget {
	observations := s.chooser.Observations(slowTargetsMax, s.isCredible, s.now())
	slow := make([]wire.SlowTarget, 0, len(observations))
	for _, o := range observations {
		slow = append(slow, wire.SlowTarget{Target: o.Target, Born: o.Born, Slowdown: float32(o.Slowdown)})
	}
	return slow
}

// isCredible reports whether an observation says something about the target and not
// about this instance's own links: another target of the service has answered a probe
// since. If that isn't known, it begins to find out, so that a later heartbeat can tell.
func (s *Server) isCredible(o pick.Observation) bool {
	switch {
	case s.links.LostService(o.Service):
		return false
	case o.Unanswered.IsZero() || s.links.ProvenSince(o.Service, o.Unanswered):
		return true
	}
	s.proveLinks(o.Service)
	return false
}

// observe takes in the slow targets in another instance's heartbeat.
func (s *Server) observe(slow []wire.SlowTarget) {
	if len(slow) == 0 {
		return
	}
	observations := make([]pick.Observation, 0, len(slow))
	for _, t := range slow {
		observations = append(observations, pick.Observation{Target: t.Target, Born: t.Born, Slowdown: float64(t.Slowdown)})
	}
	s.chooser.Observe(s.feed.View(), observations, s.now())
}
