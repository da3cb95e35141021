package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
)

func limitedMember(name place.Target, born int64) *fleet.Member {
	return fleet.NewMember(fleet.Report{Target: name, Service: "s", Zone: "a/1", Address: "10.0.0.1:1", Slots: 4, Born: born}, time.Time{})
}

// limitedFleet is a fleet whose entries know the limit of one target.
type limitedFleet struct {
	member   *fleet.Member
	limiters []*pace.RateLimiter
}

func newLimitedFleet(size int) *limitedFleet {
	f := &limitedFleet{member: limitedMember("t1", 1)}
	for i := range size {
		f.limiters = append(f.limiters, pace.NewRateLimiter(func() pace.Turn { return pace.NewTurn(i, size) }))
	}
	return f
}

func (f *limitedFleet) name(perSecond float64, now time.Time) {
	for _, l := range f.limiters {
		l.Named(f.member.Process(), perSecond, now)
	}
}

// mostInWindow returns the highest number of times in any window of four seconds.
func mostInWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for !times[first].After(at.Add(-4 * time.Second)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetKeepsLimit sends far more requests than a limit allows to fleets of
// several sizes. In any 4 s the target may get one and a half times what the limit
// allows, and 5 requests more, from all entries together; on average it should get
// most of what the limit allows.
func TestFleetKeepsLimit(t *testing.T) {
	const span = time.Minute
	tests := map[string]struct {
		size int
		// demand is the number of requests per second that would go to the target.
		limit, demand float64
		// silent entries get no requests, such as those of a zone that is lost.
		silent int
		// idle is how long no requests come before all come at once.
		idle time.Duration
		// change, if set, makes each answer name another limit.
		change bool
		least  float64
	}{
		"one entry":              {size: 1, limit: 12, demand: 40, least: 0.5},
		"few, high limit":        {size: 3, limit: 100, demand: 300, least: 0.5},
		"20 entries":             {size: 20, limit: 12, demand: 40, least: 0.5},
		"20, low limit":          {size: 20, limit: 0.5, demand: 40, least: 0.5},
		"20, limit 0":            {size: 20, limit: 0, demand: 40},
		"20, limit below 0.1":    {size: 20, limit: 0.01, demand: 40},
		"20, after idling":       {size: 20, limit: 12, demand: 1000, idle: 30 * time.Second, least: 0.25},
		"20, a zone is silent":   {size: 20, silent: 4, limit: 12, demand: 40, least: 0.4},
		"20, limit changes":      {size: 20, limit: 12, demand: 40, change: true, least: 0.5},
		"300 entries":            {size: 300, limit: 12, demand: 1000, least: 0.5},
		"300, low limit":         {size: 300, limit: 2, demand: 1000, least: 0.5},
		"300, after idling":      {size: 300, limit: 12, demand: 10000, idle: 30 * time.Second, least: 0.25},
		"300, two zones silent":  {size: 300, silent: 100, limit: 12, demand: 10000, least: 0.4},
		"300, usual load":        {size: 300, limit: 12, demand: 35, least: 0.1},
		"1000 entries":           {size: 1000, limit: 12, demand: 10000, least: 0.5},
		"1000, limit is in need": {size: 1000, limit: 1, demand: 10000, least: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(23, uint64(test.size)))
			f := newLimitedFleet(test.size)
			start := time.Unix(1_764_811_731, 0)
			f.name(test.limit, start)
			var sent []time.Time
			for at := start.Add(test.idle); at.Before(start.Add(span)); at = at.Add(time.Duration(random.ExpFloat64() / test.demand * float64(time.Second))) {
				i := test.silent + random.IntN(test.size-test.silent)
				if !f.limiters[i].Take(f.member, at) {
					continue
				}
				sent = append(sent, at)
				limit := test.limit
				if test.change {
					limit *= 0.99 + 0.02*random.Float64()
				}
				f.limiters[i].Named(f.member.Process(), limit, at)
			}
			if most, allowed := mostInWindow(sent), int(1.5*test.limit*4)+5; most > allowed {
				t.Errorf("%d requests in 4 s, want at most %d", most, allowed)
			}
			if least := int(test.least * test.limit * span.Seconds()); len(sent) < least {
				t.Errorf("%d requests in %v, want %d or more", len(sent), span, least)
			}
		})
	}
}

