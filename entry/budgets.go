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

// budgets holds the retry and hedge budgets of every service. hedges tracks the
// calls that may outlive a hedged request.
type budgets struct {
	services sync.Map // place.Service to *budget.Service
	hedges   conc.WaitGroup
}

// forService returns the budgets of a service, updated to the retry and hedge
// percentages of its current policy.
func (b *budgets) forService(service place.Service, policy *config.Policy, now time.Time) *budget.Service {
	if known, found := b.services.Load(service); found {
		s, _ := known.(*budget.Service)
		s.SetPercents(policy.RetryPercent(), policy.HedgePercent())
		return s
	}
	stored, _ := b.services.LoadOrStore(service, budget.NewService(policy.RetryPercent(), policy.HedgePercent(), now))
	s, _ := stored.(*budget.Service)
	return s
}

// each calls visit for every service that has budgets.
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

// announcedLeaving reports whether the target announced in its last load report
// that it is leaving. An entry polls only the targets of its availability zone
// that it keeps, so the result is false for a target that it never polled.
func (v *view) announcedLeaving(t store.Target) bool {
	client := v.clients[t.Target]
	return client != nil && client.Leaving()
}
