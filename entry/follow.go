package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// Times of following the platform.
const (
	// RosterInterval is the time between two reads of the list of instances.
	RosterInterval = time.Second
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// callTimeout bounds every other call to the platform.
	callTimeout = 5 * time.Second
	// retryWait is the pause after a call that failed.
	retryWait = 500 * time.Millisecond
)

// Run follows the settings, the list of instances and the peers until ctx
// ends.
func (e *Entry) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { e.followRoster(ctx) })
	tasks.Go(func() { e.followTargets(ctx) })
	tasks.Go(func() { e.followSettings(ctx) })
	tasks.Go(func() { e.heart.Run(ctx) })
	tasks.Wait()
	e.budgets.hedges.Wait()
}

func (e *Entry) followRoster(ctx context.Context) {
	for {
		e.readRoster(ctx)
		if !pause(ctx, RosterInterval) {
			return
		}
	}
}

func (e *Entry) readRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	roster, err := e.store.Roster(ctx)
	if err != nil {
		e.log.WithError(err).Debug("The list of instances can't be read.")
		return
	}
	addresses := map[place.Instance]string{}
	var instances []place.Instance
	for _, entry := range roster.Entries {
		if entry.Instance != e.self.Instance {
			addresses[entry.Instance] = entry.PeerAddress
			instances = append(instances, entry.Instance)
		}
	}
	e.pool.SetAddresses(addresses)
	e.heart.SetPeers(instances)
	e.view.Store(e.view.Load().withRoster(roster, e.self.Zone, e.tables.Load()))
}

func (e *Entry) followSettings(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		objects, next, err := e.nextObjects(ctx, revision)
		if err != nil {
			e.log.WithError(err).Debug("The settings can't be read.")
			pause(ctx, retryWait)
			continue
		}
		e.take(objects)
		revision = next
	}
}

func (e *Entry) nextObjects(ctx context.Context, revision uint64) ([]store.Object, uint64, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return e.store.List(ctx, "")
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return e.store.Watch(ctx, "", revision, watchWait)
}

// take brings objects into force. One that fails its checks is reported, and
// the last good one stays.
func (e *Entry) take(objects []store.Object) {
	tables, outcomes := e.tables.Load().Apply(objects, e.now())
	e.tables.Store(tables)
	e.settled.Store(true)
	for _, outcome := range outcomes {
		if outcome.Kind() == config.OutcomeRefused {
			e.log.WithError(outcome.Problem()).WithField("path", outcome.Path()).Error("An object is refused.")
		}
	}
}

// pause waits and tells whether ctx still goes on.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
