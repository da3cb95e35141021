package wire

import (
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// The kinds of the messages that keep non-idempotent requests from running
// twice.
const (
	KindKeyRecord   Kind = 20
	KindKeyRecorded Kind = 21
	KindKeySeal     Kind = 22
	KindKeySealed   Kind = 23
	KindKeyReport   Kind = 24
	KindKeyHandover Kind = 25
	KindKeyRelease  Kind = 26
	KindKeyTaken    Kind = 27
	KindKeyAway     Kind = 28
)

// KeyRecord asks the witness of a key to record it. It is answered by
// KeyRecorded.
type KeyRecord struct {
	Key         string `msgpack:"key"`
	Digest      uint64 `msgpack:"digest"`
	BoundMillis int64  `msgpack:"bound_ms"`
}

// KeyRecorded answers a KeyRecord with a ticket.RecordReply.
type KeyRecorded struct {
	Reply uint8 `msgpack:"reply"`
}

// KeySeal asks the witness of a key what it knows, and to record it no more.
// It is answered by KeySealed.
type KeySeal struct {
	Key    string `msgpack:"key"`
	Digest uint64 `msgpack:"digest"`
}

// KeyState is what a witness says of a key.
type KeyState uint8

// The states of a key at its witness. They stand for the types of ticket.Seal.
const (
	KeyStateUnknown KeyState = iota
	KeyStateNotRun
	KeyStateKnown
	KeyStateActing
)

// KeySealed answers a KeySeal.
type KeySealed struct {
	State       KeyState   `msgpack:"state"`
	Outcome     KeyOutcome `msgpack:"outcome"`
	AfterMillis int64      `msgpack:"after_ms"`
	Why         string     `msgpack:"why"`
}

// KeyOutcome is the outcome of a request: the packed Answer, or else the
// fields of a refusal.
type KeyOutcome struct {
	Answer         []byte       `msgpack:"answer"`
	Verdict        errs.Verdict `msgpack:"verdict"`
	Reason         errs.Reason  `msgpack:"reason"`
	Text           string       `msgpack:"text"`
	ComeBackMillis int64        `msgpack:"come_back_ms"`
}

// KeyReport tells the witness the outcome of a key. It is answered by
// KeyTaken.
type KeyReport struct {
	Key     string     `msgpack:"key"`
	Outcome KeyOutcome `msgpack:"outcome"`
}

// KeyProcess names a process.
type KeyProcess struct {
	Instance    place.Instance `msgpack:"instance"`
	Incarnation uint64         `msgpack:"incarnation"`
}

// KeyRow is one key of a KeyHandover or a KeyRelease.
type KeyRow struct {
	Nonce   uint64 `msgpack:"n"`
	Number  uint64 `msgpack:"i"`
	Expires int64  `msgpack:"e"`
	Digest  uint64 `msgpack:"d"`
}

// KeyHandover gives the witness the keys of a home that stops. It is answered
// by KeyTaken.
type KeyHandover struct {
	Home        KeyProcess `msgpack:"home"`
	Witness     KeyProcess `msgpack:"witness"`
	Zone        place.Zone `msgpack:"zone"`
	LastExpires int64      `msgpack:"last_expires"`
	ClosedUntil int64      `msgpack:"closed_until"`
	Refused     []KeyRow   `msgpack:"refused"`
	Unused      []KeyRow   `msgpack:"unused"`
}

// KeyRelease tells a home that its witness stops. It is answered by KeyTaken.
type KeyRelease struct {
	Home        KeyProcess `msgpack:"home"`
	Witness     KeyProcess `msgpack:"witness"`
	Sealed      []KeyRow   `msgpack:"sealed"`
	ClosedUntil int64      `msgpack:"closed_until"`
}

// KeyTaken tells whether the receiver did what it was asked for.
type KeyTaken struct {
	Taken bool `msgpack:"taken"`
}

// KeyAway answers a Forward with ScopeHome at a process that is not, or no
// longer, the home of the key.
type KeyAway struct{}

func (*KeyRecord) kind() Kind   { return KindKeyRecord }
func (*KeyRecorded) kind() Kind { return KindKeyRecorded }
func (*KeySeal) kind() Kind     { return KindKeySeal }
func (*KeySealed) kind() Kind   { return KindKeySealed }
func (*KeyReport) kind() Kind   { return KindKeyReport }
func (*KeyHandover) kind() Kind { return KindKeyHandover }
func (*KeyRelease) kind() Kind  { return KindKeyRelease }
func (*KeyTaken) kind() Kind    { return KindKeyTaken }
func (*KeyAway) kind() Kind     { return KindKeyAway }

func newOnce(k Kind) Message {
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
	case KindKeyTaken:
		return &KeyTaken{}
	case KindKeyAway:
		return &KeyAway{}
	default:
		return nil
	}
}
