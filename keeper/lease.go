package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/place"
)

// Durations of the lease protocol.
const (
	// LeaseTime is the duration of a lease. It starts for the elector when it
	// receives the request, and for the holder when it sends the request.
	LeaseTime = 2 * time.Second
	// LeaseMargin shortens a lease at its holder, whose clock may run more
	// slowly than the elector's: by 2 % of the duration.
	LeaseMargin = LeaseTime / 50
	// HeartbeatInterval is the time between two requests to renew a lease.
	HeartbeatInterval = 500 * time.Millisecond
	// TakeoverStagger is how much longer each further elector waits than the
	// one before it until it requests a free lease.
	TakeoverStagger = 250 * time.Millisecond
	// ViewPropagationMax is the longest time that a change of the zone's
	// members may take to reach all of them. If it takes longer, two entries
	// may be the keeper at once.
	ViewPropagationMax = time.Second
)

// LeaseRequest requests the lease of one resource or, with Release set, gives
// it back.
type LeaseRequest struct {
	Resource Resource `msgpack:"resource"`
	View     uint64   `msgpack:"view"`
	Release  bool     `msgpack:"release"`
}

// Heartbeat is the message that an entry sends to an elector every
// HeartbeatInterval. It lists every lease that the entry wants from that
// elector. Sent is on the sender's clock, in nanoseconds.
type Heartbeat struct {
	Incarnation uint64         `msgpack:"incarnation"`
	Sent        time.Duration  `msgpack:"sent"`
	Requests    []LeaseRequest `msgpack:"asks"`
}

// HeartbeatReply answers a Heartbeat with the leases that the elector granted.
// It repeats the incarnation and the time of the Heartbeat.
type HeartbeatReply struct {
	Incarnation uint64        `msgpack:"incarnation"`
	Sent        time.Duration `msgpack:"sent"`
	Granted     []Resource    `msgpack:"granted"`
}

// AddressedHeartbeat is a Heartbeat and its recipient.
type AddressedHeartbeat struct {
	To        place.Instance
	Heartbeat Heartbeat
}

// Transfer says that this entry was the keeper of a resource and has just
// granted its lease to another entry, to which it has to hand over its ledger.
// Asked is when the other entry sent its request, on that entry's clock.
type Transfer struct {
	Resource Resource
	To       place.Instance
	Asked    time.Duration
}

// Lease is the state of this entry's lease of one resource. It is read without a
// lock while requests are handled.
type Lease struct {
	until atomic.Int64
	term  atomic.Uint64
}

// newLease returns the Lease of an entry that isn't the keeper.
func newLease() *Lease {
	l := &Lease{}
	l.until.Store(-1 << 62)
	return l
}

// Held reports whether this entry is the keeper at the time now. It must be
// checked before every dispatch.
func (l *Lease) Held(now time.Duration) bool { return int64(now) < l.until.Load() }

// Until returns the time at which the lease expires unless it is renewed.
func (l *Lease) Until() time.Duration { return time.Duration(l.until.Load()) }

// Term returns a number that changes each time this entry becomes the keeper,
// so that a caller notices if the lease expired and was regained between two
// calls of Held.
func (l *Lease) Term() uint64 { return l.term.Load() }

// renew sets the time at which the lease expires, and begins a new term if it
// had expired.
func (l *Lease) renew(until, now time.Duration) {
	if !l.Held(now) && now < until {
		l.term.Add(1)
	}
	l.until.Store(int64(until))
}

// grant is a lease that this entry granted as an elector.
type grant struct {
	holder      place.Instance
	incarnation uint64
	sent        time.Duration
	until       time.Duration
}

// resourceState is what one entry knows of a resource, as an elector and as its
// possible keeper.
type resourceState struct {
	electors       []place.Instance
	view           uint64
	granted        grant
	grantableAt    time.Duration                    // no lease is granted before this time
	acks           map[place.Instance]time.Duration // when the acknowledged heartbeats were sent
	acksValidAfter time.Duration                    // grants requested at or before this time are ignored
	joiningUntil   map[place.Instance]time.Duration // time until which new electors don't count
	oldViewUntil   time.Duration                    // when the lease under an earlier view expires
	releaseTo      map[place.Instance]bool          // electors that haven't acknowledged the release
	releaseUntil   time.Duration                    // when the grants to be released expire
	handoverUntil  time.Duration                    // before this time, the next holder is sent the ledger
	lease          *Lease
}

