package wire

// The kinds of the messages by which the platform's objects are handed on.
const (
	KindFollow   Kind = 60
	KindFollowed Kind = 61
)

// Follow asks for what changed in the platform's objects after the given
// revisions, one for each kind of object. The receiver answers as soon as it
// knows of a change, or when the wait is over.
type Follow struct {
	After      map[string]uint64 `msgpack:"after"`
	WaitMillis int64             `msgpack:"wait_ms"`
}

// FollowedObject is one object of the platform's store.
type FollowedObject struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Name     string
	Revision uint64
	Deleted  bool
	Spec     []byte
}

// FollowedKind is what the sender knows of one kind of object.
type FollowedKind struct {
	Kind     string           `msgpack:"kind"`
	Revision uint64           `msgpack:"revision"`
	Whole    bool             `msgpack:"whole"`
	Objects  []FollowedObject `msgpack:"objects"`
}

// Followed answers a Follow. AgeMillis is how long ago the store confirmed what
// the sender knows.
type Followed struct {
	AgeMillis int64          `msgpack:"age_ms"`
	Kinds     []FollowedKind `msgpack:"kinds"`
}

func (*Follow) kind() Kind   { return KindFollow }
func (*Followed) kind() Kind { return KindFollowed }

func newFollow(k Kind) Message {
	switch k {
	case KindFollow:
		return &Follow{}
	case KindFollowed:
		return &Followed{}
	default:
		return nil
	}
}
