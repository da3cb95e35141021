package keeper_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
)

const second = time.Second

// elector returns the Leases of the member that comes last in the order of
// testTarget, and the members in that order.
func elector(members []place.Instance, now time.Duration) (*keeper.Leases, []place.Instance) {
	order := keeper.RendezvousOrder(testTarget, members)
	l := keeper.NewLeases(order[len(order)-1], 1, now)
	l.Update(members, []keeper.Resource{testTarget}, now)
	return l, order
}

// ask sends one heartbeat for testTarget and reports whether the lease was
// granted.
func ask(l *keeper.Leases, from place.Instance, incarnation uint64, sent, now time.Duration, release bool, view uint64) bool {
	heartbeat := keeper.Heartbeat{Incarnation: incarnation, Sent: sent, Requests: []keeper.LeaseRequest{{Resource: testTarget, View: view, Release: release}}}
	ack, _ := l.HandleHeartbeat(from, heartbeat, now)
	return len(ack.Granted) == 1
}

// viewAmong returns the view that the members have of testTarget.
func viewAmong(members []place.Instance) uint64 {
	order := keeper.RendezvousOrder(testTarget, members)
	l := keeper.NewLeases(order[0], 9, 0)
	l.Update(members, []keeper.Resource{testTarget}, 0)
	return l.Tick(100 * second)[0].Heartbeat.Requests[0].View
}

func TestElectorRules(t *testing.T) {
	members := []place.Instance{"a", "b", "c"}
	view := viewAmong(members)
	tests := map[string]struct {
		run  func(l *keeper.Leases, first, second place.Instance) bool
		want bool
	}{
		"a new process grants no lease while its predecessor's may be valid": {func(l *keeper.Leases, p, _ place.Instance) bool {
			return ask(l, p, 1, 1, 2*second, false, view)
		}, false},
		"a new process grants leases after that": {func(l *keeper.Leases, p, _ place.Instance) bool {
			return ask(l, p, 1, 1, 3*second, false, view)
		}, true},
		"no grant to a second holder": {func(l *keeper.Leases, p, q place.Instance) bool {
			ask(l, p, 1, 1, 5*second, false, view)
			return ask(l, q, 1, 1, 7*second-1, false, view)
		}, false},
		"grant to a second holder after expiry": {func(l *keeper.Leases, p, q place.Instance) bool {
			ask(l, p, 1, 1, 5*second, false, view)
			return ask(l, q, 1, 1, 7*second, false, view)
		}, true},
		"no grant to the holder's next process": {func(l *keeper.Leases, p, _ place.Instance) bool {
			ask(l, p, 1, 1, 5*second, false, view)
			return ask(l, p, 2, 1, 6*second, false, view)
		}, false},
		"a release frees the lease": {func(l *keeper.Leases, p, q place.Instance) bool {
			ask(l, p, 1, 1, 5*second, false, view)
			ask(l, p, 1, 2, 5*second, true, view)
			return ask(l, q, 1, 1, 5*second, false, view)
		}, true},
		"a late release doesn't free a lease requested since": {func(l *keeper.Leases, p, q place.Instance) bool {
			ask(l, p, 1, 3, 5*second, false, view)
			ask(l, p, 1, 2, 5*second, true, view)
			return ask(l, q, 1, 1, 5*second, false, view)
		}, false},
		"the end of a process frees its lease": {func(l *keeper.Leases, p, q place.Instance) bool {
			ask(l, p, 1, 1, 5*second, false, view)
			l.ProcessEnded(p, 5*second)
			return ask(l, q, 1, 1, 5*second, false, view)
		}, true},
		"no grant under another view": {func(l *keeper.Leases, p, _ place.Instance) bool {
			return ask(l, p, 1, 1, 5*second, false, view+1)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, order := elector(members, 0)
			if got := test.run(l, order[0], order[1]); got != test.want {
				t.Errorf("lease granted: %v, want %v", got, test.want)
			}
		})
	}
}

