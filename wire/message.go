package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// Version is the version of the protocol. A process talks only to processes
// of the same version.
const Version = 1

// Kind is the kind of a message as it stands in a frame.
type Kind uint8

// The kinds of the core messages. Other parts have ranges of their own: 20 to
// 29 at-most-once, 30 to 39 limits, 40 to 49 settings, 50 to 59 membership, 60 to
// 69 the objects of the platform.
const (
	KindHello   Kind = 1
	KindCancel  Kind = 2
	KindForward Kind = 3
	KindAnswer  Kind = 4
	KindBeat    Kind = 5
	KindBeatAck Kind = 6
	KindRefused Kind = 7
)

// Message is one of the messages of the protocol. The set is closed: a type
// switch over it can be complete.
type Message interface {
	kind() Kind
}

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Version     int            `msgpack:"version"`
	Instance    place.Instance `msgpack:"instance"`
	Zone        place.Zone     `msgpack:"zone"`
	Incarnation uint64         `msgpack:"incarnation"`
}

// Cancel asks to give up the call that bears the same number. It has no
// answer.
type Cancel struct{}

// Header is one field of the head of a request or an answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Scope says how far a forwarded request may still travel.
type Scope uint8

// The scopes.
const (
	// ScopeZone: the receiver chooses a target of its own availability zone,
	// over its keeper.
	ScopeZone Scope = iota
	// ScopeTarget: the receiver is the keeper of the named target.
	ScopeTarget
	// ScopeHome: the receiver is the home of the request's key.
	ScopeHome
)

// Forward hands a request to another entry.
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

// Answer is the whole answer of a target to a forwarded request.
type Answer struct {
	Target  place.Target `msgpack:"target"`
	Status  int          `msgpack:"status"`
	Headers []Header     `msgpack:"headers"`
	Body    []byte       `msgpack:"body"`
	Keeper  *KeeperView  `msgpack:"keeper,omitempty"`
}

// Refused says that a call failed, and whether the request may have run.
type Refused struct {
	Verdict        errs.Verdict `msgpack:"verdict"`
	Reason         errs.Reason  `msgpack:"reason"`
	Text           string       `msgpack:"text"`
	ComeBackMillis int64        `msgpack:"come_back_ms"`
	Keeper         *KeeperView  `msgpack:"keeper,omitempty"`
}

// Beat tells that a process lives.
type Beat struct {
	Instance    place.Instance `msgpack:"instance"`
	Incarnation uint64         `msgpack:"incarnation"`
	Leaving     bool           `msgpack:"leaving"`
}

// BeatAck answers a Beat.
type BeatAck struct {
	Incarnation uint64 `msgpack:"incarnation"`
	Leaving     bool   `msgpack:"leaving"`
}

func (*Hello) kind() Kind   { return KindHello }
func (*Cancel) kind() Kind  { return KindCancel }
func (*Forward) kind() Kind { return KindForward }
func (*Answer) kind() Kind  { return KindAnswer }
func (*Refused) kind() Kind { return KindRefused }
func (*Beat) kind() Kind    { return KindBeat }
func (*BeatAck) kind() Kind { return KindBeatAck }

// makers holds, for each part of the protocol, the function that makes an
// empty message of a kind, or returns nil for a kind of another part.
var makers = []func(Kind) Message{
	newCore,
	newSettings,
	newRoster,
	newOnce,
	newLimits,
	newMember,
	newFollow,
}

func newCore(k Kind) Message {
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
	case KindBeat:
		return &Beat{}
	case KindBeatAck:
		return &BeatAck{}
	default:
		return nil
	}
}

func pack(m Message) ([]byte, error) {
	packed, err := msgpack.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "pack a message of kind %d", m.kind())
	}
	return packed, nil
}

// unpack reads the message of a frame. Unknown fields, unknown kinds and
// trailing bytes are errors.
func unpack(f frame) (Message, error) {
	var message Message
	for _, newPart := range makers {
		if message = newPart(f.kind); message != nil {
			break
		}
	}
	if message == nil {
		return nil, errors.Wrapf(ErrFrame, "unknown kind %d", f.kind)
	}
	source := bytes.NewReader(f.packed)
	decoder := msgpack.NewDecoder(source)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(message); err != nil {
		return nil, errors.Wrapf(errors.Mark(err, ErrFrame), "unpack a message of kind %d", f.kind)
	}
	if source.Len() > 0 {
		return nil, errors.Wrapf(ErrFrame, "%d bytes follow the message of kind %d", source.Len(), f.kind)
	}
	return message, nil
}
