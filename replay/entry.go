package replay

import (
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
)

// Platform settings that the simulated entries use.
const (
	shiftMax    = 0.15
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	// probeInterval is the time between two checks for targets that need a
	// probe.
	probeInterval = 100 * time.Millisecond
	// shareInterval is the time between two heartbeats, each of which tells of up
	// to observationsMax targets.
	shareInterval   = 500 * time.Millisecond
	observationsMax = 32
	// loadsInterval is the time between two messages with up to loadsMax load reports,
	// which go to loadsPeers other entries of the zone.
	loadsInterval = 200 * time.Millisecond
	loadsMax      = 64
	loadsPeers    = 4
)

// entry simulates an entry. Packages pick and pace make its decisions, as in a
// real one.
type entry struct {
	world        *world
	zone         place.Zone
	chooser      *pick.Chooser
	retryBudgets map[string]*pace.RetryBudget
}

func newEntry(w *world, zone place.Zone) *entry {
	e := &entry{world: w, zone: zone, retryBudgets: map[string]*pace.RetryBudget{}}
	e.chooser = pick.New(zone, pace.NewColdLimiter(), pace.NewRegionLimiter(shiftMax), pace.NewRateLimiter(func() pace.Turn { return pace.NewTurn(0, 1) }))
	for _, s := range w.scenario.Services {
		e.retryBudgets[s.Name] = pace.NewRetryBudget(retryRatio, retryWindow, w.time().Add(-retryWindow))
	}
	w.events.After(probeInterval, e.probe)
	if !w.policy.Silent {
		w.events.After(time.Duration(w.random.Int64N(int64(shareInterval))), e.share)
	}
	if w.placement == (pick.Replicated{}) && !w.policy.KeepReports {
		w.events.After(time.Duration(w.random.Int64N(int64(loadsInterval))), e.shareLoads)
	}
	return e
}

// shareLoads tells some other entries of the zone the recent load reports of targets.
func (e *entry) shareLoads() {
	w := e.world
	sent := w.time()
	loads := e.chooser.Loads(loadsMax, func(place.Service) bool { return true }, sent)
	others := slices.DeleteFunc(w.entriesIn(string(e.zone)), func(other *entry) bool { return other == e })
	w.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), loadsPeers)] {
		w.events.After(w.scenario.ZoneRTT.Duration()/2, func() { other.chooser.HearLoads(w.view, loads, w.time()) })
	}
	w.events.After(loadsInterval, e.shareLoads)
}

// share tells the other entries of the zone about slow targets.
func (e *entry) share() {
	w := e.world
	if observations := e.chooser.Observations(observationsMax, func(pick.Observation) bool { return true }, w.time()); len(observations) > 0 {
		w.events.After(w.scenario.ZoneRTT.Duration()/2, func() {
			for _, other := range w.entriesIn(string(e.zone)) {
				if other != e {
					other.chooser.Observe(w.view, observations, w.time())
				}
			}
		})
	}
	w.events.After(shareInterval, e.share)
}

func (e *entry) probe() {
	w := e.world
	for _, m := range e.chooser.Probes(w.view, func(place.Service) bool { return false }, w.time()) {
		e.chooser.Probed(m, !w.targets[m.Target()].down)
	}
	w.events.After(probeInterval, e.probe)
}

// attempt is one request of a caller at one entry, including its retries at
// several targets.
type attempt struct {
	entry  *entry
	kind   *RequestKind
	object string
	// deadline is the earlier of the caller's deadline and the timeout of the
	// kind.
	deadline time.Time
	tried    []place.Target
	// done is called exactly once, with the result of the attempt.
	done func(attemptResult)
}

// attemptResult is what the entry answers to the caller.
type attemptResult struct {
	served bool
	// notRun reports that no target executed the request; retryAfter is then the
	// time after which the caller may send it again.
	notRun     bool
	retryAfter time.Duration
}

// sendNext chooses a target and sends the request to it. If no target is eligible,
// it ends the attempt.
func (a *attempt) sendNext() {
	w := a.entry.world
	now := w.time()
	chosen, err := a.entry.chooser.Choose(w.members(a.kind.Service), pick.Query{
		Service: place.Service(a.kind.Service), Object: w.affinityObject(a.object), Aim: a.kind.Aim.Duration(), TimeLeft: a.deadline.Sub(now),
		Allowed: func(place.Region) bool { return true }, Tried: a.tried, ColdShare: func(*fleet.Member) int64 { return 0 }, Priority: a.kind.pickPriority(),
		Policy: w.placement,
	}, now)
	if err != nil {
		a.done(attemptResult{notRun: true, retryAfter: errs.AsRefusal(err).RetryAfter()})
		return
	}
	to := w.targets[chosen.Member().Target()]
	a.tried = append(a.tried, chosen.Member().Target())
	rtt := w.roundTripTime(a.entry.zone, chosen.Member().Zone())
	j := &job{kind: a.kind, object: a.object}
	ended := false
	finish := func(outcome pick.Outcome) {
		if ended {
			return
		}
		ended = true
		report := to.report()
		w.events.After(rtt/2, func() {
			chosen.Done(outcome, report, rtt, w.time())
			a.handleOutcome(outcome)
		})
	}
	j.done = finish
	w.events.After(rtt/2, func() { to.accept(j) })
	w.events.After(a.deadline.Sub(now), func() {
		if !ended {
			ended = true
			to.remove(j)
			chosen.Done(pick.Abandoned{}, nil, 0, w.time())
			a.done(attemptResult{})
		}
	})
}

// handleOutcome ends the attempt after an outcome, or sends the request again
// if it is safe to repeat and the attempts, the deadline and the retry budget
// allow it. A target that can't be reached does not count as an attempt.
func (a *attempt) handleOutcome(outcome pick.Outcome) {
	retryable := true
	result := attemptResult{}
	switch o := outcome.(type) {
	case pick.Answered:
		if !o.Failed {
			a.done(attemptResult{served: true})
			return
		}
		retryable = !a.kind.AtMostOnce
	case pick.Rejected:
		result = attemptResult{notRun: true, retryAfter: a.kind.Aim.Duration()}
	case pick.Unreachable:
		a.tried = a.tried[:len(a.tried)-1]
		a.sendNext()
		return
	case pick.Broken, pick.Abandoned:
		retryable = !a.kind.AtMostOnce
	}
	w := a.entry.world
	if !retryable || len(a.tried) >= a.kind.Attempts || !w.time().Before(a.deadline) || !a.entry.retryBudgets[a.kind.Service].Take(0, w.time()) {
		a.done(result)
		return
	}
	a.sendNext()
}

// startAttempt starts an attempt for a request that has arrived at the entry.
func (e *entry) startAttempt(kind *RequestKind, object string, deadline time.Time, done func(attemptResult)) {
	e.retryBudgets[kind.Service].AddRequest(e.world.time())
	timeout := e.world.time().Add(kind.Timeout.Duration())
	if timeout.Before(deadline) {
		deadline = timeout
	}
	a := &attempt{entry: e, kind: kind, object: object, deadline: deadline, done: done}
	a.sendNext()
}

// entriesIn returns the entries of a zone.
func (w *world) entriesIn(zone string) []*entry {
	return slices.Collect(func(yield func(*entry) bool) {
		for _, e := range w.entries {
			if string(e.zone) == zone && !yield(e) {
				return
			}
		}
	})
}
