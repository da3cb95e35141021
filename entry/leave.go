package entry

import (
	"context"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/wait"
)

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// lookupsExpire is how long after the announcement of a shutdown look-up answers that
// name the process may still be used.
const lookupsExpire = LookupTTL + 2*peers.HeartbeatInterval

// stopTimes are the times of a shutdown: when the look-up answers that name the process
// have expired, and when it stops at the latest.
type stopTimes struct{ lookupsExpire, end time.Time }

// refuseLate returns a refusal for a request of a caller that arrives after the look-up
// answers have expired and may outlast the process. A request with a key isn't refused:
// its caller can ask another entry what became of it.
func (e *Entry) refuseLate(r *Request) error {
	stop := e.stop.Load()
	if stop == nil || r.key != "" || r.hops > 0 || e.now().Before(stop.lookupsExpire) || !r.deadline.After(stop.end) {
		return nil
	}
	return errs.NotRun(errs.ReasonStopping, DefaultRetryAfter, "instance %s stops before the deadline of the request; look up another one", e.self.Instance)
}

// Leave prepares a graceful shutdown. It announces the shutdown to peers and
// callers and gives up the leases at once. The process keeps serving until the
// look-up answers that name it have expired, its keys are handed over and no
// request is in flight. Leave returns then, or when ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	if end, found := ctx.Deadline(); found {
		e.stop.Store(&stopTimes{lookupsExpire: e.now().Add(lookupsExpire), end: end})
	}
	e.leaving.Store(true)
	e.heartbeats.SetLeaving()
	e.limits.releaseLeases(ctx)
	e.log.Info("Shutting down.")
	if !wait.Sleep(ctx, lookupsExpire) {
		return
	}
	if err := e.once.Stop(ctx); err != nil {
		e.log.WithError(err).Warn("Shutdown: the keys were not handed over before the drain timeout.")
	}
	for e.inFlight.Load() > 0 {
		if !wait.Sleep(ctx, drainPollInterval) {
			e.log.WithField("in_flight", e.inFlight.Load()).Warn("Shutdown: requests are still in flight after the drain timeout.")
			return
		}
	}
	e.log.Info("Shutdown: no requests are in flight.")
}

// Leaving reports whether the process is shutting down.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
