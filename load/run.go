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
	inFlightMax     = 20_000
	numberSpread    = 100_000
)

// Options say what to send and where.
type Options struct {
	// Entries are the addresses of callers' ports, asked for the first look-up.
	Entries []string
	// Targets are the targets' addresses by service: for the comparison at the
	// end, and in the baseline to send to.
	Targets map[place.Service][]string
	Mix     Mix
	// Rate is how many requests start in a second, whether or not the earlier
	// ones were answered.
	Rate     float64
	Duration time.Duration
	// Seed determines the order of the kinds and the bodies.
	Seed uint64
	// Attempts is how often one request is tried at most; 0 means 4.
	Attempts int
	// Baseline sends straight to the targets in turn, without entries.
	Baseline bool
	Logger   *logrus.Logger
}

func (o *Options) check() error {
	if len(o.Entries) == 0 && !o.Baseline {
		return errors.New("entries: no address is given; want one or more, such as 127.0.0.1:8000")
	}
	if o.Rate <= 0 || o.Duration <= 0 {
		return errors.Newf("rate %v, seconds %v: want both greater than 0", o.Rate, o.Duration.Seconds())
	}
	if err := o.Mix.check(); err != nil {
		return err
	}
	for _, k := range o.Mix.Kinds {
		if o.Baseline && len(o.Targets[k.Service]) == 0 {
			return errors.Newf("baseline: no target address is given for %s", k.Service)
		}
	}
	if o.Attempts == 0 {
		o.Attempts = attemptsDefault
	}
	return nil
}

// caller is one run of the load.
type caller struct {
	options  Options
	run      string
	resolver *resolver
	next     atomic.Uint64
	sent     []*sent
}

// Run sends the load, waits for the last answers, compares them with the
// targets' logs and sums everything up. The error says what kept it from doing
// so; wrong outcomes are in the Summary.
func Run(ctx context.Context, options Options) (Summary, error) {
	if err := options.check(); err != nil {
		return Summary{}, err
	}
	run := rand.Uint64() //nolint:gosec // keeps the keys of runs apart, not a secret
	c := &caller{options: options, run: fmt.Sprintf("r%08x", uint32(run)), resolver: newResolver(options.Entries, run>>32)}
	defer c.resolver.close()
	began := time.Now()
	c.sendAll(ctx, began)
	summary := c.sum(time.Since(began))
	if len(options.Targets) > 0 {
		if err := c.verify(&summary); err != nil {
			return summary, err
		}
	}
	return summary, nil
}

// sendAll starts each request at its own time. A request that starts late
// because the machine was busy still counts from the time that was meant.
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
		s := newSent(fmt.Sprintf("%s-%d", c.run, i), c.options.Mix.pick(random), random.IntN(numberSpread), due)
		c.sent = append(c.sent, s)
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

func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, left)
}
