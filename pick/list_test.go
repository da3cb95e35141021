package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

var testZones = []place.Zone{"a/a1", "a/a2", "b/b1", "b/b2", "c/c1", "c/c2"}

// testFleet returns targets in all zones, sorted by name as in a view.
func testFleet(count int) []*fleet.Member {
	members := make([]*fleet.Member, 0, count)
	for i := range count {
		members = append(members, fleet.NewMember(fleet.Report{
			Target: place.Target(fmt.Sprintf("t%05d", i)), Service: "s", Zone: testZones[i%len(testZones)],
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 4, Born: 1,
		}, time.Time{}))
	}
	return members
}

func newTestRateLimiter() *pace.RateLimiter {
	return pace.NewRateLimiter(func() pace.Turn { return pace.NewTurn(0, 1) })
}

func newTestChooser() *Chooser {
	return New("a/a1", pace.NewColdLimiter(), pace.NewRegionLimiter(0), newTestRateLimiter())
}

func testQuery(object string) Query {
	return Query{
		Service: "s", Object: object, Aim: time.Second, TimeLeft: 4 * time.Second,
		Allowed: func(place.Region) bool { return true }, ColdShare: func(*fleet.Member) int64 { return 0 },
	}
}

// names returns the names of listed targets in order.
func (w *scratch) names() []place.Target {
	names := make([]place.Target, 0, len(w.listed))
	for _, l := range w.listed {
		names = append(names, l.member.Target())
	}
	return names
}

// TestShortlist compares the shortlist of drawn fleets and objects with the start
// of the list of all targets.
func TestShortlist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testFleet(rapid.IntRange(shortlistMax+1, 300).Draw(t, "targets"))
		c, now := newTestChooser(), time.Unix(1000, 0)
		q := testQuery(rapid.String().Draw(t, "object") + "x")
		if rapid.Bool().Draw(t, "restricted") {
			q.Allowed = func(r place.Region) bool { return r == "b" }
		}
		s := c.serviceFor(q.Service, q.Aim)
		handled := rapid.SampledFrom(members).Draw(t, "handled by")
		s.objects.record(objectOf(q, s, now).hash, handled.Process(), now)
		o := objectOf(q, s, now)
		var all, short scratch
		c.listAll(&all, members, q, o)
		c.shortlist(&short, members, q, o)
		first := min(shortlistMax, len(all.listed))
		if diff := cmp.Diff(all.names()[:first], short.names()[:first]); diff != "" {
			t.Fatalf("the first of all targets (-), of the shortlist (+):\n%s", diff)
		}
		has := false
		for _, l := range short.listed {
			has = has || l.member == handled
		}
		if want := q.Allowed(handled.Zone().Region()); has != want || len(short.listed) > shortlistMax+1 {
			t.Fatalf("the target that handled the object is listed: %v, want %v; %d are listed", has, want, len(short.listed))
		}
	})
}

// TestShortlistChooses compares choices with the shortlist with those among all
// targets, on drawn fleets on which some targets are busy, slow or unreachable. A
// target that is expected to have the object cached must be the same one. If all
// that are listed are full, the choice must fall on one that isn't.
func TestShortlistChooses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testFleet(rapid.IntRange(shortlistMax+1, 120).Draw(t, "targets"))
		c, now := newTestChooser(), time.Unix(1000, 0)
		q := testQuery(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "object"))
		s := c.serviceFor(q.Service, q.Aim)
		states := rapid.SliceOfN(rapid.IntRange(0, 5), len(members), len(members)).Draw(t, "states")
		for i, m := range members {
			stats := c.statsFor(m, s, now)
			switch states[i] {
			case 0:
				stats.otherLoad, stats.reportedAt = 40, now
			case 1:
				stats.slowdown = 8
			case 2:
				stats.unreachable = true
			}
		}
		o, times := objectOf(q, s, now), s.serviceTimes()
		var work scratch
		c.listAll(&work, members, q, o)
		candidates := c.candidates(&work, q, s, o, times, now)
		want, estimate := c.best(candidates, false, q, times, now)
		attempt, err := c.Choose(members, q, now)
		if (err == nil) != (want >= 0) {
			t.Fatalf("error %v; the best of all is at %d", err, want)
		}
		if err != nil {
			return
		}
		if candidates[want].expectsHit() && attempt.Member() != candidates[want].Member {
			t.Fatalf("target %s was chosen, of all it is %s", attempt.Member().Target(), candidates[want].Member.Target())
		}
		if estimate.Wait == 0 && attempt.Estimate().Wait > 0 {
			t.Fatalf("target %s was chosen with a wait of %v, of all it is %s without", attempt.Member().Target(), attempt.Estimate().Wait, candidates[want].Member.Target())
		}
	})
}

