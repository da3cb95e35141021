package budget_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/errs"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func ExampleTokenBucket() {
	retries := budget.NewTokenBucket(10, 1)
	fmt.Println(retries.Take(), retries.Take())
	for range 10 {
		retries.Earn()
	}
	fmt.Println(retries.Take(), retries.Take())
	// Output:
	// true false
	// true false
}

// TestTokensBound checks that during any sequence of requests at most the burst
// plus the percentage of these requests is taken.
func TestTokensBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(0, 5).Draw(t, "burst")
		percent := rapid.SampledFrom([]float64{0, 0.5, 5, 33, 100}).Draw(t, "percent")
		tokens := budget.NewTokenBucket(percent, burst)
		history := rapid.SliceOfN(rapid.Bool(), 1, 200).Draw(t, "history")
		// excess is the maximum, over all sequences that end at this step, of
		// the tokens taken minus the tokens earned.
		excess := 0.0
		for i, request := range history {
			if request {
				tokens.Earn()
				excess = max(excess-percent/100, 0)
			} else if tokens.Take() {
				excess++
			}
			if excess > float64(burst)+1e-6 {
				t.Fatalf("step %d: %v more tokens taken than earned, want at most the burst of %d", i, excess, burst)
			}
		}
	})
}

func TestTokensTogether(t *testing.T) {
	tokens := budget.NewTokenBucket(10, 5)
	var taken atomic.Int64
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 5000 {
				tokens.Earn()
				if tokens.Take() {
					taken.Add(1)
				}
			}
		})
	}
	group.Wait()
	if got := taken.Load(); got > 4005 || got < 4000-5 {
		t.Errorf("%d tokens taken, want 10 %% of 40000 and at most a burst of 5 more", got)
	}
	if empty := budget.NewTokenBucket(0, 5); empty.Take() {
		t.Error("a budget of 0 percent allowed an extra request")
	}
}

// TestLatency compares the quantile with the one of a sorted list of all
// observations in the current and the previous window. It fills each window up
// to a multiple of 32 observations, at which the tracker updates the quantile.
func TestLatency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := budget.NewLatency(0.95, now)
		var previous, current []time.Duration
		windowStart := now
		for range rapid.IntRange(1, 12).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 25).Draw(t, "seconds")) * time.Second)
			scale := rapid.SampledFrom([]int{10, 1000, 100_000, 5_000_000}).Draw(t, "scale")
			for _, micros := range rapid.SliceOfN(rapid.IntRange(0, scale), 1, 64).Draw(t, "micros") {
				if elapsed := now.Sub(windowStart); elapsed >= budget.LatencyWindow {
					previous, current, windowStart = current, nil, now
					if elapsed >= 2*budget.LatencyWindow {
						previous = nil
					}
				}
				current = append(current, time.Duration(micros)*time.Microsecond)
				tracker.Record(now, current[len(current)-1])
			}
			for range 32 - len(current)%32 {
				current = append(current, current[len(current)-1])
				tracker.Record(now, current[len(current)-1])
			}
			checkQuantile(t, tracker, slices.Concat(previous, current))
		}
	})
}

func checkQuantile(t *rapid.T, tracker *budget.Latency, all []time.Duration) {
	got, known := tracker.Value()
	if !known {
		t.Fatalf("the quantile is unknown after %d observations", len(all))
	}
	slices.Sort(all)
	want := all[min(int(0.95*float64(len(all))), len(all)-1)]
	if got < want || got > want+want/16+time.Microsecond {
		t.Fatalf("p95 is %v, want %v or up to 1/16 more", got, want)
	}
}

func TestLatencyUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := budget.NewLatency(0.95, now)
	for range budget.LatencySamplesMin - 1 {
		tracker.Record(now, time.Millisecond)
	}
	if value, known := tracker.Value(); known {
		t.Errorf("p95 is %v, want unknown with too few observations", value)
	}
	if n := testing.AllocsPerRun(100, func() { tracker.Record(now, time.Millisecond) }); n != 0 {
		t.Errorf("Record allocates %v times, want 0", n)
	}
}

