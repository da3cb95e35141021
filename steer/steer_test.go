package steer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/shift"
	"github.com/endivechute/endivechute/steer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "2000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	ms      = time.Millisecond
	service = 20 * ms
)

// first picks the first two candidates.
func first(int) int { return 0 }

func TestChoose(t *testing.T) {
	target := func(name string) steer.Candidate {
		return steer.NewCandidate(place.Target(name), "e0")
	}
	tests := map[string]struct {
		candidates []steer.Candidate
		want       place.Target
	}{
		"free before busy": {[]steer.Candidate{
			target("busy").WithView(0, 30*ms, 0, false, 0, 0),
			target("free").WithView(2, 0, 0, false, 0, 0),
		}, "free"},
		"quicker answer": {[]steer.Candidate{
			target("slow").WithView(4, 0, 0, false, 0, 0).WithService(100 * ms),
			target("quick").WithView(4, 0, 0, false, 0, 0).WithService(5 * ms),
		}, "quick"},
		"quick but full": {[]steer.Candidate{
			target("quick").WithView(0, 200*ms, 0, false, 0, 0).WithService(5 * ms),
			target("slow").WithView(4, 0, 0, false, 0, 0).WithService(100 * ms),
		}, "slow"},
		"difference too small to matter": {[]steer.Candidate{
			target("nearly").WithView(4, 0, 0, false, 0, 0).WithService(7 * ms),
			target("quick").WithView(4, 0, 0, false, 0, 0).WithService(5 * ms),
		}, "nearly"},
		"shorter wait": {[]steer.Candidate{
			target("long").WithView(0, 30*ms, 0, false, 0, 0),
			target("short").WithView(0, 10*ms, 0, false, 0, 0),
		}, "short"},
		"unknown isn't idle": {[]steer.Candidate{
			target("unknown"),
			target("short").WithView(0, 10*ms, 0, false, 0, 0),
		}, "short"},
		"stale isn't idle": {[]steer.Candidate{
			target("stale").WithView(4, 0, 0, false, steer.ViewMaxAge, 0),
			target("short").WithView(0, 10*ms, 0, false, 0, 0),
		}, "short"},
		"requests sent since an idle view add to the wait": {[]steer.Candidate{
			target("frozen").WithView(4, 0, 0, false, ms, 5),
			target("short").WithView(0, 10*ms, 0, false, 0, 0),
		}, "short"},
		"a keeper that stopped reporting is avoided": {[]steer.Candidate{
			target("silent").WithView(4, 0, 0, false, steer.ViewMaxAge, 8),
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
		}, "long"},
		"unknown before a long queue": {[]steer.Candidate{
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
			target("unknown"),
		}, "unknown"},
		"leaving": {[]steer.Candidate{
			target("leaving").WithView(4, 0, 0, true, 0, 0),
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
		}, "long"},
		"one of three excluded": {[]steer.Candidate{
			target("bad").WithView(4, 0, 9, false, 0, 0),
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
			target("longer").WithView(0, 99*ms, 0, false, 0, 0),
		}, "long"},
		"second unhealthy one of three not excluded": {[]steer.Candidate{
			target("worst").WithView(4, 0, 9, false, 0, 0),
			target("bad").WithView(4, 0, 8, false, 0, 0),
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
		}, "bad"},
		"none of two excluded": {[]steer.Candidate{
			target("bad").WithView(4, 0, 9, false, 0, 0),
			target("long").WithView(0, 90*ms, 0, false, 0, 0),
		}, "bad"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := steer.Choose(test.candidates, service, first)[0].Target(); got != test.want {
				t.Errorf("chose %s, want %s", got, test.want)
			}
		})
	}
}

// TestAsideAtMostAThird: at most a third of the targets is excluded, however
// many of them are unhealthy.
func TestAsideAtMostAThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 20).Draw(t, "failures")
		candidates := make([]steer.Candidate, 0, len(failures))
		for i, f := range failures {
			c := steer.NewCandidate(place.Target(fmt.Sprint(i)), "e0")
			candidates = append(candidates, c.WithView(1, 0, f, false, 0, 0))
		}
		if got := len(steer.Usable(candidates)); 3*(len(candidates)-got) > len(candidates) {
			t.Fatalf("%d of %d targets are excluded", len(candidates)-got, len(candidates))
		}
	})
}