// TestNewestLimitCounts has an entry observe a limit itself and hear of it.
func TestNewestLimitCounts(t *testing.T) {
	m, later := limitedMember("t1", 1), limitedMember("t1", 2)
	const ms = time.Millisecond
	hear := func(perSecond float64, named bool, age time.Duration) func(*pace.RateLimiter, time.Time) {
		return func(r *pace.RateLimiter, now time.Time) {
			r.Hear(pace.NewLimit(m.Process(), perSecond, named, age), false, now)
		}
	}
	name := func(perSecond float64) func(*pace.RateLimiter, time.Time) {
		return func(r *pace.RateLimiter, now time.Time) { r.Named(m.Process(), perSecond, now) }
	}
	unname := func(took time.Duration) func(*pace.RateLimiter, time.Time) {
		return func(r *pace.RateLimiter, now time.Time) { r.Unnamed(m.Process(), now.Add(-took), now) }
	}
	tests := map[string]struct {
		// steps are 100 ms apart.
		steps []func(*pace.RateLimiter, time.Time)
		want  float64
		named bool
	}{
		"nothing known":                   {nil, 0, false},
		"named":                           {[]func(*pace.RateLimiter, time.Time){name(5)}, 5, true},
		"changed":                         {[]func(*pace.RateLimiter, time.Time){name(5), name(7)}, 7, true},
		"gone":                            {[]func(*pace.RateLimiter, time.Time){name(5), unname(50 * ms)}, 0, false},
		"an older answer doesn't end it":  {[]func(*pace.RateLimiter, time.Time){name(5), unname(150 * ms)}, 5, true},
		"heard":                           {[]func(*pace.RateLimiter, time.Time){hear(5, true, 0)}, 5, true},
		"heard later":                     {[]func(*pace.RateLimiter, time.Time){name(5), hear(7, true, 50*ms)}, 7, true},
		"heard of an earlier one":         {[]func(*pace.RateLimiter, time.Time){name(5), hear(7, true, 150*ms)}, 5, true},
		"heard of its end":                {[]func(*pace.RateLimiter, time.Time){name(5), hear(0, false, 0)}, 0, false},
		"heard of it after its end":       {[]func(*pace.RateLimiter, time.Time){name(5), unname(50 * ms), hear(5, true, 150*ms)}, 0, false},
		"heard of the end of an unknown":  {[]func(*pace.RateLimiter, time.Time){hear(0, false, 0)}, 0, false},
		"named again after its end":       {[]func(*pace.RateLimiter, time.Time){name(5), unname(50 * ms), name(6)}, 6, true},
		"an age from the future is now":   {[]func(*pace.RateLimiter, time.Time){hear(5, true, -time.Hour), name(6)}, 6, true},
		"the end of what it heard itself": {[]func(*pace.RateLimiter, time.Time){hear(5, true, 0), unname(50 * ms)}, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := pace.NewRateLimiter(func() pace.Turn { return pace.NewTurn(0, 2) })
			for _, step := range test.steps {
				now = now.Add(100 * ms)
				step(r, now)
			}
			if got, named := r.Limit(m.Process()); got != test.want || named != test.named {
				t.Errorf("limit %v, named: %v; want %v, %v", got, named, test.want, test.named)
			}
			if _, named := r.Limit(later.Process()); named || !r.Take(later, now) {
				t.Error("the limit of a process applies to the next process of its target")
			}
		})
	}
}

// TestLimitsBounded lets an entry learn the limits of many targets, which then end.
func TestLimitsBounded(t *testing.T) {
	const targets, most = 500, 32
	now := time.Unix(1000, 0)
	r := pace.NewRateLimiter(func() pace.Turn { return pace.NewTurn(0, 2) })
	for i := range targets {
		r.Named(limitedMember(place.Target(fmt.Sprint("t", i)), 1).Process(), 5, now)
	}
	if n := len(r.Observations(most, now)); n != most {
		t.Errorf("%d limits are told, want %d", n, most)
	}
	if n := len(r.Observations(most, now.Add(2*time.Second))); n != 0 {
		t.Errorf("%d limits are told after 2 s without an answer, want none", n)
	}
	gone := limitedMember("t1", 1)
	empty := fleet.NewRegistry(fleet.Timing{}).View()
	r.Forget(empty, now.Add(time.Minute))
	if _, named := r.Limit(gone.Process()); !named {
		t.Error("the limit of a target is forgotten as soon as the list lacks it")
	}
	r.Forget(empty, now.Add(time.Hour))
	if _, named := r.Limit(gone.Process()); named {
		t.Error("the limit of a target that is gone is never forgotten")
	}
}
