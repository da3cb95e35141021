package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

const (
	// Interval is the time between two ticks.
	Interval = time.Second
	// SuspectAfter is how long a heartbeat may go without an answer before the
	// member becomes suspect.
	SuspectAfter = 2 * time.Second
	// DeadAfter is how long a suspect has to refute the suspicion.
	DeadAfter = 3 * time.Second
	// ForgetAfter is how long a dead member is kept, so that a delayed update
	// does not add it again as alive.
	ForgetAfter = 10 * time.Minute
	// PauseThreshold is the time between two ticks above which this process takes
	// itself to have been paused.
	PauseThreshold = 2500 * time.Millisecond
	// pullInterval is the shortest time between two requests for all updates
	// after a mismatch of digests.
	pullInterval = 5 * time.Second
	// maxUpdates is the greatest number of updates in one heartbeat, unless all
	// are asked for.
	maxUpdates = 8
	// sendFactor times about the binary logarithm of the number of members is how
	// often each member sends an update.
	sendFactor = 3
	// deadProbeTicks is the mean number of ticks between two heartbeats to entries
	// that the platform lists but that are not present.
	deadProbeTicks = 5
	// joinPeers is the number of listed entries that a process asks for all
	// updates in each tick while it knows no other member.
	joinPeers = 3
	// broadcastInterval is the shortest time between two ticks in which a process
	// sends its heartbeat to all members.
	broadcastInterval = 5 * time.Second
	// maxMembers bounds the number of records that heartbeats can add.
	maxMembers = 4096
)

// Peer is the name and address of an entry to send a heartbeat to.
type Peer struct {
	instance place.Instance
	address  string
}

// Instance returns the name of the entry.
func (p Peer) Instance() place.Instance { return p.instance }

// Address returns the host and port at which it accepts connections of peers.
func (p Peer) Address() string { return p.address }

// Outgoing is a heartbeat to send as a call. The caller passes the answer to
// View.HandleAnswer and a refused or reset connection to View.HandleFailure,
// and ignores a timeout.
type Outgoing struct {
	To        Peer
	Heartbeat *wire.MemberHeartbeat
}

// Self identifies this process.
type Self struct {
	Instance    place.Instance
	Zone        place.Zone
	PeerAddress string
	// Incarnation is greater than that of any earlier process of the instance,
	// such as the time of the start in nanoseconds.
	Incarnation uint64
}

// View is what one process knows about the members of its zone and the load of
// all zones. It is not safe for concurrent use.
type View struct {
	zone       place.Zone
	self       *record
	records    map[place.Instance]*record
	ring       []*record // present members, sorted by the hash of their names
	random     *rand.Rand
	otherZones map[place.Zone][]Peer

	tickCount     uint64
	lastTick      time.Time
	awakeSince    time.Time
	pullNext      bool
	joining       bool // no answer with updates has been received yet
	broadcastDue  bool // a change that this process is the first to know is to be broadcast
	broadcasting  bool
	lastBroadcast time.Time
	lastPull      time.Time
	version       uint64
	replaced      bool
	settings      uint64
	sums          sums
}

// New returns a View that knows only this process. The seed determines the choice
// of random members.
func New(self Self, seed uint64, now time.Time) *View {
	own := &record{
		update:   wire.MemberUpdate{Instance: self.Instance, Address: self.PeerAddress, Incarnation: self.Incarnation},
		ringHash: ringHash(self.Instance),
		since:    now,
	}
	v := &View{
		zone:       self.Zone,
		self:       own,
		records:    map[place.Instance]*record{self.Instance: own},
		random:     rand.New(rand.NewPCG(seed, own.ringHash)),
		otherZones: map[place.Zone][]Peer{},
		lastTick:   now,
		pullNext:   true,
		joining:    true,
		awakeSince: now,
		sums:       newSums(),
	}
	v.rebuildRing()
	return v
}

// Members returns all known entries of the zone, including this process, sorted by
// name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		members = append(members, memberOf(r))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.instance, b.instance) })
	return members
}

// Member returns what is known about one entry of the zone, and whether it is
// known.
func (v *View) Member(instance place.Instance) (Member, bool) {
	r, known := v.records[instance]
	if !known {
		return Member{}, false
	}
	return memberOf(r), true
}

// Relays returns the entries that read from the platform and exchange data with
// other zones on behalf of the zone: the first two of the ring that are alive and
// not leaving.
func (v *View) Relays() []place.Instance {
	relays := []place.Instance{}
	for _, r := range v.ring {
		if r.state() == StateAlive && len(relays) < relayCount {
			relays = append(relays, r.update.Instance)
		}
	}
	return relays
}

// Version returns a number that grows whenever a member is added or deleted, or its
// state changes.
func (v *View) Version() uint64 { return v.version }

// AwakeSince returns when this process was started or last noticed that it had
// been paused. What it held for a limited time before, such as a lease, may have
// passed to another process.
func (v *View) AwakeSince() time.Time { return v.awakeSince }

// Replaced reports whether a newer process of this instance is running.
func (v *View) Replaced() bool { return v.replaced }

// SetSettings sets the digest of the settings in force in this process, which its
// heartbeats carry.
func (v *View) SetSettings(digest uint64) { v.settings = digest }

// Leave marks this process as about to stop, which can't be undone. The following
// heartbeats announce it.
func (v *View) Leave() {
	v.self.update.Leaving = true
	v.markChanged(v.self)
	v.broadcastDue = true
}

