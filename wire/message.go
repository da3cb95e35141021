package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// Version is the version of the protocol. The handshake fails between processes
// of different versions.
const Version = 1

// Kind identifies the type of the message in a frame.
type Kind uint8

// The kinds of the core messages. The other parts of the protocol have their own
// ranges: 10 to 19 roster, 20 to 29 at-most-once keys, 30 to 39 leases and limits
// of targets, 40 to 49 settings, 50 to 59 membership, 60 to 69 platform objects, 70 to
// 73 quotas of tenants, 74 load reports.
const (
	KindHello        Kind = 1
	KindCancel       Kind = 2
	KindForward      Kind = 3
	KindAnswer       Kind = 4
	KindHeartbeat    Kind = 5
	KindHeartbeatAck Kind = 6
	KindRefused      Kind = 7
)

// Message is a message of the protocol. Only this package can implement it, so a
// type switch can cover all messages.
type Message interface {
	kind() Kind
}

// Hello is the first message on a connection in each direction.
type Hello struct {
	Version     int            `msgpack:"version"`
	Instance    place.Instance `msgpack:"instance"`
	Zone        place.Zone     `msgpack:"zone"`
	Incarnation uint64         `msgpack:"incarnation"`
}

// Cancel cancels the call with the same number. It has no answer.
type Cancel struct{}

// Header is one header field of a request or an answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Scope says which part of the routing is left to the receiver of a forwarded
// request.
type Scope uint8

// The scopes.
const (
	// ScopeZone: the receiver chooses a target in its own availability zone and
	// sends through the keeper of that target.
	ScopeZone Scope = iota
	// ScopeTarget: the receiver is the keeper of the named target.
	ScopeTarget
	// ScopeHome: the receiver is the home of the request's key.
	ScopeHome
)

// Forward passes a request on to another entry. Hops is how many times the request
// has been forwarded so far, including this time.
type Forward struct {
	Scope          Scope         `msgpack:"scope"`
	Service        place.Service `msgpack:"service"`
	Target         place.Target  `msgpack:"target"`
	Method         string        `msgpack:"method"`
	Path           string        `msgpack:"path"`
	Headers        []Header      `msgpack:"headers"`
	Body           []byte        `msgpack:"body"`
	Key            string        `msgpack:"key"`
	DeadlineMillis int64         `msgpack:"deadline_ms"`
	Hops           int           `msgpack:"hops"`
}

// Answer is the complete HTTP response of a target to a forwarded request. Keeper,
// if set, is the state of Target as seen by its keeper, which sent the Answer.
type Answer struct {
	Target  place.Target `msgpack:"target"`
	Status  int          `msgpack:"status"`
	Headers []Header     `msgpack:"headers"`
	Body    []byte       `msgpack:"body"`
	Keeper  *KeeperView  `msgpack:"keeper,omitempty"`
}

// Refused says that a call failed and, in its verdict, whether the request may
// have run.
type Refused struct {
	Verdict          errs.Verdict `msgpack:"verdict"`
	Reason           errs.Reason  `msgpack:"reason"`
	Text             string       `msgpack:"text"`
	RetryAfterMillis int64        `msgpack:"come_back_ms"`
	Keeper           *KeeperView  `msgpack:"keeper,omitempty"`
}

// Heartbeat is a heartbeat. It is answered by HeartbeatAck.
type Heartbeat struct {
	Instance    place.Instance `msgpack:"instance"`
	Incarnation uint64         `msgpack:"incarnation"`
	Leaving     bool           `msgpack:"leaving"`
	// Slow lists targets that the sender has found slow or unreachable.
	Slow []SlowTarget `msgpack:"slow,omitempty"`
	// Left lists targets that announced that they leave and are still in the
	// platform's list.
	Left []LeavingTarget `msgpack:"left,omitempty"`
	// Limits lists limits on their requests that targets named in answers to the
	// sender, or ceased to name.
	Limits []TargetLimit `msgpack:"limits,omitempty"`
	// Suspects lists requests that targets had when they crashed.
	Suspects []Suspect `msgpack:"suspects,omitempty"`
}

