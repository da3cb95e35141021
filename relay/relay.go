// Package relay spreads the settings from the platform's store to every
// process and keeps the tables in force.
//
// Two relays in each availability zone hold a watch on the store. What comes
// they hand to the other members of the zone over a tree. Each member also
// compares digests with one other member in each round, and each relay with
// other zones, and pulls what it lacks; so a process that missed a hand-on, or
// a zone that is cut from the store, follows all the same. An object is taken
// only if its version is greater than the one in force.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// Times and sizes of the spread.
const (
	// RelaysPerZone is how many members of a zone hold a watch on the store.
	RelaysPerZone = 2
	// RoundInterval is the time between two comparisons of digests.
	RoundInterval = time.Second
	// RoundPause is the least time between two comparisons of digests, however
	// often a peer is found to be ahead.
	RoundPause = 100 * time.Millisecond
	// WatchWait is how long one watch waits for a change.
	WatchWait = 20 * time.Second
	// WatchPause is the time between two watches. Changes that come in it are
	// taken together, so that a burst costs a relay few calls.
	WatchPause = 200 * time.Millisecond
	// ListTimeout bounds the reading of all objects.
	ListTimeout = 15 * time.Second
	// watchTimeout bounds a watch: its wait and the time of a slow store.
	watchTimeout = WatchWait + 10*time.Second
	// CallTimeout bounds one call to a peer.
	CallTimeout = time.Second
	// PullTimeout bounds one exchange with a peer.
	PullTimeout = 10 * time.Second
	// BackoffLeast and BackoffMost bound the pause after a call to the store
	// that failed. The pause doubles with each failure and is jittered.
	BackoffLeast = 250 * time.Millisecond
	BackoffMost  = 8 * time.Second
	// JoinPeers is how many peers a new process takes the settings from when
	// the store is down.
	JoinPeers = 2
	// FreshAge is how recently the store must have confirmed the settings of
	// one peer for a new process to be content with that peer alone.
	FreshAge = 30 * time.Second

	// aloneWaits is how often a new process that knows no other member of its
	// zone waits aloneWait for their heartbeats, before it takes itself for a
	// relay and reads all objects from the store.
	aloneWaits = 4
	aloneWait  = 500 * time.Millisecond
	// joinWaits is how many round intervals a new process that is no relay
	// waits for its peers before it reads the store itself.
	joinWaits        = 2
	zonesPerRound    = 2
	treeWidth        = 3
	queueLength      = 64
	pathsPerPull     = 256
	messageBytesMax  = 2 << 20
	objectBytesExtra = 256
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
}

// View is which processes live, as far as this one knows.
type View struct {
	zone   []place.Instance
	others map[place.Zone][]place.Instance
}

// NewView makes a View of the live members of the process's own availability
// zone, itself among them, and of the other zones.
func NewView(zone []place.Instance, others map[place.Zone][]place.Instance) View {
	return View{zone: zone, others: others}
}

// Viewer tells which processes live at the moment. It is called often.
type Viewer func() View

// Relay keeps the settings of one process. It is safe for use by several
// goroutines at once.
type Relay struct {
	self   wire.Hello
	store  store.Store
	caller Caller
	view   Viewer
	now    func() time.Time
	log    *logrus.Logger

	parallel func(tasks []func())
	tables   atomic.Pointer[config.Tables]
	ready    atomic.Bool
	revision atomic.Uint64
	// confirmed is when the store last confirmed the revision, in Unix
	// milliseconds of this process's clock.
	confirmed atomic.Int64
	sent      atomic.Uint64

	applying  sync.Mutex
	listeners []func(*config.Tables)

	queue chan handOn
	wake  chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	ahead  map[place.Instance]bool
	joined map[place.Instance]bool
	rounds uint64
	// width is how many other zones the next round compares with.
	width int
	// anchor is the zone that answered last.
	anchor place.Zone
	fails  int
	waited int
	alone  int
}

