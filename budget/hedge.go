package budget

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
)

// Call sends a request to one target and returns its response. It must return
// soon after its context is canceled.
type Call[T any] func(ctx context.Context) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Hedge runs first and, if it has not returned when hedgeTimer fires and allowed
// returns true, runs second concurrently. If allowed returns false, it asks again
// each time that hedgeTimer fires. It returns the first successful
// response and cancels the other call. If first fails before second is started,
// Hedge returns its error, and the caller decides on a retry. If both fail, it
// returns an error with the verdict may-have-run if either has one. Only
// idempotent requests may be hedged. The caller must wait for the group when the
// process stops because the canceled call may still be running.
func Hedge[T any](ctx context.Context, group *conc.WaitGroup, hedgeTimer <-chan time.Time, allowed func() bool, first, second Call[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func(call Call[T]) {
		group.Go(func() {
			value, err := call(ctx)
			results <- result[T]{value: value, err: err}
		})
	}
	start(first)
	for hedged := false; !hedged; {
		select {
		case only := <-results:
			return only.value, only.err
		case <-hedgeTimer:
			hedged = allowed()
		}
	}
	start(second)
	earlier := <-results
	if earlier.err == nil {
		return earlier.value, nil
	}
	later := <-results
	if later.err == nil || errs.VerdictOf(earlier.err) == errs.VerdictNotRun {
		return later.value, later.err
	}
	return earlier.value, earlier.err
}
