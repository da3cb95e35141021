package front

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// stats holds the metrics of a process.
type stats struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	sends           *prometheus.CounterVec
	replicaSends    *prometheus.CounterVec
	latency         *prometheus.HistogramVec
	storeCalls      *prometheus.CounterVec
	storeCallTime   prometheus.Histogram
	lookups         prometheus.Counter
	probes          *prometheus.CounterVec
	suppressedLines *prometheus.CounterVec
	streamed        prometheus.Counter
	leaving         prometheus.Counter
	pauses          prometheus.Counter
	limited         prometheus.Counter
	quarantined     prometheus.Counter
	detours         *prometheus.CounterVec
	detoured        *prometheus.CounterVec
	lost            prometheus.Counter
	tenantRequests  *prometheus.CounterVec
	weightedLookups *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	quota           quotaStats
}

// latencyBuckets are the bounds of the latency histogram in seconds. They cover
// the time-outs of routes.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 2, 3, 5, 8, 12}

func newStats() *stats {
	s := &stats{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_requests_total", Help: "Requests of clients by what was answered.",
		}, []string{fieldAnswer, fieldReason}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_sends_total", Help: "Requests handed to targets by what became of them.",
		}, []string{fieldOutcome, "distance"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivechute_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{fieldAnswer}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_store_calls_total", Help: "Calls to the platform's store by outcome.",
		}, []string{fieldOutcome}),
		storeCallTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "endivechute_store_call_seconds", Help: "Time of the calls to the platform's store, waiting watches included.",
			Buckets: []float64{.005, .01, .05, .1, .5, 1, 2, 5, 10, 30},
		}),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "endivechute_lookups_total", Help: "Look-ups that were answered.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_probes_total", Help: "Probes of targets that could not be reached, by what they showed.",
		}, []string{fieldOutcome}),
		suppressedLines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_log_lines_left_out_total", Help: "Lines that the bounds of the log left out, by class.",
		}, []string{"class"}),
		streamed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "endivechute_streamed_answers_total", Help: "Answers that were too long to be buffered and were streamed.",
		}),
	}
	s.leaving = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivechute_leaving_targets_total", Help: "Targets that announced in an answer that they leave.",
	})
	s.pauses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivechute_pauses_total", Help: "Rejections with which a target asked for a pause.",
	})
	s.limited = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivechute_limited_answers_total", Help: "Answers in which a target named a limit on its requests.",
	})
	s.quarantined = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivechute_quarantined_requests_total", Help: "Requests that were quarantined, because targets crashed under them.",
	})
	s.detours = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_detours_total", Help: "Requests passed on to other instances, because targets are out of reach, by outcome.",
	}, []string{fieldOutcome})
	s.detoured = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_detoured_requests_total", Help: "Requests that other instances passed on, by answer and reason.",
	}, []string{fieldAnswer, fieldReason})
	s.lost = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivechute_losses_of_reach_total", Help: "How often the targets of a service, or all targets, went out of reach.",
	})
	s.quota = newQuotaStats(s.registry)
	s.addCompetition()
	s.registry.MustRegister(s.detours, s.detoured, s.lost, s.requests, s.sends, s.latency, s.storeCalls, s.storeCallTime, s.lookups, s.probes, s.suppressedLines, s.streamed, s.leaving, s.pauses, s.limited, s.quarantined)
	return s
}

// addCompetition adds the metrics of what callers compete for: tenants, look-ups by
// capacity, priorities and replicas.
func (s *stats) addCompetition() {
	s.tenantRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_tenant_requests_total", Help: "Requests of clients with a key, by tenant and what was answered.",
	}, []string{fieldTenant, fieldAnswer})
	s.weightedLookups = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_weighted_lookups_total", Help: "Look-ups that were answered by the capacity of instances, by the kind of capacity.",
	}, []string{"weight"})
	s.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_refusals_by_priority_total", Help: "Requests that were refused before they ran, by priority and reason.",
	}, []string{fieldPriority, fieldReason})
	s.replicaSends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivechute_replica_sends_total", Help: "Requests handed to targets under the policy replicated, by the position of the target among the object's replicas.",
	}, []string{fieldReplica})
	s.registry.MustRegister(s.tenantRequests, s.weightedLookups, s.refusals, s.replicaSends)
}

// recordStoreCall counts a call to the store and its time.
func (s *stats) recordStoreCall(outcome string, took time.Duration) {
	s.storeCalls.WithLabelValues(outcome).Inc()
	s.storeCallTime.Observe(took.Seconds())
}
