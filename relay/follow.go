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

// PollStore calls the store once, applies the objects that it returns, forwards
// them if this process is a relay, and returns how long to wait before the next
// call. It makes no call in a process that is no relay, unless peers have not
// made the process ready in time, and none while a new process waits for
// heartbeats.
func (r *Relay) PollStore(ctx context.Context) time.Duration {
	if r.waitForOthers() {
		return aloneWait
	}
	if !r.IsRelay() && !r.mayReadStore() {
		return RoundInterval
	}
	asked := r.now()
	objects, revision, err := r.readStore(ctx)
	if err != nil {
		wait := r.backoff()
		r.log.WithError(err).WithField("wait", wait).Warn("Reading settings from the store failed.")
		return wait
	}
	r.mu.Lock()
	r.failures = 0
	r.mu.Unlock()
	if known := r.revision.Load(); revision < known {
		r.log.WithField("revision", revision).WithField("known", known).Error("The store returned a lower revision than the known one; only objects with higher versions are applied.")
	}
	added := r.apply(objects)
	if r.IsRelay() {
		r.enqueue(forwardJob{root: r.self.Instance, objects: added})
	}
	r.confirm(revision, asked)
	r.becomeReady("store")
	return WatchPause
}

// waitForOthers reports whether a new process should wait for the heartbeats of
// the other members of its zone, and counts the wait. Otherwise each process that
// starts would see itself as the only member, and so as a relay, and read all
// objects from the store.
func (r *Relay) waitForOthers() bool {
	if r.Ready() || len(r.view().zone) > 1 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aloneWaitsDone++
	return r.aloneWaitsDone <= aloneWaits
}

// mayReadStore reports whether a new process that is no relay has waited long
// enough for its peers and may read the store, and counts the wait.
func (r *Relay) mayReadStore() bool {
	if r.Ready() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joinWaitsDone++
	return r.joinWaitsDone > joinWaits
}

// readStore lists all objects while the process is not ready or knows no revision,
// and otherwise watches for changes. A process that became ready through peers
// with a confirmed revision needs no listing.
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

// backoff returns the pause after a failed call to the store and counts the failure.
func (r *Relay) backoff() time.Duration {
	r.mu.Lock()
	wait := min(MinBackoff<<min(r.failures, 16), MaxBackoff)
	r.failures++
	r.mu.Unlock()
	return r.jitter(wait)
}

// Relays returns the relays among the live members of an availability zone, in
// the order in which they rank.
func Relays(members []place.Instance) []place.Instance { return relaysOf(members) }

// IsRelay reports whether this process is one of its zone's relays at the
// moment.
func (r *Relay) IsRelay() bool {
	return slices.Contains(relaysOf(r.view().zone), r.self.Instance)
}

// relaysOf returns the relays among the live members of a zone. Rendezvous hashing
// chooses them, so that the next in rank takes over when one stops.
func relaysOf(members []place.Instance) []place.Instance {
	ranked := rank("relay", members)
	return ranked[:min(RelaysPerZone, len(ranked))]
}

// rank returns the members by descending hash of the name and the member.
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