// Leases tracks all leases that one entry process has granted and holds. Its
// methods are safe for concurrent use.
type Leases struct {
	mu          sync.Mutex
	self        place.Instance
	incarnation uint64
	started     time.Duration
	leaving     bool
	// standingDown is true between StandDown and StandUp.
	standingDown bool
	members      []place.Instance
	states       map[Resource]*resourceState
}

// NewLeases returns the Leases of the entry self. The incarnation must differ
// from that of every earlier process of the same name. A new process grants no
// lease before LeaseTime has passed, because it doesn't know which leases its
// predecessor granted.
func NewLeases(self place.Instance, incarnation uint64, now time.Duration) *Leases {
	return &Leases{self: self, incarnation: incarnation, started: now, states: map[Resource]*resourceState{}}
}

// Update sets the zone's live entries, including this one, and the zone's
// resources.
func (l *Leases) Update(members []place.Instance, resources []Resource, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(members)
	wanted := make(map[Resource]bool, len(resources))
	for _, r := range resources {
		wanted[r] = true
		if l.states[r] == nil {
			l.states[r] = &resourceState{acks: map[place.Instance]time.Duration{}, lease: newLease(), acksValidAfter: -1 << 62, oldViewUntil: -1 << 62}
		}
		l.setElectors(l.states[r], electorsOf(r, members), now)
	}
	for r, s := range l.states {
		if !wanted[r] {
			s.lease.until.Store(-1 << 62)
			delete(l.states, r)
		}
	}
}

// setElectors changes the electors of a resource. A majority of the new
// electors that has no member in common with a majority of the old ones either
// includes an entry that wasn't an elector before or consists of a single
// entry. Such entries don't count until every lease under the old view has
// expired. For example, if the electors change from a, b, c to a, b, d, then b
// and c may still make one of them the keeper while a already has the new view,
// so a and d must not form a second majority yet. Leases that this entry holds
// under the old view remain valid until they expire.
func (l *Leases) setElectors(s *resourceState, electors []place.Instance, now time.Duration) {
	if slices.Equal(s.electors, electors) {
		return
	}
	before := s.electors
	s.joiningUntil = map[place.Instance]time.Duration{}
	for _, e := range electors {
		if len(before) == ElectorsMax && !slices.Contains(before, e) {
			s.joiningUntil[e] = now + LeaseTime + ViewPropagationMax
		}
	}
	earliest := l.started + LeaseTime
	switch {
	case len(before) == 0 && len(electors) == ElectorsMax:
		earliest = l.started + LeaseTime + ViewPropagationMax
	case len(before) == ElectorsMax && len(electors) == 1:
		earliest = now + LeaseTime + ViewPropagationMax
	}
	s.grantableAt = max(s.grantableAt, earliest)
	s.oldViewUntil = s.lease.Until()
	s.electors = electors
	s.view = viewDigest(electors)
	s.updateExpiry(now)
}

// updateExpiry computes until when this entry holds leases from a majority of
// the electors.
func (s *resourceState) updateExpiry(now time.Duration) {
	sentTimes := make([]time.Duration, 0, ElectorsMax)
	for _, e := range s.electors {
		if sent, found := s.acks[e]; found {
			sentTimes = append(sentTimes, sent)
		}
	}
	majority := majorityOf(s.electors)
	if len(s.electors) == 0 || len(sentTimes) < majority {
		s.lease.until.Store(int64(s.oldViewUntil))
		return
	}
	slices.Sort(sentTimes)
	oldest := sentTimes[len(sentTimes)-majority]
	s.lease.renew(max(s.oldViewUntil, oldest+LeaseTime-LeaseMargin), now)
}