// New makes a Relay that holds no settings yet. tables are the empty tables to
// begin with; self names the instance and its availability zone.
func New(self wire.Hello, tables *config.Tables, platform store.Store, caller Caller, view Viewer, now func() time.Time, log *logrus.Logger) *Relay {
	r := &Relay{
		self: self, store: platform, caller: caller, view: view, now: now, log: log,
		queue: make(chan handOn, queueLength), wake: make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(string(self.Instance)), self.Incarnation)),
		parallel: inParallel, width: zonesPerRound,
		ahead: map[place.Instance]bool{}, joined: map[place.Instance]bool{},
	}
	// Relays begin at different zones, so that no zone is asked by all of them.
	r.rounds = r.random.Uint64N(1 << 32)
	r.tables.Store(tables)
	return r
}

// OnChange makes the relay call listener with the tables whenever an object
// came into force, and once at Run. Calls never overlap and come in order. It
// has to be called before Run.
func (r *Relay) OnChange(listener func(*config.Tables)) { r.listeners = append(r.listeners, listener) }

// CallInOrder makes the relay call its peers one after another, for tests that
// want the same order in each run. It has to be called before Run.
func (r *Relay) CallInOrder() {
	r.parallel = func(tasks []func()) {
		for _, task := range tasks {
			task()
		}
	}
}

func inParallel(tasks []func()) {
	var group conc.WaitGroup
	for _, task := range tasks {
		group.Go(task)
	}
	group.Wait()
}

// Tables returns the settings in force. It takes no lock.
func (r *Relay) Tables() *config.Tables { return r.tables.Load() }

// Ready tells whether the process has the settings: from the store, or from
// JoinPeers peers that have them.
func (r *Relay) Ready() bool { return r.ready.Load() }

// Sent returns how many messages this process sent to others for settings.
func (r *Relay) Sent() uint64 { return r.sent.Load() }

// Run follows the store and the peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for _, listener := range r.listeners {
		listener(r.Tables())
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { r.runFollow(ctx) })
	tasks.Go(func() { r.runRounds(ctx) })
	tasks.Go(func() { r.runHandOn(ctx) })
	tasks.Wait()
}

func (r *Relay) runFollow(ctx context.Context) {
	for wait.For(ctx, r.Follow(ctx)) {
	}
}

func (r *Relay) runRounds(ctx context.Context) {
	for {
		r.Round(ctx)
		if !wait.For(ctx, RoundPause) || !wait.Woken(ctx, r.jitter(RoundInterval-RoundPause), r.wake) {
			return
		}
	}
}

func (r *Relay) runHandOn(ctx context.Context) {
	for {
		select {
		case job := <-r.queue:
			r.handOn(ctx, job)
		case <-ctx.Done():
			return
		}
	}
}

// take offers objects to the tables and returns those that were new to this
// process, whether they came into force or were refused.
func (r *Relay) take(objects []store.Object) []store.Object {
	if len(objects) == 0 {
		return nil
	}
	r.applying.Lock()
	defer r.applying.Unlock()
	next, outcomes := r.Tables().Apply(objects, r.now())
	var news []store.Object
	changed := false
	for i, outcome := range outcomes {
		switch outcome.Kind() {
		case config.OutcomeTaken:
			changed = true
			news = append(news, objects[i])
		case config.OutcomeRefused:
			news = append(news, objects[i])
			r.log.WithError(outcome.Problem()).WithField("version", outcome.Version()).Error("An object is refused; the last good one stays in force.")
		case config.OutcomeOld:
		}
	}
	r.tables.Store(next)
	if changed {
		for _, listener := range r.listeners {
			listener(next)
		}
	}
	return news
}

// becomeReady notes that the process has the settings.
func (r *Relay) becomeReady(from string) {
	if !r.ready.Swap(true) {
		r.log.WithField("from", from).Info("The settings are in force.")
	}
}

// confirm notes that the store confirmed the revision at the given time, and
// that the tables hold everything up to it.
func (r *Relay) confirm(revision uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision.Store(max(r.revision.Load(), revision))
	r.confirmed.Store(max(r.confirmed.Load(), at.UnixMilli()))
}

// below returns a random number from 0 to n-1.
func (r *Relay) below(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// jitter returns a time between a half and the whole of wait.
func (r *Relay) jitter(wait time.Duration) time.Duration {
	return wait - time.Duration(r.below(int(wait/2)+1))
}
