package entry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// budgets holds the budgets of each service.
type budgets struct {
	services sync.Map // place.Service to *budget.Service
	hedges   conc.WaitGroup
}

// of returns the budgets of a service with the shares of its present policy.
func (b *budgets) of(service place.Service, policy *config.Policy, now time.Time) *budget.Service {
	if known, found := b.services.Load(service); found {
		s, _ := known.(*budget.Service)
		s.SetPercents(policy.RetryPercent(), policy.HedgePercent())
		return s
	}
	made, _ := b.services.LoadOrStore(service, budget.NewService(policy.RetryPercent(), policy.HedgePercent(), now))
	s, _ := made.(*budget.Service)
	return s
}

func (b *budgets) each(visit func(service place.Service, s *budget.Service)) {
	b.services.Range(func(key, value any) bool {
		service, _ := key.(place.Service)
		s, _ := value.(*budget.Service)
		visit(service, s)
		return true
	})
}

var (
	retriesMetric = prometheus.NewDesc("endivechute_retries_total", "Requests sent to a further target after a refusal or failure.", []string{labelService}, nil)
	hedgesMetric  = prometheus.NewDesc("endivechute_hedges_total", "Idempotent requests sent to a second target because the first was late.", []string{labelService}, nil)
)

// Describe implements prometheus.Collector.
func (b *budgets) Describe(metrics chan<- *prometheus.Desc) {
	metrics <- retriesMetric
	metrics <- hedgesMetric
}

// Collect implements prometheus.Collector.
func (b *budgets) Collect(metrics chan<- prometheus.Metric) {
	b.each(func(service place.Service, s *budget.Service) {
		metrics <- prometheus.MustNewConstMetric(retriesMetric, prometheus.CounterValue, float64(s.Retried()), string(service))
		metrics <- prometheus.MustNewConstMetric(hedgesMetric, prometheus.CounterValue, float64(s.Hedged()), string(service))
	})
}

// leavingByItself tells whether a target of this availability zone announced
// that it is leaving. Nothing is known of targets elsewhere.
func (v *view) leavingByItself(t store.Target) bool {
	client := v.clients[t.Target]
	return client != nil && client.Leaving()
}
