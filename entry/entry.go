// Package entry is the process that callers talk to. It answers look-ups,
// takes requests, leads each to a target in its own availability zone or to
// another entry, and passes the whole answer back with a verdict.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

// Entry is one entry process. New makes it, Run keeps it up to date, and the
// ports call Serve, Lookup and Handle from many goroutines at once.
type Entry struct {
	self     wire.Hello
	seeds    map[place.Instance]string
	pool     *peers.Pool
	heart    *peers.Heart
	relay    *relay.Relay
	roster   *roster.Follower
	now      func() time.Time
	log      *logrus.Logger
	stats    *Stats
	once     *once.Keys
	budgets  budgets
	limits   *limits
	blocks   *block.Set
	view     atomic.Pointer[view]
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// New makes an Entry that knows no settings and no instances yet. seeds names
// the peers, with their addresses, that it asks while the platform is down and
// no list of instances is known.
func New(self wire.Hello, seeds map[place.Instance]string, platform store.Store, pool *peers.Pool, heart *peers.Heart, now func() time.Time, logger *logrus.Logger) *Entry {
	e := &Entry{
		self: self, seeds: seeds, pool: pool, heart: heart, now: now, log: logs.Part(logger, "entry"),
		stats: NewStats(), blocks: block.New(),
	}
	e.once = once.New(ticket.NewID(self.Instance, self.Incarnation), ticket.DefaultLimits(), reach{pool: pool, heart: heart, now: now}, e, now, logs.Part(logger, "once"))
	e.relay = relay.New(self, config.NewTables(self.Zone.Region(), objectChecks()), platform, pool, e.relayView, now, logs.Part(logger, "relay"))
	e.relay.OnChange(e.takeBlocks)
	e.roster = roster.NewFollower(platform, pool, e.rosterSources, now, logs.Part(logger, "roster"))
	e.roster.OnChange(e.takeRoster)
	e.stats.registry.MustRegister(&e.budgets, e.once)
	e.limits = newLimits(e)
	e.takeRoster(store.Roster{})
	return e
}

// Stats returns the metrics of the process.
func (e *Entry) Stats() *Stats { return e.stats }

// Ready tells whether the process knows the settings, the instances and who
// keeps the targets, so that callers may be sent to it.
func (e *Entry) Ready() bool {
	return e.informed() && e.limits.settled() && !e.leaving.Load()
}

func (e *Entry) informed() bool {
	return e.relay.Ready() && e.roster.Table() != nil
}

// Handle answers the messages of other entries. It implements wire.Handler.
func (e *Entry) Handle(ctx context.Context, peer wire.Hello, message wire.Message) wire.Message {
	if answer := e.once.Handle(ctx, peer, message); answer != nil {
		return answer
	}
	switch m := message.(type) {
	case *wire.Beat:
		return e.heart.Answer()
	case *wire.Forward:
		return e.handleForward(ctx, peer, m)
	case *wire.RosterAsk:
		return e.roster.Handle(m)
	case *wire.SettingsDigest, *wire.SettingsPull, *wire.Settings:
		return e.relay.Handle(ctx, peer, m)
	case *wire.LeaseBeat, *wire.Handover, *wire.LeftDone, *wire.KeepersAsk:
		return e.limits.handle(ctx, peer, m)
	}
	return &wire.Refused{Text: "the message is not one that an entry answers"}
}
