package shift_test

import (
	"flag"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/shift"
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

// TestCapOverAnyStretch: over any interval, no entry diverts more than the cap
// plus one request. Arrivals are spread over several entries at random, and
// some entries restart without their credit. The limit is checked in whole
// requests and percent, apart from the arithmetic of Credit.
func TestCapOverAnyStretch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "cap")
		wanted := rapid.IntRange(0, 100).Draw(t, "wanted")
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		meters := make([]*shift.Meter, entries)
		for i := range meters {
			meters[i] = &shift.Meter{}
		}
		plan := []shift.RegionShare{shift.NewRegionShare("huye", shift.ShareOf(float64(wanted)))}
		type event struct{ entry, diverted int }
		arrivals := rapid.IntRange(1, 120).Draw(t, "arrivals")
		log := make([]event, 0, arrivals)
		for range arrivals {
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if rapid.IntRange(0, 40).Draw(t, "fault") == 0 {
				meters[i] = &shift.Meter{}
			}
			meters[i].Arrive(shift.ShareOf(float64(percent)), plan)
			diverted := 0
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				if meters[i].Divert("huye") {
					diverted = 1
				}
			case 1:
				if meters[i].Spill() {
					diverted = 1
				}
			}
			log = append(log, event{i, diverted})
		}
		for begin := range log {
			arrivals := make([]int, entries)
			diverted := make([]int, entries)
			for _, e := range log[begin:] {
				arrivals[e.entry]++
				diverted[e.entry] += e.diverted
				if 100*(diverted[e.entry]-1) > percent*arrivals[e.entry] {
					t.Fatalf("entry %d diverted %d of %d arrivals with a cap of %d %%", e.entry, diverted[e.entry], arrivals[e.entry], percent)
				}
			}
		}
	})
}

func TestCreditConcurrent(t *testing.T) {
	var meter shift.Meter
	var diverted atomic.Int64
	var group conc.WaitGroup
	const arrivals, workers = 2000, 8
	for range workers {
		group.Go(func() {
			for range arrivals {
				meter.Arrive(shift.ShareOf(10), []shift.RegionShare{shift.NewRegionShare("huye", shift.ShareOf(10))})
				if meter.Divert("huye") {
					diverted.Add(1)
				}
			}
		})
	}
	group.Wait()
	if got, limit := diverted.Load(), int64(workers*arrivals/10+1); got > limit || got < limit/2 {
		t.Errorf("%d diverted, want at most %d and at least half of that", got, limit)
	}
}

func TestQuietPastBuysNoBurst(t *testing.T) {
	var meter shift.Meter
	for range 1000 {
		meter.Arrive(shift.ShareOf(50), nil)
	}
	if !meter.Spill() || meter.Spill() {
		t.Error("after 1000 arrivals without a diversion, want one request diverted and no second one")
	}
}

func TestAllotment(t *testing.T) {
	a := shift.NewAllotment(10, 0)
	taken := 0
	for now := time.Duration(0); now <= 3*time.Second; now += time.Millisecond {
		if ok, _ := a.Take(1, now); ok {
			taken++
		}
	}
	if taken > 31 || taken < 30 {
		t.Errorf("%d requests in 3 s, want 30 and at most one more", taken)
	}
}

var direction = shift.Direction{From: place.Region("kigali"), To: place.Region("huye")}

// node is an entry that follows the plan, with the last move that the test
// observed.
type node struct {
	follower shift.Follower
	cut      bool
	last     shift.Share
	moved    time.Duration
}

// holder is a process that believes it manages the plan. It acts on what it
// last read, and its write is accepted only if the stored version is still the
// one it read.
type holder struct {
	paused bool
	plan   shift.Plan
	seen   time.Duration
	known  []shift.AppliedVersion
}

