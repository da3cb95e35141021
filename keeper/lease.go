package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/place"
)

// The times of the leases.
const (
	// LeaseTime is how long an elector's lease lasts: for the elector from
	// when it received the request, for the holder from when it sent it.
	LeaseTime = 2 * time.Second
	// LeaseMargin is taken off the holder's side for clocks that run at
	// different speeds: 2 % of the time of a lease.
	LeaseMargin = LeaseTime / 50
	// BeatInterval is the time between two requests to renew a lease.
	BeatInterval = 500 * time.Millisecond
	// TakeoverStagger is how much longer each further elector waits than the
	// one before it until it asks for a free lease.
	TakeoverStagger = 250 * time.Millisecond
	// ViewSpread is the longest time that a change of the zone's members may
	// take to reach all of them without two keepers at a time.
	ViewSpread = time.Second
)

// Ask is a request for one lease, or gives it back.
type Ask struct {
	Resource Resource `msgpack:"resource"`
	View     uint64   `msgpack:"view"`
	Release  bool     `msgpack:"release"`
}

// Beat is what an entry sends to an elector every BeatInterval: every lease
// that it wants from it. Sent is on the sender's clock, in nanoseconds.
type Beat struct {
	Incarnation uint64        `msgpack:"incarnation"`
	Sent        time.Duration `msgpack:"sent"`
	Asks        []Ask         `msgpack:"asks"`
}

// Ack answers a Beat: the leases that the elector gave, with the incarnation
// and the time that the beat had.
type Ack struct {
	Incarnation uint64        `msgpack:"incarnation"`
	Sent        time.Duration `msgpack:"sent"`
	Granted     []Resource    `msgpack:"granted"`
}

// Envelope is a Beat and the entry to send it to.
type Envelope struct {
	To   place.Instance
	Beat Beat
}

// Transfer tells that this entry was the keeper of a resource and has just
// given its lease to another, to which the ledger is due. Asked is the time, on
// the other's clock, of the request that it answers.
type Transfer struct {
	Resource Resource
	To       place.Instance
	Asked    time.Duration
}

// Hold is one entry's part in a resource, for the path of a request.
type Hold struct {
	until atomic.Int64
	term  atomic.Uint64
}

// newHold returns the part of an entry that isn't the keeper.
func newHold() *Hold {
	h := &Hold{}
	h.until.Store(-1 << 62)
	return h
}

// Held tells whether this entry is the keeper at the time now. Every dispatch
// has to ask it.
func (h *Hold) Held(now time.Duration) bool { return int64(now) < h.until.Load() }

// Until returns the time at which the leases lapse unless they are renewed.
func (h *Hold) Until() time.Duration { return time.Duration(h.until.Load()) }

// Term returns a number that is another one whenever this entry became the
// keeper anew, so that a lapse which nobody noticed in time shows.
func (h *Hold) Term() uint64 { return h.term.Load() }

// renew sets the time at which the leases lapse.
func (h *Hold) renew(until, now time.Duration) {
	if !h.Held(now) && now < until {
		h.term.Add(1)
	}
	h.until.Store(int64(until))
}

// grant is the lease that this elector gave.
type grant struct {
	holder      place.Instance
	incarnation uint64
	sent        time.Duration
	until       time.Duration
}

// seat is the state of one resource at one entry.
type seat struct {
	electors  []place.Instance
	view      uint64
	given     grant
	openAt    time.Duration // no lease is given before it
	acks      map[place.Instance]time.Duration
	ackAfter  time.Duration                    // leases asked for at or before it are void
	newcomers map[place.Instance]time.Duration // until when they don't count
	oldUntil  time.Duration                    // until when leases under an earlier view last
	releasing bool
	dueUntil  time.Duration // until when who gets the lease is due the ledger
	hold      *Hold
}

// Leases holds every lease that one entry process gave and has. Its methods
// may be called from several goroutines.
type Leases struct {
	mu          sync.Mutex
	self        place.Instance
	incarnation uint64
	started     time.Duration
	leaving     bool
	members     []place.Instance
	seats       map[Resource]*seat
}

// NewLeases makes the Leases of the entry self. The incarnation must differ
// from that of any earlier process of the same name. A new process gives no
// lease before LeaseTime has passed, as it doesn't know what its predecessor
// gave.
func NewLeases(self place.Instance, incarnation uint64, now time.Duration) *Leases {
	return &Leases{self: self, incarnation: incarnation, started: now, seats: map[Resource]*seat{}}
}

