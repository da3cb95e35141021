// Package entry implements the process that callers send their requests to. It
// answers look-ups, routes each request to a target in its own availability zone
// or forwards it to another entry, and returns the complete answer with a
// verdict that says whether the request ran.
//
// At most one entry of a zone, the keeper, sends requests to a given target. It
// holds a lease on the target, limits the target's concurrency and queues what
// exceeds it. The other entries of the zone forward to the keeper.
//
// A request with an at-most-once key goes to the home first, the entry that
// issued the key. The home and a second entry, the witness, record the key before
// the request is sent.
package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

// Entry is the state of one entry process. Run must be running while requests
// are served. Serve, Lookup and Handle are safe for concurrent use.
type Entry struct {
	self       wire.Hello
	seeds      map[place.Instance]string
	pool       *peers.Pool
	heartbeats *peers.Heartbeats
	relay      *relay.Relay
	roster     *roster.Follower
	now        func() time.Time
	log        *logrus.Logger
	stats      *Stats
	once       *once.Keys
	budgets    budgets
	limits     *limits
	blocks     *block.Set
	guard      *poison.Guard
	view       atomic.Pointer[view]
	leaving    atomic.Bool
	// stop holds the times of the shutdown, nil before it begins.
	stop     atomic.Pointer[stopTimes]
	inFlight atomic.Int64
}

// New returns an Entry without settings and without a list of instances. seeds
// holds the addresses of the peers to ask while the platform is unreachable and
// no list of instances has been received. dialTarget opens the connections to
// targets.
func New(self wire.Hello, seeds map[place.Instance]string, platform store.Store, pool *peers.Pool, heartbeats *peers.Heartbeats, dialTarget sender.DialFunc, now func() time.Time, logger *logrus.Logger) *Entry {
	e := &Entry{
		self: self, seeds: seeds, pool: pool, heartbeats: heartbeats, now: now, log: logs.ForComponent(logger, "entry"),
		stats: NewStats(), blocks: block.New(), guard: poison.NewGuard(),
	}
	e.once = once.New(ticket.NewID(self.Instance, self.Incarnation), ticket.DefaultLimits(), peerNetwork{pool: pool, heartbeats: heartbeats, now: now}, e, now, logs.ForComponent(logger, "once"))
	e.relay = relay.New(self, config.NewTables(self.Zone.Region(), objectChecks()), platform, pool, e.relayView, now, logs.ForComponent(logger, "relay"))
	e.relay.OnChange(e.applyBlocks)
	e.roster = roster.NewFollower(platform, pool, e.rosterSources, now, logs.ForComponent(logger, "roster"))
	e.roster.OnChange(e.applyRoster)
	e.stats.registry.MustRegister(&e.budgets, e.once)
	heartbeats.SetNotices(func(h *wire.Heartbeat) { h.Suspects = peers.SuspectNews(e.guard, e.now()) })
	e.limits = newLimits(e)
	e.view.Store(&view{dial: dialTarget})
	e.applyRoster(store.Roster{})
	return e
}

// Stats returns the metrics of the process.
func (e *Entry) Stats() *Stats { return e.stats }

// Ready reports whether callers may be sent to this process: it has the settings
// and the list of instances, knows the keepers of its zone's targets and is not
// leaving.
func (e *Entry) Ready() bool {
	return e.synced() && e.limits.ready() && !e.leaving.Load()
}

// synced reports whether the settings and the list of instances were received.
func (e *Entry) synced() bool {
	return e.relay.Ready() && e.roster.Table() != nil
}

// Handle implements wire.Handler. It answers a message from another entry.
func (e *Entry) Handle(ctx context.Context, peer wire.Hello, message wire.Message) wire.Message {
	if answer := e.once.Handle(ctx, peer, message); answer != nil {
		return answer
	}
	switch m := message.(type) {
	case *wire.Heartbeat:
		e.heartbeats.Hear(peer, m)
		e.hearSuspects(m)
		return e.heartbeats.Ack()
	case *wire.Forward:
		return e.handleForward(ctx, peer, m)
	case *wire.RosterRequest:
		return e.roster.Handle(m)
	case *wire.SettingsDigest, *wire.SettingsPull, *wire.Settings:
		return e.relay.Handle(ctx, peer, m)
	case *wire.LeaseHeartbeat, *wire.Handover, *wire.InheritedDone, *wire.KeepersRequest:
		return e.limits.handle(ctx, peer, m)
	}
	return &wire.Refused{Text: fmt.Sprintf("instance %s cannot handle a message of type %T", e.self.Instance, message)}
}