// TestPlanSteps: two holders compete for a plan that several entries follow,
// some of them disconnected for a while. No accepted write may be more than one
// step from what is in force at an entry whose plan hasn't expired, and no
// entry may move by more than one step within StepInterval.
func TestPlanSteps(t *testing.T) {
	writes := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		step := shift.ShareOf(float64(rapid.IntRange(1, 30).Draw(t, "step")))
		stored := shift.NewPlan(1, shift.Shares{})
		nodes := make([]*node, rapid.IntRange(1, 4).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &node{moved: -time.Hour}
			nodes[i].follower.SetPlan(stored, step, 0, 0)
		}
		holders := []*holder{{plan: stored}, {plan: stored}}
		wanted := shift.Shares{direction: shift.ShareOf(60)}
		observe := func() {
			for _, n := range nodes {
				share := n.follower.InForce(now)[direction]
				if share == n.last {
					continue
				}
				if max(share-n.last, n.last-share) > step || now-n.moved < shift.StepInterval {
					t.Fatalf("an entry moved from %d to %d with a step of %d, %v after the last move", n.last, share, step, now-n.moved)
				}
				n.last, n.moved = share, now
			}
		}
		read := func(h *holder) {
			if h.plan.Version() != stored.Version() {
				h.seen = now
			}
			h.plan = stored
			h.known = h.known[:0]
			for _, n := range nodes {
				if n.cut {
					h.known = append(h.known, shift.NewAppliedVersion(0))
					continue
				}
				h.known = append(h.known, n.follower.Standing(now))
			}
		}
		write := func(h *holder) {
			next, ok := shift.Next(h.plan, wanted, step, h.known, h.seen, now)
			if !ok || h.plan.Version() != stored.Version() {
				return
			}
			writes++
			for _, n := range nodes {
				share := n.follower.InForce(now)[direction]
				if distance := max(next[direction]-share, share-next[direction]); !n.follower.Expired(now) && distance > step {
					t.Fatalf("the plan goes to %d while an entry has %d in force, with a step of %d", next[direction], share, step)
				}
			}
			stored = shift.NewPlan(stored.Version()+1, next)
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			h := holders[rapid.IntRange(0, 1).Draw(t, "holder")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
				n.cut = !n.cut
			case 1:
				wanted = shift.Shares{direction: shift.ShareOf(float64(rapid.IntRange(0, 100).Draw(t, "wanted")))}
			case 2:
				h.paused = !h.paused
			case 3, 4:
				if !h.paused {
					read(h)
				}
			case 5:
				write(h) // a paused holder may still have a write in flight
			default:
				now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "wait")) * time.Millisecond
			}
			for _, n := range nodes {
				if !n.cut {
					n.follower.SetPlan(stored, step, now, now)
				}
			}
			observe()
		}
	})
	t.Logf("%d steps were written", writes)
	if writes == 0 {
		t.Error("no step was written, so nothing was tested")
	}
}

func TestFollowerAfterACut(t *testing.T) {
	step := shift.ShareOf(10)
	at := func(percent float64) shift.Shares { return shift.Shares{direction: shift.ShareOf(percent)} }
	var f shift.Follower
	f.SetPlan(shift.NewPlan(3, at(10)), step, 0, 0)
	f.SetPlan(shift.NewPlan(7, at(50)), step, time.Hour, time.Hour)
	f.SetPlan(shift.NewPlan(6, at(40)), step, time.Hour, time.Hour)
	for i, want := range []float64{20, 30, 40, 50, 50} {
		now := time.Hour + time.Duration(i)*shift.StepInterval
		f.SetPlan(shift.NewPlan(7, at(50)), step, now, now)
		f.SetPlan(shift.NewPlan(6, at(40)), step, now, now)
		if got := f.InForce(now)[direction]; got != shift.ShareOf(want) {
			t.Errorf("after %d intervals %v %% are in force, want %v", i, got.Percent(), want)
		}
		if done := f.Standing(now) == shift.NewAppliedVersion(7); done != (want == 50) {
			t.Errorf("after %d intervals the entry says the plan is in force: %v", i, done)
		}
	}
}

func TestNext(t *testing.T) {
	at := func(percent float64) shift.Shares { return shift.Shares{direction: shift.ShareOf(percent)} }
	validity := shift.PlanValidity + shift.ValidityMargin
	tests := map[string]struct {
		current float64
		applied []shift.AppliedVersion
		seen    time.Duration
		want    float64
		ok      bool
	}{
		"in force at all entries":   {10, []shift.AppliedVersion{shift.NewAppliedVersion(5), shift.NewAppliedVersion(5)}, 0, 20, true},
		"not in force at one entry": {10, []shift.AppliedVersion{shift.NewAppliedVersion(5), shift.NewAppliedVersion(4)}, 0, 0, false},
		"just before the lapse":     {10, []shift.AppliedVersion{shift.NewAppliedVersion(4)}, validity - 1, 0, false},
		"after the lapse":           {10, []shift.AppliedVersion{shift.NewAppliedVersion(4)}, validity, 20, true},
		"share decreases":           {70, nil, 0, 60, true},
		"less than a step left":     {38, nil, 0, 45, true},
		"plan is as wanted":         {45, nil, 0, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next, ok := shift.Next(shift.NewPlan(5, at(test.current)), at(45), shift.ShareOf(10), test.applied, 0, test.seen)
			if ok != test.ok || next[direction] != shift.ShareOf(test.want) {
				t.Errorf("next step %v %%, %v; want %v, %v", next[direction].Percent(), ok, test.want, test.ok)
			}
		})
	}
}
