package wire

// The kinds of the messages by which the list of instances spreads.
const (
	KindRosterAsk  Kind = 10
	KindRosterRows Kind = 11
)

// RosterAsk asks for what differs from the sender's list of instances. It is
// answered by RosterRows.
type RosterAsk struct {
	// Hash is over all rows that the sender holds.
	Hash uint64 `msgpack:"hash"`
	// Hashes has the hash of each bucket, or is empty to ask first whether
	// anything differs.
	Hashes []uint64 `msgpack:"hashes"`
}

// RosterRows answers a RosterAsk.
type RosterRows struct {
	// Known tells that the sender holds a list.
	Known bool `msgpack:"known"`
	// Same tells that both hold the same rows.
	Same bool `msgpack:"same"`
	// AgeMillis is how long ago the sender's list was read from the platform.
	AgeMillis int64 `msgpack:"age_ms"`
	// Buckets names the buckets whose rows follow.
	Buckets []int          `msgpack:"buckets"`
	Entries []RosterEntry  `msgpack:"entries"`
	Targets []RosterTarget `msgpack:"targets"`
}

// RosterEntry is the row of an entry instance.
type RosterEntry struct {
	Instance      string `msgpack:"i"`
	Zone          string `msgpack:"z"`
	CallerAddress string `msgpack:"c"`
	PeerAddress   string `msgpack:"p"`
	State         string `msgpack:"s"`
}

// RosterTarget is the row of a target.
type RosterTarget struct {
	Target  string `msgpack:"t"`
	Service string `msgpack:"v"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	State   string `msgpack:"s"`
}

func (*RosterAsk) kind() Kind  { return KindRosterAsk }
func (*RosterRows) kind() Kind { return KindRosterRows }

func newRoster(k Kind) Message {
	switch k {
	case KindRosterAsk:
		return &RosterAsk{}
	case KindRosterRows:
		return &RosterRows{}
	default:
		return nil
	}
}