// Lease returns the state of this entry's lease of the resource. The lease of an
// unknown resource is never held.
func (l *Leases) Lease(resource Resource) *Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[resource]; s != nil {
		return s.lease
	}
	return newLease()
}

// Keeper returns the entry that this one believes to be the keeper of the
// resource: the holder of the lease or, with known false, the first elector.
// The name is empty if there is no elector.
func (l *Leases) Keeper(resource Resource, now time.Duration) (name place.Instance, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[resource]
	if s == nil || len(s.electors) == 0 {
		return "", false
	}
	if s.lease.Held(now) {
		return l.self, true
	}
	if s.granted.until > now && s.granted.holder != l.self && slices.Contains(l.members, s.granted.holder) {
		return s.granted.holder, true
	}
	return s.electors[0], false
}

// Tick returns the heartbeats to send now. It must be called every
// HeartbeatInterval.
func (l *Leases) Tick(now time.Duration) []AddressedHeartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := map[place.Instance][]LeaseRequest{}
	for r, s := range l.states {
		request := LeaseRequest{Resource: r, View: s.view}
		switch {
		case l.shouldRequest(s, now):
			clear(s.releaseTo)
			if l.grantLease(s, l.self, l.incarnation, now, now) {
				s.acks[l.self] = now
				s.updateExpiry(now)
			}
		case len(s.releaseTo) > 0 && now < s.releaseUntil:
			request.Release = true
		default:
			continue
		}
		for _, e := range s.electors {
			if e != l.self && (!request.Release || s.releaseTo[e]) {
				requests[e] = append(requests[e], request)
			}
		}
	}
	addressed := make([]AddressedHeartbeat, 0, len(requests))
	for _, e := range l.members {
		if len(requests[e]) > 0 {
			addressed = append(addressed, AddressedHeartbeat{To: e, Heartbeat: Heartbeat{Incarnation: l.incarnation, Sent: now, Requests: requests[e]}})
		}
	}
	return addressed
}

// shouldRequest reports whether this entry requests the lease: it is an
// elector, and either has the lease already or has seen it free for long enough
// that the electors before it would have requested it.
func (l *Leases) shouldRequest(s *resourceState, now time.Duration) bool {
	rank := slices.Index(s.electors, l.self)
	if l.leaving || l.standingDown || rank < 0 || now < s.grantableAt {
		return false
	}
	if s.granted.holder == l.self && s.granted.until > now {
		return true
	}
	free := max(s.grantableAt, s.granted.until)
	return now >= free+time.Duration(rank)*TakeoverStagger
}

// grantLease grants this elector's lease to the holder and reports whether it
// did. It doesn't if another holder has the lease or the request is older than
// the last one.
func (l *Leases) grantLease(s *resourceState, holder place.Instance, incarnation uint64, sent, now time.Duration) bool {
	if now < s.grantableAt || now < s.joiningUntil[holder] || now < s.joiningUntil[l.self] {
		return false
	}
	same := s.granted.holder == holder && s.granted.incarnation == incarnation
	if !same && s.granted.until > now {
		return false
	}
	if same && sent < s.granted.sent {
		return false
	}
	s.granted = grant{holder: holder, incarnation: incarnation, sent: sent, until: now + LeaseTime}
	return true
}

// HandleHeartbeat grants or takes back the leases that the heartbeat lists. A keeper
// gives up its own lease for an elector that comes before it in the rendezvous
// order. The transfers are the resources whose ledgers have to be handed over
// to the sender.
func (l *Leases) HandleHeartbeat(from place.Instance, heartbeat Heartbeat, now time.Duration) (HeartbeatReply, []Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ack := HeartbeatReply{Incarnation: heartbeat.Incarnation, Sent: heartbeat.Sent}
	var transfers []Transfer
	for _, a := range heartbeat.Requests {
		s := l.states[a.Resource]
		if s == nil {
			continue
		}
		if a.Release {
			s.release(from, heartbeat)
			continue
		}
		if a.View != s.view || !slices.Contains(s.electors, l.self) || !slices.Contains(s.electors, from) {
			continue
		}
		if l.yieldsTo(s, from, now) {
			s.relinquish(now)
		}
		if !l.grantLease(s, from, heartbeat.Incarnation, heartbeat.Sent, now) {
			continue
		}
		ack.Granted = append(ack.Granted, a.Resource)
		if now < s.handoverUntil {
			transfers = append(transfers, Transfer{Resource: a.Resource, To: from, Asked: heartbeat.Sent})
		}
		s.handoverUntil = -1 << 62
	}
	return ack, transfers
}

