package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dgryski/go-rendezvous"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// Times of following.
const (
	// watchWaitMax is how long one watch waits for a change at most: the store
	// allows 30 s, and every call is priced.
	watchWaitMax = 25 * time.Second
	// watchOfHistory is the part of the store's history that a watch may wait.
	// One that waits longer finds its beginning discarded.
	watchOfHistory = 0.75
	// shortWait is how long the watch of the targets waits. It shows whether
	// the store still answers, and a watch that the store has forgotten ends
	// within it.
	shortWait = 2 * time.Second
	// checkWait is how long a watch waits that is to show whether the store
	// answers again.
	checkWait = 50 * time.Millisecond
	// watchPause is the time between two watches. Changes that come in it are
	// taken together. It is small against the time in which a leaving target
	// must get no more requests, the shortest bound of the contracts.
	watchPause = 200 * time.Millisecond
	// followWait is how long an instance that is followed waits for a change.
	followWait = 500 * time.Millisecond
	// followTimeout is after which silence an instance is followed no more.
	followTimeout = followWait + 400*time.Millisecond
	// ageMax is how old the knowledge of an instance may be that is followed.
	ageMax = time.Second
	// direct is how long a process watches the store itself after it lost the
	// instance that it followed.
	direct = 5 * time.Second
	// electInterval is how often a process looks whether it is the one that
	// watches the store for its zone.
	electInterval = 500 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call to the
	// store. The pause doubles with each failure.
	backoffLeast = 200 * time.Millisecond
	backoffMost  = time.Second
	// compareInterval is the time between two questions to other zones of the
	// instance that watches the store: two of them, the pause between watches
	// and a follower's delay fit into the shortest bound of the contracts, 2 s.
	compareInterval = 500 * time.Millisecond
	// joinTime is how long a new process learns from a seed before it turns to
	// the store: three heartbeats of the zone. joinPause is the time between
	// two questions.
	joinTime  = 1500 * time.Millisecond
	joinPause = 200 * time.Millisecond
	// rescueInterval is the time between two questions to other instances
	// while the store doesn't answer.
	rescueInterval = 250 * time.Millisecond
	// rescueAfter is how long the store may be silent before others are asked.
	rescueAfter = 300 * time.Millisecond
)

// source is where the knowledge comes from at the moment and how old it is.
type source struct {
	mu sync.Mutex
	// lost is since when nobody confirms the knowledge, zero while the store
	// or an instance that follows it does.
	lost time.Time
	// peer, if set, is the instance that is followed, and heard and peerAge
	// tell when it answered and how old its knowledge was.
	peer    place.Instance
	heard   time.Time
	peerAge time.Duration
	// failing is since when calls to the store fail, and pause the time to wait
	// before the next one.
	failing time.Time
	pause   time.Duration
}

// Age returns how long ago the store confirmed what this process knows.
func (f *Feed) Age() time.Duration {
	s := &f.source
	s.mu.Lock()
	defer s.mu.Unlock()
	now := f.now()
	switch {
	case !s.lost.IsZero():
		return now.Sub(s.lost)
	case s.peer != "":
		return now.Sub(s.heard) + s.peerAge
	}
	return 0
}

// Source names where the knowledge comes from: the store, or an instance.
func (f *Feed) Source() string {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	if f.source.peer != "" {
		return string(f.source.peer)
	}
	return storeSource
}

// storeSource is the name of the store among the sources.
const storeSource = "store"

// confirmed notes that the store, or the peer if one is named, confirmed what
// this process knows.
func (f *Feed) confirmed(peer place.Instance, age time.Duration) {
	s := &f.source
	s.mu.Lock()
	now := f.now()
	since := s.lost
	changed := s.peer != peer
	s.lost, s.peer, s.heard, s.peerAge = time.Time{}, peer, now, age
	if peer == "" {
		s.failing, s.pause = time.Time{}, 0
	}
	s.mu.Unlock()
	if since.IsZero() && !changed {
		return
	}
	f.log.WithFields(logrus.Fields{"peer": peer, "age": age, "away": away(since, now)}).Info("What the platform says is followed.")
	if !since.IsZero() {
		f.mu.Lock()
		f.book.Back(now)
		f.mu.Unlock()
	}
}