func TestOrder(t *testing.T) {
	zones := []steer.Zone{
		steer.NewZone("huye/a"), steer.NewZone("kigali/b"), steer.NewZone("kigali/a"),
		steer.NewZone("musanze/a").WithRefusal(0),
	}
	tests := map[string]struct {
		own     place.Zone
		planned place.Region
		want    []place.Zone
	}{
		"home first":               {"kigali/a", "", []place.Zone{"kigali/a", "kigali/b", "huye/a"}},
		"the plan first":           {"kigali/a", "huye", []place.Zone{"huye/a", "kigali/a", "kigali/b"}},
		"the own region when full": {"musanze/a", "", []place.Zone{"musanze/a", "huye/a", "kigali/a", "kigali/b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := steer.TryOrder(test.own, test.planned, zones, first)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
	old := []steer.Zone{steer.NewZone("huye/a").WithRefusal(steer.RefusalMaxAge)}
	if len(steer.TryOrder("kigali/a", "", old, first)) != 1 {
		t.Error("a region is left out for a refusal older than RefusalMaxAge")
	}
}

func TestPlanned(t *testing.T) {
	var meter shift.Meter
	meter.Arrive(shift.WholeShare, []shift.RegionShare{shift.NewRegionShare("huye", shift.WholeShare)})
	full := []steer.Zone{steer.NewZone("huye/a").WithRefusal(0)}
	if got := steer.PlannedRegion(&meter, []place.Region{"huye"}, full); got != "" {
		t.Errorf("planned %q although the region is full", got)
	}
	open := []steer.Zone{steer.NewZone("huye/a")}
	if got := steer.PlannedRegion(&meter, []place.Region{"huye"}, open); got != "huye" {
		t.Errorf("planned %q, want huye: the full region must not have spent the credit", got)
	}
	if got := steer.PlannedRegion(&meter, []place.Region{"huye"}, open); got != "" {
		t.Errorf("planned %q without credit", got)
	}
}

// TestRegionNeverOverItsLimit: the entries of one region together never have
// more requests in flight than its limit. They get any number of requests, as
// when other regions fail at full load, while instances join, leave the list
// and die, and each entry receives the list with a delay.
func TestRegionNeverOverItsLimit(t *testing.T) {
	admitted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		const spread, longest = steer.RaiseDelay / 2, steer.RaiseDelay / 2
		type entry struct {
			admission steer.Admission
			running   []time.Duration // start times
			list      []place.Instance
			learns    time.Duration
			next      []place.Instance
		}
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		entries := map[place.Instance]*entry{}
		var names, list []place.Instance
		now, changed := time.Duration(0), time.Duration(0)
		join := func() {
			name := place.Instance(fmt.Sprintf("e%02d", len(names)))
			names = append(names, name)
			list = append(list[:len(list):len(list)], name)
			entries[name] = &entry{next: list, learns: now}
		}
		spreadList := func() {
			changed = now
			for _, name := range names {
				e := entries[name]
				e.next = list
				e.learns = now + time.Duration(rapid.Int64Range(0, int64(spread)).Draw(t, "learns"))
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			join()
		}
		for _, name := range names {
			entries[name].next = list
		}
		learn := func() {
			for _, name := range names {
				if e := entries[name]; now >= e.learns && e.next != nil {
					e.list, e.next = e.next, nil
					e.admission.SetShare(steer.ShareOfLimit(limit, name, e.list), true, e.learns)
				}
			}
		}
		finish := func(e *entry, before time.Duration) {
			for len(e.running) > 0 && e.running[0] <= before {
				e.running = e.running[1:]
				e.admission.Done()
			}
		}
		total := func() (sum int) {
			for _, e := range entries {
				sum += len(e.running)
			}
			return sum
		}
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			learn()
			name := names[rapid.IntRange(0, len(names)-1).Draw(t, "entry")]
			e := entries[name]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * ms
				for _, e := range entries {
					finish(e, now-longest)
				}
			case 1:
				if now >= changed+spread {
					join()
					learn()
					spreadList()
				}
			case 2:
				if now >= changed+spread && len(list) > 1 && len(e.running) == 0 {
					var without []place.Instance
					for _, n := range list {
						if n != name {
							without = append(without, n)
						}
					}
					list = without
					spreadList()
				}
			case 3:
				finish(e, now)
			default:
				for range rapid.IntRange(1, 20).Draw(t, "arrivals") {
					if !e.admission.Admit(now) {
						refused++
						continue
					}
					admitted++
					e.running = append(e.running, now)
					if total() > limit {
						t.Fatalf("at %v the region has %d in flight with a limit of %d", now, total(), limit)
					}
				}
			}
		}
	})
	t.Logf("%d admitted, %d refused", admitted, refused)
	if admitted == 0 || refused == 0 {
		t.Error("nothing was admitted or refused, so nothing was tested")
	}
}

// TestAdmissionSettles: a new entry is settled once its share is in effect. A
// region that gets its first limit at run time uses the share at once.
func TestAdmissionSettles(t *testing.T) {
	type step struct {
		share   int
		limited bool
		at      time.Duration
	}
	tests := map[string]struct {
		steps   []step
		at      time.Duration
		settled bool
		admits  int
	}{
		"new entry, limited, before RaiseDelay": {[]step{{3, true, 0}}, steer.RaiseDelay - ms, false, 0},
		"new entry, limited, after RaiseDelay":  {[]step{{3, true, 0}}, steer.RaiseDelay, true, 3},
		"new entry, no limit":                   {[]step{{0, false, 0}}, 0, true, 9},
		"first limit at run time":               {[]step{{0, false, 0}, {3, true, ms}}, ms, true, 3},
		"limit removed":                         {[]step{{3, true, 0}, {0, false, ms}}, ms, true, 9},
		"larger share":                          {[]step{{3, true, 0}, {5, true, steer.RaiseDelay}}, steer.RaiseDelay, true, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var admission steer.Admission
			for _, s := range test.steps {
				admission.SetShare(s.share, s.limited, s.at)
			}
			admits := 0
			for range 9 {
				if admission.Admit(test.at) {
					admits++
				}
			}
			if got := admission.Settled(test.at); got != test.settled || admits != test.admits {
				t.Errorf("Settled() = %v, admitted %d, want %v, %d", got, admits, test.settled, test.admits)
			}
		})
	}
}
