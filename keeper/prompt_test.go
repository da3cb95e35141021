package keeper_test

import (
	"testing"
	"time"

	"github.com/endivechute/endivechute/keeper"
)

// TestCanceled: the slot of a canceled request is free again after CancelTime,
// that of one whose fate is unknown only after its longest time; the canceled
// one counts against the target's answer time, for a while.
func TestCanceled(t *testing.T) {
	const longest = 2 * time.Second
	for name, test := range map[string]struct {
		outcome keeper.Outcome
		free    time.Duration
		slower  bool
	}{
		"canceled": {keeper.OutcomeCanceled, keeper.CancelTime, true},
		"unknown":  {keeper.OutcomeUnknown, longest, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := keeper.NewLedger(keeper.NewLimits(1, 1, longest))
			l.Arrive(1, time.Hour, 0)
			l.Finish(1, test.outcome, 30*time.Millisecond)
			end := test.free
			if test.outcome == keeper.OutcomeCanceled {
				end += 30 * time.Millisecond
			}
			if l.Free(end-1) != 0 || l.Free(end) != 1 {
				t.Errorf("free %d before and %d at %v, want 0 and 1", l.Free(end-1), l.Free(end), end)
			}
			if slower := l.AnswerTime(end) > keeper.ServiceTimeFirst; slower != test.slower {
				t.Errorf("answer time %v, want more than %v: %v", l.AnswerTime(end), keeper.ServiceTimeFirst, test.slower)
			}
			if old := l.AnswerTime(time.Hour); old != 0 {
				t.Errorf("answer time %v after an hour, want none", old)
			}
		})
	}
}

// TestQueueLeavesTime: nobody is let into a queue whose wait takes more than
// half of the time left.
func TestQueueLeavesTime(t *testing.T) {
	const wait = keeper.ServiceTimeFirst // one slot, nobody waits yet
	for name, test := range map[string]struct {
		left   time.Duration
		queued bool
	}{
		"just enough": {2*wait + keeper.ServiceTimeFirst, true},
		"too little":  {2*wait + keeper.ServiceTimeFirst - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := keeper.NewLedger(keeper.NewLimits(1, 1, time.Second))
			l.Arrive(1, time.Hour, 0)
			if _, queued := l.Arrive(2, test.left, 0).(keeper.Queued); queued != test.queued {
				t.Errorf("queued %v with %v left, want %v", queued, test.left, test.queued)
			}
		})
	}
}
