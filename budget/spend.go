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
	// AttemptsMax is the maximum number of sequential attempts of one request.
	// Hedged sends of an attempt come on top.
	AttemptsMax = 4

	hedgeQuantile = 0.95
	// hedgePauseMin is the shortest time between two checks whether the budget
	// allows a hedged send that it didn't allow before.
	hedgePauseMin = 10 * time.Millisecond
)

// Service holds the budgets and the latency of one service. It is safe for
// concurrent use.
type Service struct {
	retries  *TokenBucket
	hedges   *TokenBucket
	latency  *Latency
	requests atomic.Int64
	retried  atomic.Int64
	hedged   atomic.Int64
}

// NewService returns the budgets of a service: for retries in percent of its
// requests, and for hedged requests in percent of its idempotent requests.
func NewService(retryPercent, hedgePercent float64, now time.Time) *Service {
	return &Service{
		retries: NewTokenBucket(retryPercent, BurstDefault),
		hedges:  NewTokenBucket(hedgePercent, BurstDefault),
		latency: NewLatency(hedgeQuantile, now),
	}
}

// SetPercents changes the percentages of both budgets for later requests.
func (s *Service) SetPercents(retry, hedge float64) {
	s.retries.SetPercent(retry)
	s.hedges.SetPercent(hedge)
}

// Requests returns the number of requests that were started.
func (s *Service) Requests() int64 { return s.requests.Load() }

// Retried returns the number of retries.
func (s *Service) Retried() int64 { return s.retried.Load() }

// Hedged returns the number of hedged sends.
func (s *Service) Hedged() int64 { return s.hedged.Load() }

// HedgeDelay returns the delay after which a request is hedged, which is the
// 95th percentile of the latency, and false while that is unknown.
func (s *Service) HedgeDelay() (time.Duration, bool) { return s.latency.Value() }

// Route selects targets for one request and sends it. Pick returns a candidate
// that is not among those tried, or false if there is none. Send sends the
// request to a candidate.
type Route[C comparable, T any] struct {
	Pick func(tried []C) (C, bool)
	Send func(ctx context.Context, candidate C) (T, error)
}

// Run sends one request along the route with retries and hedging. A retry after
// a failed connection is free; a retry after any other failure takes a token
// from the retry budget. A request that may have run is retried only if it is
// idempotent. An idempotent request that takes longer than the 95th percentile
// of the latency is hedged if the hedge budget allows it. The verdict of the
// error covers all attempts: it is not-run only if no attempt may have run.
func Run[C comparable, T any](ctx context.Context, s *Service, group *conc.WaitGroup, idempotent bool, route Route[C, T]) (T, error) {
	s.requests.Add(1)
	s.retries.Earn()
	if idempotent {
		s.hedges.Earn()
	}
	r := &runState[C, T]{service: s, group: group, idempotent: idempotent, route: route}
	var zero T
	var failure error = errs.NotRun(errs.ReasonNoTarget, 0, "no target is usable")
	for attempt := range AttemptsMax {
		candidate, found := r.pickNext()
		if !found {
			return zero, failure
		}
		if attempt > 0 {
			s.retried.Add(1)
		}
		value, err := r.attempt(ctx, candidate)
		if err == nil {
			return value, nil
		}
		if attempt == 0 || errs.VerdictOf(failure) == errs.VerdictNotRun {
			failure = err
		}
		if ctx.Err() != nil || !r.mayRetry(err) {
			return zero, failure
		}
	}
	return zero, failure
}

// runState is the state of one call of Run.
type runState[C comparable, T any] struct {
	service    *Service
	group      *conc.WaitGroup
	idempotent bool
	route      Route[C, T]
	tried      []C
}

// pickNext picks the next candidate and adds it to those tried.
func (r *runState[C, T]) pickNext() (C, bool) {
	candidate, found := r.route.Pick(slices.Clip(r.tried))
	if found {
		r.tried = append(r.tried, candidate)
	}
	return candidate, found
}

// attempt sends the request to the candidate, with hedging, and records the
// latency of a response.
func (r *runState[C, T]) attempt(ctx context.Context, candidate C) (T, error) {
	start := time.Now()
	value, err := r.hedge(ctx, candidate)
	if err == nil {
		now := time.Now()
		r.service.latency.Record(now, now.Sub(start))
	}
	return value, err
}

// hedge sends the request to the candidate, and to a second one once the hedge
// delay has passed and the hedge budget allows it, if the request is idempotent.
// While a target hangs, the budget is often spent when the delay ends.
func (r *runState[C, T]) hedge(ctx context.Context, candidate C) (T, error) {
	delay, known := r.service.HedgeDelay()
	if !r.idempotent || !known {
		return r.route.Send(ctx, candidate)
	}
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	var second C
	allowed := func() bool {
		ticker.Reset(max(delay, hedgePauseMin))
		if r.service.hedges.Available() == 0 {
			return false
		}
		next, found := r.route.Pick(slices.Clip(r.tried))
		if !found || !r.service.hedges.Take() {
			return false
		}
		second = next
		r.tried = append(r.tried, next)
		r.service.hedged.Add(1)
		return true
	}
	return Hedge(ctx, r.group, ticker.C, allowed,
		func(ctx context.Context) (T, error) { return r.route.Send(ctx, candidate) },
		func(ctx context.Context) (T, error) { return r.route.Send(ctx, second) })
}

// mayRetry reports whether the request may be sent to another target, and takes
// a token from the retry budget where one is due. A retry after a failed
// connection is free because the attempt caused no load at the target.
func (r *runState[C, T]) mayRetry(err error) bool {
	refusal := errs.AsRefusal(err)
	switch {
	case refusal.Verdict() == errs.VerdictNotRun && refusal.Reason() == errs.ReasonTargetFailed:
		return true
	case refusal.Verdict() != errs.VerdictNotRun && !r.idempotent:
		return false
	case refusal.Reason() == errs.ReasonDeadline, refusal.Reason() == errs.ReasonCanceled, refusal.Reason() == errs.ReasonBadRequest:
		return false
	}
	return r.service.retries.Take()
}