// TestShortlistUnreachable makes all targets on the shortlist unreachable. The
// choice must fall on a target that can be reached.
func TestShortlistUnreachable(t *testing.T) {
	members := testFleet(100)
	c, now := newTestChooser(), time.Unix(1000, 0)
	q := testQuery("x")
	s := c.serviceFor(q.Service, q.Aim)
	var short scratch
	c.shortlist(&short, members, q, objectOf(q, s, now))
	for _, l := range short.listed {
		c.statsFor(l.member, s, now).unreachable = true
	}
	attempt, err := c.Choose(members, q, now)
	if err != nil {
		t.Fatal(err)
	}
	if attempt.stats.unreachable {
		t.Errorf("target %s was chosen, which is unreachable", attempt.Member().Target())
	}
}

// TestShortlistStaysInRegion sends requests from a region with few targets, of
// which most shortlists have none, after a while in which all requests stayed
// there. The limit on requests that leave the region must hold as among all
// targets.
func TestShortlistStaysInRegion(t *testing.T) {
	for name, policy := range map[string]Policy{"single": Single{}, "replicated": Replicated{}} {
		t.Run(name, func(t *testing.T) { checkShortlistStaysInRegion(t, policy) })
	}
}

func checkShortlistStaysInRegion(t *testing.T, policy Policy) {
	t.Helper()
	const targets, local, requests, windows = 400, 4, 400, 4
	members := make([]*fleet.Member, 0, targets)
	for i := range targets {
		zone := place.Zone("b/b1")
		if i < local {
			zone = "a/a1"
		}
		members = append(members, fleet.NewMember(fleet.Report{
			Target: place.Target(fmt.Sprintf("t%05d", i)), Service: "s", Zone: zone, Address: "10.0.0.1:80", Slots: requests, Born: 1,
		}, time.Time{}))
	}
	const bound = 0.15
	c := New("a/a1", pace.NewColdLimiter(), pace.NewRegionLimiter(bound), newTestRateLimiter())
	now := time.Unix(1000, 0)
	shares := make([]float64, 0, windows)
	for window := range windows {
		left := 0
		for i := range requests {
			q := testQuery(fmt.Sprint(window, i))
			q.Policy = policy
			if window < 2 {
				q.Allowed = func(r place.Region) bool { return r == "a" }
			}
			attempt, err := c.Choose(members, q, now)
			if err != nil {
				t.Fatal(err)
			}
			attempt.Done(Answered{}, nil, 0, now)
			if attempt.Distance() == OtherRegion {
				left++
			}
			now = now.Add(2 * time.Second / requests)
		}
		shares = append(shares, float64(left)/requests)
	}
	for i := 1; i < len(shares); i++ {
		if shares[i]-shares[i-1] > bound {
			t.Errorf("the share of requests that leave the region rises from %.2f to %.2f in one window, at most %.2f is allowed", shares[i-1], shares[i], bound)
		}
	}
}

// BenchmarkChoose measures one choice at different sizes of a service.
func BenchmarkChoose(b *testing.B) { benchmarkChoose(b, Single{}) }

// BenchmarkChooseReplicated measures one choice under the policy Replicated.
func BenchmarkChooseReplicated(b *testing.B) { benchmarkChoose(b, Replicated{}) }

func benchmarkChoose(b *testing.B, policy Policy) {
	b.Helper()
	for _, targets := range []int{36, 429, 4290} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			members, c := testFleet(targets), newTestChooser()
			start := time.Unix(1000, 0)
			const objects = 1000
			queries := make([]Query, objects)
			for i := range queries {
				queries[i] = testQuery(fmt.Sprint("object ", i))
				queries[i].Policy = policy
			}
			b.ReportAllocs()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				attempt, err := c.Choose(members, queries[i%objects], now)
				if err != nil {
					b.Fatal(err)
				}
				attempt.Done(Answered{}, nil, 0, now.Add(time.Millisecond))
			}
		})
	}
}
