package roster

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Times of following the list.
const (
	// Interval is the time between two looks for changes.
	Interval = time.Second
	// ReadTimeout bounds a read from the platform.
	ReadTimeout = 3 * time.Second
	// AskTimeout bounds a question to a peer.
	AskTimeout = time.Second
	// StaleAge is the age at which a list is old enough to ask other zones.
	StaleAge = 5 * time.Second
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
}

// Source reads the list from the platform.
type Source interface {
	Roster(ctx context.Context) (store.Roster, error)
}

// Sources says where a process takes the list from at the moment.
type Sources struct {
	platform bool
	near     []place.Instance
	far      []place.Instance
}

// NewSources makes Sources: whether this process reads the platform itself, the
// peers of its zone that do, and peers in other zones for when none of these
// has a fresh list.
func NewSources(platform bool, near, far []place.Instance) Sources {
	return Sources{platform: platform, near: near, far: far}
}

// Follower keeps the list of one process. Handle may be called by several
// goroutines at once.
type Follower struct {
	platform Source
	caller   Caller
	sources  func() Sources
	now      func() time.Time
	log      *logrus.Logger
	table    atomic.Pointer[Table]
	// lastList is the platform's newest list, and last the table of it. They
	// are used by Round alone.
	lastList  store.Roster
	last      *Table
	listeners []func(store.Roster)
}

// NewFollower makes a Follower that knows no list yet.
func NewFollower(platform Source, caller Caller, sources func() Sources, now func() time.Time, log *logrus.Logger) *Follower {
	return &Follower{platform: platform, caller: caller, sources: sources, now: now, log: log}
}

// OnChange makes the follower call listener with each new list. It has to be
// called before Run.
func (f *Follower) OnChange(listener func(store.Roster)) { f.listeners = append(f.listeners, listener) }

// Table returns the list, nil if none is known yet.
func (f *Follower) Table() *Table { return f.table.Load() }

// Run follows the list until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		f.Round(ctx)
		wait := Interval - time.Duration(rand.Int64N(int64(Interval)/4))
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Round looks for changes once: at the platform if this process reads it
// itself, else at a peer of the zone that does, else in another zone, and at
// the platform all the same if nobody has a fresh list.
func (f *Follower) Round(ctx context.Context) {
	sources := f.sources()
	if sources.platform && f.read(ctx) {
		return
	}
	if f.askOne(ctx, sources.near) && f.fresh() {
		return
	}
	if f.askOne(ctx, sources.far) && f.fresh() {
		return
	}
	if !sources.platform {
		f.read(ctx)
	}
}

func (f *Follower) fresh() bool {
	table := f.Table()
	return table != nil && table.Age(f.now()) <= StaleAge
}

// read takes the list from the platform and tells whether that worked.
func (f *Follower) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	begun := f.now()
	list, err := f.platform.Roster(ctx)
	if err != nil {
		f.log.WithError(err).Debug("The list of instances can't be read.")
		return false
	}
	if f.last == nil || !list.Identical(f.lastList) {
		f.lastList = list
		f.last = New(list, begun)
	}
	f.last = f.last.Confirmed(begun)
	f.take(f.last)
	return true
}

// askOne takes what differs from one random peer and tells whether one
// answered.
func (f *Follower) askOne(ctx context.Context, peers []place.Instance) bool {
	if len(peers) == 0 {
		return false
	}
	peer := peers[rand.IntN(len(peers))]
	if err := f.ask(ctx, peer); err != nil {
		f.log.WithError(err).WithField("peer", peer).Debug("The list of instances can't be asked for.")
		return false
	}
	return true
}

func (f *Follower) ask(ctx context.Context, peer place.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	ours := f.Table()
	if ours == nil {
		ours = New(store.Roster{}, time.Time{})
	}
	rows, begun, err := f.call(ctx, peer, &wire.RosterAsk{Hash: ours.hash})
	if err != nil || !rows.Known {
		return err
	}
	readAt := begun.Add(-time.Duration(rows.AgeMillis) * time.Millisecond)
	if rows.Same {
		f.take(ours.Confirmed(readAt))
		return nil
	}
	if !readAt.After(ours.readAt) {
		return nil
	}
	rows, begun, err = f.call(ctx, peer, &wire.RosterAsk{Hash: ours.hash, Hashes: ours.hashes[:]})
	if err != nil || !rows.Known {
		return err
	}
	readAt = begun.Add(-time.Duration(rows.AgeMillis) * time.Millisecond)
	f.take(ours.With(rows.Buckets, fromWire(rows), readAt))
	return nil
}

// call asks a peer and returns the answer and when it was asked, since an age
// in an answer counts at the latest from then.
func (f *Follower) call(ctx context.Context, peer place.Instance, ask *wire.RosterAsk) (*wire.RosterRows, time.Time, error) {
	begun := f.now()
	answer, err := f.caller.Call(ctx, peer, ask)
	if err != nil {
		return nil, begun, err
	}
	rows, ok := answer.(*wire.RosterRows)
	if !ok {
		return nil, begun, errors.Newf("instance %s gave no rows", peer)
	}
	return rows, begun, nil
}

// take brings a list into force unless one that was read later is held.
func (f *Follower) take(next *Table) {
	before := f.Table()
	if before != nil && next.readAt.Before(before.readAt) {
		return
	}
	f.table.Store(next)
	if before != nil && before.hash == next.hash {
		return
	}
	for _, listener := range f.listeners {
		listener(next.List())
	}
}

// Handle answers the question of a peer.
func (f *Follower) Handle(ask *wire.RosterAsk) *wire.RosterRows {
	table := f.Table()
	if table == nil {
		return &wire.RosterRows{}
	}
	rows := &wire.RosterRows{Known: true, Same: ask.Hash == table.hash, AgeMillis: max(table.Age(f.now()).Milliseconds(), 0)}
	if rows.Same || len(ask.Hashes) != BucketCount {
		return rows
	}
	rows.Buckets = table.Differing(Hashes(ask.Hashes))
	toWire(table.Rows(rows.Buckets), rows)
	return rows
}

func toWire(list store.Roster, rows *wire.RosterRows) {
	for _, e := range list.Entries {
		rows.Entries = append(rows.Entries, wire.RosterEntry{
			Instance: string(e.Instance), Zone: string(e.Zone), CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, State: string(e.State),
		})
	}
	for _, t := range list.Targets {
		rows.Targets = append(rows.Targets, wire.RosterTarget{
			Target: string(t.Target), Service: string(t.Service), Zone: string(t.Zone), Address: t.Address, State: string(t.State),
		})
	}
}

func fromWire(rows *wire.RosterRows) store.Roster {
	var list store.Roster
	for _, e := range rows.Entries {
		list.Entries = append(list.Entries, store.Entry{
			Instance: place.Instance(e.Instance), Zone: place.Zone(e.Zone), CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, State: store.State(e.State),
		})
	}
	for _, t := range rows.Targets {
		list.Targets = append(list.Targets, store.Target{
			Target: place.Target(t.Target), Service: place.Service(t.Service), Zone: place.Zone(t.Zone), Address: t.Address, State: store.State(t.State),
		})
	}
	return list
}
