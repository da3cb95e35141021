package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// join requests the data of other instances, so that a new process need not read
// everything from the store. It repeats that until joinTime is over or another
// instance of the zone is live, which may already watch the store. Seeds don't
// join, so that they don't wait for one another.
func (f *Feed) join(ctx context.Context) {
	if f.isSeed || len(f.seeds) == 0 {
		return
	}
	end := f.now().Add(joinTime)
	var seeds []place.Instance
	for f.now().Before(end) && len(f.peers.Live()) < 2 {
		if len(seeds) == 0 {
			seeds = f.peers.Resolve(ctx, f.seeds)
		}
		if !f.Ready() {
			f.pullFromFirst(ctx, seeds, platform.KindInstances)
			f.pullFromZone(ctx)
		}
		f.pullFromFirst(ctx, seeds)
		if !wait.Sleep(ctx, joinPause) {
			return
		}
	}
}

// pullFromFirst requests the changes of the given kinds, or of all, from the first
// of the instances that answers.
func (f *Feed) pullFromFirst(ctx context.Context, peers []place.Instance, only ...string) {
	for _, peer := range peers {
		if f.pullChanges(ctx, peer, 0, peerAgeMax, only...) == nil {
			return
		}
	}
}

// pullFromZone requests all data from an instance of this zone. The lists of a
// large fleet are long, and while many processes start, those that the few seeds
// would send to other zones and regions take up their links.
func (f *Feed) pullFromZone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinZoneTime)
	defer cancel()
	near := f.peers.InZone()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for _, peer := range near[:min(len(near), joinZonePeers)] {
		if f.pullChanges(ctx, peer, 0, peerAgeMax) == nil && f.Ready() {
			return
		}
	}
}

// followPeer follows an instance until a call fails or another instance becomes
// the watcher. It returns the error of the call, nil in the other case.
func (f *Feed) followPeer(ctx context.Context, peer place.Instance) error {
	f.followingPeer.Store(true)
	defer f.followingPeer.Store(false)
	for ctx.Err() == nil && f.watcher() == peer {
		if err := f.pullChanges(ctx, peer, f.nextFollowWait(peer), peerAgeMax); err != nil {
			return err
		}
	}
	return nil
}

// nextFollowWait returns how long an instance that is followed may wait for a change
// before it answers.
func (f *Feed) nextFollowWait(peer place.Instance) time.Duration {
	if f.Source() != string(peer) {
		// How old its data is, is not known yet.
		return followWait
	}
	return min(max(peerAgeMax-followMargin-f.Age(), followWaitMin), followWait)
}

// pullChanges requests the changes of the given kinds, or of all, from an instance
// once, and applies them if its data is recent enough.
func (f *Feed) pullChanges(ctx context.Context, peer place.Instance, maxWait, ageMax time.Duration, only ...string) error {
	asked := f.now()
	response, request, err := f.callFollow(ctx, peer, maxWait, only...)
	if err != nil {
		return err
	}
	// The time that the call took beyond the wait adds to the age.
	age := time.Duration(response.AgeMillis)*time.Millisecond + max(f.now().Sub(asked)-maxWait, 0)
	if own := f.Era(); response.Era < own {
		return errors.Newf("the data of instance %s is from era %d of the store, this instance's from era %d", peer, response.Era, own)
	}
	if age > ageMax {
		f.applyStale(request, response, age)
		return errors.Wrapf(errStale, "the data of instance %s is %v old", peer, age)
	}
	f.markConfirmed(peer, age)
	f.applyFollowed(request, response)
	return nil
}

// errStale marks the error of an instance whose data is too old.
var errStale = errors.New("too old to be followed")

// followOthers requests changes from instances of other zones, while the data of the one
// that this zone follows is old, for directWatchTime at most. It reports whether that one
// may be followed again; otherwise the store has to be asked, because no other zone
// answers or because the data of all is old.
func (f *Feed) followOthers(ctx context.Context, watcher place.Instance) bool {
	for end := f.now().Add(directWatchTime); f.now().Before(end) && f.watcher() == watcher && ctx.Err() == nil; {
		others := f.peers.OtherZones()
		if len(others) == 0 {
			return false
		}
		err := f.pullChanges(ctx, others[rand.IntN(len(others))], 0, min(f.Age(), peerAgeMax))
		if err != nil && (!errors.Is(err, errStale) || f.Age() > storeSilentAge) {
			return false
		}
		if f.pullChanges(ctx, watcher, 0, peerAgeMax) == nil {
			return true
		}
		wait.Sleep(ctx, fallbackPause)
	}
	return true
}

