package budget

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
)

// Call is one way to get an answer. It ends soon after its context does.
type Call[T any] func(ctx context.Context) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Hedge runs first and, if it has not ended when late fires and allowed
// returns true, second beside it. It returns the answer that comes first and
// cancels the other. If first fails before second was begun its error is
// returned: a retry is the caller's decision. If both fail the error is one
// that says may-have-run, if there is one. Only idempotent requests may be
// hedged. The group has to be waited for when the process stops, because the
// loser may end a little later.
func Hedge[T any](ctx context.Context, group *conc.WaitGroup, late <-chan time.Time, allowed func() bool, first, second Call[T]) (T, error) {
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
	select {
	case only := <-results:
		return only.value, only.err
	case <-late:
	}
	if !allowed() {
		only := <-results
		return only.value, only.err
	}
	start(second)
	winner := <-results
	if winner.err == nil {
		return winner.value, nil
	}
	other := <-results
	if other.err == nil || errs.VerdictOf(winner.err) == errs.VerdictNotRun {
		return other.value, other.err
	}
	return winner.value, winner.err
}
