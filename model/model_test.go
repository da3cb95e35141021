package model_test

import (
	"slices"
	"testing"
	"time"

	"github.com/endivechute/endivechute/model"
)

var (
	small = model.NewParameters(3, 2, 7, 20*time.Millisecond, 0.8, model.Deadline, 30*time.Second)
	large = model.NewParameters(110, 18, 4, 20*time.Millisecond, 0.8, model.Deadline, 30*time.Second)
)

// TestCompare prints the table of docs/LIMITS.md if run with -v. It checks only
// that keepers don't have a larger share of late requests than fixed shares, since
// the exact values depend on the parameters.
func TestCompare(t *testing.T) {
	settings := map[string]model.Parameters{"3 entries, 2 targets of 7 slots": small, "110 entries, 18 targets of 4 slots": large}
	strategies := []model.Strategy{model.FixedShares, model.LeasedSlots, model.KeeperQueues, model.SharedPool}
	for name, parameters := range settings {
		t.Run(name, func(t *testing.T) {
			late := map[model.Strategy]float64{}
			for _, strategy := range strategies {
				var lates, p50s, p99s, messages []float64
				for seed := uint64(1); seed <= 3; seed++ {
					r := model.Run(strategy, parameters, seed)
					lates = append(lates, r.Late())
					p50s = append(p50s, r.Wait(0.5).Seconds()*1000)
					p99s = append(p99s, r.Wait(0.99).Seconds()*1000)
					messages = append(messages, r.Messages())
					late[strategy] = max(late[strategy], r.Late())
				}
				t.Logf("%-12s  late %5.2f..%5.2f %%  p50 %7.1f..%7.1f ms  p99 %8.1f..%8.1f ms  messages/s %6.0f..%6.0f", strategy,
					slices.Min(lates), slices.Max(lates), slices.Min(p50s), slices.Max(p50s),
					slices.Min(p99s), slices.Max(p99s), slices.Min(messages), slices.Max(messages))
			}
			if late[model.KeeperQueues] > late[model.FixedShares] {
				t.Errorf("late requests: %v %% with keepers, %v %% with fixed shares", late[model.KeeperQueues], late[model.FixedShares])
			}
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	first, second := model.Run(model.KeeperQueues, small, 5), model.Run(model.KeeperQueues, small, 5)
	if first.Wait(0.99) != second.Wait(0.99) || first.Messages() != second.Messages() {
		t.Error("two runs with the same seed gave different results")
	}
}
