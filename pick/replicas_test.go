package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

var testStart = time.Unix(1000, 0)

// localFleet returns targets in this entry's zone, sorted by name.
func localFleet(count int) []*fleet.Member {
	members := make([]*fleet.Member, 0, count)
	for i := range count {
		members = append(members, fleet.NewMember(fleet.Report{
			Target: place.Target(fmt.Sprintf("t%05d", i)), Service: "s", Zone: "a/a1", Address: "10.0.0.1:80", Slots: 4, Born: 1,
		}, time.Time{}))
	}
	return members
}

func replicatedQuery(object string) Query {
	q := testQuery(object)
	q.Policy = Replicated{}
	return q
}

// TestHotObjectSpreads sends many requests for one object at once. Under Replicated
// they must use several targets, none of which gets half of them. It guards against a
// popular object that makes the queue of its one target long.
func TestHotObjectSpreads(t *testing.T) {
	const requests = 32
	tests := map[string]struct {
		policy  Policy
		spreads bool
	}{"single": {Single{}, false}, "replicated": {Replicated{}, true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members, c := localFleet(24), newTestChooser()
			q := testQuery("x")
			q.Policy = test.policy
			counts, most := map[place.Target]int{}, 0
			for range requests {
				attempt, err := c.Choose(members, q, testStart)
				if err != nil {
					t.Fatal(err)
				}
				target := attempt.Member().Target()
				counts[target]++
				most = max(most, counts[target])
			}
			if spreads := len(counts) >= 3 && most < requests/2; spreads != test.spreads {
				t.Errorf("%d targets got requests, one of them %d of %d; spread: %v, want %v", len(counts), most, requests, spreads, test.spreads)
			}
		})
	}
}

// TestRareObjectStays sends requests for rare objects while popular ones have taught
// the entry that later replicas hit their caches too. Each rare object must stay on
// one target, or it would displace others from several caches.
func TestRareObjectStays(t *testing.T) {
	members, c := localFleet(24), newTestChooser()
	s := c.serviceFor("s", time.Second)
	used := map[string]map[place.Target]bool{}
	for i := range 200 {
		now := testStart.Add(time.Duration(i) * time.Second / 10)
		for class := range s.hits {
			s.hits[class] = hitEstimate{probability: hitMax, updated: now}
		}
		object := fmt.Sprint("rare", i%20)
		attempt, err := c.Choose(members, replicatedQuery(object), now)
		if err != nil {
			t.Fatal(err)
		}
		attempt.Done(Answered{}, &Report{}, 0, now.Add(500*time.Millisecond))
		if used[object] == nil {
			used[object] = map[place.Target]bool{}
		}
		used[object][attempt.Member().Target()] = true
	}
	for object, targets := range used {
		if len(targets) != 1 {
			t.Errorf("object %s went to %d targets, want 1", object, len(targets))
		}
	}
}

