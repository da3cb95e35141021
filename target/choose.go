package target

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
)

// asideShare: at most one in asideShare of the targets is left alone because
// its answers are bad. Those that cannot be connected to are not counted.
const asideShare = 3

// Choose returns the client that a request should go to, or nil if there is
// none beside the excluded ones: of two random ones the one with the shorter
// expected time to its answer. Targets that fail are left alone, but never more
// than a third of all for bad answers, and never the last one.
func Choose(clients []*Client, now time.Time, excluded ...*Client) *Client {
	good := make([]*Client, 0, len(clients))
	var bad, unreachable []*Client
	for _, c := range clients {
		if slices.Contains(excluded, c) {
			continue
		}
		switch isBad, isUnreachable := c.observed.bad(now); {
		case isUnreachable:
			unreachable = append(unreachable, c)
		case isBad:
			bad = append(bad, c)
		default:
			good = append(good, c)
		}
	}
	if len(bad)*asideShare > len(clients) || len(good) == 0 {
		good = append(good, bad...)
	}
	if len(good) == 0 {
		good = unreachable
	}
	if len(good) == 0 {
		return nil
	}
	first, second := twoOf(good)
	if clearlyLess(second.ExpectedTime(now), first.ExpectedTime(now)) {
		return second
	}
	return first
}

// clearlyLess tells whether a is less than two thirds of b. Smaller differences
// are noise: following them would starve a target for one slow answer.
func clearlyLess(a, b time.Duration) bool { return a+a/2 < b }

func twoOf(clients []*Client) (first, second *Client) {
	i := rand.IntN(len(clients)) //nolint:gosec // a choice, not a secret
	if len(clients) == 1 {
		return clients[i], clients[i]
	}
	j := rand.IntN(len(clients) - 1) //nolint:gosec // a choice, not a secret
	if j >= i {
		j++
	}
	return clients[i], clients[j]
}

// ExpectedTime returns how long an answer will take, by what this process saw:
// the smoothed latency, once for each request that is under way and once for
// the new one. A target that never answered counts as quick.
func (c *Client) ExpectedTime(now time.Time) time.Duration {
	latency := max(c.observed.expected(now), time.Microsecond)
	return latency * time.Duration(c.inFlight.Load()+1)
}

// Latency returns how long an answer takes by what this process saw, 0 if the
// target never answered it.
func (c *Client) Latency(now time.Time) time.Duration { return c.observed.expected(now) }

// LastReport returns the latest load report that Poll read. It is not Known
// before the first one.
func (c *Client) LastReport() Report {
	if report := c.report.Load(); report != nil {
		return *report
	}
	return Report{}
}

// Leaving tells whether the target itself has announced that it is leaving.
// Only a later report to the contrary takes that back: silence does not.
func (c *Client) Leaving() bool { return c.LastReport().leaving }

// Poll reads a load report and keeps it. On an error the last one stays.
func (c *Client) Poll(ctx context.Context) error {
	report, err := c.Report(ctx)
	if err != nil {
		if errs.VerdictOf(err) == errs.VerdictNotRun {
			c.observed.failed(time.Now(), err, 0)
		}
		return err
	}
	c.observed.reported()
	c.report.Store(&report)
	return nil
}
