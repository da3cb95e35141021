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

	"github.com/endivechute/endivechute/place"
)

// Times of watching the store and following other instances.
const (
	// watchWaitMax limits how long one watch waits for a change. The store
	// allows 30 s. Short waits would cost more calls, and each call has a
	// price.
	watchWaitMax = 25 * time.Second
	// watchHistoryFraction is the part of the store's history that one watch
	// may wait. By the end of a longer wait, the store may have discarded the
	// revision at which the watch began.
	watchHistoryFraction = 0.75
	// targetWatchWait is how long a watch of the targets waits. Each reply shows that
	// the data is current, so this and the pause between watches limit the age of the
	// data while the store answers. They have to stay well below peerAgeMax.
	targetWatchWait = 500 * time.Millisecond
	// directWatchWait is that time for an instance that nobody follows, which needn't
	// know as soon that the store is silent. There may be many of these, and each watch
	// costs the store a call.
	directWatchWait = 1500 * time.Millisecond
	// checkWatchWait is how long a watch waits that checks whether the store
	// answers again.
	checkWatchWait = 50 * time.Millisecond
	// watchPause is the time between two watches. Changes that arrive within it
	// are applied together. It is short compared to the time within which a
	// leaving target must get no more requests, which is the shortest time
	// limit in the platform's contracts.
	watchPause = 200 * time.Millisecond
	// directWatchPause is that time for an instance that watches only because it
	// can't follow another one. There may be many of these, and each watch costs
	// the store a call.
	directWatchPause = 800 * time.Millisecond
	// followWait is how long an instance that is followed waits for a change
	// before it answers, at most.
	followWait = 500 * time.Millisecond
	// followGrace is how long after that wait its answer may arrive. After that it is
	// no longer followed.
	followGrace = 400 * time.Millisecond
	// followWaitMin and followMargin shorten the wait of a follower whose data is
	// getting old: the answer is due followMargin before the data exceeds peerAgeMax,
	// but not sooner than after followWaitMin.
	followWaitMin = 50 * time.Millisecond
	followMargin  = 200 * time.Millisecond
	// peerAgeMax limits the age of the data of an instance that is followed. When an
	// instance has lost the store and can't know it yet, its followers turn to other zones
	// at that age, or to the store if none answers. When it hangs, they do so followGrace
	// less followMargin later. Both fit into the shortest time limit in the platform's
	// contracts, 2 s.
	peerAgeMax = 1200 * time.Millisecond
	// storeSilentAge is the age of the data from which a follower turns to the store
	// although other zones have no more recent data either: the store may only be silent
	// for a moment, and if all followers turned to it, each of them would list everything.
	storeSilentAge = 1700 * time.Millisecond
	// watcherAgeMax is the age of its data from which the instance that watches the
	// store asks others. It is below peerAgeMax, so that its followers stay if one of
	// the others has recent data.
	watcherAgeMax = time.Second
	// directWatchTime is how long a process watches the store itself after it
	// failed to follow an instance.
	directWatchTime = 5 * time.Second
	// electInterval is how often a process checks whether it still has to watch
	// the store.
	electInterval = 500 * time.Millisecond
	// backoffMin and backoffMax limit the pause after a failed call to the
	// store. The pause doubles with each failure.
	backoffMin = 200 * time.Millisecond
	backoffMax = time.Second
	// compareInterval is the time between two requests to other zones by the
	// instance that watches the store. Two intervals, the pause between watches
	// and the delay of a follower fit into the shortest time limit in the
	// platform's contracts, 2 s.
	compareInterval = 500 * time.Millisecond
	// joinTime is how long a new process requests data from seeds before it
	// turns to the store: three heartbeats of the zone. joinPause is the time
	// between two requests.
	joinTime  = 1500 * time.Millisecond
	joinPause = 200 * time.Millisecond
	// joinZoneTime limits a request for data to instances of the own zone, of which
	// joinZonePeers are asked, by a process that starts.
	joinZoneTime  = 300 * time.Millisecond
	joinZonePeers = 2
	// fallbackInterval is the time between two rounds of requests to other
	// instances while the store doesn't answer, and ageCheckInterval that between two
	// checks whether it does.
	fallbackInterval = 250 * time.Millisecond
	ageCheckInterval = 100 * time.Millisecond
	// fallbackPause is the time between two requests to other zones by a follower.
	fallbackPause = 150 * time.Millisecond
	// fallbackAfter is how long the data may be unconfirmed before other
	// instances are asked, if it is known that the store doesn't answer.
	fallbackAfter = 300 * time.Millisecond
)

// source is where the data currently comes from, and how old it is.
type source struct {
	mu sync.Mutex
	// unconfirmedSince is the time since which the data is unconfirmed. It is
	// zero while the store, or an instance with recent data, confirms it.
	unconfirmedSince time.Time
	// peer, if set, is the instance that is followed; otherwise it is the store.
	// heardAt is when that last answered, and heardAge is how old the data was then.
	peer     place.Instance
	heardAt  time.Time
	heardAge time.Duration
	// backoff is the upper limit of the pause before the next call to the store,
	// 0 while calls succeed.
	backoff time.Duration
}

