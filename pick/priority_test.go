package pick

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/fleet"
)

// TestClaims checks when requests of lower priority are limited. It guards against
// limits that stay in force after the competition ended, and against unbounded state.
func TestClaims(t *testing.T) {
	start := time.Unix(1000, 0)
	type seen struct {
		priority int
		age, aim time.Duration
	}
	tests := map[string]struct {
		seen     []seen
		priority int
		want     claim
	}{
		"alone":             {nil, 2, claim{shortestAim: 400, longestAim: 400}},
		"highest":           {[]seen{{2, 0, 800}}, 0, claim{shortestAim: 400, longestAim: 800}},
		"lowest of two":     {[]seen{{0, 0, 250}}, 2, claim{limited: true, rank: 1, shortestAim: 250, longestAim: 400}},
		"middle":            {[]seen{{0, 0, 250}, {2, 0, 900}}, 1, claim{limited: true, rank: 0.5, shortestAim: 250, longestAim: 900}},
		"higher not recent": {[]seen{{0, competitionTime, 250}}, 2, claim{shortestAim: 400, longestAim: 400}},
		"lower not recent":  {[]seen{{0, 0, 250}, {2, competitionTime, 900}}, 1, claim{limited: true, rank: 1, shortestAim: 250, longestAim: 400}},
		"no aim known":      {[]seen{{0, 0, 0}}, 2, claim{limited: true, rank: 1, shortestAim: 400, longestAim: 400}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c competition
			for _, s := range test.seen {
				c.observe(Query{Priority: NewPriority(s.priority), Aim: s.aim}, start.Add(-s.age))
			}
			if got := c.observe(Query{Priority: NewPriority(test.priority), Aim: 400}, start); got != test.want {
				t.Errorf("claim %+v, want %+v", got, test.want)
			}
		})
	}
	t.Run("many priorities", func(t *testing.T) {
		var c competition
		for i := range 10 * levelsMax {
			c.observe(Query{Priority: NewPriority(i)}, start)
		}
		if len(c.levels) > levelsMax {
			t.Errorf("%d priorities are tracked, want at most %d", len(c.levels), levelsMax)
		}
	})
}

// TestMayTake guards against lower priorities that take the room which is reserved
// for higher ones, and against a reservation while there is room.
func TestMayTake(t *testing.T) {
	const slots = 4
	times := ServiceTimes{Hit: 100 * time.Millisecond, Miss: 300 * time.Millisecond}
	member := testFleet(1)[0]
	lowest := claim{limited: true, rank: 1, shortestAim: 250 * time.Millisecond}
	middle := claim{limited: true, rank: 0.5, shortestAim: 250 * time.Millisecond}
	tests := map[string]struct {
		claim claim
		short bool
		load  float64
		want  bool
	}{
		"highest, long queue":           {claim{}, true, 40, true},
		"lowest, long queue, not short": {lowest, false, 40, true},
		"lowest, free slots":            {lowest, true, 2, true},
		"lowest, last free slot":        {lowest, true, 3, true},
		"lowest, two would wait":        {lowest, true, 6, false},
		"middle, two would wait":        {middle, true, 6, true},
		"middle, long queue":            {middle, true, 12, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := Candidate{Member: member, LikelyCached: true, Slowdown: 1, Load: test.load, Short: test.short}
			q := Query{TimeLeft: 2 * time.Second, claim: test.claim}
			if got := q.mayTake(x, Expect(x, times), times); got != test.want {
				t.Errorf("a request may take room at a load of %v: %v, want %v", test.load, got, test.want)
			}
		})
	}
	t.Run("short aim, last free slot", func(t *testing.T) {
		x := Candidate{Member: member, LikelyCached: true, Slowdown: 1, Load: slots - 1, Short: true}
		q := Query{TimeLeft: 2 * time.Second, claim: claim{limited: true, rank: 1, shortestAim: 50 * time.Millisecond}}
		if q.mayTake(x, Expect(x, times), times) {
			t.Error("the lowest priority took the slot that is reserved")
		}
	})
}

// TestWithoutCompetition lets requests of one priority find targets of drawn loads.
// They must find the same ones as requests without a priority, however short of room
// the service is.
func TestWithoutCompetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testFleet(rapid.IntRange(1, 6).Draw(t, "targets"))
		priority := NewPriority(rapid.IntRange(0, 5).Draw(t, "priority"))
		choosers := []*Chooser{newTestChooser(), newTestChooser()}
		var running [2][]*Attempt
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			q := testQuery(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "object"))
			waiting, end := rapid.IntRange(0, 60).Draw(t, "waiting"), rapid.IntRange(0, 3).Draw(t, "end") > 0
			var chosen [2]*fleet.Member
			for i, c := range choosers {
				q.Priority = []Priority{{}, priority}[i]
				if attempt, err := c.Choose(members, q, now); err == nil {
					chosen[i], running[i] = attempt.Member(), append(running[i], attempt)
				}
				if end && len(running[i]) > 0 {
					running[i][0].Done(Answered{}, &Report{Running: 4, Waiting: waiting}, 0, now)
					running[i] = running[i][1:]
				}
			}
			if chosen[0] != chosen[1] {
				t.Fatalf("without a priority %v, with one %v", chosen[0], chosen[1])
			}
		}
	})
}
