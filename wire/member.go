package wire

import "github.com/endivechute/endivechute/place"

// The kinds of the messages of membership.
const (
	// KindMemberBeat: a heartbeat between members, and its answer.
	KindMemberBeat Kind = 50
)

// MemberHealth is what a rumour says of a process.
type MemberHealth uint8

// The healths, in the order in which they outweigh each other.
const (
	MemberHealthAlive MemberHealth = iota
	MemberHealthSuspect
	MemberHealthDead
)

// MemberBeat is a heartbeat between two entries, and the answer to one. Its
// parts travel without their names, to keep it short.
type MemberBeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	// Sender is the sending process as it knows itself.
	Sender MemberRumour
	// Zone is the sender's availability zone.
	Zone place.Zone
	// View is a digest of the members that the sender counts as alive.
	View uint64
	// Settings is a digest of the versions of the settings in force.
	Settings uint64
	// Pull asks for everything that the receiver knows of the zone.
	Pull bool
	// Sum, if set, is the load of the sender and of those below it in the
	// zone's tree.
	Sum *MemberSum
	// Rumours are news of members of the zone.
	Rumours []MemberRumour
	// Zones are sums of whole availability zones.
	Zones []MemberZone
}

// MemberRumour is news of one process.
type MemberRumour struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Instance    place.Instance
	Address     string
	Incarnation uint64
	// Epoch is raised by the process itself when it hears that others count
	// it as suspect or dead.
	Epoch   uint32
	Health  MemberHealth
	Leaving bool
}

// MemberSum is the load of a number of members.
type MemberSum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Members int
	Leaving int
	Slots   int
	Running int
	Queued  int
}

// MemberZone is the load of one availability zone.
type MemberZone struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Zone place.Zone
	// Version grows with every new sum of the zone.
	Version  uint64
	Settings uint64
	Sum      MemberSum
}

func (*MemberBeat) kind() Kind { return KindMemberBeat }

func newMember(k Kind) Message {
	if k == KindMemberBeat {
		return &MemberBeat{}
	}
	return nil
}