// TestNewcomerWaits replaces one of three electors: the new one must not
// complete a majority before the leases under the old view have expired.
func TestNewcomerWaits(t *testing.T) {
	for i := range 3 {
		after := []place.Instance{"a", "b", "d"}
		before := []place.Instance{"a", "b", "c"}
		self := after[i]
		old := slices.Clone(before)
		if self == "d" {
			old = []place.Instance{"d", "b", "c"}
		}
		l := keeper.NewLeases(self, 1, 0)
		l.Update(old, []keeper.Resource{testTarget}, 0)
		l.Update(after, []keeper.Resource{testTarget}, 10*second)
		from := place.Instance("d")
		if self == "d" {
			from = "a"
		}
		if ask(l, from, 1, 1, 13*second-1, false, viewAmong(after)) {
			t.Errorf("%s granted %s a lease before the old ones had expired", self, from)
		}
		if !ask(l, from, 1, 2, 13*second, false, viewAmong(after)) {
			t.Errorf("%s granted %s no lease after the old ones had expired", self, from)
		}
	}
}

func TestSoleElectorWaits(t *testing.T) {
	l, order := elector([]place.Instance{"a", "b", "c"}, 0)
	l.Update(order[2:], []keeper.Resource{testTarget}, 10*second)
	lease := l.Lease(testTarget)
	if l.Tick(12 * second); lease.Held(12 * second) {
		t.Error("the last of three electors is the keeper before the others' leases have expired")
	}
	if l.Tick(13 * second); !lease.Held(13 * second) {
		t.Error("the last of three electors isn't the keeper after the others' leases have expired")
	}
}

func TestHolderCountsFromSending(t *testing.T) {
	members := []place.Instance{"a", "b"}
	order := keeper.RendezvousOrder(testTarget, members)
	l := keeper.NewLeases(order[0], 7, 0)
	l.Update(members, []keeper.Resource{testTarget}, 0)
	heartbeat := l.Tick(10 * second)[0].Heartbeat
	lease := l.Lease(testTarget)
	ack := keeper.HeartbeatReply{Incarnation: 6, Sent: heartbeat.Sent, Granted: []keeper.Resource{testTarget}}
	if l.HandleAck(order[1], ack, 10*second); lease.Held(10 * second) {
		t.Error("an ack for an earlier process of the same name counts")
	}
	ack.Incarnation = 7
	l.Tick(11 * second)
	l.HandleAck(order[1], ack, 11*second)
	end := heartbeat.Sent + keeper.LeaseTime - keeper.LeaseMargin
	if !lease.Held(end-1) || lease.Held(end) {
		t.Errorf("the lease ends at %v, want %v", lease.Until(), end)
	}
}

func TestLedgerInherited(t *testing.T) {
	tests := map[string]struct {
		run  func(l *keeper.Ledger)
		want int
	}{
		"all slots are taken without a handover":          {func(*keeper.Ledger) {}, 0},
		"one report frees no slot":                        {func(l *keeper.Ledger) { l.Report(0) }, 0},
		"two reports free slots":                          {func(l *keeper.Ledger) { l.Report(1); l.Report(1) }, 3},
		"the greater of two reports counts":               {func(l *keeper.Ledger) { l.Report(3); l.Report(0) }, 1},
		"a report reserves no slot":                       {func(l *keeper.Ledger) { l.Report(0); l.Report(0); l.Report(4); l.Report(4) }, 4},
		"a handover reserves its requests' slots":         {func(l *keeper.Ledger) { l.Inherit(5, []time.Duration{second, second}, 0) }, 2},
		"the end of an inherited request frees its slot":  {func(l *keeper.Ledger) { l.Inherit(5, []time.Duration{second}, 0); l.FinishInherited(5) }, 4},
		"the end of a request of another term frees none": {func(l *keeper.Ledger) { l.Inherit(5, []time.Duration{second}, 0); l.FinishInherited(4) }, 3},
		"a request of unknown outcome keeps its slot": {func(l *keeper.Ledger) {
			l.Inherit(5, nil, 0)
			l.Arrive(1, second, 0)
			l.Finish(1, keeper.OutcomeUnknown, 0)
		}, 3},
		"the end of a request frees no slot after reports did": {func(l *keeper.Ledger) {
			l.Inherit(5, []time.Duration{second, second}, 0)
			l.Report(1)
			l.Report(1)
			l.FinishInherited(5)
		}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := keeper.NewLedger(keeper.NewLimits(4, 9, 2*second))
			l.ReserveAll(0)
			test.run(l)
			if got := l.Free(0); got != test.want {
				t.Errorf("free slots: %d, want %d", got, test.want)
			}
			if got := l.Free(2 * second); got != 4 {
				t.Errorf("free slots after the longest time: %d, want 4", got)
			}
		})
	}
}

