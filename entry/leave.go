package entry

import (
	"context"
	"time"

	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/wait"
)

// leavePoll is the time between two looks at what is still in flight.
const leavePoll = 20 * time.Millisecond

// Leave prepares a graceful shutdown. The process tells its peers and callers
// at once, goes on serving until the answers of look-ups that name it have run
// out and nothing is in flight, and then returns; or when ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.heart.Leave()
	e.limits.leave(ctx)
	e.log.Info("The shutdown begins.")
	if !wait.For(ctx, LookupTTL+2*peers.BeatInterval) {
		return
	}
	if err := e.once.Stop(ctx); err != nil {
		e.log.WithError(err).Warn("The keys were not handed over in time.")
	}
	for e.inFlight.Load() > 0 {
		if !wait.For(ctx, leavePoll) {
			e.log.WithField("in_flight", e.inFlight.Load()).Warn("The shutdown ran out of time.")
			return
		}
	}
	e.log.Info("Nothing is in flight.")
}

// Leaving tells whether the process is about to stop.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
