package front

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/sender"
)

const (
	// doubtfulInterval is the time between two rounds of probes of targets that are out
	// of reach or may be. Each round probes up to doubtfulTargets targets in up to
	// doubtfulScopes scopes, whatever the number of targets.
	doubtfulInterval = 250 * time.Millisecond
	doubtfulTargets  = 3
	doubtfulScopes   = 3
	// missTimeMax is how long before a loss is noticed targets may have been found
	// unreachable because of it.
	missTimeMax = 3 * time.Second
)

// observeLinks records whether an attempt shows that this instance reaches the targets
// in a scope. A connection that breaks before any answer doesn't: the target may have
// crashed, but on a link that is cut new connections may also be opened and then reset.
func (s *Server) observeLinks(scope reach.Scope, target place.Target, outcome pick.Outcome, answer sender.Answer, err error, sent, now time.Time) {
	if answer.Status() != 0 {
		s.recordRegained(s.links.Answered(scope, sent, now))
		return
	}
	_, unreachable := outcome.(pick.Unreachable)
	// Connections may also be opened and then carry nothing.
	if unreachable || sender.MayHaveCrashed(answer, err) || err != nil && errs.AsRefusal(err).Reason() == errs.ReasonDeadline {
		s.links.Missed(scope, target, len(s.membersIn(scope)), sent, now)
		s.checkLinks(now)
	}
}

// membersIn returns the targets in a scope.
func (s *Server) membersIn(scope reach.Scope) []*fleet.Member {
	return slices.DeleteFunc(slices.Clone(s.feed.View().Members(scope.Service())), func(m *fleet.Member) bool { return !scope.Contains(m.Region()) })
}

// checkLinks logs that targets are out of reach from now on.
func (s *Server) checkLinks(now time.Time) {
	if s.links.Check(now) {
		s.stats.lost.Inc()
		s.log.WithFields(logrus.Fields{"services": s.outOfReach(), "all": s.links.LostAll()}).Warn("Targets are out of reach; requests are passed on to other instances.")
	}
}

// outOfReach returns the services of which targets are out of reach, in order.
func (s *Server) outOfReach() []place.Service {
	services := slices.DeleteFunc(s.feed.View().Services(), func(service place.Service) bool { return !s.links.LostService(service) })
	slices.Sort(services)
	return services
}

// recordRegained logs that targets are in reach again. What this instance believed of
// them because of its own links, it forgets.
func (s *Server) recordRegained(regained bool) {
	if !regained {
		return
	}
	view := s.feed.View()
	for _, service := range view.Services() {
		if at := s.links.LostAt(service); !at.IsZero() && !s.links.LostService(service) {
			s.chooser.Recheck(view, service, at.Add(-missTimeMax))
		}
	}
	s.log.WithField("services_out_of_reach", s.outOfReach()).Info("Targets are in reach again.")
}

// probeDoubtful probes a few random targets that are out of reach or may be. Each probe
// opens a new connection, because kept ones may live on while no new ones can be
// opened.
func (s *Server) probeDoubtful(start func(func())) {
	scopes := s.links.Doubtful()
	rand.Shuffle(len(scopes), func(i, j int) { scopes[i], scopes[j] = scopes[j], scopes[i] })
	for _, scope := range scopes[:min(len(scopes), doubtfulScopes)] {
		members := s.membersIn(scope)
		for _, m := range sample(members, doubtfulTargets) {
			start(func() {
				if s.answersProbe(m) {
					s.recordRegained(s.links.Proven(scope, m.Target(), len(members), s.now()))
				}
			})
		}
	}
}

// sample returns up to n random targets.
func sample(members []*fleet.Member, n int) []*fleet.Member {
	chosen := make([]*fleet.Member, 0, n)
	for _, i := range rand.Perm(len(members))[:min(len(members), n)] {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// answersProbe probes a target over a new connection and reports whether it answered,
// be it well or not.
func (s *Server) answersProbe(m *fleet.Member) bool {
	service, found := s.feed.Table().Service(m.Service())
	if !found {
		return false
	}
	client := sender.New(m.Target(), m.Address(), 1, s.targetClients.dial)
	defer client.Close()
	answer, _ := client.Do(s.sendContext, platform.NewProbe(service.HealthPath(), s.now().Add(probeTimeout)))
	s.stats.probes.WithLabelValues("links").Inc()
	return answer.Status() != 0
}

// proveLinks probes a few targets of a service in the background, once at a time for
// each service, to find out whether this instance's own links are sound.
func (s *Server) proveLinks(service place.Service) {
	if _, running := s.proving.LoadOrStore(service, struct{}{}); running {
		return
	}
	s.linkTasks.Go(func() {
		defer s.proving.Delete(service)
		scope := reach.NewScope(service, nil)
		members := s.membersIn(scope)
		for _, m := range sample(members, doubtfulTargets) {
			if s.answersProbe(m) {
				s.recordRegained(s.links.Proven(scope, m.Target(), len(members), s.now()))
				return
			}
		}
	})
}

// isWitness reports whether this instance can tell that a target crashed: it reaches
// another target of the same service, or, if there is none, of any.
func (s *Server) isWitness(m *fleet.Member) bool {
	if s.links.LostService(m.Service()) {
		return false
	}
	view := s.feed.View()
	others := slices.DeleteFunc(slices.Clone(view.Members(m.Service())), func(other *fleet.Member) bool { return other.Target() == m.Target() })
	if len(others) == 0 {
		for _, service := range view.Services() {
			if service != m.Service() {
				others = append(others, view.Members(service)...)
			}
		}
	}
	if len(others) == 0 {
		return true
	}
	return slices.ContainsFunc(sample(others, doubtfulTargets), s.answersProbe)
}
