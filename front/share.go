package front

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/pick"
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
	for _, l := range s.rateLimiter.Observations(limitsMax, s.now()) {
		heartbeat.Limits = append(heartbeat.Limits, wire.TargetLimit{
			Target: l.Process().Target(), Born: l.Process().Born(), PerSecond: l.PerSecond(), Named: l.Named(), AgeMillis: l.Age().Milliseconds(),
		})
	}
}

// takeNotices takes in what another instance's heartbeat tells of targets.
func (s *Server) takeNotices(heartbeat *wire.Heartbeat) {
	s.observe(heartbeat.Slow)
	s.hearLimits(heartbeat)
	for _, left := range heartbeat.Left {
		m, found := s.feed.View().Member(left.Target)
		if found && m.Process().Born() == left.Born && s.feed.MarkLeaving(m.Process()) {
			s.log.WithFields(logrus.Fields{fieldTarget: left.Target, "peer": heartbeat.Instance}).Info("Another instance tells that a target leaves.")
		}
	}
}

// hearLimits takes in the limits in another instance's heartbeat.
func (s *Server) hearLimits(heartbeat *wire.Heartbeat) {
	for _, l := range heartbeat.Limits {
		m, found := s.feed.View().Member(l.Target)
		perSecond := l.PerSecond
		if !found || m.Process().Born() != l.Born || math.IsNaN(perSecond) || perSecond < 0 {
			continue
		}
		limit := pace.NewLimit(m.Process(), perSecond, l.Named, time.Duration(l.AgeMillis)*time.Millisecond)
		if s.rateLimiter.Hear(limit, s.now()) {
			s.log.WithFields(logrus.Fields{fieldTarget: l.Target, fieldLimit: perSecond, "named": l.Named, "peer": heartbeat.Instance}).Info("Another instance tells of the limit of a target.")
		}
	}
}

// slowTargets returns what a heartbeat tells the other instances of the zone about
// slow targets.
func (s *Server) slowTargets() []wire.SlowTarget {
	observations := s.chooser.Observations(slowTargetsMax, s.now())
	slow := make([]wire.SlowTarget, 0, len(observations))
	for _, o := range observations {
		slow = append(slow, wire.SlowTarget{Target: o.Target, Born: o.Born, Slowdown: float32(o.Slowdown)})
	}
	return slow
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
