package budget

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
)

const (
	// TriesMax is how many targets one request is sent to at most.
	TriesMax = 4

	hedgeQuantile = 0.95
)

// Service holds the budgets and the latency of one service. It is safe for use
// by several goroutines.
type Service struct {
	retries  *Tokens
	hedges   *Tokens
	latency  *Latency
	requests atomic.Int64
	retried  atomic.Int64
	hedged   atomic.Int64
}

// NewService makes the budgets of a service: retries in percent of its
// requests, hedged requests in percent of its idempotent ones.
func NewService(retryPercent, hedgePercent float64, now time.Time) *Service {
	return &Service{
		retries: NewTokens(retryPercent, BurstDefault),
		hedges:  NewTokens(hedgePercent, BurstDefault),
		latency: NewLatency(hedgeQuantile, now),
	}
}

// SetPercents changes the shares that further requests earn.
func (s *Service) SetPercents(retry, hedge float64) {
	s.retries.SetPercent(retry)
	s.hedges.SetPercent(hedge)
}

// Requests returns how many requests were begun.
func (s *Service) Requests() int64 { return s.requests.Load() }

// Retried returns how many retries were made.
func (s *Service) Retried() int64 { return s.retried.Load() }

// Hedged returns how many requests were hedged.
func (s *Service) Hedged() int64 { return s.hedged.Load() }

// HedgeDelay returns after which time a request is hedged, the 95th percentile
// of the latency, and false while it is unknown.
func (s *Service) HedgeDelay() (time.Duration, bool) { return s.latency.Value() }

// Route is how a request finds its way: Pick returns a candidate that is not
// among those tried, or false if there is none; Send sends the request to a
// candidate.
type Route[C comparable, T any] struct {
	Pick func(tried []C) (C, bool)
	Send func(ctx context.Context, candidate C) (T, error)
}

// Run sends one request along the route. It tries another candidate after a
// failed connection, and from the budget of retries after any other refusal; a
// request whose fate is unknown is sent again only if it is idempotent. An
// idempotent request that takes longer than 95 % of the others is hedged from
// the budget of hedges. The error holds a verdict for all tries together.
func Run[C comparable, T any](ctx context.Context, s *Service, group *conc.WaitGroup, idempotent bool, route Route[C, T]) (T, error) {
	s.requests.Add(1)
	s.retries.Earn()
	if idempotent {
		s.hedges.Earn()
	}
	r := &run[C, T]{service: s, group: group, idempotent: idempotent, route: route}
	var none T
	var last error = errs.NotRun(errs.ReasonNoTarget, 0, "no target is usable")
	for try := range TriesMax {
		candidate, found := r.next()
		if !found {
			return none, last
		}
		if try > 0 {
			s.retried.Add(1)
		}
		value, err := r.try(ctx, candidate)
		if err == nil {
			return value, nil
		}
		if try == 0 || errs.VerdictOf(last) == errs.VerdictNotRun {
			last = err
		}
		if ctx.Err() != nil || !r.mayRetry(err) {
			return none, last
		}
	}
	return none, last
}

type run[C comparable, T any] struct {
	service    *Service
	group      *conc.WaitGroup
	idempotent bool
	route      Route[C, T]
	tried      []C
}

func (r *run[C, T]) next() (C, bool) {
	candidate, found := r.route.Pick(slices.Clip(r.tried))
	if found {
		r.tried = append(r.tried, candidate)
	}
	return candidate, found
}

func (r *run[C, T]) try(ctx context.Context, candidate C) (T, error) {
	began := time.Now()
	value, err := r.hedge(ctx, candidate)
	if err == nil {
		now := time.Now()
		r.service.latency.Record(now, now.Sub(began))
	}
	return value, err
}

func (r *run[C, T]) hedge(ctx context.Context, candidate C) (T, error) {
	delay, known := r.service.HedgeDelay()
	if !r.idempotent || !known || r.service.hedges.Left() == 0 {
		return r.route.Send(ctx, candidate)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var second C
	allowed := func() bool {
		var found bool
		if second, found = r.next(); !found || !r.service.hedges.Take() {
			return false
		}
		r.service.hedged.Add(1)
		return true
	}
	return Hedge(ctx, r.group, timer.C, allowed,
		func(ctx context.Context) (T, error) { return r.route.Send(ctx, candidate) },
		func(ctx context.Context) (T, error) { return r.route.Send(ctx, second) })
}

// mayRetry tells whether the request may be sent to another target. One that
// could not be connected to got no load from the try, so that it costs nothing.
func (r *run[C, T]) mayRetry(err error) bool {
	refusal := errs.AsRefusal(err)
	switch {
	case refusal.Verdict() == errs.VerdictNotRun && refusal.Reason() == errs.ReasonTargetError:
		return true
	case refusal.Verdict() != errs.VerdictNotRun && !r.idempotent:
		return false
	case refusal.Reason() == errs.ReasonDeadline, refusal.Reason() == errs.ReasonCanceled, refusal.Reason() == errs.ReasonBadRequest:
		return false
	}
	return r.service.retries.Take()
}
