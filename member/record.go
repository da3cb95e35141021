// Package member tracks which entries of an availability zone are running,
// leaving or dead, and the load of every zone. It is a gossip protocol and does
// no I/O: the caller passes in the time, the received heartbeats and the
// platform's list of instances, and sends the heartbeats that come out.
//
// Members form a ring in the order of the hashes of their names. In each
// interval a process sends one heartbeat to the next member in the ring and one
// to another member. A heartbeat and its answer carry the same information,
// including updates, which are changes of members. A member that does not answer
// becomes suspect, and dead unless it refutes the suspicion in time by raising
// its epoch. The first two members in the ring that are alive and not leaving
// are the relays of the zone.
//
// Load is summed up along a tree that has the first member of the ring as its
// root. The root publishes the zone's sum, which is gossiped within the zone;
// all members exchange the sums with other zones.
package member

import (
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// State is the state of an entry as this process sees it.
type State uint8

// The states.
const (
	// StateListed: the platform lists it, but no process of it is known yet.
	StateListed State = iota
	// StateAlive: it answers heartbeats.
	StateAlive
	// StateSuspect: it did not answer, and has not refuted the suspicion yet.
	StateSuspect
	// StateLeaving: it announced that it is about to stop. An incarnation that is
	// leaving never becomes alive again.
	StateLeaving
	// StateDead: it stopped, refused a connection, or stayed suspect too long.
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

// Member is what this process knows about one entry of its zone.
type Member struct {
	instance    place.Instance
	address     string
	incarnation uint64
	state       State
	since       time.Time
}

// Instance returns the name of the entry.
func (m Member) Instance() place.Instance { return m.instance }

// Address returns the host and port at which it accepts connections of peers.
func (m Member) Address() string { return m.address }

// Incarnation returns the number of the entry's process, which grows with each
// restart, or 0 if no process of it is known.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the entry as this process sees it.
func (m Member) State() State { return m.state }

// Since returns when this process last saw the entry's health or incarnation
// change. For a suspect, a pause of this process resets it.
func (m Member) Since() time.Time { return m.since }

// Load is the number of slots of some targets and of the requests that run and
// wait there.
type Load struct {
	Slots   int
	Running int
	Queued  int
}

// record holds an update about an entry and what is needed to check its health.
type record struct {
	update          wire.MemberUpdate
	ringHash        uint64 // place in the ring
	since           time.Time
	unansweredSince time.Time // when the first heartbeat without an answer was sent; zero if all are answered
	sendCount       int       // how often the update has been sent since it last changed
	listed          bool      // whether the platform's list has the entry
}

func (r *record) state() State {
	switch {
	case r.update.Health == wire.MemberHealthDead:
		return StateDead
	case r.update.Incarnation == 0:
		return StateListed
	case r.update.Leaving:
		return StateLeaving
	case r.update.Health == wire.MemberHealthSuspect:
		return StateSuspect
	}
	return StateAlive
}

// present reports whether a process of the entry is known and not dead.
func (r *record) present() bool {
	return r.update.Incarnation != 0 && r.update.Health != wire.MemberHealthDead
}

// asSuspicion returns the update with dead lowered to suspect, so that the member
// has DeadAfter to refute it. Otherwise a process that was partitioned and
// counted everyone as dead would convince all others when it reconnects.
func asSuspicion(update wire.MemberUpdate) wire.MemberUpdate {
	if update.Health == wire.MemberHealthDead {
		update.Health = wire.MemberHealthSuspect
	}
	return update
}

// mergeUpdates merges two updates about one instance and reports whether the
// result differs from the first. The merge is commutative, so the order in which
// updates arrive does not matter.
func mergeUpdates(current, received wire.MemberUpdate) (wire.MemberUpdate, bool) {
	if received.Incarnation != current.Incarnation {
		if received.Incarnation > current.Incarnation {
			return received, true
		}
		return current, false
	}
	merged := current
	merged.Leaving = current.Leaving || received.Leaving
	overrides := received.Epoch > current.Epoch || (received.Epoch == current.Epoch && received.Health > current.Health)
	if overrides {
		merged.Epoch, merged.Health = received.Epoch, received.Health
	}
	return merged, overrides || merged.Leaving != current.Leaving
}
