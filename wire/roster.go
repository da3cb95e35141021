package wire

// The kinds of the messages by which processes replicate the roster, the list of
// instances, from each other.
const (
	KindRosterRequest Kind = 10
	KindRosterRows    Kind = 11
)

// RosterRequest requests the buckets of rows that differ from the sender's
// roster. It is answered by RosterRows.
type RosterRequest struct {
	// Hash is the hash of all rows of the sender.
	Hash uint64 `msgpack:"hash"`
	// Hashes holds the hash of each bucket. If it is empty, the sender only asks
	// whether anything differs.
	Hashes []uint64 `msgpack:"hashes"`
}

// RosterRows answers a RosterRequest.
type RosterRows struct {
	// Known reports whether the sender has a roster.
	Known bool `msgpack:"known"`
	// Same reports whether both processes have the same rows.
	Same bool `msgpack:"same"`
	// AgeMillis is how long ago the sender's roster was read from the platform.
	AgeMillis int64 `msgpack:"age_ms"`
	// Buckets lists the buckets whose rows are in Entries and Targets.
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

func (*RosterRequest) kind() Kind { return KindRosterRequest }
func (*RosterRows) kind() Kind    { return KindRosterRows }

func newRosterMessage(k Kind) Message {
	switch k {
	case KindRosterRequest:
		return &RosterRequest{}
	case KindRosterRows:
		return &RosterRows{}
	default:
		return nil
	}
}
