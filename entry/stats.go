package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// labelService is the label of metrics that holds the name of the service.
const labelService = "service"

// Stats holds the metrics of an entry process.
type Stats struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	lookups  prometheus.Counter
}

// NewStats returns the metrics, registered in a registry of their own.
func NewStats() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivechute_requests_total",
			Help: "Requests of callers that got their final answer, by verdict and reason.",
		}, []string{labelService, "verdict", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "endivechute_request_seconds",
			Help:    "Time from a caller's request to its final answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{labelService}),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "endivechute_lookups_total",
			Help: "Look-ups that were answered.",
		}),
	}
	s.registry.MustRegister(s.requests, s.seconds, s.lookups)
	return s
}

// Registry returns the registry of the process's metrics.
func (s *Stats) Registry() *prometheus.Registry { return s.registry }

// observe records a finished request. Services without a policy share the label
// "unknown", so that callers can't create any number of time series.
func (s *Stats) observe(service place.Service, err error, took time.Duration) {
	verdict, reason := errs.VerdictRan, errs.Reason("")
	if err != nil {
		refusal := errs.AsRefusal(err)
		verdict, reason = refusal.Verdict(), refusal.Reason()
	}
	if reason == errs.ReasonNoService {
		service = "unknown"
	}
	s.requests.WithLabelValues(string(service), verdict.String(), string(reason)).Inc()
	s.seconds.WithLabelValues(string(service)).Observe(took.Seconds())
}