// yieldsTo reports whether this entry gives up its own lease because from comes
// before it in the rendezvous order.
func (l *Leases) yieldsTo(s *resourceState, from place.Instance, now time.Duration) bool {
	if s.granted.holder != l.self || s.granted.until <= now || now < s.joiningUntil[from] {
		return false
	}
	return slices.Index(s.electors, from) < slices.Index(s.electors, l.self)
}

// relinquish gives up this entry's own grant and its lease; grants that were
// requested up to now no longer count. The ledger goes to the next entry that gets
// the lease within LeaseTime. After that another keeper may have sent requests in
// the meantime.
func (s *resourceState) relinquish(now time.Duration) {
	if s.lease.Held(now) {
		s.handoverUntil = now + LeaseTime
	}
	s.acksValidAfter = now
	clear(s.acks)
	s.oldViewUntil = -1 << 62
	s.lease.until.Store(-1 << 62)
	s.granted.until = now
	s.releaseUntil = now + LeaseTime
	s.releaseTo = make(map[place.Instance]bool, len(s.electors))
	for _, e := range s.electors {
		if e != s.granted.holder {
			s.releaseTo[e] = true
		}
	}
}

// release frees the lease that the sender gives back, unless the sender has
// requested it again since.
func (s *resourceState) release(from place.Instance, heartbeat Heartbeat) {
	same := s.granted.holder == from && s.granted.incarnation == heartbeat.Incarnation
	if !same || heartbeat.Sent <= s.granted.sent {
		return
	}
	s.granted.sent = heartbeat.Sent
	s.granted.until = -1 << 62
}

// HandleAck counts the leases that an elector granted. Their time runs from
// when the heartbeat was sent. An answer to a heartbeat that was sent after a lease
// was given up acknowledges the release.
func (l *Leases) HandleAck(from place.Instance, ack HeartbeatReply, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ack.Incarnation != l.incarnation || ack.Sent > now {
		return
	}
	for _, s := range l.states {
		if len(s.releaseTo) > 0 && ack.Sent >= s.acksValidAfter {
			delete(s.releaseTo, from)
		}
	}
	for _, r := range ack.Granted {
		s := l.states[r]
		if s == nil || now < s.joiningUntil[from] || ack.Sent <= s.acksValidAfter {
			continue
		}
		if sent, found := s.acks[from]; found && ack.Sent <= sent {
			continue
		}
		s.acks[from] = ack.Sent
		s.updateExpiry(now)
	}
}

// ProcessEnded records that the process of a member has certainly ended, for
// example because it refuses connections. The leases that were granted to it
// are free at once.
func (l *Leases) ProcessEnded(member place.Instance, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if member == l.self {
		return
	}
	for _, s := range l.states {
		if s.granted.holder == member && s.granted.until > now {
			s.granted.until = now
		}
	}
}

// Leave gives up all leases of this entry before a planned stop. The entry
// still grants leases to others, and hands its ledgers over to those that
// request them. The next calls of Tick inform the other electors.
func (l *Leases) Leave(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.relinquishAll(now)
}

// StandDown gives up all leases of this entry, like Leave, and requests none until
// StandUp is called.
func (l *Leases) StandDown(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.standingDown = true
	l.relinquishAll(now)
}

// StandUp ends what StandDown began.
func (l *Leases) StandUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.standingDown = false
}

// relinquishAll gives up the leases of this entry. The caller holds l.mu.
func (l *Leases) relinquishAll(now time.Duration) {
	for _, s := range l.states {
		if s.granted.holder == l.self && s.granted.until > now {
			s.relinquish(now)
		}
	}
}
