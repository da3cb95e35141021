package relay

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// Follow makes one call to the store, if this process is a relay or its peers
// have not made it ready, hands on what came, and returns how long to wait
// before the next call.
func (r *Relay) Follow(ctx context.Context) time.Duration {
	if r.waitForOthers() {
		return aloneWait
	}
	if !r.IsRelay() && !r.mayJoinByStore() {
		return RoundInterval
	}
	asked := r.now()
	objects, revision, err := r.readStore(ctx)
	if err != nil {
		wait := r.backoff()
		r.log.WithError(err).WithField("wait", wait).Warn("The store can't be read.")
		return wait
	}
	r.mu.Lock()
	r.fails = 0
	r.mu.Unlock()
	if known := r.revision.Load(); revision < known {
		r.log.WithField("revision", revision).WithField("known", known).Error("The store went back; what it holds is taken only where its versions are greater.")
	}
	news := r.take(objects)
	if r.IsRelay() {
		r.enqueue(handOn{root: r.self.Instance, objects: news})
	}
	r.confirm(revision, asked)
	r.becomeReady("store")
	return WatchPause
}

// waitForOthers tells whether a new process should wait for the heartbeats of
// the other members of its zone. Without it each process that starts would take
// itself for a relay and read everything from the store.
func (r *Relay) waitForOthers() bool {
	if r.Ready() || len(r.view().zone) > 1 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alone++
	return r.alone <= aloneWaits
}

// mayJoinByStore tells whether a new process has waited long enough for its
// peers.
func (r *Relay) mayJoinByStore() bool {
	if r.Ready() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waited++
	return r.waited > joinWaits
}

// readStore reads everything once, and from then on waits for changes. A
// process whose peers vouched for a revision needs no first reading.
func (r *Relay) readStore(ctx context.Context) ([]store.Object, uint64, error) {
	revision := r.revision.Load()
	if revision == 0 || !r.Ready() {
		ctx, cancel := context.WithTimeout(ctx, ListTimeout)
		defer cancel()
		return r.store.List(ctx, "")
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return r.store.Watch(ctx, "", revision, WatchWait)
}

func (r *Relay) backoff() time.Duration {
	r.mu.Lock()
	wait := min(BackoffLeast<<min(r.fails, 16), BackoffMost)
	r.fails++
	r.mu.Unlock()
	return r.jitter(wait)
}

// Relays returns the relays among the live members of an availability zone.
func Relays(members []place.Instance) []place.Instance { return relaysOf(members) }

// IsRelay tells whether this process is one of its zone's relays at the
// moment.
func (r *Relay) IsRelay() bool {
	return slices.Contains(relaysOf(r.view().zone), r.self.Instance)
}

// relaysOf returns the relays among the live members of a zone, by rendezvous
// hash: when one lapses, the next in order takes over.
func relaysOf(members []place.Instance) []place.Instance {
	ranked := rank("relay", members)
	return ranked[:min(RelaysPerZone, len(ranked))]
}

// rank orders the members by the hash of the name and the member.
func rank(name string, members []place.Instance) []place.Instance {
	weights := make(map[place.Instance]uint64, len(members))
	for _, member := range members {
		weights[member] = xxhash.Sum64String(name + "\x00" + string(member))
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b place.Instance) int {
		if weights[a] != weights[b] {
			if weights[a] > weights[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return ranked
}