func TestLedgerArrive(t *testing.T) {
	fill := func(l *keeper.Ledger) {
		l.Arrive(1, second, 0)
		l.Arrive(2, second, 0)
	}
	reasonOf := func(d keeper.Decision) errs.Reason {
		if r, ok := d.(keeper.Refused); ok {
			return r.Reason()
		}
		return ""
	}
	tests := map[string]struct {
		prepare  func(l *keeper.Ledger)
		deadline time.Duration
		reason   errs.Reason
		starts   bool
	}{
		"room":          {func(*keeper.Ledger) {}, second, "", true},
		"full":          {fill, second, "", false},
		"wait too long": {fill, 25 * time.Millisecond, errs.ReasonDeadline, false},
		"leaving":       {func(l *keeper.Ledger) { l.SetLeaving(true) }, second, errs.ReasonNoTarget, false},
		"cold": {func(l *keeper.Ledger) {
			l.SetCold(0)
			l.Arrive(1, second, 0)
		}, second, "", false},
		"warm again": {func(l *keeper.Ledger) { l.SetCold(-keeper.RampTime); l.Arrive(1, second, 0) }, second, "", true},
		"shed": {func(l *keeper.Ledger) {
			fill(l)
			l.Finish(2, keeper.OutcomeShed, 0)
		}, second, "", false},
		"shed a while ago": {func(l *keeper.Ledger) {
			fill(l)
			l.Finish(2, keeper.OutcomeShed, -keeper.ShedRecovery)
		}, second, "", true},
		"a returned slot": {func(l *keeper.Ledger) {
			fill(l)
			l.Finish(2, keeper.OutcomeUnused, 0)
		}, second, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := keeper.NewLedger(keeper.NewLimits(2, 9, second))
			test.prepare(l)
			d := l.Arrive(3, test.deadline, 0)
			if diff := cmp.Diff(test.reason, reasonOf(d)); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
			if _, starts := d.(keeper.Started); starts != test.starts {
				t.Errorf("decision %#v, want started %v", d, test.starts)
			}
		})
	}
}

// soleLimiter returns the Limiter of an entry that is alone in its zone and the
// keeper of a target that has reported to be idle.
func soleLimiter(slots int, clock func() time.Duration) *keeper.Limiter {
	l := keeper.NewLeases("a", 1, -10*second)
	l.Update([]place.Instance{"a"}, []keeper.Resource{testTarget}, -10*second)
	l.Tick(0)
	limiter := keeper.NewLimiter("search-1", l.Lease(testTarget), keeper.NewLimits(slots, 99, second), clock)
	limiter.Tick()
	limiter.Report(0, 1)
	limiter.Report(0, 1)
	return limiter
}

func TestLedgerHealth(t *testing.T) {
	l := keeper.NewLedger(keeper.NewLimits(4, 9, 2*second))
	for id, outcome := range []keeper.Outcome{keeper.OutcomeCanceled, keeper.OutcomeUnknown, keeper.OutcomeFailed} {
		l.Arrive(uint64(id), second, 0)
		l.Finish(uint64(id), outcome, 0)
	}
	if got := l.Failures(keeper.FailureMemory - 1); got != 2 {
		t.Errorf("%d failures, want 2: a canceled request doesn't count", got)
	}
	if got := l.Failures(keeper.FailureMemory); got != 0 {
		t.Errorf("%d failures a while later, want 0, so that the target is tried again", got)
	}
}