func away(since, now time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// unconfirmed notes that nobody confirms any more what this process knows.
func (f *Feed) unconfirmed(err error) {
	s := &f.source
	s.mu.Lock()
	now := f.now()
	first := s.lost.IsZero()
	if first {
		s.lost = now
		if s.peer != "" {
			s.lost = s.heard.Add(-s.peerAge)
		}
	}
	s.mu.Unlock()
	if !first {
		return
	}
	f.log.WithError(err).Warn("The platform can't be followed; what is known stays in use.")
	f.mu.Lock()
	f.book.Lost(now)
	f.mu.Unlock()
}

// failed notes a failed call to the store and returns the pause before the next.
func (f *Feed) failed(err error) time.Duration {
	s := &f.source
	s.mu.Lock()
	if s.failing.IsZero() {
		s.failing = f.now()
	}
	s.pause = min(max(2*s.pause, backoffLeast), backoffMost)
	pause := s.pause/2 + rand.N(s.pause/2+1)
	following := s.peer != ""
	s.mu.Unlock()
	if !following {
		f.unconfirmed(err)
	}
	return pause
}

// join takes in what a seed knows, so that a new process need not read the
// whole from the store, and goes on so until it hears others of its zone, one
// of which may watch the store already. The seeds don't wait for one another.
func (f *Feed) join(ctx context.Context) {
	if f.isSeed || len(f.seeds) == 0 {
		return
	}
	end := f.now().Add(joinTime)
	var seeds []place.Instance
	for f.now().Before(end) && len(f.peers.Live()) < 2 {
		if len(seeds) == 0 {
			seeds = f.peers.Find(ctx, f.seeds)
		}
		for _, seed := range seeds {
			if f.pull(ctx, seed, 0, ageMax) == nil {
				break
			}
		}
		if !wait.For(ctx, joinPause) {
			return
		}
	}
}

// runSource watches the store or follows the instance of the zone that does.
func (f *Feed) runSource(ctx context.Context) {
	f.join(ctx)
	var directUntil time.Time
	for ctx.Err() == nil {
		chief := f.chief()
		if chief == f.self || f.now().Before(directUntil) {
			f.watchUntil(ctx, func() bool { return f.chief() != f.self && !f.now().Before(directUntil) })
			continue
		}
		err := f.followPeer(ctx, chief)
		if ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", chief).Warn("An instance can't be followed; the store is watched instead.")
			directUntil = f.now().Add(direct)
		}
	}
}

// chief returns the instance that watches the store for the zone.
func (f *Feed) chief() place.Instance {
	live := f.peers.Live()
	names := make([]string, 0, len(live))
	for _, instance := range live {
		names = append(names, string(instance))
	}
	if len(names) == 0 {
		return f.self
	}
	return place.Instance(rendezvous.New(names, xxhash.Sum64String).Lookup(storeSource))
}

// followPeer follows an instance until it fails or is no longer the right one.
func (f *Feed) followPeer(ctx context.Context, peer place.Instance) error {
	for ctx.Err() == nil && f.chief() == peer {
		if err := f.pull(ctx, peer, followWait, ageMax); err != nil {
			return err
		}
	}
	return nil
}

// pull asks an instance once for what is new, and takes it in if its knowledge
// is recent enough.
func (f *Feed) pull(ctx context.Context, peer place.Instance, patience, ageMost time.Duration) error {
	answer, ask, err := f.question(ctx, peer, patience)
	if err != nil {
		return err
	}
	age := time.Duration(answer.AgeMillis) * time.Millisecond
	if age > ageMost {
		f.takeOld(ask, answer, age)
		return errors.Newf("the knowledge of instance %s is %v old", peer, age)
	}
	f.confirmed(peer, age)
	f.followed(ask, answer)
	return nil
}

// question asks an instance for what is new.
func (f *Feed) question(ctx context.Context, peer place.Instance, patience time.Duration) (*wire.Followed, *wire.Follow, error) {
	ctx, cancel := context.WithTimeout(ctx, patience+followTimeout-followWait)
	defer cancel()
	ask := f.ask(patience)
	message, err := f.peers.Call(ctx, peer, ask)
	if err != nil {
		return nil, nil, errors.Wrap(err, "ask an instance")
	}
	answer, ok := message.(*wire.Followed)
	if !ok {
		return nil, nil, errors.Newf("instance %s gave another answer than was asked for", peer)
	}
	return answer, ask, nil
}

// takeOld takes in knowledge of another instance that the store has not
// confirmed of late, if this process has none: with the store away, a new
// process serves with what the others serve with, and knows how old it is.
func (f *Feed) takeOld(ask *wire.Follow, answer *wire.Followed, age time.Duration) {
	if f.Ready() {
		return
	}
	f.source.mu.Lock()
	f.source.lost = f.now().Add(-age)
	f.source.mu.Unlock()
	f.followed(ask, answer)
	f.log.WithField("age", age).Warn("The process begins with old knowledge of another instance.")
}

// watchUntil watches every kind of object at the store until done says so.
func (f *Feed) watchUntil(ctx context.Context, done func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for ctx.Err() == nil {
			if err := f.session(ctx); err != nil && ctx.Err() == nil {
				wait.For(ctx, f.failed(err))
			}
		}
	})
	for wait.For(ctx, electInterval) && !done() {
	}
	cancel()
	tasks.Wait()
}