// Suspect is a request, by its fingerprint, that targets had when they crashed.
// Cleared is true if a target has answered it since, ClearedAgeMillis ago, which
// lifts the suspicion.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Fingerprint      uint64
	Crashes          []Crash
	Cleared          bool
	ClearedAgeMillis int64
	// Successive is how many of the crashes followed from each other.
	Successive int
}

// Crash is the crash of a target's process, by a hash of its name and start. The
// request had run there for RanMillis, as the witness saw it.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Process   uint64
	AgeMillis int64
	RanMillis int64
	Target    place.Target
	Witness   place.Instance
}

// TargetLimit is a limit on the requests to a target from all instances together.
// Born is the start of the target's process in Unix milliseconds. Named is false if
// the target names no limit any more.
type TargetLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Target    place.Target
	Born      int64
	PerSecond float64
	Named     bool
	AgeMillis int64
}

// LeavingTarget is a target that announced that it leaves. Born is the start of its
// process in Unix milliseconds.
type LeavingTarget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Target place.Target
	Born   int64
}

// SlowTarget is a target that an instance has found slow. Born is the start of
// the target's process in Unix milliseconds. Slowdown is how many times as long as
// usual its answers take.
type SlowTarget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Target   place.Target
	Born     int64
	Slowdown float32
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Incarnation uint64 `msgpack:"incarnation"`
	Leaving     bool   `msgpack:"leaving"`
	// OutOfReach is true if the sender reaches no target.
	OutOfReach bool `msgpack:"out_of_reach,omitempty"`
}

func (*Hello) kind() Kind        { return KindHello }
func (*Cancel) kind() Kind       { return KindCancel }
func (*Forward) kind() Kind      { return KindForward }
func (*Answer) kind() Kind       { return KindAnswer }
func (*Refused) kind() Kind      { return KindRefused }
func (*Heartbeat) kind() Kind    { return KindHeartbeat }
func (*HeartbeatAck) kind() Kind { return KindHeartbeatAck }

// messageFactories holds one function for each part of the protocol. It returns an
// empty message of the given kind, or nil if the kind belongs to another part.
var messageFactories = []func(Kind) Message{
	newCoreMessage,
	newSettingsMessage,
	newRosterMessage,
	newOnceMessage,
	newLimitsMessage,
	newMemberMessage,
	newFollowMessage,
	newUsageMessage,
	newLoadsMessage,
}

func newCoreMessage(k Kind) Message {
	switch k {
	case KindHello:
		return &Hello{}
	case KindCancel:
		return &Cancel{}
	case KindForward:
		return &Forward{}
	case KindAnswer:
		return &Answer{}
	case KindRefused:
		return &Refused{}
	case KindHeartbeat:
		return &Heartbeat{}
	case KindHeartbeatAck:
		return &HeartbeatAck{}
	default:
		return nil
	}
}

func marshal(m Message) ([]byte, error) {
	payload, err := msgpack.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode a message of kind %d", m.kind())
	}
	return payload, nil
}

// unmarshal decodes the message of a frame. Unknown fields, unknown kinds and
// trailing bytes are errors that hold ErrProtocol in their chain.
func unmarshal(f frame) (Message, error) {
	var message Message
	for _, newMessage := range messageFactories {
		if message = newMessage(f.kind); message != nil {
			break
		}
	}
	if message == nil {
		return nil, errors.Wrapf(ErrProtocol, "unknown message kind %d", f.kind)
	}
	source := bytes.NewReader(f.payload)
	decoder := msgpack.NewDecoder(source)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(message); err != nil {
		return nil, errors.Wrapf(errors.Mark(err, ErrProtocol), "decode a message of kind %d", f.kind)
	}
	if source.Len() > 0 {
		return nil, errors.Wrapf(ErrProtocol, "%d trailing bytes after a message of kind %d", source.Len(), f.kind)
	}
	return message, nil
}
