package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

const (
	heartbeat = 1500 * time.Millisecond
	coldTime  = 3 * time.Second
)

func newRegistry() *fleet.Registry {
	return fleet.NewRegistry(fleet.Timing{Heartbeat: heartbeat, ColdTime: func(place.Service) time.Duration { return coldTime }})
}

func report(target place.Target) fleet.Report {
	return fleet.Report{Target: target, Service: "s", Zone: "a/1", Address: "10.0.0.1:1", Slots: 4, Born: 1}
}

func targetNames(v *fleet.View) []place.Target {
	found := make([]place.Target, 0, v.Size())
	for _, m := range v.Members("s") {
		found = append(found, m.Target())
	}
	return found
}

func TestRemovedDuringAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		away    time.Duration
		removed time.Duration // after the return
		checked time.Duration // after the return
		known   bool
	}{
		"short outage":                     {heartbeat, 0, 0, false},
		"long outage":                      {3 * heartbeat, 0, time.Second, true},
		"long outage, return time is over": {3 * heartbeat, 0, fleet.RelistTime, false},
		"removed much later":               {3 * heartbeat, fleet.RelistTime, fleet.RelistTime, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newRegistry()
			b.Put(report("t1"), start)
			b.StoreLost(start)
			back := start.Add(test.away)
			b.StoreBack(back)
			b.Remove("t1", back.Add(test.removed))
			b.Expire(back.Add(test.checked))
			if _, known := b.View().Member("t1"); known != test.known {
				t.Errorf("the target is in the view: %v, want %v", known, test.known)
			}
		})
	}
}

func TestReturnedAfterAnOutage(t *testing.T) {
	b, now := newRegistry(), time.Unix(1000, 0)
	b.Put(report("t1"), now)
	b.StoreLost(now)
	now = now.Add(10 * time.Second)
	b.StoreBack(now)
	b.Reset(nil, now)
	b.Put(report("t1"), now.Add(time.Second))
	b.Expire(now.Add(time.Minute))
	if _, known := b.View().Member("t1"); !known {
		t.Error("a target that was listed again in time is missing")
	}
}

func TestCold(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := report("t1")
	cold.Cold = coldTime
	tests := map[string]struct {
		change func(*fleet.Registry)
		after  time.Duration
		cold   bool
	}{
		"warm":                             {func(b *fleet.Registry) { b.Put(report("t1"), now) }, 0, false},
		"cold":                             {func(b *fleet.Registry) { b.Put(cold, now) }, coldTime - 1, true},
		"cold time is over":                {func(b *fleet.Registry) { b.Put(cold, now) }, coldTime, false},
		"reports that it is warm":          {func(b *fleet.Registry) { b.Put(cold, now); b.Put(report("t1"), now) }, 0, false},
		"cold in a health check":           {func(b *fleet.Registry) { b.Put(report("t1"), now); b.SetColdUntil("t1", now.Add(time.Second)) }, 0, true},
		"evacuation has ended":             {func(b *fleet.Registry) { b.Put(report("t1"), now); evacuate(b, now) }, coldTime - 1, true},
		"evacuation ended a cold time ago": {func(b *fleet.Registry) { b.Put(report("t1"), now); evacuate(b, now) }, coldTime, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newRegistry()
			test.change(b)
			m, found := b.View().Member("t1")
			if !found || m.Cold(now.Add(test.after)) != test.cold {
				t.Errorf("found %v, want cold: %v", found, test.cold)
			}
		})
	}
}

func evacuate(b *fleet.Registry, now time.Time) {
	b.Evacuate([]place.Zone{"a/1"}, now.Add(-time.Second))
	b.Evacuate(nil, now)
}

// TestUsable applies random changes to a Registry and compares its View with a
// simple model: a target may get requests if its last report doesn't say that
// it is leaving, it wasn't removed since, and its zone isn't evacuated.
func TestUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newRegistry(), time.Unix(1000, 0)
		last := map[place.Target]fleet.Report{}
		var evacuated []place.Zone
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			target := place.Target(rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "target"))
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				r := report(target)
				r.Zone = rapid.SampledFrom([]place.Zone{"a/1", "a/2"}).Draw(t, "zone")
				r.Leaving = rapid.Bool().Draw(t, "leaving")
				b.Put(r, now)
				last[target] = r
			case 1:
				b.Remove(target, now)
				delete(last, target)
			case 2:
				evacuated = rapid.SampledFrom([][]place.Zone{nil, {"a/1"}, {"a/1", "a/2"}}).Draw(t, "evacuated")
				b.Evacuate(evacuated, now)
			}
			want := []place.Target{}
			for name, r := range last {
				if !r.Leaving && !slices.Contains(evacuated, r.Zone) {
					want = append(want, name)
				}
			}
			slices.Sort(want)
			if diff := cmp.Diff(want, targetNames(b.View())); diff != "" {
				t.Fatalf("usable targets (-want +got):\n%s", diff)
			}
		}
	})
}
