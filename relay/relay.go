// Package relay distributes the settings from the platform's store to every
// process and keeps the tables of settings in force.
//
// Two members of each availability zone, its relays, watch the store and forward
// changed objects to the other members of the zone along a tree. In each round
// every member also compares digests with one other member, and every relay with
// relays of other zones, and pulls the objects that it lacks. So a process that
// missed a forwarded object, or a zone that can't reach the store, still gets the
// change. An object is applied only if its version is greater than the one in
// force.
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

// Intervals, timeouts and limits.
const (
	// RelaysPerZone is the number of members of a zone that watch the store.
	RelaysPerZone = 2
	// RoundInterval is the longest pause between two rounds of comparing digests.
	RoundInterval = time.Second
	// RoundPause is the shortest pause between two rounds. A peer that is found to
	// be ahead starts the next round early, but not before this time.
	RoundPause = 100 * time.Millisecond
	// WatchWait is how long the store holds a watch call while nothing changes.
	WatchWait = 20 * time.Second
	// WatchPause is the time between two watch calls. The next call returns all
	// changes made in it, so that a burst of changes takes few calls.
	WatchPause = 200 * time.Millisecond
	// ListTimeout is the timeout for listing all objects.
	ListTimeout = 15 * time.Second
	// watchTimeout is the timeout of a watch call: its wait, and time for a slow
	// store to answer.
	watchTimeout = WatchWait + 10*time.Second
	// CallTimeout is the timeout of one call to a peer.
	CallTimeout = time.Second
	// PullTimeout is the timeout for pulling everything from one peer, which can
	// take several calls.
	PullTimeout = 10 * time.Second
	// MinBackoff and MaxBackoff are the first and the longest pause after a
	// failed call to the store. The pause doubles with each failure in a row and
	// is jittered.
	MinBackoff = 250 * time.Millisecond
	MaxBackoff = 8 * time.Second
	// JoinPeers is the number of peers from which a new process pulls the settings
	// before it is ready, if the store is down.
	JoinPeers = 2
	// FreshAge is how long ago, at most, the store must have confirmed the
	// settings of a peer for that peer alone to make a new process ready.
	FreshAge = 30 * time.Second

	// aloneWaits is how many times a new process that knows no other member of
	// its zone waits aloneWait for heartbeats, before it acts as a relay and
	// reads all objects from the store.
	aloneWaits = 4
	aloneWait  = 500 * time.Millisecond
	// joinWaits is the number of round intervals for which a new process that is
	// no relay waits for its peers before it reads the store itself.
	joinWaits = 2
	// zonesPerRound is the number of other zones that a relay compares digests
	// with in a round, while any of them answers.
	zonesPerRound = 2
	// treeWidth is the greatest number of members to which a member forwards.
	treeWidth = 3
	// queueLength is the number of forward jobs that can wait.
	queueLength = 64
	// pathsPerPull is the greatest number of objects in one pull.
	pathsPerPull = 256
	// maxMessageBytes is the greatest size of the objects in one message; a single
	// larger object is sent alone.
	maxMessageBytes = 2 << 20
	// objectOverheadBytes is added to the path and value of each object to
	// estimate its encoded size.
	objectOverheadBytes = 256
)

// Caller calls other processes.
type Caller interface {
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
}

// View is the live processes that this one knows.
type View struct {
	zone   []place.Instance
	others map[place.Zone][]place.Instance
}

// NewView returns a View of the live members of the process's own availability
// zone, itself among them, and of the other zones.
func NewView(zone []place.Instance, others map[place.Zone][]place.Instance) View {
	return View{zone: zone, others: others}
}

// ViewFunc returns the processes that live at the moment. It is called several
// times in each round and for each forwarded message, so it has to be cheap.
type ViewFunc func() View

// Relay keeps the settings of one process up to date, whether or not the process
// is a relay of its zone. It is safe for concurrent use.
type Relay struct {
	self   wire.Hello
	store  store.Store
	caller Caller
	view   ViewFunc
	now    func() time.Time
	log    *logrus.Logger

	parallel func(tasks []func())
	tables   atomic.Pointer[config.Tables]
	ready    atomic.Bool
	revision atomic.Uint64
	// confirmed is when the store last confirmed the revision, in Unix
	// milliseconds of this process's clock.
	confirmed atomic.Int64
	// messagesSent is the number of messages sent to peers.
	messagesSent atomic.Uint64

	// applying serializes changes of tables and the calls of listeners.
	applying  sync.Mutex
	listeners []func(*config.Tables)

	// queue holds objects that wait to be forwarded.
	queue chan forwardJob
	// wake starts the next round early.
	wake chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	// ahead is the peers that may hold objects that this process lacks.
	ahead map[place.Instance]bool
	// joined is the ready peers from which this process pulled everything.
	joined map[place.Instance]bool
	// zoneCursor, modulo the number of other zones, is the zone to ask next.
	zoneCursor uint64
	// zoneCount is how many other zones the next round compares digests with.
	zoneCount int
	// lastZone is the other zone that answered last, "" if none answered in the
	// last round.
	lastZone place.Zone
	// failures is the number of calls to the store that failed in a row.
	failures int
	// joinWaitsDone and aloneWaitsDone are how often a new process has waited for
	// its peers and for the heartbeats of its zone.
	joinWaitsDone  int
	aloneWaitsDone int
}