// FinalHeartbeats returns the last heartbeats of this process, which tell all
// members that it is dead. It is called at the end of a planned stop.
func (v *View) FinalHeartbeats() []Outgoing {
	v.self.update.Leaving = true
	v.self.update.Health = wire.MemberHealthDead
	v.rebuildRing()
	heartbeats := make([]Outgoing, 0, len(v.ring))
	for _, r := range v.ring {
		heartbeats = append(heartbeats, v.heartbeatTo(r))
	}
	return heartbeats
}

// SetRoster applies the platform's list of entries. The list lags, so it only
// adds entries that no heartbeat has named yet and never removes a present
// member.
func (v *View) SetRoster(entries []store.Entry, now time.Time) {
	for _, r := range v.records {
		r.listed = false
	}
	v.otherZones = map[place.Zone][]Peer{}
	for _, e := range entries {
		if e.Zone != v.zone {
			v.otherZones[e.Zone] = append(v.otherZones[e.Zone], Peer{instance: e.Instance, address: e.PeerAddress})
			continue
		}
		r, known := v.records[e.Instance]
		if !known {
			r = v.add(wire.MemberUpdate{Instance: e.Instance, Address: e.PeerAddress}, now)
		}
		r.listed = true
		if !r.present() {
			r.update.Address = e.PeerAddress
		}
	}
}

func (v *View) add(update wire.MemberUpdate, now time.Time) *record {
	r := &record{update: update, ringHash: ringHash(update.Instance), since: now}
	v.records[update.Instance] = r
	v.version++
	return r
}

// applyUpdate applies what another member says about an entry of the zone. It
// ignores the death of an entry of which no process was known, and takes the
// death of a member that counts as running here for a suspicion.
func (v *View) applyUpdate(update wire.MemberUpdate, now time.Time) {
	if update.Instance == v.self.update.Instance {
		v.refute(update)
		return
	}
	r, known := v.records[update.Instance]
	unknown := !known || r.update.Incarnation == 0
	if unknown && update.Health == wire.MemberHealthDead {
		return
	}
	if unknown || r.update.Health != wire.MemberHealthDead || update.Incarnation > r.update.Incarnation {
		update = asSuspicion(update)
	}
	v.merge(update, now)
}

// merge applies what a process says about itself, or what applyRumour accepted.
func (v *View) merge(update wire.MemberUpdate, now time.Time) {
	if update.Instance == v.self.update.Instance {
		v.refute(update)
		return
	}
	if update.Incarnation == 0 || update.Health > wire.MemberHealthDead {
		return
	}
	r, known := v.records[update.Instance]
	if !known {
		if len(v.records) < maxMembers {
			v.markChanged(v.add(update, now))
			v.rebuildRing()
		}
		return
	}
	merged, changed := mergeUpdates(r.update, update)
	if !changed {
		return
	}
	if merged.Health != r.update.Health || merged.Incarnation != r.update.Incarnation {
		r.since = now
		r.unansweredSince = time.Time{}
	}
	r.update = merged
	v.markChanged(r)
	v.rebuildRing()
}

// refute raises the epoch if another member counts this process as suspect or
// dead, which overrides that update. It also notes a newer process of this
// instance.
func (v *View) refute(update wire.MemberUpdate) {
	own := &v.self.update
	if update.Incarnation > own.Incarnation {
		v.replaced = true
		return
	}
	if update.Incarnation < own.Incarnation || update.Health == wire.MemberHealthAlive || update.Epoch < own.Epoch {
		return
	}
	if own.Health == wire.MemberHealthDead {
		return // after FinalHeartbeats the death is intended
	}
	own.Epoch = update.Epoch + 1
	v.markChanged(v.self)
	v.broadcastDue = true
}

// markChanged makes the update of a record be sent again to the other members.
func (v *View) markChanged(r *record) {
	r.sendCount = 0
	v.version++
}

// setHealth sets the health of another member as this process found it out itself.
func (v *View) setHealth(r *record, health wire.MemberHealth, now time.Time) {
	r.update.Health = health
	r.since = now
	v.markChanged(r)
}

// rebuildRing sorts the present members by the hashes of their names.
func (v *View) rebuildRing() {
	v.ring = v.ring[:0]
	for _, r := range v.records {
		if r.present() {
			v.ring = append(v.ring, r)
		}
	}
	slices.SortFunc(v.ring, func(a, b *record) int {
		if c := cmp.Compare(a.ringHash, b.ringHash); c != 0 {
			return c
		}
		return cmp.Compare(a.update.Instance, b.update.Instance)
	})
}

// ringIndex returns the index of this process in the ring, 0 if it is not there.
func (v *View) ringIndex() int { return max(0, slices.Index(v.ring, v.self)) }

// sendLimit returns how often this process sends each update.
func (v *View) sendLimit() int { return sendFactor * (bits.Len(uint(len(v.ring))) + 1) }

// digest returns a hash of the present members, their incarnations and whether they
// are leaving.
func (v *View) digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	var encoded [9]byte
	for _, r := range v.ring {
		_, _ = hash.WriteString(string(r.update.Instance))
		for i := range 8 {
			encoded[i] = byte(r.update.Incarnation >> (8 * i))
		}
		encoded[8] = 0
		if r.update.Leaving {
			encoded[8] = 1
		}
		_, _ = hash.Write(encoded[:])
	}
	return hash.Sum64()
}

func memberOf(r *record) Member {
	return Member{
		instance: r.update.Instance, address: r.update.Address,
		incarnation: r.update.Incarnation, state: r.state(), since: r.since,
	}
}

// ringHash returns the hash that determines the instance's place in the ring.
func ringHash(instance place.Instance) uint64 { return xxhash.Sum64String(string(instance)) }