// Update sets the live entries of the zone, this one included, and the zone's
// resources.
func (l *Leases) Update(members []place.Instance, resources []Resource, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(members)
	wanted := make(map[Resource]bool, len(resources))
	for _, r := range resources {
		wanted[r] = true
		if l.seats[r] == nil {
			l.seats[r] = &seat{acks: map[place.Instance]time.Duration{}, hold: newHold(), ackAfter: -1 << 62, oldUntil: -1 << 62}
		}
		l.setElectors(l.seats[r], electorsOf(r, members), now)
	}
	for r, s := range l.seats {
		if !wanted[r] {
			s.hold.until.Store(-1 << 62)
			delete(l.seats, r)
		}
	}
}

// setElectors changes the electors of a resource. A majority of the new ones
// that shares nobody with a majority of the old ones always has an entry that
// was no elector before, or is one entry alone; these don't count until every
// lease under the old view has lapsed. For example, with the electors a, b, c
// and then a, b, d, the entries b and c may still keep the resource while a has
// the new view, so that d must not make a second majority with a yet. Leases
// that this entry has under the old view last to their end.
func (l *Leases) setElectors(s *seat, electors []place.Instance, now time.Duration) {
	if slices.Equal(s.electors, electors) {
		return
	}
	before := s.electors
	s.newcomers = map[place.Instance]time.Duration{}
	for _, e := range electors {
		if len(before) == ElectorsMax && !slices.Contains(before, e) {
			s.newcomers[e] = now + LeaseTime + ViewSpread
		}
	}
	wait := l.started + LeaseTime
	switch {
	case len(before) == 0 && len(electors) == ElectorsMax:
		wait = l.started + LeaseTime + ViewSpread
	case len(before) == ElectorsMax && len(electors) == 1:
		wait = now + LeaseTime + ViewSpread
	}
	s.openAt = max(s.openAt, wait)
	s.oldUntil = s.hold.Until()
	s.electors = electors
	s.view = viewOf(electors)
	s.recount(now)
}

// recount works out until when this entry has a majority of the leases.
func (s *seat) recount(now time.Duration) {
	times := make([]time.Duration, 0, ElectorsMax)
	for _, e := range s.electors {
		if sent, found := s.acks[e]; found {
			times = append(times, sent)
		}
	}
	majority := majorityOf(s.electors)
	if len(s.electors) == 0 || len(times) < majority {
		s.hold.until.Store(int64(s.oldUntil))
		return
	}
	slices.Sort(times)
	oldest := times[len(times)-majority]
	s.hold.renew(max(s.oldUntil, oldest+LeaseTime-LeaseMargin), now)
}

// Hold returns this entry's part in the resource. It never holds if the
// resource is unknown.
func (l *Leases) Hold(resource Resource) *Hold {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.seats[resource]; s != nil {
		return s.hold
	}
	return newHold()
}

// Keeper returns the entry that this one takes for the keeper of the resource:
// who has its lease, and otherwise, with known false, the first elector. It is
// empty if there is none.
func (l *Leases) Keeper(resource Resource, now time.Duration) (name place.Instance, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.seats[resource]
	if s == nil || len(s.electors) == 0 {
		return "", false
	}
	if s.hold.Held(now) {
		return l.self, true
	}
	if s.given.until > now && s.given.holder != l.self && slices.Contains(l.members, s.given.holder) {
		return s.given.holder, true
	}
	return s.electors[0], false
}

// Tick returns the beats that are due. It has to be called every BeatInterval.
func (l *Leases) Tick(now time.Duration) []Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	asks := map[place.Instance][]Ask{}
	for r, s := range l.seats {
		ask := Ask{Resource: r, View: s.view}
		switch {
		case l.wants(s, now):
			s.releasing = false
			if l.give(s, l.self, l.incarnation, now, now) {
				s.acks[l.self] = now
				s.recount(now)
			}
		case s.releasing:
			ask.Release = true
			s.releasing = false
		default:
			continue
		}
		for _, e := range s.electors {
			if e != l.self {
				asks[e] = append(asks[e], ask)
			}
		}
	}
	envelopes := make([]Envelope, 0, len(asks))
	for _, e := range l.members {
		if len(asks[e]) > 0 {
			envelopes = append(envelopes, Envelope{To: e, Beat: Beat{Incarnation: l.incarnation, Sent: now, Asks: asks[e]}})
		}
	}
	return envelopes
}

