package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/place"
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

// runSource watches the store or follows the instance of the zone that does.
func (f *Feed) runSource(ctx context.Context) {
	f.join(ctx)
	var directUntil time.Time
	for ctx.Err() == nil {
		watcher := f.watcher()
		if watcher == f.self || f.now().Before(directUntil) {
			f.watchUntil(ctx, func() bool { return f.watcher() != f.self && !f.now().Before(directUntil) })
			continue
		}
		err := f.followPeer(ctx, watcher)
		if ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", watcher).Warn("An instance can't be followed; the store is watched instead.")
			directUntil = f.now().Add(direct)
		}
	}
}

// watcher returns the instance that watches the store for the zone.
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
