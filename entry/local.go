package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/target"
	"github.com/endivechute/endivechute/wire"
)

const (
	// ReportInterval is the time between two reads of a target's load report.
	ReportInterval = 500 * time.Millisecond
	// reportTimeout bounds one read.
	reportTimeout = time.Second
	// busyComeBackMin is the shortest time after which a caller is asked to
	// come back when every target is full.
	busyComeBackMin = 10 * time.Millisecond
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

// tryTarget hands the request to a target of this availability zone, and within
// the budgets of the service to further ones.
func (e *Entry) tryTarget(ctx context.Context, v *view, policy *config.Policy, r *Request) (*wire.Answer, error) {
	clients := v.usableClients(r.service, policy, e.self.Zone)
	if len(clients) == 0 {
		return nil, errs.NotRun(errs.ReasonNoTarget, ComeBack, "no target of service %s is usable in availability zone %s", r.service, e.self.Zone)
	}
	free := slices.DeleteFunc(slices.Clone(clients), func(c *target.Client) bool { return c.InFlight() >= policy.SlotsOf(c.Name()) })
	if len(free) == 0 {
		comeBack := max(clients[0].Latency(e.now()), busyComeBackMin)
		return nil, errs.NotRun(errs.ReasonTargetBusy, comeBack, "every target of service %s in availability zone %s is full", r.service, e.self.Zone)
	}
	route := budget.Route[*target.Client, *wire.Answer]{
		Pick: func(tried []*target.Client) (*target.Client, bool) {
			chosen := target.Choose(free, e.now(), tried...)
			return chosen, chosen != nil
		},
		Send: func(ctx context.Context, chosen *target.Client) (*wire.Answer, error) {
			return e.sendTarget(ctx, chosen, policy, r)
		},
	}
	idempotent := !policy.NonIdempotent(r.method, r.plainPath())
	return budget.Run(ctx, e.budgets.of(r.service, policy, e.now()), &e.budgets.hedges, idempotent, route)
}

// sendTarget hands the request to one target, unless by what was seen of the
// target the answer would come too late.
func (e *Entry) sendTarget(ctx context.Context, chosen *target.Client, policy *config.Policy, r *Request) (*wire.Answer, error) {
	if expected := chosen.Latency(e.now()); expected > r.deadline.Sub(e.now()) {
		return nil, errs.NotRun(errs.ReasonDeadline, 0, "an answer takes about %v, which is longer than the time left", expected)
	}
	headers := make([]target.Header, 0, len(r.headers))
	for _, h := range r.headers {
		headers = append(headers, target.NewHeader(h.Name, h.Value))
	}
	request := target.NewRequest(r.method, r.path, r.deadline).WithKey(r.key).WithBody(headers, r.body).WithPolicy(policy)
	answer, err := chosen.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	whole := answerToWire(answer)
	whole.Target = chosen.Name()
	return whole, nil
}

// usableClients returns the clients of the targets that may get new work.
func (v *view) usableClients(service place.Service, policy *config.Policy, zone place.Zone) []*target.Client {
	targets := v.usable(service, policy, zone)
	clients := make([]*target.Client, 0, len(targets))
	for _, t := range targets {
		clients = append(clients, v.clients[t.Target])
	}
	return clients
}

// leavingByItself tells whether a target of this availability zone announced
// that it is leaving. Nothing is known of targets elsewhere.
func (v *view) leavingByItself(t store.Target) bool {
	client := v.clients[t.Target]
	return client != nil && client.Leaving()
}

// followTargets reads the load reports of the targets of this availability
// zone until ctx ends.
func (e *Entry) followTargets(ctx context.Context) {
	for {
		e.readReports(ctx)
		if !pause(ctx, ReportInterval) {
			return
		}
	}
}

func (e *Entry) readReports(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	for _, client := range e.view.Load().clients {
		tasks.Go(func() {
			if err := client.Poll(ctx); err != nil {
				e.log.WithError(err).WithField("target", client.Name()).Debug("A load report can't be read.")
			}
		})
	}
	tasks.Wait()
}
