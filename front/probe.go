package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/wait"
)

const (
	// probeInterval is the time between two checks for targets to probe.
	probeInterval = 100 * time.Millisecond
	// probeTimeout limits the time of a probe.
	probeTimeout = time.Second
)

// runProbes probes targets that could not be reached, until ctx ends.
func (s *Server) runProbes(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	doubtfulProbed := s.now()
	for wait.Sleep(ctx, probeInterval) {
		now := s.now()
		for _, m := range s.chooser.Probes(s.feed.View(), s.links.LostService, now) {
			tasks.Go(func() { s.probe(ctx, m) })
		}
		s.checkLinks(now)
		if s.links.Pending() && now.Sub(doubtfulProbed) >= doubtfulInterval {
			doubtfulProbed = now
			s.probeDoubtful(tasks.Go)
		}
	}
}

// probe requests the health path of a target and reports the result to the
// chooser. A healthy target may also answer how much longer it is cold.
func (s *Server) probe(ctx context.Context, m *fleet.Member) {
	table := s.feed.Table()
	if table == nil {
		return
	}
	service, found := table.Service(m.Service())
	if !found {
		return
	}
	sent := s.now()
	answer, err := s.clientFor(m).Do(ctx, platform.NewProbe(service.HealthPath(), sent.Add(probeTimeout)))
	health := platform.ReadHealth(answer)
	healthy := err == nil && health.Healthy() && health.Target() == m.Target()
	outcome := "unwell"
	if healthy {
		outcome = "well"
		if health.Cold() > 0 {
			s.feed.SetCold(m.Target(), health.Cold())
		}
	}
	s.stats.probes.WithLabelValues(outcome).Inc()
	s.chooser.Probed(m, healthy)
	if answer.Status() != 0 {
		s.recordRegained(s.links.Answered(reach.NewScope(m.Service(), nil), sent, s.now()))
	}
	if health.Target() == m.Target() {
		s.observeTarget(m, answer, sent, s.now())
	}
	s.log.WithFields(logrus.Fields{fieldTarget: m.Target(), "healthy": healthy, "cold": health.Cold(), "error": err}).Info("A target was probed.")
}