// New returns a Relay that holds no settings yet. The given tables are empty and
// determine the region of the process; self names the instance and its zone.
func New(self wire.Hello, tables *config.Tables, platform store.Store, caller Caller, view ViewFunc, now func() time.Time, log *logrus.Logger) *Relay {
	r := &Relay{
		self: self, store: platform, caller: caller, view: view, now: now, log: log,
		queue: make(chan forwardJob, queueLength), wake: make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(string(self.Instance)), self.Incarnation)),
		parallel: inParallel, zoneCount: zonesPerRound,
		ahead: map[place.Instance]bool{}, joined: map[place.Instance]bool{},
	}
	// Relays start at different zones, so that they do not all ask the same one.
	r.zoneCursor = r.random.Uint64N(1 << 32)
	r.tables.Store(tables)
	return r
}

// OnChange registers a listener that is called with the tables when Run starts and
// whenever an object came into force. After the start, calls do not overlap and
// come in the order of the changes. It has to be called before Run.
func (r *Relay) OnChange(listener func(*config.Tables)) { r.listeners = append(r.listeners, listener) }

// CallSequentially makes the relay call its peers one after another instead of in
// parallel, for tests that need the same order in each run. It has to be called
// before Run.
func (r *Relay) CallSequentially() {
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

// Tables returns the settings in force. It does not block.
func (r *Relay) Tables() *config.Tables { return r.tables.Load() }

// Ready reports whether the process has the settings: from the store, from a peer
// whose settings the store confirmed recently, or from JoinPeers peers.
func (r *Relay) Ready() bool { return r.ready.Load() }

// MessagesSent returns how many messages about settings this process sent to
// peers.
func (r *Relay) MessagesSent() uint64 { return r.messagesSent.Load() }

// Run follows the store, compares digests with peers and forwards objects until ctx
// ends.
func (r *Relay) Run(ctx context.Context) {
	for _, listener := range r.listeners {
		listener(r.Tables())
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { r.runFollow(ctx) })
	tasks.Go(func() { r.runRounds(ctx) })
	tasks.Go(func() { r.runForward(ctx) })
	tasks.Wait()
}

func (r *Relay) runFollow(ctx context.Context) {
	for wait.Sleep(ctx, r.PollStore(ctx)) {
	}
}

func (r *Relay) runRounds(ctx context.Context) {
	for {
		r.Round(ctx)
		if !wait.Sleep(ctx, RoundPause) || !wait.SleepOrWake(ctx, r.jitter(RoundInterval-RoundPause), r.wake) {
			return
		}
	}
}

func (r *Relay) runForward(ctx context.Context) {
	for {
		select {
		case job := <-r.queue:
			r.forward(ctx, job)
		case <-ctx.Done():
			return
		}
	}
}

// apply applies objects to the tables, calls the listeners if any came into force,
// and returns the objects that were new to this process: those that came into
// force and those that failed validation.
func (r *Relay) apply(objects []store.Object) []store.Object {
	if len(objects) == 0 {
		return nil
	}
	r.applying.Lock()
	defer r.applying.Unlock()
	next, outcomes := r.Tables().Apply(objects, r.now())
	var added []store.Object
	changed := false
	for i, outcome := range outcomes {
		switch outcome.Kind() {
		case config.OutcomeAccepted:
			changed = true
			added = append(added, objects[i])
		case config.OutcomeRefused:
			added = append(added, objects[i])
			r.log.WithError(outcome.Problem()).WithField("version", outcome.Version()).Error("A settings object failed validation; the last valid version stays in force.")
		case config.OutcomeNotNewer:
		}
	}
	r.tables.Store(next)
	if changed {
		for _, listener := range r.listeners {
			listener(next)
		}
	}
	return added
}

// becomeReady marks the process as ready and logs where the settings came from.
func (r *Relay) becomeReady(from string) {
	if !r.ready.Swap(true) {
		r.log.WithField("from", from).Info("The settings are in force.")
	}
}

// confirm records that the store confirmed the revision at the given time. The
// tables must hold everything up to it.
func (r *Relay) confirm(revision uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision.Store(max(r.revision.Load(), revision))
	r.confirmed.Store(max(r.confirmed.Load(), at.UnixMilli()))
}

// randomInt returns a random number from 0 to n-1.
func (r *Relay) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// jitter returns a random time between half of wait and wait.
func (r *Relay) jitter(wait time.Duration) time.Duration {
	return wait - time.Duration(r.randomInt(int(wait/2)+1))
}
