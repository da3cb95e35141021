package pick

import (
	"testing"
	"time"
)

// TestMayQueue lists where a request may wait or take a slot.
func TestMayQueue(t *testing.T) {
	const wait = 50 * time.Millisecond
	tests := map[string]struct {
		candidate Candidate
		wait      time.Duration
		want      bool
	}{
		"cached, free":                    {Candidate{LikelyCached: true}, 0, true},
		"cached, queue":                   {Candidate{LikelyCached: true}, wait, true},
		"cached, standing queue":          {Candidate{LikelyCached: true, Standing: true}, wait, false},
		"cached, queue, crowded":          {Candidate{LikelyCached: true, Crowded: true}, wait, true},
		"first in order, queue, crowded":  {Candidate{Crowded: true}, wait, true},
		"not cached, free":                {Candidate{Rank: 1}, 0, true},
		"not cached, queue":               {Candidate{Rank: 1}, wait, false},
		"not cached, free, crowded":       {Candidate{Rank: 1, Crowded: true}, 0, false},
		"likely cached, free, crowded":    {Candidate{Rank: 1, LikelyCached: true, Crowded: true}, 0, true},
		"likely cached, standing, a slot": {Candidate{Rank: 1, LikelyCached: true, Standing: true}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := mayQueue(test.candidate, Estimate{Wait: test.wait}); got != test.want {
				t.Errorf("mayQueue = %v, want %v", got, test.want)
			}
		})
	}
}

// TestCrowded: a service has no room for misses that take much longer than hits
// once nearly all slots are taken. Where caches make no difference, free slots are
// used.
func TestCrowded(t *testing.T) {
	const slots = 8
	tests := map[string]struct {
		load      float64
		hit, miss time.Duration
		want      bool
	}{
		"idle":                           {0, 100, 400, false},
		"half":                           {slots / 2, 100, 400, false},
		"a slot is free at most":         {slots - 1, 100, 400, false},
		"full":                           {slots, 100, 400, true},
		"queues":                         {2 * slots, 100, 400, true},
		"full, a miss takes as long":     {slots, 100, 100, false},
		"full, a miss takes little more": {slots, 100, 140, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := crowded(test.load, slots, ServiceTimes{Hit: test.hit, Miss: test.miss}); got != test.want {
				t.Errorf("crowded = %v, want %v", got, test.want)
			}
		})
	}
}

// TestReportsMakeCrowded: the load that targets report makes the service crowded
// for a request, and it is so no longer a while after the last report.
func TestReportsMakeCrowded(t *testing.T) {
	c, now := newTestChooser(), time.Unix(1000, 0)
	members := testFleet(4)
	for range 20 {
		for _, m := range members {
			attempt, err := c.Choose(members, testQuery(string(m.Target())), now)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(10 * time.Millisecond)
			attempt.Done(Answered{}, &Report{Running: m.Slots()}, 0, now)
		}
	}
	isCrowded := func() bool {
		q := testQuery("x")
		s := c.serviceFor(q.Service, q.Aim)
		times := s.serviceTimes()
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.candidate(members[0], q, s, times, now).Crowded
	}
	if !isCrowded() {
		t.Error("the service isn't crowded though all slots of its targets are taken")
	}
	now = now.Add(10 * meanLoadHalfLife)
	if isCrowded() {
		t.Error("the service is still crowded long after the last report")
	}
}
