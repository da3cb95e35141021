package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wait"
)

const (
	statusOK        = 200
	attemptsDefault = 4
	// inFlightMax is the most requests in flight; more are skipped.
	inFlightMax = 20_000
	// numberLimit is the exclusive upper bound of the numbers in paths and bodies.
	numberLimit = 100_000
)

// Options configure a run.
type Options struct {
	// Entries are the addresses of the entries' ports for callers. The first
	// look-ups go to them.
	Entries []string
	// Targets are the targets' addresses by service. Their logs are compared
	// with the results at the end; a baseline sends its requests to them.
	Targets map[place.Service][]string
	Mix     Mix
	// Rate is the number of requests that start per second, regardless of how
	// many are unanswered (an open loop).
	Rate     float64
	Duration time.Duration
	// Seed determines the sequence of kinds and of the numbers in paths and
	// bodies.
	Seed uint64
	// Attempts is the most attempts per request; 0 means 4.
	Attempts int
	// Baseline sends directly to the targets in rotation, without entries.
	Baseline bool
	Logger   *logrus.Logger
}

func (o *Options) check() error {
	if len(o.Entries) == 0 && !o.Baseline {
		return errors.New("entries: no address; want one or more, such as 127.0.0.1:8000")
	}
	if o.Rate <= 0 || o.Duration <= 0 {
		return errors.Newf("rate %v, seconds %v: both must be greater than 0", o.Rate, o.Duration.Seconds())
	}
	if err := o.Mix.check(); err != nil {
		return err
	}
	for _, k := range o.Mix.Kinds {
		if o.Baseline && len(o.Targets[k.Service]) == 0 {
			return errors.Newf("baseline: no target address for service %s", k.Service)
		}
	}
	if o.Attempts == 0 {
		o.Attempts = attemptsDefault
	}
	return nil
}

// caller is the state of one run.
type caller struct {
	options    Options
	run        string
	resolver   *resolver
	nextTarget atomic.Uint64
	requests   []*sentRequest
}

// Run sends the load, waits for the last answers and compares the results with
// the targets' logs. It returns an error if the options are invalid or a log
// can't be read; violated guarantees are in the Summary.
func Run(ctx context.Context, options Options) (Summary, error) {
	if err := options.check(); err != nil {
		return Summary{}, err
	}
	run := rand.Uint64() //nolint:gosec // keeps the keys of runs apart, not a secret
	c := &caller{options: options, run: fmt.Sprintf("r%08x", uint32(run)), resolver: newResolver(options.Entries, run>>32)}
	defer c.resolver.close()
	began := time.Now()
	c.sendAll(ctx, began)
	summary := c.summarize(time.Since(began))
	if len(options.Targets) > 0 {
		if err := c.verify(&summary); err != nil {
			return summary, err
		}
	}
	return summary, nil
}

// sendAll starts the requests at a constant rate. Each is timed from when it was
// due, so that a late start on a busy machine counts as latency.
func (c *caller) sendAll(ctx context.Context, began time.Time) {
	random := rand.New(rand.NewPCG(c.options.Seed, c.options.Seed)) //nolint:gosec // repeatable on purpose
	total := int(c.options.Rate * c.options.Duration.Seconds())
	var sending conc.WaitGroup
	defer sending.Wait()
	var inFlight atomic.Int64
	for i := range total {
		due := began.Add(time.Duration(float64(i) / c.options.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		s := newSentRequest(fmt.Sprintf("%s-%d", c.run, i), c.options.Mix.pick(random), random.IntN(numberLimit), due)
		c.requests = append(c.requests, s)
		if inFlight.Load() >= inFlightMax {
			s.outcome = OutcomeSkipped
			continue
		}
		inFlight.Add(1)
		sending.Go(func() {
			defer inFlight.Add(-1)
			c.send(ctx, s)
		})
	}
}

// sleepUntil reports whether due was reached before ctx ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	return wait.Sleep(ctx, left)
}
