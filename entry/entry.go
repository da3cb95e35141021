// Package entry is the process that callers talk to. It answers look-ups,
// takes requests, leads each to a target in its own availability zone or to
// another entry, and passes the whole answer back with a verdict.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Entry is one entry process. New makes it, Run keeps it up to date, and the
// ports call Serve, Lookup and Handle from many goroutines at once.
type Entry struct {
	self     wire.Hello
	store    store.Store
	pool     *peers.Pool
	heart    *peers.Heart
	now      func() time.Time
	log      *logrus.Logger
	stats    *Stats
	once     *keptAnswers
	budgets  budgets
	view     atomic.Pointer[view]
	tables   atomic.Pointer[config.Tables]
	settled  atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// New makes an Entry that knows no settings and no instances yet.
func New(self wire.Hello, platform store.Store, pool *peers.Pool, heart *peers.Heart, now func() time.Time, log *logrus.Logger) *Entry {
	e := &Entry{self: self, store: platform, pool: pool, heart: heart, now: now, log: log, stats: NewStats(), once: newKeptAnswers()}
	e.view.Store(&view{})
	e.tables.Store(config.NewTables(self.Zone.Region(), nil))
	return e
}

// Stats returns the metrics of the process.
func (e *Entry) Stats() *Stats { return e.stats }

// Ready tells whether the process knows the settings and the instances, so
// that callers may be sent to it.
func (e *Entry) Ready() bool {
	return e.informed() && !e.leaving.Load()
}

func (e *Entry) informed() bool {
	return e.settled.Load() && e.view.Load().rosterKnown
}

// Handle answers the messages of other entries. It implements wire.Handler.
func (e *Entry) Handle(ctx context.Context, _ wire.Hello, message wire.Message) wire.Message {
	switch m := message.(type) {
	case *wire.Beat:
		return e.heart.Answer()
	case *wire.Forward:
		return e.handleForward(ctx, m)
	}
	return &wire.Refused{Text: "the message is not one that an entry answers"}
}
