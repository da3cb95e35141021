package wire

import "github.com/endivechute/endivechute/place"

// The kinds of the messages of the membership protocol.
const (
	// KindMemberHeartbeat: a heartbeat between members, and its answer.
	KindMemberHeartbeat Kind = 50
)

// MemberHealth is the health of a process in a MemberUpdate.
type MemberHealth uint8

// The values of MemberHealth, in ascending order of precedence.
const (
	MemberHealthAlive MemberHealth = iota
	MemberHealthSuspect
	MemberHealthDead
)

// MemberHeartbeat is a heartbeat between two entries, and also the answer to
// one. It carries gossip about the members and the load of the zones. It is
// encoded as an array, without field names, to keep it short.
type MemberHeartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	// Sender is the sender's own state.
	Sender MemberUpdate
	// Zone is the sender's availability zone.
	Zone place.Zone
	// View is a digest of the members that the sender considers alive.
	View uint64
	// Settings is a digest of the versions of the settings in force.
	Settings uint64
	// Pull requests everything that the receiver knows about the zone.
	Pull bool
	// Sum, if set, is the total load of the sender and its descendants in the
	// aggregation tree of the zone.
	Sum *LoadTotal
	// Updates are updates about members of the zone.
	Updates []MemberUpdate
	// Zones holds the total load of availability zones.
	Zones []ZoneLoad
}

// MemberUpdate is an update about the state of one process, spread by gossip.
type MemberUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Instance    place.Instance
	Address     string
	Incarnation uint64
	// Epoch is incremented by the process itself when it learns that others
	// consider it suspect or dead.
	Epoch   uint32
	Health  MemberHealth
	Leaving bool
}

// LoadTotal is the total load of a group of members.
type LoadTotal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Members int
	Leaving int
	Slots   int
	Running int
	Queued  int
}

// ZoneLoad is the total load of one availability zone.
type ZoneLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Zone place.Zone
	// Version increases with every new total of the zone.
	Version  uint64
	Settings uint64
	Sum      LoadTotal
}

func (*MemberHeartbeat) kind() Kind { return KindMemberHeartbeat }

func newMemberMessage(k Kind) Message {
	if k == KindMemberHeartbeat {
		return &MemberHeartbeat{}
	}
	return nil
}
