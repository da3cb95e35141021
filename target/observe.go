package target

import (
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/errs"
)

const (
	// latencyHalfLife is the time in which an old latency loses half its
	// weight, so that a target that was slow is tried again.
	latencyHalfLife = 2 * time.Second
	// latencyShare is the weight of a new latency: 1/8.
	latencyShare = 8
	// asideMin and asideMax bound how long a target that fails is left alone.
	asideMin = 250 * time.Millisecond
	asideMax = 8 * time.Second
	// failuresBad is how many failures in a row after the request was sent make
	// a target bad. One failed dial is enough.
	failuresBad = 3
	// canceledFactor times its age counts for a request that was canceled, as
	// a hedged one is: the answer would have taken longer, nobody knows how much.
	canceledFactor = 4
	// failureLatency is what a failure counts for at least, so that a target
	// that fails quickly does not look quick.
	failureLatency = 100 * time.Millisecond
)

// observed is what this process saw of the target's own answers. It counts for
// more than what the target reports of itself.
type observed struct {
	latency    atomic.Int64 // nanoseconds, smoothed
	answeredAt atomic.Int64 // UnixNano, 0 if never
	failures   atomic.Int64 // in a row
	aside      atomic.Int64 // length of the present time aside
	asideUntil atomic.Int64 // UnixNano
	dialFailed atomic.Bool
}

// answered takes in an answer.
func (o *observed) answered(now time.Time, took time.Duration) {
	o.failures.Store(0)
	o.aside.Store(0)
	o.asideUntil.Store(0)
	o.dialFailed.Store(false)
	o.smooth(now, took)
}

func (o *observed) smooth(now time.Time, took time.Duration) {
	if o.answeredAt.Swap(now.UnixNano()) == 0 {
		o.latency.Store(int64(took))
		return
	}
	old := o.latency.Load()
	o.latency.Store(old + (int64(took)-old)/latencyShare)
}

// failed takes in an error of Do. A refusal for lack of room and a canceled
// request say nothing against the target's health.
func (o *observed) failed(now time.Time, err error, took time.Duration) {
	refusal := errs.AsRefusal(err)
	dial := refusal.Verdict() == errs.VerdictNotRun
	switch refusal.Reason() {
	case errs.ReasonTargetBusy, errs.ReasonBadRequest:
		return
	case errs.ReasonCanceled:
		if !dial {
			o.smooth(now, max(canceledFactor*took, time.Duration(o.latency.Load())))
		}
		return
	case errs.ReasonDeadline:
		if dial {
			return
		}
	default:
	}
	if !dial {
		o.smooth(now, max(took, failureLatency))
	}
	if n := o.failures.Add(1); n < failuresBad && !dial {
		return
	}
	o.dialFailed.Store(dial)
	aside := min(max(2*o.aside.Load(), int64(asideMin)), int64(asideMax))
	o.aside.Store(aside)
	o.asideUntil.Store(now.UnixNano() + aside)
}

// reported takes in that the target sent a load report: it can be connected to.
func (o *observed) reported() {
	if o.dialFailed.CompareAndSwap(true, false) {
		o.failures.Store(0)
		o.aside.Store(0)
		o.asideUntil.Store(0)
	}
}

// bad tells whether the target is left alone at the time now, and whether that
// is because it cannot be connected to.
func (o *observed) bad(now time.Time) (bad, unreachable bool) {
	bad = now.UnixNano() < o.asideUntil.Load()
	return bad, bad && o.dialFailed.Load()
}

// expected returns the smoothed latency as far as it still counts.
func (o *observed) expected(now time.Time) time.Duration {
	at := o.answeredAt.Load()
	if at == 0 {
		return 0
	}
	latency := o.latency.Load()
	for age := now.UnixNano() - at; age >= int64(latencyHalfLife) && latency > 0; age -= int64(latencyHalfLife) {
		latency /= 2
	}
	return time.Duration(latency)
}
