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
	// member is suspected.
	SuspectAfter = 2 * time.Second
	// DeadAfter is how long a suspect has to contradict.
	DeadAfter = 3 * time.Second
	// ForgetAfter is how long a dead member is remembered, so that late news
	// does not bring it back.
	ForgetAfter = 10 * time.Minute
	// PauseAfter is the time between two ticks from which on this process
	// counts as having been paused.
	PauseAfter = 2500 * time.Millisecond
	// pullEvery is the shortest time between two requests for everything.
	pullEvery = 5 * time.Second
	// rumoursMax is the number of rumours in one heartbeat.
	rumoursMax = 8
	// sentFactor times the binary logarithm of the number of members is how
	// often each member passes a rumour on.
	sentFactor = 3
	// probeDead is the share, one in probeDead ticks, at which a dead member
	// that the platform still lists is tried.
	probeDead = 5
	// joinPeers is the number of listed entries that a process asks for
	// everything while it knows no member.
	joinPeers = 3
	// shoutEvery is the shortest time between two ticks in which a process
	// sends its heartbeat to all members.
	shoutEvery = 5 * time.Second
	// membersMax bounds the records that heartbeats can add.
	membersMax = 4096
)

// Peer is an entry to send to.
type Peer struct {
	instance place.Instance
	address  string
}

// Instance returns the name of the entry.
func (p Peer) Instance() place.Instance { return p.instance }

// Address returns where it listens for peers.
func (p Peer) Address() string { return p.address }

// Outgoing is a heartbeat to send as a call. Its answer goes to Answered, a
// failure to Failed; no answer needs no word.
type Outgoing struct {
	To   Peer
	Beat *wire.MemberBeat
}

// Self names this process.
type Self struct {
	Instance    place.Instance
	Zone        place.Zone
	PeerAddress string
	// Incarnation is greater than that of any earlier process of the instance,
	// such as the time of the start in nanoseconds.
	Incarnation uint64
}

// View is what one process knows of its zone and of the other zones' load. It
// is not safe for concurrent use.
type View struct {
	zone    place.Zone
	self    *record
	records map[place.Instance]*record
	ring    []*record // present members in the order of their hashes
	random  *rand.Rand
	outside map[place.Zone][]Peer

	ticks    uint64
	ticked   time.Time
	awake    time.Time
	pull     bool
	joining  bool // no full answer was taken yet
	urgent   bool // something first became known here
	shouting bool
	shouted  time.Time
	pulled   time.Time
	version  uint64
	replaced bool
	settings uint64
	sums     sums
}

// New makes a View that knows nobody. The seed feeds the choice of random
// members.
func New(self Self, seed uint64, now time.Time) *View {
	own := &record{
		rumour: wire.MemberRumour{Instance: self.Instance, Address: self.PeerAddress, Incarnation: self.Incarnation},
		order:  orderOf(self.Instance),
		since:  now,
	}
	v := &View{
		zone:    self.Zone,
		self:    own,
		records: map[place.Instance]*record{self.Instance: own},
		random:  rand.New(rand.NewPCG(seed, own.order)),
		outside: map[place.Zone][]Peer{},
		ticked:  now,
		pull:    true,
		joining: true,
		awake:   now,
		sums:    newSums(),
	}
	v.arrange()
	return v
}

// Members returns every entry of the zone that is known, this process too, in
// the order of their names.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		members = append(members, memberOf(r))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.instance, b.instance) })
	return members
}

// Member returns what is known of one entry of the zone.
func (v *View) Member(instance place.Instance) (Member, bool) {
	r, known := v.records[instance]
	if !known {
		return Member{}, false
	}
	return memberOf(r), true
}

// Relays returns the entries that act for the zone towards the platform and
// other zones: the first two of the zone that are alive and not leaving.
func (v *View) Relays() []place.Instance {
	relays := []place.Instance{}
	for _, r := range v.ring {
		if r.state() == StateAlive && len(relays) < relayCount {
			relays = append(relays, r.rumour.Instance)
		}
	}
	return relays
}

// Version grows whenever a member or its state changes.
func (v *View) Version() uint64 { return v.version }

// AwakeSince returns when this process last began or noticed that it had been
// paused. What was promised to it before may have passed to others.
func (v *View) AwakeSince() time.Time { return v.awake }

// Replaced tells whether a newer process of the same instance was heard.
func (v *View) Replaced() bool { return v.replaced }

// Settings tells the digest of the settings that are in force here.
func (v *View) Settings(digest uint64) { v.settings = digest }

// Leave says that this process is about to stop. It can't be taken back.
func (v *View) Leave() {
	v.self.rumour.Leaving = true
	v.touch(v.self)
	v.urgent = true
}

// Depart returns the last heartbeats of this process, which say that it is
// gone. It is for the end of a planned stop.
func (v *View) Depart() []Outgoing {
	v.self.rumour.Leaving = true
	v.self.rumour.Health = wire.MemberHealthDead
	v.arrange()
	beats := make([]Outgoing, 0, len(v.ring))
	for _, r := range v.ring {
		beats = append(beats, v.beatTo(r))
	}
	return beats
}

