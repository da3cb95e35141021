package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/quota"
)

// TestFleetFailures causes one failure in a fleet whose tenants then send far more than
// their quotas. It guards against instances that admit too much because they don't know
// of each other, and against refusals within the quota once the failure is over.
func TestFleetFailures(t *testing.T) {
	const (
		before, steady, surge, after = 5 * time.Second, 3 * time.Second, 5 * time.Second, 12 * time.Second
		settled                      = 8 * time.Second
		// A tenant of 3 requests per second has about 6 within the quota during the
		// failure, one of 300 has 560. What was admitted too much in the surge is
		// repaid for some seconds after it.
		refusedMax, refusedMaxAfter = 5, 2
		surgeFactor                 = 7.5
	)
	restartCollector := func(f *testFleet, z int) {
		f.collectors[z] = quota.NewCollector(zoneName(z), f.random.Uint64())
		f.positions[z] = [zoneCount]quota.Position{}
	}
	tests := map[string]struct {
		pick      func(*rand.Rand) int
		fail, end func(f *testFleet)
	}{
		"no replies to an instance": {
			atOneOf(3),
			func(f *testFleet) { f.silentInstance[8] = true },
			func(f *testFleet) { f.silentInstance[8] = false },
		},
		"silent zone": {
			anywhere,
			func(f *testFleet) { f.silentZone[2] = true },
			func(f *testFleet) { f.silentZone[2] = false },
		},
		"collector gone": {anywhere, func(f *testFleet) { restartCollector(f, 2) }, func(*testFleet) {}},
		"zone restarted": {anywhere, func(f *testFleet) {
			restartCollector(f, 2)
			for i := 2; i < instanceCount; i += zoneCount {
				f.limiters[i] = quota.NewLimiter(bounds, f.random.Float64, f.now)
			}
		}, func(*testFleet) {}},
		"all restarted": {anywhere, func(f *testFleet) {
			for z := range f.collectors {
				restartCollector(f, z)
			}
			for i := range f.limiters {
				f.limiters[i] = quota.NewLimiter(bounds, f.random.Float64, f.now)
			}
		}, func(*testFleet) {}},
	}
	for name, test := range tests {
		for at, first := range map[string]time.Duration{"before the surge": steady, "with the surge": 0, "within the surge": -time.Second} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(name, " ", at, " ", seed), func(t *testing.T) {
					t.Parallel()
					quotas, loads := newLoads(test.pick, withinQuota)
					f := newFleet(seed, quotas)
					setFactor := func(factor float64) {
						for _, l := range loads {
							l.perSecond *= factor
						}
					}
					f.run(before, loads)
					if first < 0 {
						setFactor(surgeFactor)
						f.run(-first, loads)
					}
					test.fail(f)
					if first >= 0 {
						f.run(first, loads)
						setFactor(surgeFactor)
					}
					f.run(surge, loads)
					setFactor(1 / surgeFactor)
					test.end(f)
					f.run(after, loads)
					for _, l := range loads {
						most := l.checkWindows(t, quotas[l.tenant])
						t.Logf("%s: at most %.2f of what a window may have", l.tenant, most)
						total := time.Duration(len(l.admitted)) * step
						if n := l.refusedBetween(total-after+settled, total); n > refusedMaxAfter {
							t.Errorf("%s: %d requests within the quota are refused after the failure", l.tenant, n)
						}
						if n := l.refusedBetween(before, max(before, before+first)); n > refusedMax {
							t.Errorf("%s: %d requests within the quota are refused during the failure", l.tenant, n)
						}
					}
				})
			}
		}
	}
}

// TestLowerQuota guards against a bucket that keeps the burst of an earlier quota.
func TestLowerQuota(t *testing.T) {
	const perSecond, lower = 300, 10
	quotas := map[place.Tenant]quota.Quota{"t": quota.New(perSecond, perSecond)}
	l := &load{tenant: "t", perSecond: perSecond * withinQuota, pick: anywhere}
	f := newFleet(1, quotas)
	f.run(3*time.Second, []*load{l})
	quotas["t"] = quota.New(lower, lower)
	l.admitted, l.refused = nil, nil
	f.run(6*time.Second, []*load{l})
	t.Logf("at most %.2f of what a window may have", l.checkWindows(t, quotas["t"]))
}