// callFollow sends an instance a request for changes and returns its response
// and the request.
func (f *Feed) callFollow(ctx context.Context, peer place.Instance, maxWait time.Duration, only ...string) (*wire.Followed, *wire.Follow, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+followGrace)
	defer cancel()
	request := f.followRequest(maxWait, only...)
	message, err := f.peers.Call(ctx, peer, request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "request changes from an instance")
	}
	response, ok := message.(*wire.Followed)
	if !ok {
		return nil, nil, errors.Newf("instance %s sent a response of the wrong type", peer)
	}
	return response, request, nil
}

// applyStale applies data of another instance that the store has not confirmed
// recently, if this process isn't ready. While the store is unavailable, a new
// process can thus serve with the same data as the others, and knows how old it
// is.
func (f *Feed) applyStale(request *wire.Follow, response *wire.Followed, age time.Duration) {
	if f.Ready() {
		return
	}
	f.source.mu.Lock()
	f.source.unconfirmedSince = f.now().Add(-age)
	f.source.mu.Unlock()
	f.applyFollowed(request, response)
	f.log.WithField("age", age).Warn("The process starts with outdated data of another instance.")
}

// runCompare requests changes from an instance of another zone while this
// process watches the store itself. If the store stops answering only one
// instance, that instance notices it when its watch should have ended. A
// leaving target must get no more requests long before that.
func (f *Feed) runCompare(ctx context.Context) {
	for wait.Sleep(ctx, compareInterval) {
		others := f.peers.OtherZones()
		if f.Source() != storeSource || len(others) == 0 {
			continue
		}
		asked := f.now()
		response, request, err := f.callFollow(ctx, others[rand.IntN(len(others))], 0)
		if err == nil && response.AgeMillis <= peerAgeMax.Milliseconds() {
			f.applyFollowed(request, response)
			if response.Era >= f.Era() {
				f.confirmStoreData(time.Duration(response.AgeMillis)*time.Millisecond + f.now().Sub(asked))
			}
		}
	}
}

// runFallback requests changes from other instances while the store doesn't
// answer, or while it isn't known whether it does. It isn't needed while an instance is
// followed: that one answers only when something changes, and followGrace limits its
// silence.
func (f *Feed) runFallback(ctx context.Context) {
	for {
		interval, ageMax := fallbackInterval, fallbackAfter
		if f.watchesStore() {
			interval, ageMax = ageCheckInterval, watcherAgeMax
		}
		if !wait.Sleep(ctx, interval) {
			return
		}
		if f.followingPeer.Load() || f.Age() < ageMax {
			continue
		}
		if err := f.fallBack(ctx); err != nil && f.Age() > peerAgeMax && !f.watchesStore() {
			f.markUnconfirmed(err)
		}
	}
}

// fallBack asks a few instances one after another until one has recent data.
func (f *Feed) fallBack(ctx context.Context) error {
	err := errors.New("no other instance is known")
	candidates := f.fallbackPeers()
	if len(candidates) == 0 {
		candidates = f.peers.Resolve(ctx, f.seeds)
	}
	for _, peer := range candidates {
		if err = f.pullChanges(ctx, peer, 0, min(f.Age(), peerAgeMax)); err == nil {
			return nil
		}
	}
	return err
}

// fallbackPeersMax limits the instances that are asked in one round.
const fallbackPeersMax = 3

// fallbackPeers returns a random choice of instances that may have more recent
// data: one of this zone, if another is live, and instances of other zones.
func (f *Feed) fallbackPeers() []place.Instance {
	var near []place.Instance
	for _, instance := range f.peers.Live() {
		if instance != f.self {
			near = append(near, instance)
		}
	}
	far := f.peers.OtherZones()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	near = append(near[:min(len(near), 1)], far...)
	return near[:min(len(near), fallbackPeersMax)]
}