func TestWait(t *testing.T) {
	tests := map[string]struct {
		running, queued, slots int
		want                   time.Duration
	}{
		"free slot":   {3, 0, 4, 0},
		"all taken":   {4, 0, 4, 5 * time.Millisecond},
		"four queued": {4, 4, 4, 25 * time.Millisecond},
		"no slots":    {0, 0, 0, 1<<63 - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := budget.Wait(test.running, test.queued, test.slots, 20*time.Millisecond); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestHedge checks the response, the verdict and the number of started calls for
// each order in which two calls return. A call with "never" set returns only
// when it is canceled.
func TestHedge(t *testing.T) {
	notRun := errs.NotRun(errs.ReasonTargetBusy, 0, "busy")
	mayHaveRun := errs.MayHaveRun(errs.ReasonTargetFailed, "gone")
	type outcome struct {
		err   error
		never bool
	}
	tests := map[string]struct {
		first, second  outcome
		timer, allowed bool
		want           string
		verdict        errs.Verdict
		started        int64
	}{
		"first in time":      {outcome{}, outcome{}, false, true, "first", errs.VerdictRan, 1},
		"first fails early":  {outcome{err: notRun}, outcome{}, false, true, "", errs.VerdictNotRun, 1},
		"second wins":        {outcome{never: true}, outcome{}, true, true, "second", errs.VerdictRan, 2},
		"second fails":       {outcome{never: true}, outcome{err: notRun}, true, true, "", errs.VerdictMayHaveRun, 2},
		"both not run":       {outcome{err: notRun}, outcome{err: notRun}, true, true, "", errs.VerdictNotRun, 2},
		"one may have run":   {outcome{err: mayHaveRun}, outcome{err: notRun}, true, true, "", errs.VerdictMayHaveRun, 2},
		"other may have run": {outcome{err: notRun}, outcome{err: mayHaveRun}, true, true, "", errs.VerdictMayHaveRun, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group conc.WaitGroup
			defer group.Wait()
			var started atomic.Int64
			secondStarted := make(chan struct{})
			call := func(name string, e outcome) budget.Call[string] {
				return func(ctx context.Context) (string, error) {
					started.Add(1)
					if name == "second" {
						close(secondStarted)
					} else if test.timer {
						<-secondStarted
					}
					if e.never && test.second.err != nil {
						cancel()
					}
					if e.never {
						<-ctx.Done()
						return "", errs.MayHaveRun(errs.ReasonCanceled, "canceled")
					}
					return name, e.err
				}
			}
			timer := make(chan time.Time, 1)
			if test.timer {
				timer <- time.Time{}
			}
			got, err := budget.Hedge(ctx, &group, timer, func() bool { return test.allowed }, call("first", test.first), call("second", test.second))
			if test.verdict == errs.VerdictRan {
				if err != nil || got != test.want {
					t.Errorf("got %q, %v; want %q", got, err, test.want)
				}
			} else if err == nil || errs.VerdictOf(err) != test.verdict {
				t.Errorf("got %v, want %v", err, test.verdict)
			}
			group.Wait()
			if started.Load() != test.started {
				t.Errorf("%d calls were started, want %d", started.Load(), test.started)
			}
		})
	}
}

// TestHedgeSpent checks that Hedge waits for the first call and starts no second
// one if the budget is spent.
func TestHedgeSpent(t *testing.T) {
	var group conc.WaitGroup
	defer group.Wait()
	timer := make(chan time.Time, 1)
	timer <- time.Time{}
	budgetChecked := make(chan struct{})
	first := func(context.Context) (string, error) {
		<-budgetChecked
		return "first", nil
	}
	second := func(context.Context) (string, error) {
		t.Error("the second call was started")
		return "", nil
	}
	spent := func() bool {
		close(budgetChecked)
		return false
	}
	if got, err := budget.Hedge(t.Context(), &group, timer, spent, first, second); got != "first" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

func BenchmarkLatencyRecord(b *testing.B) {
	now := time.Unix(1000, 0)
	tracker := budget.NewLatency(0.95, now)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Record(now, 3*time.Millisecond)
	}
}
