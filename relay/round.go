package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// Round compares digests with one other member of the zone and, on a relay or in a
// process that is not ready, with relays of some other zones. Then it pulls from
// the peers that are ahead.
func (r *Relay) Round(ctx context.Context) {
	view := r.view()
	near := r.nearPartner(view)
	far := r.farPartners(view)
	answered := make([]bool, len(far))
	tasks := make([]func(), 0, len(far)+1)
	if near != "" {
		tasks = append(tasks, func() { r.exchangeDigests(ctx, near) })
	}
	for i, p := range far {
		tasks = append(tasks, func() { answered[i] = r.exchangeDigests(ctx, p.instance) })
	}
	r.parallel(tasks)
	r.updateZoneCount(view, far, answered)
	r.pullFromAhead(ctx)
}

// exchangeDigests exchanges digests with a peer and reports whether it answered.
func (r *Relay) exchangeDigests(ctx context.Context, peer place.Instance) bool {
	answer, err := r.call(ctx, peer, r.digest())
	if err != nil {
		return false
	}
	digest, ok := answer.(*wire.SettingsDigest)
	if ok {
		r.compare(peer, digest)
	}
	return ok
}

// nearPartner returns a random other member of the zone, "" if there is none.
func (r *Relay) nearPartner(view View) place.Instance {
	members := slices.DeleteFunc(slices.Clone(view.zone), func(m place.Instance) bool { return m == r.self.Instance })
	if len(members) == 0 {
		return ""
	}
	return members[r.randomInt(len(members))]
}

// partner is a relay of another zone.
type partner struct {
	zone     place.Zone
	instance place.Instance
}

// farPartners returns a random relay of each of some other zones: of the zone that
// answered last and of others in turn. A process that is not ready asks other
// zones even if it is no relay, since its whole zone may be starting.
func (r *Relay) farPartners(view View) []partner {
	if !slices.Contains(relaysOf(view.zone), r.self.Instance) && r.Ready() {
		return nil
	}
	zones := slices.Sorted(maps.Keys(view.others))
	r.mu.Lock()
	count := min(r.zoneCount, len(zones))
	first := int(r.zoneCursor % uint64(max(1, len(zones))))
	r.zoneCursor += uint64(count)
	lastZone := r.lastZone
	r.mu.Unlock()
	var chosen []place.Zone
	if len(view.others[lastZone]) > 0 {
		chosen = append(chosen, lastZone)
	}
	for i := range zones {
		zone := zones[(first+i)%len(zones)]
		if len(chosen) < count && zone != lastZone {
			chosen = append(chosen, zone)
		}
	}
	partners := make([]partner, 0, len(chosen))
	for _, zone := range chosen {
		if relays := relaysOf(view.others[zone]); len(relays) > 0 {
			partners = append(partners, partner{zone: zone, instance: relays[r.randomInt(len(relays))]})
		}
	}
	return partners
}

// updateZoneCount records which zone answered. While no other zone answers, each
// round asks twice as many, so that a zone that can reach only one other zone
// finds it soon.
func (r *Relay) updateZoneCount(view View, asked []partner, answered []bool) {
	if len(asked) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range asked {
		if answered[i] {
			r.lastZone = p.zone
			r.zoneCount = zonesPerRound
			return
		}
	}
	r.lastZone = ""
	r.zoneCount = min(2*r.zoneCount, max(zonesPerRound, len(view.others)))
}

// digest returns the digest of the settings in this process. It reads the revision
// before the tables: as versions in the tables never decrease, the tables hold
// everything up to that revision.
func (r *Relay) digest() *wire.SettingsDigest {
	revision := r.revision.Load()
	confirmed := r.confirmed.Load()
	ready := r.Ready()
	digest := r.Tables().Digest()
	return &wire.SettingsDigest{
		Highest: digest.Highest(), Hash: digest.Hash(), Revision: revision,
		AgeMillis: max(0, r.now().UnixMilli()-confirmed), Ready: ready,
	}
}