// session watches every kind of object until one call fails, which puts the
// other connections in doubt too: a connection can fall silent for good. It
// begins with one call alone, so that an outage costs few.
func (f *Feed) session(ctx context.Context) error {
	waits := &waits{cancels: map[string]context.CancelFunc{}}
	if err := f.step(ctx, platform.KindTargets, checkWait, waits); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var tasks conc.WaitGroup
	for _, kind := range kinds {
		patience := f.watchWait
		if kind == platform.KindTargets {
			patience = shortWait
		}
		tasks.Go(func() {
			for ctx.Err() == nil {
				if err := f.step(ctx, kind, patience, waits); err != nil {
					cancel(err)
				}
			}
		})
	}
	tasks.Wait()
	return errors.WithStack(context.Cause(ctx))
}

// waits are the watches of a session that are waiting.
type waits struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// errAsked ends a wait so that the watch is made anew.
var errAsked = errors.New("the watch is to be made anew")

// begin notes a watch of a kind and returns the context for it.
func (w *waits) begin(ctx context.Context, kind string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[kind] = func() { cancel(errAsked) }
	return ctx, func() { cancel(nil) }
}

// renew ends the watches of all other kinds, which are then made anew.
func (w *waits) renew(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, cancel := range w.cancels {
		if other != kind {
			cancel()
		}
	}
}

// step makes one call to the store for a kind and takes in what came. A store
// that has discarded its history does not end every watch that waits for a
// change which it no longer knows, so that the others are made anew too.
func (f *Feed) step(ctx context.Context, kind string, patience time.Duration, waits *waits) error {
	after := f.mirrors[kind].at()
	if after == 0 {
		return f.list(ctx, kind)
	}
	waiting, end := waits.begin(ctx, kind)
	defer end()
	objects, revision, err := f.store.Watch(waiting, kind, after, patience)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrHistoryGone):
		f.log.WithFields(logrus.Fields{"kind": kind, fieldRevision: after}).Info("The store has discarded its history; the objects are listed anew.")
		waits.renew(kind)
		return f.list(ctx, kind)
	case errors.Is(context.Cause(waiting), errAsked) && ctx.Err() == nil:
		return nil
	default:
		return errors.Wrap(err, "watch the store")
	}
	f.confirmed("", 0)
	f.advanced(kind, objects, after, revision)
	if len(objects) > 0 {
		wait.For(ctx, watchPause)
	}
	return nil
}

func (f *Feed) list(ctx context.Context, kind string) error {
	objects, revision, err := f.store.List(ctx, kind)
	if err != nil {
		return errors.Wrap(err, "read the store")
	}
	f.confirmed("", 0)
	f.listed(kind, objects, revision)
	return nil
}

// runCompare asks an instance of another zone, while this process watches the
// store itself, whether it knows more. A store that falls silent to one instance
// shows that only after its watch should have ended; a leaving target must get
// nothing new long before that.
func (f *Feed) runCompare(ctx context.Context) {
	for wait.For(ctx, compareInterval) {
		others := f.peers.Others()
		if f.Source() != storeSource || len(others) == 0 {
			continue
		}
		answer, ask, err := f.question(ctx, others[rand.IntN(len(others))], 0)
		if err == nil && answer.AgeMillis <= ageMax.Milliseconds() {
			f.followed(ask, answer)
		}
	}
}

// runRescue asks other instances while the store doesn't answer.
func (f *Feed) runRescue(ctx context.Context) {
	for wait.For(ctx, rescueInterval) {
		if f.Age() < rescueAfter {
			continue
		}
		if err := f.rescue(ctx); err != nil && f.Age() > ageMax {
			f.unconfirmed(err)
		}
	}
}

// rescue asks a few instances until one knows what the store says.
func (f *Feed) rescue(ctx context.Context) error {
	err := errors.New("no other instance is known")
	peers := f.rescuers()
	if len(peers) == 0 {
		peers = f.peers.Find(ctx, f.seeds)
	}
	for _, peer := range peers {
		if err = f.pull(ctx, peer, 0, rescueAfter); err == nil {
			return nil
		}
	}
	return err
}

// rescuersMax is how many instances are asked in one round.
const rescuersMax = 3

// rescuers returns a few instances that may know more: one of this zone, if
// there is one, and others.
func (f *Feed) rescuers() []place.Instance {
	var near []place.Instance
	for _, instance := range f.peers.Live() {
		if instance != f.self {
			near = append(near, instance)
		}
	}
	far := f.peers.Others()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	near = append(near[:min(len(near), 1)], far...)
	return near[:min(len(near), rescuersMax)]
}
