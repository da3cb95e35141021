package keeper_test

import (
	"testing"
	"time"

	"github.com/endivechute/endivechute/keeper"
)

// TestCanceled: the slot of a canceled request is free again after CancelTime,
// that of a request of unknown outcome only after the longest duration of a
// request. The canceled one raises the target's answer time, but not for good.
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
			if slower := l.AnswerTime(end) > keeper.InitialServiceTime; slower != test.slower {
				t.Errorf("answer time %v, want more than %v: %v", l.AnswerTime(end), keeper.InitialServiceTime, test.slower)
			}
			if old := l.AnswerTime(time.Hour); old != 0 {
				t.Errorf("answer time %v after an hour, want none", old)
			}
		})
	}
}

// TestQueueLeavesTime: a request isn't queued if the expected wait exceeds half
// of the time that is left after the service time.
func TestQueueLeavesTime(t *testing.T) {
	const wait = keeper.InitialServiceTime // one slot, nobody waits yet
	for name, test := range map[string]struct {
		left   time.Duration
		queued bool
	}{
		"just enough": {2*wait + keeper.InitialServiceTime, true},
		"too little":  {2*wait + keeper.InitialServiceTime - 1, false},
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

// TestInheritedEnds: if one of two inherited requests ends, as the previous
// keeper or the target's reports say, the slot of the other stays reserved for
// its whole time.
func TestInheritedEnds(t *testing.T) {
	const handover, short, long = time.Second, 100 * time.Millisecond, time.Second
	endSent := func(l *keeper.Ledger) { l.FinishInherited(handover) }
	endReported := func(l *keeper.Ledger) {
		l.Report(1)
		l.Report(1)
	}
	tests := map[string]struct {
		left []time.Duration
		tell func(*keeper.Ledger)
	}{
		"end sent by the previous keeper, the short one first": {[]time.Duration{short, long}, endSent},
		"end sent by the previous keeper, the long one first":  {[]time.Duration{long, short}, endSent},
		"end seen in reports, the short one first":             {[]time.Duration{short, long}, endReported},
		"end seen in reports, the long one first":              {[]time.Duration{long, short}, endReported},
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