// TestOldReportsSpread gives many entries the same old reports of two targets that
// both have an object cached. They must not all choose the same one, whose queue
// would grow until the next report.
func TestOldReportsSpread(t *testing.T) {
	const entries = 60
	members := localFleet(2)
	counts := map[place.Target]int{}
	for range entries {
		c := newTestChooser()
		s := c.serviceFor("s", time.Second)
		o := objectOf(testQuery("x"), s, testStart)
		for _, m := range members {
			s.objects.record(o.hash, m.Process(), testStart)
			stats := c.statsFor(m, s, testStart)
			stats.otherLoad, stats.reportedAt = 5, testStart
		}
		attempt, err := c.Choose(members, replicatedQuery("x"), testStart.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		counts[attempt.Member().Target()]++
	}
	for target, n := range counts {
		if n > entries*8/10 {
			t.Errorf("%d of %d entries chose target %s", n, entries, target)
		}
	}
}

// TestNoiseIsNoSlowness lets a target take 2.5 times as long as expected. If it
// reports that its machine is that slow at present, the target must not count as
// slow, or its objects would move back and forth with the noise.
func TestNoiseIsNoSlowness(t *testing.T) {
	for name, reported := range map[string]float64{"reported": 2.5, "not reported": 0} {
		t.Run(name, func(t *testing.T) {
			members, c, now := localFleet(1), newTestChooser(), testStart
			for range 5 {
				attempt, err := c.Choose(members, replicatedQuery("x"), now)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(1250 * time.Millisecond)
				attempt.Done(Answered{}, &Report{WorkFactor: reported}, 0, now)
			}
			slowdown := c.targets[members[0].Target()].stats.slowdown
			if noise := reported > 0; noise != (slowdown < 1.2) {
				t.Errorf("the slowdown is %.2f", slowdown)
			}
		})
	}
}

// TestWorkFactorAges checks that a reported work factor counts at once and is nearly
// forgotten after a second, because the load on shared machines changes within that
// time.
func TestWorkFactorAges(t *testing.T) {
	members, c := localFleet(24), newTestChooser()
	s := c.serviceFor("s", time.Second)
	l := c.statsFor(members[0], s, testStart)
	if got := l.workFactor(testStart); got != 0 {
		t.Errorf("the work factor is %v before any report, want 0", got)
	}
	l.observeWorkFactor(3, testStart)
	if got := l.workFactor(testStart); got != 3 {
		t.Errorf("the work factor is %v at once, want 3", got)
	}
	if got := l.workFactor(testStart.Add(time.Second)); got > 1.3 {
		t.Errorf("the work factor is %v after a second, want about 1", got)
	}
	if !c.ReportsWorkFactor("s", testStart.Add(factorSeenFor-1)) || c.ReportsWorkFactor("s", testStart.Add(factorSeenFor)) {
		t.Errorf("the service must count as reporting work factors for %v", factorSeenFor)
	}
}

// TestHitsAreLearned checks that misses lower the probability of their class only,
// that hits raise it, and that it returns to its initial value. Without the return a
// position that missed while caches were empty would never be tried again.
func TestHitsAreLearned(t *testing.T) {
	s := newServiceStats(time.Second)
	hit, miss := s.times.Hit, s.times.Miss
	second := Replica{Position: 1}.class()
	for range 30 {
		s.observeReplica(miss, second, testStart)
	}
	hits, _ := s.replicaState(testStart)
	if hits[second] > 0.1 || hits[homeClass] != initialHits[homeClass] {
		t.Errorf("after misses the probabilities are %v", hits)
	}
	later, _ := s.replicaState(testStart.Add(10 * hitHalfLife))
	if later[second] < 0.95*initialHits[second] {
		t.Errorf("the probability is %.2f long after the misses, want %.2f", later[second], initialHits[second])
	}
	for range 30 {
		s.observeReplica(hit, second, testStart)
	}
	if hits, _ := s.replicaState(testStart); hits[second] < 0.9 {
		t.Errorf("the probability is %.2f after hits", hits[second])
	}
}

// TestRegionsAgree checks that an entry of another region finds the replicas of an
// object in this region in the same order as the entries here. Otherwise each region
// would cache the object on other targets.
func TestRegionsAgree(t *testing.T) {
	members := testFleet(60)
	here, there := newTestChooser(), New("b/b1", pace.NewColdLimiter(), pace.NewRegionLimiter(0), newTestRateLimiter())
	firstOf := func(c *Chooser, object string) place.Target {
		var work scratch
		q := replicatedQuery(object)
		c.listReplicas(&work, members, q, objectOf(q, c.serviceFor("s", time.Second), testStart), true)
		for _, l := range work.listed {
			if l.member.Region() == "a" {
				return l.member.Target()
			}
		}
		return ""
	}
	for i := range 50 {
		object := fmt.Sprint("object", i)
		if first, other := firstOf(here, object), firstOf(there, object); first != other {
			t.Errorf("object %s: the first target of region a is %s there and %s elsewhere", object, first, other)
		}
	}
}

// TestLoadsAreShared checks which reports an entry takes from another: newer ones of
// the same process, without its own requests. It must not tell on what it heard.
func TestLoadsAreShared(t *testing.T) {
	registry := fleet.NewRegistry(fleet.Timing{})
	registry.Put(fleet.Report{Target: "t", Service: "s", Zone: "a/a1", Address: "10.0.0.1:80", Slots: 4, Born: 1}, testStart)
	view := registry.View()
	now := testStart.Add(time.Second)
	tests := map[string]struct {
		report LoadReport
		want   float64
	}{
		"newer":             {LoadReport{Target: "t", Born: 1, Running: 4, Waiting: 3, Age: 100 * time.Millisecond}, 1 + 6},
		"older than known":  {LoadReport{Target: "t", Born: 1, Running: 4, Waiting: 3, Age: 900 * time.Millisecond}, 1 + 2},
		"earlier process":   {LoadReport{Target: "t", Born: 0, Running: 4, Waiting: 3, Age: 100 * time.Millisecond}, 1 + 2},
		"before my request": {LoadReport{Target: "t", Born: 1, Running: 4, Waiting: 3, Age: 550 * time.Millisecond}, 1 + 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestChooser()
			first, err := c.Choose(view.Members("s"), replicatedQuery("x"), testStart)
			if err != nil {
				t.Fatal(err)
			}
			first.Done(Answered{}, &Report{Running: 2}, 0, testStart.Add(400*time.Millisecond))
			if _, err := c.Choose(view.Members("s"), replicatedQuery("x"), testStart.Add(500*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			c.HearLoads(view, []LoadReport{test.report}, now)
			if got := c.targets["t"].stats.load(now); got != test.want {
				t.Errorf("the load is %v, want %v", got, test.want)
			}
			told := c.Loads(1, func(place.Service) bool { return true }, now)
			if len(told) != 1 || told[0].Running != 2 || told[0].Age != 600*time.Millisecond {
				t.Errorf("the entry tells %v, want its own report", told)
			}
		})
	}
}

// TestSingleCosts checks the costs of the policy Single against their formula, which
// the fields of Replicated must not change.
func TestSingleCosts(t *testing.T) {
	m := localFleet(1)[0]
	times := ServiceTimes{Hit: 100 * time.Millisecond, Miss: 300 * time.Millisecond}
	tests := map[string]struct {
		candidate Candidate
		want      time.Duration
	}{
		"first":       {Candidate{Member: m, Slowdown: 1}, 100 * time.Millisecond},
		"queue":       {Candidate{Member: m, Slowdown: 1, Load: 7}, 200 * time.Millisecond},
		"second":      {Candidate{Member: m, Slowdown: 1, Rank: 1}, (300 + 200 + 15*200) * time.Millisecond},
		"second, hit": {Candidate{Member: m, Slowdown: 1, Rank: 1, LikelyCached: true}, 300 * time.Millisecond},
		"other zone":  {Candidate{Member: m, Slowdown: 1, Distance: SameRegion, RTT: time.Millisecond}, 121 * time.Millisecond},
		"not counted": {Candidate{Member: m, Slowdown: 1, HitProbability: 0.5, MissPenalty: 9}, 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Expect(test.candidate, times).cost; got != test.want {
				t.Errorf("the cost is %v, want %v", got, test.want)
			}
		})
	}
}