// Age returns how long ago the store confirmed the data of this process.
func (f *Feed) Age() time.Duration {
	s := &f.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unconfirmedSince.IsZero() {
		return f.now().Sub(s.unconfirmedSince)
	}
	// A watch that waits shows nothing: the link may be cut without a reset.
	return f.now().Sub(s.heardAt) + s.heardAge
}

// Source returns "store" if the data comes from the store, else the instance
// that it comes from.
func (f *Feed) Source() string {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	if f.source.peer != "" {
		return string(f.source.peer)
	}
	return storeSource
}

// storeSource is the name of the store in Source.
const storeSource = "store"

// watchesStore reports whether the data comes from the store and no call has failed
// since.
func (f *Feed) watchesStore() bool {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	return f.source.peer == "" && f.source.unconfirmedSince.IsZero()
}

// markConfirmed records that the data is confirmed by the store, or by the peer
// if one is given, whose data has the given age.
func (f *Feed) markConfirmed(peer place.Instance, age time.Duration) {
	s := &f.source
	s.mu.Lock()
	now := f.now()
	since := s.unconfirmedSince
	changed := s.peer != peer
	s.unconfirmedSince, s.peer, s.heardAt, s.heardAge = time.Time{}, peer, now, age
	if peer == "" {
		s.backoff = 0
	}
	s.mu.Unlock()
	if since.IsZero() && !changed {
		return
	}
	f.log.WithFields(logrus.Fields{"peer": peer, "age": age, "away": outageDuration(since, now)}).Info("Following the platform's objects.")
	if !since.IsZero() {
		f.mu.Lock()
		f.registry.StoreBack(now)
		f.mu.Unlock()
	}
}

// confirmStoreData records that the data from the store was confirmed the given time
// ago, according to another instance. It changes nothing if that is no news or if the
// data isn't from the store.
func (f *Feed) confirmStoreData(age time.Duration) {
	s := &f.source
	s.mu.Lock()
	defer s.mu.Unlock()
	now := f.now()
	if s.peer == "" && s.unconfirmedSince.IsZero() && age < now.Sub(s.heardAt)+s.heardAge {
		s.heardAt, s.heardAge = now, age
	}
}

// hearStore records that the store replied while the data is being read anew. The data
// isn't current until that is done, but followers would have to read it as well, which
// takes no less time.
func (f *Feed) hearStore() { f.confirmStoreData(0) }

// outageDuration returns the time since the start of an outage, 0 if there was
// none.
func outageDuration(since, now time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// markUnconfirmed records that neither the store nor another instance confirms
// the data.
func (f *Feed) markUnconfirmed(err error) {
	s := &f.source
	s.mu.Lock()
	now := f.now()
	first := s.unconfirmedSince.IsZero()
	if first {
		s.unconfirmedSince = s.heardAt.Add(-s.heardAge)
	}
	s.mu.Unlock()
	if !first {
		return
	}
	f.log.WithError(err).Warn("The platform can't be followed; the last known data stays in use.")
	f.mu.Lock()
	f.registry.StoreLost(now)
	f.mu.Unlock()
}

// recordFailure records a failed call to the store and returns the pause before
// the next one, which is drawn at random to spread the calls of many instances.
func (f *Feed) recordFailure(err error) time.Duration {
	s := &f.source
	s.mu.Lock()
	s.backoff = min(max(2*s.backoff, backoffMin), backoffMax)
	pause := s.backoff/2 + rand.N(s.backoff/2+1)
	following := s.peer != ""
	s.mu.Unlock()
	if !following {
		f.markUnconfirmed(err)
	}
	return pause
}

// runSource watches the store, or follows the instance that watches it for the
// zone, until ctx ends.
func (f *Feed) runSource(ctx context.Context) {
	f.join(ctx)
	var directUntil time.Time
	for ctx.Err() == nil {
		watcher := f.watcher()
		if watcher == f.self || f.now().Before(directUntil) {
			f.watchUntil(ctx, func() bool { return f.watcher() != f.self && !f.now().Before(directUntil) })
			continue
		}
		// Without an error, another instance is the watcher now and is followed next.
		if err := f.followPeer(ctx, watcher); err != nil && ctx.Err() == nil {
			if errors.Is(err, errStale) && f.followOthers(ctx, watcher) {
				continue
			}
			f.log.WithError(err).WithField("peer", watcher).Warn("An instance can't be followed; the store is watched instead.")
			directUntil = f.now().Add(directWatchTime)
		}
	}
}

// watcher returns the instance that watches the store for the zone. Rendezvous
// hashing over the live instances makes all of them choose the same one.
func (f *Feed) watcher() place.Instance {
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