// Roster takes in the platform's list, which lags: it adds entries that no
// heartbeat has told of yet, and never takes one away that is heard.
func (v *View) Roster(entries []store.Entry, now time.Time) {
	for _, r := range v.records {
		r.listed = false
	}
	v.outside = map[place.Zone][]Peer{}
	for _, e := range entries {
		if e.Zone != v.zone {
			v.outside[e.Zone] = append(v.outside[e.Zone], Peer{instance: e.Instance, address: e.PeerAddress})
			continue
		}
		r, known := v.records[e.Instance]
		if !known {
			r = v.add(wire.MemberRumour{Instance: e.Instance, Address: e.PeerAddress}, now)
		}
		r.listed = true
		if !r.present() {
			r.rumour.Address = e.PeerAddress
		}
	}
}

func (v *View) add(rumour wire.MemberRumour, now time.Time) *record {
	r := &record{rumour: rumour, order: orderOf(rumour.Instance), since: now}
	v.records[rumour.Instance] = r
	v.version++
	return r
}

// believe takes in what others say of a member of the zone. That one is dead of
// which nothing was known is no news.
func (v *View) believe(heard wire.MemberRumour, now time.Time) {
	if heard.Instance == v.self.rumour.Instance {
		v.contradict(heard)
		return
	}
	r, known := v.records[heard.Instance]
	unknown := !known || r.rumour.Incarnation == 0
	if unknown && heard.Health == wire.MemberHealthDead {
		return
	}
	if unknown || r.rumour.Health != wire.MemberHealthDead || heard.Incarnation > r.rumour.Incarnation {
		heard = doubted(heard)
	}
	v.merge(heard, now)
}

// merge takes in what a process says of itself, or what is believed of it.
func (v *View) merge(heard wire.MemberRumour, now time.Time) {
	if heard.Instance == v.self.rumour.Instance {
		v.contradict(heard)
		return
	}
	if heard.Incarnation == 0 || heard.Health > wire.MemberHealthDead {
		return
	}
	r, known := v.records[heard.Instance]
	if !known {
		if len(v.records) < membersMax {
			v.touch(v.add(heard, now))
			v.arrange()
		}
		return
	}
	merged, changed := newer(r.rumour, heard)
	if !changed {
		return
	}
	if merged.Health != r.rumour.Health || merged.Incarnation != r.rumour.Incarnation {
		r.since = now
		r.asked = time.Time{}
	}
	r.rumour = merged
	v.touch(r)
	v.arrange()
}

// contradict raises the epoch when others count this process as suspect or
// dead.
func (v *View) contradict(heard wire.MemberRumour) {
	own := &v.self.rumour
	if heard.Incarnation > own.Incarnation {
		v.replaced = true
		return
	}
	if heard.Incarnation < own.Incarnation || heard.Health == wire.MemberHealthAlive || heard.Epoch < own.Epoch {
		return
	}
	if own.Health == wire.MemberHealthDead {
		return // it departs
	}
	own.Epoch = heard.Epoch + 1
	v.touch(v.self)
	v.urgent = true
}

// touch makes the rumour of a record news again.
func (v *View) touch(r *record) {
	r.sent = 0
	v.version++
}

// judge changes the health of another member on this process's own evidence.
func (v *View) judge(r *record, health wire.MemberHealth, now time.Time) {
	r.rumour.Health = health
	r.since = now
	v.touch(r)
}

// arrange sorts the present members by their hashes.
func (v *View) arrange() {
	v.ring = v.ring[:0]
	for _, r := range v.records {
		if r.present() {
			v.ring = append(v.ring, r)
		}
	}
	slices.SortFunc(v.ring, func(a, b *record) int {
		if c := cmp.Compare(a.order, b.order); c != 0 {
			return c
		}
		return cmp.Compare(a.rumour.Instance, b.rumour.Instance)
	})
}

// position returns the place of this process in the ring.
func (v *View) position() int { return max(0, slices.Index(v.ring, v.self)) }

// sentMax returns how often a rumour is passed on.
func (v *View) sentMax() int { return sentFactor * (bits.Len(uint(len(v.ring))) + 1) }

// digest sums up the members that are counted as running.
func (v *View) digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	var number [9]byte
	for _, r := range v.ring {
		_, _ = hash.WriteString(string(r.rumour.Instance))
		for i := range 8 {
			number[i] = byte(r.rumour.Incarnation >> (8 * i))
		}
		number[8] = 0
		if r.rumour.Leaving {
			number[8] = 1
		}
		_, _ = hash.Write(number[:])
	}
	return hash.Sum64()
}

func memberOf(r *record) Member {
	return Member{
		instance: r.rumour.Instance, address: r.rumour.Address,
		incarnation: r.rumour.Incarnation, state: r.state(), since: r.since,
	}
}

func orderOf(instance place.Instance) uint64 { return xxhash.Sum64String(string(instance)) }
