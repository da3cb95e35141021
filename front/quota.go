package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/quota"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

const (
	// quotaInterval is the time between two reports to the collector and between two
	// exchanges of collectors. Reports without new counts are sent, too: this instance
	// has to know the state of the fleet when it has requests again, and isn't to be
	// taken for silent.
	quotaInterval = 200 * time.Millisecond
	// quotaCallTimeout limits a call to a collector, and quotaCalls the calls of one
	// round. The second call has to end before this instance counts as cut off.
	quotaCallTimeout = 250 * time.Millisecond
	quotaCalls       = 3
	// collectorActive is how long after the last message an instance acts as the
	// collector, even if it isn't the chosen one.
	collectorActive = time.Second
)

// quotaStats holds the metrics of quotas.
type quotaStats struct{ requests, calls *prometheus.CounterVec }

func newQuotaStats(registry *prometheus.Registry) quotaStats {
	s := quotaStats{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_quota_requests_total", Help: "Requests of tenants with a quota: admitted, refused, or returned because they ran at no target.",
		}, []string{fieldOutcome}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_quota_calls_total", Help: "Calls to collectors of quotas, by outcome.",
		}, []string{fieldOutcome}),
	}
	registry.MustRegister(s.requests, s.calls)
	return s
}

// checkQuota admits a request if its tenant has a quota that leaves room for it. It
// reports whether it is admitted; if not, it has answered it. Requests that other
// instances pass on were counted there and don't come here.
func (s *Server) checkQuota(w http.ResponseWriter, q *request) bool {
	if q.tenant == nil || !q.tenant.Quota().Limited() {
		return true
	}
	retryAfter, admitted := s.limiter.Admit(q.tenant.Name(), q.tenant.Quota(), s.now())
	if !admitted {
		s.stats.quota.requests.WithLabelValues("refused").Inc()
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonQuota, retryAfter, "tenant %s: its quota of %v requests per second is used up", q.tenant.Name(), q.tenant.Quota().PerSecond()))
		return false
	}
	q.countsAgainstQuota = true
	s.stats.quota.requests.WithLabelValues("admitted").Inc()
	return true
}

// returnQuota takes back a request that was admitted if no target ran it and none will.
func (s *Server) returnQuota(q *request, err error) {
	if !q.countsAgainstQuota || err == nil || errs.VerdictOf(err) != errs.VerdictNotRun {
		return
	}
	q.countsAgainstQuota = false
	s.limiter.Return(q.tenant.Name())
	s.stats.quota.requests.WithLabelValues("returned").Inc()
}

// configuredQuotas returns the quotas of the configuration, by tenant.
func (s *Server) configuredQuotas() map[place.Tenant]quota.Quota {
	table := s.feed.Table()
	if table == nil {
		return nil
	}
	quotas := map[place.Tenant]quota.Quota{}
	for _, t := range table.Tenants().Tenants() {
		if t.Quota().Limited() && !t.Unusable() {
			quotas[t.Name()] = t.Quota()
		}
	}
	return quotas
}

// runQuotas reports to the collector of the zone until ctx ends, and exchanges counts
// with other zones while this instance is the collector.
func (s *Server) runQuotas(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		var calls conc.WaitGroup
		defer calls.Wait()
		for wait.Sleep(ctx, quotaInterval) {
			s.collectUsage(ctx, &calls)
		}
	})
	cutOff := false
	for wait.Sleep(ctx, quotaInterval) {
		quotas := s.quotas()
		s.limiter.Update(quotas, s.settings().Bounds().Quota(), s.instances.Size(), s.now())
		if len(quotas) > 0 {
			s.reportUsage(ctx)
		}
		if is := s.limiter.CutOff(s.now()); is != cutOff {
			cutOff = is
			s.log.WithField("cut_off", cutOff).Warn("No collector of quotas replies, so that this instance keeps to its share; or one replies again.")
		}
	}
}

// reportUsage reports to the collector of the zone, and to the next in order if that
// fails.
func (s *Server) reportUsage(ctx context.Context) {
	report := s.limiter.Report()
	for range quotaCalls {
		collector := s.chooseCollector(s.instances.Live())
		switch collector {
		case "":
			return
		case s.self.Instance:
			if !s.instances.CutOff() {
				s.limiter.Take(s.collector.Report(s.self.Instance, s.self.Incarnation, report, s.now()), s.now())
			}
			return
		}
		answer := s.callCollector(ctx, collector, &wire.Usage{Sequence: report.Sequence, Counts: countsToWire(report.Usage), Known: wire.UsagePosition{ID: report.Known.ID, Revision: report.Known.Revision}})
		if reply, ok := answer.(*wire.UsageReply); ok {
			s.limiter.Take(totalsFromWire(reply.Totals), s.now())
			return
		}
	}
}

// callCollector returns the answer of an instance, nil if the call failed. An instance
// that fails isn't called for some time.
func (s *Server) callCollector(ctx context.Context, peer place.Instance, message wire.Message) wire.Message {
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	answer, err := s.instances.Call(ctx, peer, message)
	if _, refused := answer.(*wire.Refused); err != nil || refused {
		s.stats.quota.calls.WithLabelValues("failed").Inc()
		if errors.Is(err, context.DeadlineExceeded) {
			s.collectors.late(peer, s.now())
		} else {
			s.collectors.failed(peer, s.now())
		}
		s.log.WithError(err).WithField(fieldPeer, peer).Debug("A call to a collector of quotas failed.")
		return nil
	}
	s.stats.quota.calls.WithLabelValues("answered").Inc()
	s.collectors.answered(peer)
	return answer
}

// handleUsage answers the report of an instance of this zone.
func (s *Server) handleUsage(from wire.Hello, m *wire.Usage) wire.Message {
	if from.Zone != s.self.Zone || s.instances.CutOff() {
		return &wire.Refused{Verdict: errs.VerdictNotRun, Reason: errs.ReasonNotReady, Text: "this instance can't be the collector of quotas"}
	}
	report := quota.Report{Sequence: m.Sequence, Usage: usageFromWire(m.Counts), Known: quota.Position{ID: m.Known.ID, Revision: m.Known.Revision}}
	return &wire.UsageReply{Totals: totalsToWire(s.collector.Report(from.Instance, from.Incarnation, report, s.now()))}
}
