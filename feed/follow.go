package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

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

// followPeer follows an instance until it fails or is no longer the right one.
func (f *Feed) followPeer(ctx context.Context, peer place.Instance) error {
	f.following.Store(true)
	defer f.following.Store(false)
	for ctx.Err() == nil && f.watcher() == peer {
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

// runRescue asks other instances while the store doesn't answer. An instance
// that is followed answers only when something changes, and how long it may be
// silent is bounded there.
func (f *Feed) runRescue(ctx context.Context) {
	for wait.For(ctx, rescueInterval) {
		if f.following.Load() || f.Age() < rescueAfter {
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