// compare marks a peer as ahead, and starts the next round early, if it may hold
// something that this process lacks. If both hold the same versions, what the
// store confirmed to the peer also holds for this process.
func (r *Relay) compare(peer place.Instance, theirs *wire.SettingsDigest) {
	ours := r.Tables().Digest()
	if ours.Hash() == theirs.Hash && theirs.Revision > 0 && theirs.AgeMillis >= 0 {
		age := time.Duration(theirs.AgeMillis) * time.Millisecond
		r.confirm(theirs.Revision, r.now().Add(-age))
		if theirs.Ready && age <= FreshAge {
			r.becomeReady("a peer whose settings the store confirmed")
		}
	}
	joining := theirs.Ready && !r.Ready()
	if !joining && !ours.MayBeBehind(config.NewDigest(theirs.Highest, theirs.Hash)) {
		return
	}
	r.mu.Lock()
	r.ahead[peer] = true
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pullFromAhead pulls from each peer that was marked as ahead.
func (r *Relay) pullFromAhead(ctx context.Context) {
	r.mu.Lock()
	ahead := slices.Sorted(maps.Keys(r.ahead))
	clear(r.ahead)
	r.mu.Unlock()
	for _, peer := range ahead {
		if err := r.pull(ctx, peer); err != nil {
			r.log.WithError(err).WithField("peer", peer).Debug("Pulling settings from a peer failed.")
		}
	}
}

// pull gets and applies all objects that a peer holds and this process lacks. A
// relay forwards them in its zone, since the peer may be in another one.
func (r *Relay) pull(ctx context.Context, peer place.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	tables := r.Tables()
	buckets := tables.Buckets()
	answer, err := r.callPull(ctx, peer, &wire.SettingsPull{Buckets: buckets[:]})
	if err != nil {
		return err
	}
	var lacking []string
	for _, v := range answer.Versions {
		if tables.Version(v.Path).IsBehind(config.NewVersion(v.Path, v.InForce, v.Refused)) {
			lacking = append(lacking, v.Path)
		}
	}
	var added []store.Object
	for len(lacking) > 0 {
		part, err := r.callPull(ctx, peer, &wire.SettingsPull{Paths: lacking[:min(pathsPerPull, len(lacking))]})
		if err != nil {
			return err
		}
		objects := objectsOf(part)
		added = append(added, r.apply(objects)...)
		remaining := without(lacking, objects)
		if len(remaining) == len(lacking) {
			return errors.Newf("pull settings from %s: it sent none of the objects whose versions it named", peer)
		}
		lacking = remaining
	}
	if r.IsRelay() {
		r.enqueue(forwardJob{root: r.self.Instance, objects: added})
	}
	if answer.Ready {
		r.addJoinPeer(peer)
	}
	return nil
}

// callPull sends a pull to a peer and returns its answer.
func (r *Relay) callPull(ctx context.Context, peer place.Instance, pull *wire.SettingsPull) (*wire.Settings, error) {
	answer, err := r.call(ctx, peer, pull)
	if err != nil {
		return nil, errors.Wrapf(err, "pull settings from %s", peer)
	}
	settings, ok := answer.(*wire.Settings)
	if !ok {
		return nil, errors.Newf("pull settings from %s: it answered with another message than Settings", peer)
	}
	return settings, nil
}

// without returns the paths of which no object was received.
func without(paths []string, received []store.Object) []string {
	return slices.DeleteFunc(slices.Clone(paths), func(path string) bool {
		return slices.ContainsFunc(received, func(o store.Object) bool { return o.Path() == path })
	})
}

// addJoinPeer records that everything was pulled from a ready peer. A new process
// becomes ready after JoinPeers of them, or after all known peers if there are
// fewer.
func (r *Relay) addJoinPeer(peer place.Instance) {
	view := r.view()
	known := len(view.zone) - 1
	for _, members := range view.others {
		known += len(members)
	}
	r.mu.Lock()
	r.joined[peer] = true
	enough := len(r.joined) >= min(JoinPeers, known)
	r.mu.Unlock()
	if enough {
		r.becomeReady("peers")
	}
}

// answerPull answers a pull that has the hashes of all buckets with the versions in
// the buckets that differ, and any other with the objects of its paths.
func (r *Relay) answerPull(pull *wire.SettingsPull) wire.Message {
	answer := &wire.Settings{Ready: r.Ready()}
	tables := r.Tables()
	if len(pull.Buckets) == config.BucketCount {
		for _, v := range tables.Versions([config.BucketCount]uint64(pull.Buckets)) {
			answer.Versions = append(answer.Versions, wire.SettingsVersion{Path: v.Path(), InForce: v.InForce(), Refused: v.Refused()})
		}
		return answer
	}
	var objects []store.Object
	for _, path := range pull.Paths[:min(pathsPerPull, len(pull.Paths))] {
		objects = append(objects, tables.HeldObjects(path)...)
	}
	answer.Objects = fitMessage(objects)
	return answer
}
