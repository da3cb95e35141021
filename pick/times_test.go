package pick

import (
	"testing"
	"time"
)

// TestServiceTimesByRoute: short requests of one route to a service don't make the
// long ones of another look slow. Each route's estimate is that of its own
// requests, and a target that serves both as usual isn't slow.
func TestServiceTimesByRoute(t *testing.T) {
	const long, short = 800 * time.Millisecond, 5 * time.Millisecond
	c, now := newTestChooser(), time.Unix(1000, 0)
	members := testFleet(1)
	send := func(route string, took time.Duration) *Attempt {
		q := testQuery("x")
		q.Route = route
		attempt, err := c.Choose(members, q, now)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(took)
		attempt.Done(Answered{}, nil, 0, now)
		return attempt
	}
	for range 40 {
		send("long", long)
		send("short", short)
	}
	for route, want := range map[string]time.Duration{"long": long, "short": short} {
		if got := send(route, want).expected; got < want*9/10 || got > want*11/10 {
			t.Errorf("requests of the route %s are expected to take %v, want %v within 10 %%", route, got, want)
		}
	}
	if slowdown, _ := c.targets[members[0].Target()].stats.observed(now); slowdown < 0.9 || slowdown > 1.1 {
		t.Errorf("the slowdown is %.2f, want 1 within 0.1", slowdown)
	}
}

// TestRoutesBounded: the estimates of routes that no longer exist are dropped, so
// that changing configurations don't use up the memory.
func TestRoutesBounded(t *testing.T) {
	s := newServiceStats(time.Second)
	for i := range 10 * routesMax {
		s.timesOf(routeName(i), time.Second)
	}
	if len(s.routes) > routesMax {
		t.Errorf("estimates of %d routes are kept, want %d at most", len(s.routes), routesMax)
	}
}

func routeName(i int) string { return string(rune('a'+i%26)) + time.Duration(i).String() }
