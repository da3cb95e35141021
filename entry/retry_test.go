package entry

import (
	"context"
	"testing"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// TestShouldRetry: a request is retried if it didn't run because an entry isn't a
// target's keeper, can't be reached or has just started. Only the entry that
// received it from the caller retries it, while there is time for it.
func TestShouldRetry(t *testing.T) {
	begun := time.Now()
	tests := map[string]struct {
		err  error
		hops int
		left time.Duration
		want bool
	}{
		"no keeper":               {errs.NotRun(errs.ReasonLostKeeper, 0, ""), 0, time.Second, true},
		"peer unreachable":        {errs.NotRun(errs.ReasonPeerFailed, 0, ""), 0, time.Second, true},
		"peer has just started":   {errs.NotRun(errs.ReasonNotReady, 0, ""), 0, time.Second, true},
		"forwarded":               {errs.NotRun(errs.ReasonLostKeeper, 0, ""), 1, time.Second, false},
		"no time left":            {errs.NotRun(errs.ReasonLostKeeper, 0, ""), 0, keeperRetryDelay, false},
		"may have run":            {errs.MayHaveRun(errs.ReasonPeerFailed, ""), 0, time.Second, false},
		"target busy":             {errs.NotRun(errs.ReasonTargetBusy, 0, ""), 0, time.Second, false},
		"no usable target at all": {errs.NotRun(errs.ReasonNoTarget, 0, ""), 0, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &Entry{now: func() time.Time { return begun }}
			r := &Request{hops: test.hops, deadline: begun.Add(test.left)}
			if got := e.shouldRetry(r, test.err); got != test.want {
				t.Errorf("shouldRetry = %v, want %v", got, test.want)
			}
		})
	}
}

// TestForwardedToNewProcess: a process that doesn't have the target of a forwarded
// request in its list yet answers like one that isn't the target's keeper, so that
// the sender retries.
func TestForwardedToNewProcess(t *testing.T) {
	e := &Entry{self: wire.Hello{Instance: "e1", Zone: "kigali/a"}, now: time.Now}
	e.limits = newTestLimits(e)
	_, err := e.sendToTarget(context.Background(), &view{}, nil, &Request{hops: 1}, place.Target("desk-1"))
	if refusal := errs.AsRefusal(err); refusal.Verdict() != errs.VerdictNotRun || refusal.Reason() != errs.ReasonLostKeeper {
		t.Errorf("the request ended with %v, want not-run with the reason %s", err, errs.ReasonLostKeeper)
	}
}

func newTestLimits(e *Entry) *limits {
	l := &limits{entry: e}
	l.targets.Store(&map[place.Target]*targetState{})
	return l
}
