package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/event"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
)

// Policy selects how the entries of a run choose targets.
type Policy struct {
	// BlindToObjects makes entries choose targets by load alone.
	BlindToObjects bool
	// Silent makes entries tell each other nothing about slow targets.
	Silent bool
	// Placement, if set, overrides the scenario's policy.
	Placement pick.Policy
	// KeepReports makes entries share no load reports of targets.
	KeepReports bool
}

// placement returns the policy by which entries choose targets.
func (p Policy) placement(scenario *Scenario) pick.Policy {
	switch {
	case p.Placement != nil:
		return p.Placement
	case scenario.Policy == PolicyReplicated:
		return pick.Replicated{}
	}
	return pick.Single{}
}

// callerRTT is the round-trip time between a caller and an entry.
const callerRTT = 2 * time.Millisecond

// returnDelayShareMax bounds how long a caller waits before it sends a request
// again, as a fraction of the time left until its deadline.
const returnDelayShareMax = 1.0 / 3

// world is the state of one simulation run.
type world struct {
	scenario *Scenario
	policy   Policy
	random   *rand.Rand
	events   event.Queue
	view     *fleet.View
	targets  map[place.Target]*target
	entries  []*entry
	zones    []string
	// popularity holds the objects' shares of the requests by kind, summed up from the
	// first; it has no entry for kinds whose objects are all as popular.
	popularity map[string][]float64
	seed       uint64
	placement  pick.Policy
	result     *Result
}

// Run simulates a scenario under a policy. The seed determines the random draws
// except the times after which callers send a request again, so that two runs
// with one seed differ slightly.
func Run(scenario *Scenario, policy Policy, seed uint64) *Result {
	w := &world{scenario: scenario, policy: policy, random: rand.New(rand.NewPCG(seed, seed)), targets: map[place.Target]*target{}, popularity: map[string][]float64{}, seed: seed, placement: policy.placement(scenario)}
	w.result = newResult(scenario)
	w.build()
	for i := range scenario.Disturbances {
		w.scheduleDisturbance(&scenario.Disturbances[i])
	}
	for i := range scenario.Kinds {
		for _, zone := range w.zones {
			w.scheduleArrival(&scenario.Kinds[i], zone)
		}
	}
	deadlineMax := time.Duration(0)
	for _, k := range scenario.Kinds {
		deadlineMax = max(deadlineMax, k.Deadline.Duration())
	}
	w.events.Run(scenario.Duration.Duration() + deadlineMax)
	for _, t := range w.targets {
		t.account()
		w.result.loads = append(w.result.loads, t.loads)
	}
	return w.result
}

// time returns the virtual time as a time.Time, for packages pick and pace.
func (w *world) time() time.Time { return time.Unix(1, 0).Add(w.events.Now()) }

func (w *world) build() {
	registry := fleet.NewRegistry(fleet.Timing{})
	for _, region := range w.scenario.Regions {
		for i := range w.scenario.ZonesPerRegion {
			w.zones = append(w.zones, fmt.Sprintf("%s/%d", region, i+1))
		}
	}
	for i := range w.scenario.Services {
		s := &w.scenario.Services[i]
		for _, zone := range w.zones {
			for n := range s.targetsIn(string(place.Zone(zone).Region())) {
				name := place.Target(fmt.Sprintf("%s-%s-%d", s.Name, zone, n+1))
				registry.Put(fleet.Report{Target: name, Service: place.Service(s.Name), Zone: place.Zone(zone), Address: "10.0.0.1:1", Slots: s.slotsOf(n), Born: 1}, w.time())
				w.targets[name] = &target{world: w, service: s, zone: zone, slots: s.slotsOf(n), name: name, loads: make([]float64, len(w.result.seconds))}
			}
		}
	}
	w.view = registry.View()
	for name, t := range w.targets {
		t.member, _ = w.view.Member(name)
	}
	for _, zone := range w.zones {
		for range w.scenario.EntriesPerZone {
			w.entries = append(w.entries, newEntry(w, place.Zone(zone)))
		}
	}
}

func (w *world) members(service string) []*fleet.Member {
	return w.view.Members(place.Service(service))
}

// affinityObject returns the object that entries choose a target by, or "" if
// the policy ignores objects.
func (w *world) affinityObject(object string) string {
	if w.policy.BlindToObjects {
		return ""
	}
	return object
}

func (w *world) roundTripTime(from, to place.Zone) time.Duration {
	switch {
	case from == to:
		return w.scenario.ZoneRTT.Duration()
	case from.Region() == to.Region():
		return w.scenario.RegionRTT.Duration()
	}
	return w.scenario.RemoteRTT.Duration()
}

