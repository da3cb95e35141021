package replay_test

import (
	"testing"

	"github.com/endivechute/endivechute/replay"
)

// servedShares returns the mean share of the requests of each kind that were served,
// and the mean worth, with or without priorities.
func servedShares(load *replay.Scenario, withPriorities bool) (shares []float64, worth float64) {
	scenario := *load
	scenario.Kinds = append([]replay.RequestKind(nil), load.Kinds...)
	if !withPriorities {
		for i := range scenario.Kinds {
			scenario.Kinds[i].Priority = nil
		}
	}
	shares = make([]float64, len(scenario.Kinds))
	for _, seed := range seeds {
		result := replay.Run(&scenario, replay.Policy{}, seed)
		for i, k := range scenario.Kinds {
			shares[i] += result.Kind(k.Name).ServedShare() / float64(len(seeds))
		}
		worth += result.All().Worth() / float64(len(seeds))
	}
	return shares, worth
}

// TestPriorities guards against requests that are served less often than less urgent
// ones of the same service. In the file, the most urgent ones have the shortest aim, and
// standing queues refuse these first if priorities are ignored.
func TestPriorities(t *testing.T) {
	load := read(t, "priorities")
	shares, with := servedShares(load, true)
	before, without := servedShares(load, false)
	t.Logf("served %.3f, worth %.3f; without priorities %.3f, %.3f", shares, with, before, without)
	for i := range shares[1:] {
		if shares[i] < shares[i+1] {
			t.Errorf("%s is served less often than %s: %.3f", load.Kinds[i].Name, load.Kinds[i+1].Name, shares)
		}
	}
	if with < without {
		t.Errorf("worth %.3f, without priorities %.3f; want no less", with, without)
	}
}

// TestHalfLowPriority asks for 1.5 times the capacity of targets that have cached all
// objects, half of it at low priority.
func TestHalfLowPriority(t *testing.T) {
	const slots, demand = 36, 1.5
	load := read(t, "priorities")
	high, low := load.Kinds[2], load.Kinds[2]
	serviceTime := high.ServiceTime.Duration().Seconds() * high.CachedFactor
	high.PerSecond = demand * slots / serviceTime / 2
	low.PerSecond = high.PerSecond
	highest, lowest := 0, 2
	high.Name, high.Priority, low.Priority = "urgent", &highest, &lowest
	load.Kinds, load.Disturbances = []replay.RequestKind{high, low}, nil
	shares, _ := servedShares(load, true)
	before, _ := servedShares(load, false)
	t.Logf("served %.3f, without priorities %.3f", shares, before)
	if shares[0] < shares[1] || shares[0] < before[0] {
		t.Errorf("served %.3f, without priorities %.3f; want the urgent ones more often than the others and than without", shares, before)
	}
}
