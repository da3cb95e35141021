package wire

import (
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// The kinds of the messages by which the home and the witness of a key keep a
// non-idempotent request from running twice. They are the two entries that record
// the key: the home runs its request, the witness answers if the home is gone.
const (
	KindKeyRecord   Kind = 20
	KindKeyRecorded Kind = 21
	KindKeySeal     Kind = 22
	KindKeySealed   Kind = 23
	KindKeyReport   Kind = 24
	KindKeyHandover Kind = 25
	KindKeyRelease  Kind = 26
	KindKeyAccepted Kind = 27
	KindKeyNotHome  Kind = 28
)

// KeyRecord asks the witness of a key to record the key before its request runs.
// It is answered by KeyRecorded.
type KeyRecord struct {
	Key         string `msgpack:"key"`
	Digest      uint64 `msgpack:"digest"`
	BoundMillis int64  `msgpack:"bound_ms"`
}

// KeyRecorded answers a KeyRecord with a ticket.RecordReply.
type KeyRecorded struct {
	Reply uint8 `msgpack:"reply"`
}

// KeySeal asks the witness of a key for the state of the key and, if the key is not
// recorded, to reject a later KeyRecord. It is answered by KeySealed.
type KeySeal struct {
	Key    string `msgpack:"key"`
	Digest uint64 `msgpack:"digest"`
}

// KeyState is the state of a key at its witness.
type KeyState uint8

// The values of KeyState. Each corresponds to a type that implements ticket.Seal.
const (
	KeyStateUnknown KeyState = iota
	KeyStateNotRun
	KeyStateKnown
	KeyStateTakenOver
)

// KeySealed answers a KeySeal. Outcome is set in KeyStateKnown. In
// KeyStateUnknown, AfterMillis is when asking again may tell more, 0 for never,
// and Cause the cause.
type KeySealed struct {
	State       KeyState   `msgpack:"state"`
	Outcome     KeyOutcome `msgpack:"outcome"`
	AfterMillis int64      `msgpack:"after_ms"`
	Cause       string     `msgpack:"why"`
}

// KeyOutcome is the outcome of a request: an encoded Answer, or else the fields of
// a refusal.
type KeyOutcome struct {
	Answer           []byte       `msgpack:"answer"`
	Verdict          errs.Verdict `msgpack:"verdict"`
	Reason           errs.Reason  `msgpack:"reason"`
	Text             string       `msgpack:"text"`
	RetryAfterMillis int64        `msgpack:"come_back_ms"`
}

// KeyReport sends the outcome of a key to its witness. It is answered by
// KeyAccepted.
type KeyReport struct {
	Key     string     `msgpack:"key"`
	Outcome KeyOutcome `msgpack:"outcome"`
}

// KeyProcess identifies a process by its instance and incarnation.
type KeyProcess struct {
	Instance    place.Instance `msgpack:"instance"`
	Incarnation uint64         `msgpack:"incarnation"`
}

// KeyRow is one key of a KeyHandover or a KeyRelease. Expires is in Unix
// milliseconds.
type KeyRow struct {
	Nonce   uint64 `msgpack:"n"`
	Number  uint64 `msgpack:"i"`
	Expires int64  `msgpack:"e"`
	Digest  uint64 `msgpack:"d"`
}

// KeyHandover transfers the keys of a home that is stopping to the witness.
// Refused holds the keys that must never run, Unused those that the home asked
// to record and did not run. Keys that expire by ClosedUntil, in Unix
// milliseconds, must not run either. It is answered by KeyAccepted.
type KeyHandover struct {
	Home        KeyProcess `msgpack:"home"`
	Witness     KeyProcess `msgpack:"witness"`
	Zone        place.Zone `msgpack:"zone"`
	LastExpires int64      `msgpack:"last_expires"`
	ClosedUntil int64      `msgpack:"closed_until"`
	Refused     []KeyRow   `msgpack:"refused"`
	Unused      []KeyRow   `msgpack:"unused"`
}

// KeyRelease tells a home that its witness is stopping. Sealed holds the keys
// that must never run; the same holds for unused keys that expire by
// ClosedUntil, in Unix milliseconds. It is answered by KeyAccepted.
type KeyRelease struct {
	Home        KeyProcess `msgpack:"home"`
	Witness     KeyProcess `msgpack:"witness"`
	Sealed      []KeyRow   `msgpack:"sealed"`
	ClosedUntil int64      `msgpack:"closed_until"`
}

// KeyAccepted says whether the receiver carried out the request.
type KeyAccepted struct {
	Accepted bool `msgpack:"taken"`
}

// KeyNotHome answers a Forward with ScopeHome if the receiver is not, or is no
// longer, the home of the key.
type KeyNotHome struct{}

func (*KeyRecord) kind() Kind   { return KindKeyRecord }
func (*KeyRecorded) kind() Kind { return KindKeyRecorded }
func (*KeySeal) kind() Kind     { return KindKeySeal }
func (*KeySealed) kind() Kind   { return KindKeySealed }
func (*KeyReport) kind() Kind   { return KindKeyReport }
func (*KeyHandover) kind() Kind { return KindKeyHandover }
func (*KeyRelease) kind() Kind  { return KindKeyRelease }
func (*KeyAccepted) kind() Kind { return KindKeyAccepted }
func (*KeyNotHome) kind() Kind  { return KindKeyNotHome }

func newOnceMessage(k Kind) Message {
	switch k {
	case KindKeyRecord:
		return &KeyRecord{}
	case KindKeyRecorded:
		return &KeyRecorded{}
	case KindKeySeal:
		return &KeySeal{}
	case KindKeySealed:
		return &KeySealed{}
	case KindKeyReport:
		return &KeyReport{}
	case KindKeyHandover:
		return &KeyHandover{}
	case KindKeyRelease:
		return &KeyRelease{}
	case KindKeyAccepted:
		return &KeyAccepted{}
	case KindKeyNotHome:
		return &KeyNotHome{}
	default:
		return nil
	}
}