// scheduleArrival schedules the next request of a kind from a zone, as a Poisson
// process whose rate the active bursts multiply.
func (w *world) scheduleArrival(k *RequestKind, zone string) {
	rate := k.PerSecond / float64(len(w.zones))
	for _, p := range w.scenario.Disturbances {
		if p.Kind == DisturbanceBurst && p.in(zone) && p.active(w.events.Now()) {
			rate *= p.Factor
		}
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.events.After(gap, func() {
		if w.events.Now() >= w.scenario.Duration.Duration() {
			return
		}
		w.arrive(k, zone)
		w.scheduleArrival(k, zone)
	})
}

// arrive sends a request of a caller, and its duplicates while a repeat
// disturbance is active.
func (w *world) arrive(k *RequestKind, zone string) {
	entryZone, copies := zone, 1
	for _, p := range w.scenario.Disturbances {
		if !p.in(zone) || !p.active(w.events.Now()) || w.random.Float64() >= p.Share {
			continue
		}
		switch p.Kind {
		case DisturbanceShift:
			entryZone = p.To
		case DisturbanceRepeat:
			copies += int(p.Factor)
		}
	}
	object := w.drawObject(k, string(place.Zone(zone).Region()))
	for range copies {
		r := &request{world: w, kind: k, zone: zone, entryZone: entryZone, object: object, firstSent: w.events.Now(), resendsLeft: k.Resends}
		r.send()
	}
}

// drawObject draws the object of a request from a region.
func (w *world) drawObject(k *RequestKind, region string) string {
	if k.SharedObjects {
		region = "all"
	}
	if k.Skew == 0 {
		return fmt.Sprintf("%s-%s-%d", k.Name, region, w.random.IntN(k.Objects))
	}
	sums := w.popularity[k.Name]
	if sums == nil {
		sum := 0.0
		for i := range k.Objects {
			sum += math.Pow(float64(i+1), -k.Skew)
			sums = append(sums, sum)
		}
		w.popularity[k.Name] = sums
	}
	number, _ := slices.BinarySearch(sums, w.random.Float64()*sums[len(sums)-1])
	return fmt.Sprintf("%s-%s-%d", k.Name, region, number)
}

// request is one request of a caller, including the times it is sent again.
type request struct {
	world       *world
	kind        *RequestKind
	zone        string
	entryZone   string
	object      string
	firstSent   time.Duration
	resendsLeft int
}

func (r *request) deadline() time.Time {
	return time.Unix(1, 0).Add(r.firstSent + r.kind.Deadline.Duration())
}

func (r *request) send() {
	w := r.world
	entries := w.entriesIn(r.entryZone)
	to := entries[w.random.IntN(len(entries))]
	w.events.After(callerRTT/2, func() { to.startAttempt(r.kind, r.object, r.deadline(), r.handleResult) })
}

// handleResult records the result of the request, or schedules it to be sent
// again if that is safe and the returns and the deadline allow it.
func (r *request) handleResult(e attemptResult) {
	w := r.world
	took := w.events.Now() + callerRTT/2 - r.firstSent
	left := r.kind.Deadline.Duration() - took
	retryable := e.notRun || !r.kind.AtMostOnce
	switch {
	case e.served:
		w.result.addServed(r, took)
	case retryable && r.resendsLeft > 0 && left > 0:
		r.resendsLeft--
		w.events.After(min(e.retryAfter, time.Duration(returnDelayShareMax*float64(left))), r.send)
	default:
		w.result.addUnserved(r, e.notRun)
	}
}

// scheduleDisturbance schedules the changes that a disturbance makes to
// targets, and their end.
func (w *world) scheduleDisturbance(d *Disturbance) {
	w.events.After(d.At.Duration(), func() {
		for _, t := range w.affectedTargets(d) {
			switch d.Kind {
			case DisturbanceSlow:
				t.slowFactor = d.Factor
				w.events.After(d.For.Duration(), func() { t.slowFactor = 1 })
			case DisturbanceFail:
				t.failureRate = d.Factor
				w.events.After(d.For.Duration(), func() { t.failureRate = 0 })
			case DisturbanceHang:
				t.hanging = true
				w.events.After(d.For.Duration(), func() { t.hanging = false })
			case DisturbanceDown:
				t.crash()
				w.events.After(d.For.Duration(), func() { t.down = false })
			}
		}
	})
}

// affectedTargets draws the targets that a disturbance affects, in a fixed
// order so that the draws are reproducible.
func (w *world) affectedTargets(d *Disturbance) []*target {
	var affected []*target
	for _, s := range w.scenario.Services {
		for _, m := range w.members(s.Name) {
			if t := w.targets[m.Target()]; d.in(t.zone) && w.random.Float64() < d.Share {
				affected = append(affected, t)
			}
		}
	}
	return affected
}