// TestLimiterAlone checks the decisions of an instance that has had no reply: it starts
// with little room, is limited to its share after 0.6 s, gets room for returned
// requests, and gains nothing from a clock that goes back.
func TestLimiterAlone(t *testing.T) {
	const perSecond, instances = 100, 10
	q := quota.New(perSecond, perSecond)
	start := time.Unix(1000, 0)
	admitAll := func(l *quota.Limiter, now time.Time) (n int) {
		for range 10 * perSecond {
			if _, ok := l.Admit("t", q, now); ok {
				n++
			}
		}
		return n
	}
	tests := map[string]struct {
		act         func(l *quota.Limiter) int
		least, most int
	}{
		"at the start": {func(l *quota.Limiter) int { return admitAll(l, start) }, 20, perSecond * 5 / 4},
		"cut off": {func(l *quota.Limiter) int {
			return admitAll(l, start.Add(3*time.Second))
		}, perSecond / instances, 5 * perSecond / instances / 2},
		"clock goes back": {func(l *quota.Limiter) int {
			admitAll(l, start)
			return admitAll(l, start.Add(-time.Hour))
		}, 0, 0},
		"returned": {func(l *quota.Limiter) int {
			admitAll(l, start)
			for range perSecond {
				l.Return("t")
			}
			return admitAll(l, start)
		}, perSecond / 10, perSecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := quota.NewLimiter(bounds, func() float64 { return 0 }, start)
			l.Update(map[place.Tenant]quota.Quota{"t": q}, bounds, instances, start)
			if n := test.act(l); n < test.least || n > test.most {
				t.Errorf("%d requests are admitted, want %d to %d", n, test.least, test.most)
			}
		})
	}
}

// TestLostReply guards against counts that get lost with a reply or are taken twice by
// the same collector.
func TestLostReply(t *testing.T) {
	now, q := time.Unix(1000, 0), quota.New(100, 100)
	l := quota.NewLimiter(bounds, rand.Float64, now)
	c := quota.NewCollector("r/z", 1)
	admit := func() { l.Admit("t", q, now) }
	admit()
	first := l.Report()
	c.Report("i", 1, first, now)
	admit()
	again := l.Report()
	l.Take(c.Report("i", 1, again, now), now)
	got := c.Report("i", 1, l.Report(), now)
	if want := quota.NewCounts(2, 2); again.Sequence != first.Sequence || got.Usage["t"] != want {
		t.Errorf("the counts are %v, want %v", got.Usage["t"], want)
	}
}

// TestUnknownCollector guards against taking the counts of hours as those of a moment,
// and against losing the counts of a collector that has just begun.
func TestUnknownCollector(t *testing.T) {
	tests := map[string]struct {
		age   time.Duration
		after uint64
		want  int64
	}{
		"old": {time.Hour, 0, 5}, "older than this one": {3 * time.Second, 0, 5}, "new": {time.Second / 2, 0, 105}, "incomplete": {time.Second / 2, 3, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := quota.NewCollector("r/z", 1)
			c.Report("i", 1, quota.Report{}, now)
			now = now.Add(time.Second)
			other := quota.Totals{Position: quota.Position{ID: 7, Revision: 5}, After: test.after, Age: test.age, Usage: quota.Usage{"t": quota.NewCounts(100, 100)}}
			c.TakeZone("r/y", other, now)
			other.Position.Revision, other.Usage = 6, quota.Usage{"t": quota.NewCounts(105, 105)}
			c.TakeZone("r/y", other, now)
			if got := c.Report("i", 1, quota.Report{}, now).Usage["t"].Admitted(); got != test.want {
				t.Errorf("%d requests count, want %d", got, test.want)
			}
		})
	}
}
