package budget_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/errs"
)

// TestRun checks the verdict and the number of sends. Candidates are numbers
// that are picked in ascending order; errors holds the result of each, nil for a
// response.
func TestRun(t *testing.T) {
	unreachable := errs.NotRun(errs.ReasonTargetFailed, 0, "cannot connect")
	busy := errs.NotRun(errs.ReasonTargetBusy, 0, "busy")
	gone := errs.MayHaveRun(errs.ReasonTargetFailed, "closed")
	late := errs.MayHaveRun(errs.ReasonDeadline, "late")
	tests := map[string]struct {
		errors     []error
		idempotent bool
		percent    float64
		sent       int
		verdict    errs.Verdict
	}{
		"answer":                       {[]error{nil}, false, 10, 1, errs.VerdictRan},
		"no candidate":                 {nil, true, 10, 0, errs.VerdictNotRun},
		"unreachable costs no budget":  {[]error{unreachable, unreachable, nil}, false, 0, 3, errs.VerdictRan},
		"busy costs budget":            {[]error{busy, nil}, false, 10, 2, errs.VerdictRan},
		"busy without budget":          {[]error{busy, nil}, true, 0, 1, errs.VerdictNotRun},
		"may have run, idempotent":     {[]error{gone, nil}, true, 10, 2, errs.VerdictRan},
		"may have run, non-idempotent": {[]error{gone, nil}, false, 10, 1, errs.VerdictMayHaveRun},
		"may have run, then not run":   {[]error{gone, busy, unreachable, busy}, true, 10, 4, errs.VerdictMayHaveRun},
		"at most AttemptsMax attempts": {[]error{busy, busy, busy, busy, nil}, true, 10, 4, errs.VerdictNotRun},
		"no retry after the deadline":  {[]error{late, nil}, true, 10, 1, errs.VerdictMayHaveRun},
		"not run, then may have run":   {[]error{busy, gone, nil}, false, 10, 2, errs.VerdictMayHaveRun},
		"refused by all candidates":    {[]error{busy, busy}, true, 10, 2, errs.VerdictNotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var group conc.WaitGroup
			defer group.Wait()
			sent := 0
			value, err := budget.Run(t.Context(), budget.NewService(test.percent, 5, time.Now()), &group, test.idempotent, budget.Route[int, string]{
				Pick: func(tried []int) (int, bool) { return len(tried), len(tried) < len(test.errors) },
				Send: func(_ context.Context, candidate int) (string, error) {
					sent++
					return "answer", test.errors[candidate]
				},
			})
			got := errs.VerdictRan
			if err != nil {
				got = errs.VerdictOf(err)
			}
			if got != test.verdict || (err == nil && value != "answer") || sent != test.sent {
				t.Errorf("verdict %v after %d sends (%v), want %v after %d", got, sent, err, test.verdict, test.sent)
			}
		})
	}
}

// TestRunHedges checks that, once the latency is known, a request that hangs at
// one target is hedged and answered by another, and the first send is canceled.
func TestRunHedges(t *testing.T) {
	service := budget.NewService(0, 5, time.Now())
	var group conc.WaitGroup
	defer group.Wait()
	hang := false
	canceled := make(chan struct{})
	route := budget.Route[int, int]{
		Pick: func(tried []int) (int, bool) { return len(tried), len(tried) < 2 },
		Send: func(ctx context.Context, candidate int) (int, error) {
			if hang && candidate == 0 {
				<-ctx.Done()
				close(canceled)
				return 0, errs.MayHaveRun(errs.ReasonCanceled, "canceled")
			}
			return candidate, nil
		},
	}
	for range budget.LatencySamplesMin {
		if _, err := budget.Run(t.Context(), service, &group, true, route); err != nil {
			t.Fatal(err)
		}
	}
	hang = true
	got, err := budget.Run(t.Context(), service, &group, true, route)
	if err != nil || got != 1 || service.Hedged() < 1 || service.Retried() != 0 {
		t.Errorf("got %d, %v; hedged %d, retried %d", got, err, service.Hedged(), service.Retried())
	}
	<-canceled
}

// TestHedgesOnceBudgetAllows: a request that hangs while the hedge budget is spent
// is hedged as soon as other requests have earned a token.
func TestHedgesOnceBudgetAllows(t *testing.T) {
	service := budget.NewService(0, 10, time.Now())
	var group conc.WaitGroup
	defer group.Wait()
	var hanging atomic.Int64
	route := func(hangs bool) budget.Route[int, int] {
		return budget.Route[int, int]{
			Pick: func(tried []int) (int, bool) { return len(tried), len(tried) < 2 },
			Send: func(ctx context.Context, candidate int) (int, error) {
				if hangs && candidate == 0 {
					hanging.Add(1)
					<-ctx.Done()
					return 0, errs.MayHaveRun(errs.ReasonCanceled, "canceled")
				}
				return candidate, nil
			},
		}
	}
	run := func(ctx context.Context, hangs bool) (int, error) {
		return budget.Run(ctx, service, &group, true, route(hangs))
	}
	for range budget.LatencySamplesMin {
		if _, err := run(t.Context(), false); err != nil {
			t.Fatal(err)
		}
	}
	// More requests than the budget has tokens hang at once.
	const requests = budget.BurstDefault + 3
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var answered atomic.Int64
	var callers conc.WaitGroup
	for range requests {
		callers.Go(func() {
			if value, err := run(ctx, true); err == nil && value == 1 {
				answered.Add(1)
			}
		})
	}
	for hanging.Load() < requests {
		time.Sleep(time.Millisecond)
	}
	for range 10 * requests {
		if _, err := run(t.Context(), false); err != nil {
			t.Fatal(err)
		}
	}
	callers.Wait()
	if answered.Load() != requests {
		t.Errorf("%d of %d requests that hung at one target were answered by another", answered.Load(), requests)
	}
}
