package entry

import (
	"context"
	"time"

	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/wait"
)

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Leave prepares a graceful shutdown. It announces the shutdown to peers and
// callers and gives up the leases at once. The process keeps serving until the
// look-up answers that name it have expired, its keys are handed over and no
// request is in flight. Leave returns then, or when ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.heartbeats.SetLeaving()
	e.limits.releaseLeases(ctx)
	e.log.Info("Shutting down.")
	if !wait.Sleep(ctx, LookupTTL+2*peers.HeartbeatInterval) {
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
