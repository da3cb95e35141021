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

// TestInheritedEnds: a keeper that is told that one of the inherited requests
// ended, or that fewer run, goes on counting the other for its whole time.
func TestInheritedEnds(t *testing.T) {
	const handover, short, long = time.Second, 100 * time.Millisecond, time.Second
	told := func(l *keeper.Ledger) { l.InheritedDone(handover) }
	reported := func(l *keeper.Ledger) {
		l.Report(1)
		l.Report(1)
	}
	tests := map[string]struct {
		left []time.Duration
		tell func(*keeper.Ledger)
	}{
		"told, the short one first":     {[]time.Duration{short, long}, told},
		"told, the long one first":      {[]time.Duration{long, short}, told},
		"reported, the short one first": {[]time.Duration{short, long}, reported},
		"reported, the long one first":  {[]time.Duration{long, short}, reported},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := keeper.NewLedger(keeper.NewLimits(2, 2, 2*time.Second))
			l.Inherit(handover, test.left, 0)
			test.tell(l)
			if free := l.Free(long - 1); free != 1 {
				t.Errorf("%d slots are free while one inherited request may still run, want 1", free)
			}
			if free := l.Free(long); free != 2 {
				t.Errorf("%d slots are free after the inherited requests, want 2", free)
			}
		})
	}
}