// wants tells whether this entry asks for the lease: it is an elector, and
// either has the lease or has seen it free for longer than the electors before
// it would have needed to ask.
func (l *Leases) wants(s *seat, now time.Duration) bool {
	rank := slices.Index(s.electors, l.self)
	if l.leaving || rank < 0 || now < s.openAt {
		return false
	}
	if s.given.holder == l.self && s.given.until > now {
		return true
	}
	free := max(s.openAt, s.given.until)
	return now >= free+time.Duration(rank)*TakeoverStagger
}

// give lets an elector give its lease, unless another holder has it.
func (l *Leases) give(s *seat, holder place.Instance, incarnation uint64, sent, now time.Duration) bool {
	if now < s.openAt || now < s.newcomers[holder] || now < s.newcomers[l.self] {
		return false
	}
	same := s.given.holder == holder && s.given.incarnation == incarnation
	if !same && s.given.until > now {
		return false
	}
	if same && sent < s.given.sent {
		return false
	}
	s.given = grant{holder: holder, incarnation: incarnation, sent: sent, until: now + LeaseTime}
	return true
}

// HandleBeat gives or takes back the leases that the beat names. A keeper
// gives its own lease up to an elector that comes before it in the order; the
// transfers are the resources of which the sender is due the ledger.
func (l *Leases) HandleBeat(from place.Instance, beat Beat, now time.Duration) (Ack, []Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ack := Ack{Incarnation: beat.Incarnation, Sent: beat.Sent}
	var transfers []Transfer
	for _, a := range beat.Asks {
		s := l.seats[a.Resource]
		if s == nil {
			continue
		}
		if a.Release {
			s.takeBack(from, beat)
			continue
		}
		if a.View != s.view || !slices.Contains(s.electors, l.self) || !slices.Contains(s.electors, from) {
			continue
		}
		if l.yields(s, from, now) {
			s.giveUp(now)
		}
		if !l.give(s, from, beat.Incarnation, beat.Sent, now) {
			continue
		}
		ack.Granted = append(ack.Granted, a.Resource)
		if now < s.dueUntil {
			transfers = append(transfers, Transfer{Resource: a.Resource, To: from, Asked: beat.Sent})
		}
		s.dueUntil = -1 << 62
	}
	return ack, transfers
}

// yields tells whether this entry gives its own claim up because from comes
// before it in the order.
func (l *Leases) yields(s *seat, from place.Instance, now time.Duration) bool {
	if s.given.holder != l.self || s.given.until <= now || now < s.newcomers[from] {
		return false
	}
	return slices.Index(s.electors, from) < slices.Index(s.electors, l.self)
}

// giveUp ends this entry's claim; no lease asked for up to now counts any more.
// The ledger is due to whoever asks next, within LeaseTime: until then no other
// keeper can have come and gone.
func (s *seat) giveUp(now time.Duration) {
	if s.hold.Held(now) {
		s.dueUntil = now + LeaseTime
	}
	s.ackAfter = now
	clear(s.acks)
	s.oldUntil = -1 << 62
	s.hold.until.Store(-1 << 62)
	s.given.until = now
	s.releasing = true
}

// takeBack frees the lease that the sender gives back, unless the sender has
// asked for it again since.
func (s *seat) takeBack(from place.Instance, beat Beat) {
	same := s.given.holder == from && s.given.incarnation == beat.Incarnation
	if !same || beat.Sent <= s.given.sent {
		return
	}
	s.given.sent = beat.Sent
	s.given.until = -1 << 62
}

// HandleAck counts the leases that an elector gave. They run from when the beat
// was sent.
func (l *Leases) HandleAck(from place.Instance, ack Ack, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ack.Incarnation != l.incarnation || ack.Sent > now {
		return
	}
	for _, r := range ack.Granted {
		s := l.seats[r]
		if s == nil || now < s.newcomers[from] || ack.Sent <= s.ackAfter {
			continue
		}
		if sent, found := s.acks[from]; found && ack.Sent <= sent {
			continue
		}
		s.acks[from] = ack.Sent
		s.recount(now)
	}
}

// Gone tells that the process of a member has ended for certain, as when it
// refuses connections: what it held is free at once.
func (l *Leases) Gone(member place.Instance, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if member == l.self {
		return
	}
	for _, s := range l.seats {
		if s.given.holder == member && s.given.until > now {
			s.given.until = now
		}
	}
}

// Leave gives every lease of this entry up before a planned stop. The entry
// goes on to give leases to others, and the ledgers are due to those who ask.
// The next Tick tells the other electors.
func (l *Leases) Leave(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for _, s := range l.seats {
		if s.given.holder == l.self && s.given.until > now {
			s.giveUp(now)
		}
	}
}