// TestUnsure: reports are worth requesting while they may free slots. The slot
// of a canceled request is free soon without them.
func TestUnsure(t *testing.T) {
	tests := map[string]struct {
		outcome keeper.Outcome
		want    bool
	}{
		"ran":      {keeper.OutcomeRan, false},
		"unknown":  {keeper.OutcomeUnknown, true},
		"canceled": {keeper.OutcomeCanceled, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := soleLimiter(3, func() time.Duration { return 0 })
			if limiter.HasUnverified() {
				t.Error("HasUnverified() = true after two reports of an idle target")
			}
			permit, err := limiter.Acquire(context.Background(), second)
			if err != nil {
				t.Fatal(err)
			}
			if permit.Done(test.outcome); limiter.HasUnverified() != test.want {
				t.Errorf("HasUnverified() = %v, want %v", limiter.HasUnverified(), test.want)
			}
		})
	}
}

// TestNoStartTooLate: a queued request isn't started if its slot becomes free
// too late for an answer before the deadline.
func TestNoStartTooLate(t *testing.T) {
	l := keeper.NewLedger(keeper.NewLimits(1, 9, second))
	l.Arrive(1, second, 0)
	l.Arrive(2, 100*time.Millisecond, 0)
	now := 100*time.Millisecond - keeper.InitialServiceTime
	l.Finish(1, keeper.OutcomeUnused, now)
	if started, late := l.StartQueued(now); len(started) != 0 || len(late) != 1 {
		t.Errorf("%d started and %d late, want 0 and 1", len(started), len(late))
	}
}

func TestGateConcurrent(t *testing.T) {
	limiter := soleLimiter(3, func() time.Duration { return 0 })
	var mu sync.Mutex
	var running, most, ran int
	var group conc.WaitGroup
	for range 64 {
		group.Go(func() {
			permit, err := limiter.Acquire(context.Background(), 100*second)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			running++
			ran++
			most = max(most, running)
			mu.Unlock()
			mu.Lock()
			running--
			mu.Unlock()
			permit.Done(keeper.OutcomeRan)
		})
	}
	group.Wait()
	if most > 3 || ran != 64 {
		t.Errorf("%d ran, %d at once; want 64, at most 3", ran, most)
	}
}

// TestPausedKeeperDropsItsQueue: a process that was paused until its lease
// expired refuses the queued requests when it resumes.
func TestPausedKeeperDropsItsQueue(t *testing.T) {
	var mu sync.Mutex
	var now time.Duration
	limiter := soleLimiter(1, func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return now
	})
	permit, err := limiter.Acquire(context.Background(), 100*second)
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		_, err = limiter.Acquire(context.Background(), 100*second)
	})
	for limiter.View().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	now = 3 * second
	mu.Unlock()
	limiter.Tick()
	group.Wait()
	var refusal *errs.Refusal
	if !errors.As(err, &refusal) || refusal.Verdict() != errs.VerdictNotRun || refusal.Reason() != errs.ReasonLostKeeper {
		t.Errorf("the waiting request got %v, want not-run (lost-keeper)", err)
	}
	if permit.Held() {
		t.Error("a Pass is still held after the keeper's lease expired")
	}
}

func TestBucket(t *testing.T) {
	b := keeper.NewBucket(100, 10, 0)
	sent := 0.0
	for now := time.Duration(0); now < 3*second; now += 7 * time.Millisecond {
		for range 3 {
			if ok, _ := b.Take(2, now); ok {
				sent += 2
			}
		}
	}
	if sent > 310 || sent < 290 {
		t.Errorf("%v units in 3 s, want at most 310 and not much less", sent)
	}
	if _, wait := b.Take(10, 3*second); wait <= 0 || wait > 100*time.Millisecond {
		t.Errorf("wait %v, want up to 100 ms", wait)
	}
}
