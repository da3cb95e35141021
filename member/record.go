// Package member knows which entries of an availability zone run, are about to
// stop, or are gone, and what load the zones carry. It does no I/O: the time,
// the received heartbeats and the platform's list are passed in, the heartbeats
// to send come out.
//
// Each interval a process sends a heartbeat to the next live member in the
// order of the hashes of their names and to one other member; the answers tell
// as much as the heartbeats. News of members travels on both. Whoever does not
// answer is suspected, and counted as dead unless it contradicts in time, which
// it does by raising its epoch. The two first members in that order are the
// relays of the zone. The load is summed up a tree that has the first one as
// its root; its sum travels like other news, and all members exchange such sums
// with other zones.
package member

import (
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// State is what this process counts another one as.
type State uint8

// The states.
const (
	// StateListed: the platform lists it, no process of it was heard yet.
	StateListed State = iota
	// StateAlive: it answers.
	StateAlive
	// StateSuspect: it did not answer, and has not contradicted yet.
	StateSuspect
	// StateLeaving: it said that it is about to stop. This is final for its
	// incarnation.
	StateLeaving
	// StateDead: it is gone, as far as this process can know.
	StateDead
)

// String returns the form used in dumps, such as "suspect".
func (s State) String() string {
	switch s {
	case StateListed:
		return "listed"
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Member is what is known of one entry of the zone.
type Member struct {
	instance    place.Instance
	address     string
	incarnation uint64
	state       State
	since       time.Time
}

// Instance returns the name of the entry.
func (m Member) Instance() place.Instance { return m.instance }

// Address returns where it listens for peers.
func (m Member) Address() string { return m.address }

// Incarnation returns the number of its process, 0 if none was heard.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns what it counts as.
func (m Member) State() State { return m.state }

// Since returns when it was last found to be alive, suspect or dead.
func (m Member) Since() time.Time { return m.since }

// Load is the work of one entry's targets.
type Load struct {
	Slots   int
	Running int
	Queued  int
}

// record is a Member with what this process needs to judge it.
type record struct {
	rumour wire.MemberRumour
	order  uint64
	since  time.Time
	asked  time.Time // first heartbeat that is not answered yet; zero: none
	sent   int       // how often the rumour has been passed on
	listed bool
}

func (r *record) state() State {
	switch {
	case r.rumour.Health == wire.MemberHealthDead:
		return StateDead
	case r.rumour.Incarnation == 0:
		return StateListed
	case r.rumour.Leaving:
		return StateLeaving
	case r.rumour.Health == wire.MemberHealthSuspect:
		return StateSuspect
	}
	return StateAlive
}

func (r *record) present() bool {
	return r.rumour.Incarnation != 0 && r.rumour.Health != wire.MemberHealthDead
}

// doubted returns the word of others on a member as this process believes it.
// It is not enough to count the member as dead: it becomes a suspect and has
// DeadAfter to contradict. Otherwise one process that was cut off, and took
// everyone for dead, would have all the others believe it on its return.
func doubted(heard wire.MemberRumour) wire.MemberRumour {
	if heard.Health == wire.MemberHealthDead {
		heard.Health = wire.MemberHealthSuspect
	}
	return heard
}

// newer tells whether the rumour says more than the record, and returns what
// both together say. It is commutative, so the order of arrival does not matter.
func newer(held, heard wire.MemberRumour) (wire.MemberRumour, bool) {
	if heard.Incarnation != held.Incarnation {
		if heard.Incarnation > held.Incarnation {
			return heard, true
		}
		return held, false
	}
	both := held
	both.Leaving = held.Leaving || heard.Leaving
	outweighs := heard.Epoch > held.Epoch || (heard.Epoch == held.Epoch && heard.Health > held.Health)
	if outweighs {
		both.Epoch, both.Health = heard.Epoch, heard.Health
	}
	return both, outweighs || both.Leaving != held.Leaving
}
