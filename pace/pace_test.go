package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

var start = time.Unix(1000, 0)

// maxInSpan returns the largest number of times that fall into one span.
func maxInSpan(times []time.Time, span time.Duration) int {
	largest := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < span {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// TestWindowBound checks for random event times that no span contains more
// events than the limit.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = time.Second
		limit := rapid.Int64Range(1, 10).Draw(t, "limit")
		w, now := pace.NewWindow(span, 10), start
		var taken []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if w.TryAdd(limit, now) {
				taken = append(taken, now)
			}
		}
		if got := maxInSpan(taken, span); got > int(limit) {
			t.Fatalf("%d events in one span, at most %d are allowed", got, limit)
		}
	})
}

// TestColdBound checks that the shares of all entries of a zone together stay
// within the bound of a cold target, and that they aren't all 0 unless the bound
// is very small.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 30).Draw(t, "entries")
		bound := pace.ColdBound(rapid.Float64Range(0.5, 40).Draw(t, "rate"), 1.5, 5)
		zone := make([]place.Instance, 0, entries)
		for i := range entries {
			zone = append(zone, place.Instance(fmt.Sprintf("i%02d", i)))
		}
		total := int64(0)
		for _, self := range zone {
			total += pace.ColdShare(bound, self, zone, "t1")
		}
		if float64(total) > bound {
			t.Fatalf("%d requests per second by %d entries, at most %.1f are allowed", total, entries, bound)
		}
		if total == 0 && bound >= 4 {
			t.Fatalf("no entry may send anything under a bound of %.1f", bound)
		}
	})
}

func TestColdShareOfAnotherZone(t *testing.T) {
	if got := pace.ColdShare(100, "i9", []place.Instance{"i1", "i2"}, "t1"); got != 0 {
		t.Errorf("an instance of another zone may send %d requests per second", got)
	}
}

// TestRetryBudget checks that in any window the retries of all entries stay
// within the ratio of the requests plus the slack, even if all processes are
// killed and restarted in the window.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			entries = 4
			ratio   = 0.2
			slack   = 40.0
			window  = 10 * time.Second
		)
		budgets := make([]*pace.RetryBudget, entries)
		for i := range budgets {
			budgets[i] = pace.NewRetryBudget(ratio, window, start.Add(-window))
		}
		events := rapid.IntRange(1, 400).Draw(t, "events")
		requests, retries := make([]time.Time, 0, events), []time.Time{}
		now, killed := start, start.Add(-window)
		for range events {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if now.Sub(killed) > window && rapid.IntRange(0, 20).Draw(t, "killed") == 0 {
				killed = now
				for i := range budgets {
					budgets[i] = pace.NewRetryBudget(ratio, window, now)
				}
			}
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			b.AddRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "retries") {
				if b.Take(slack/entries, now) {
					retries = append(retries, now)
				}
			}
		}
		for i, first := range retries {
			used, asked := 0, 0
			for _, at := range retries[i:] {
				if at.Sub(first) < window {
					used++
				}
			}
			for _, at := range requests {
				if at.Sub(first) < window && first.Sub(at) <= window {
					asked++
				}
			}
			if float64(used) > ratio*float64(asked)+slack {
				t.Fatalf("%d retries for %d requests in one window", used, asked)
			}
		}
	})
}

// TestLeaveBound checks that the share of requests that leave the region changes
// by no more than shiftMax from one window to the next, if the entry wants to
// send either all or none of its requests to other regions.
func TestLeaveBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			span     = 2 * time.Second
			shiftMax = 0.15
			pause    = 10 * time.Millisecond
		)
		l := pace.NewRegionLimiter(shiftMax)
		var shares []float64
		now, out, all := start, 0, 0
		window := now.Add(span)
		wantsOut := false
		for range 4000 {
			now = now.Add(pause)
			if !now.Before(window) {
				shares = append(shares, float64(out)/float64(all))
				out, all, window = 0, 0, window.Add(span)
				wantsOut = rapid.Bool().Draw(t, "wants to leave")
			}
			outside := wantsOut
			switch l.Next(now) {
			case pace.OwnRegion:
				outside = false
			case pace.OtherRegion:
				outside = true
			case pace.AnyRegion:
			}
			l.Count(outside, now)
			all++
			if outside {
				out++
			}
		}
		for i := 1; i < len(shares); i++ {
			if change := shares[i] - shares[i-1]; change > shiftMax || change < -shiftMax {
				t.Fatalf("the share changes from %.2f to %.2f in one window; %.2f is allowed", shares[i-1], shares[i], shiftMax)
			}
		}
	})
}

// TestLeaveByChance checks that random variation at an entry with few requests
// rarely triggers the bounds. Each request prefers another region with
// probability 1/2. A third of a normal distribution lies outside one standard
// deviation, and half of the requests there prefer the direction that is
// blocked, so that at most a sixth may be sent against their preference.
func TestLeaveByChance(t *testing.T) {
	const (
		shiftMax = 0.15
		pause    = 100 * time.Millisecond
		requests = 4000
	)
	l, random, now := pace.NewRegionLimiter(shiftMax), rand.New(rand.NewPCG(1, 2)), start
	forced := 0
	for range requests {
		now = now.Add(pause)
		wantsOut := random.IntN(2) == 0
		outside := wantsOut
		switch l.Next(now) {
		case pace.OwnRegion:
			outside = false
		case pace.OtherRegion:
			outside = true
		case pace.AnyRegion:
		}
		if outside != wantsOut {
			forced++
		}
		l.Count(outside, now)
	}
	if forced > requests/6 {
		t.Errorf("%d of %d requests were sent against their preference", forced, requests)
	}
}
