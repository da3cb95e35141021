package wire

import "github.com/endivechute/endivechute/place"

// The kinds of the messages by which the entries of an availability zone decide
// who keeps a target.
const (
	KindLeaseBeat  Kind = 30
	KindLeaseAck   Kind = 31
	KindHandover   Kind = 32
	KindLeftDone   Kind = 33
	KindKeepersAsk Kind = 34
	KindKeepers    Kind = 35
	KindNoted      Kind = 36
)

// LeaseAsk asks for one lease, or gives it back.
type LeaseAsk struct {
	Resource string `msgpack:"r"`
	View     uint64 `msgpack:"v"`
	Release  bool   `msgpack:"x"`
}

// LeaseBeat asks an elector for leases. It is answered by LeaseAck.
type LeaseBeat struct {
	Incarnation uint64 `msgpack:"incarnation"`
	// SentNanos is the time of sending on the sender's clock.
	SentNanos int64      `msgpack:"sent_ns"`
	Asks      []LeaseAsk `msgpack:"asks"`
}

// LeaseAck names the leases that were given.
type LeaseAck struct {
	Incarnation uint64   `msgpack:"incarnation"`
	SentNanos   int64    `msgpack:"sent_ns"`
	Granted     []string `msgpack:"granted"`
}

// Handover tells the next keeper of a target what the one before it left
// running there. It is answered by Noted.
type Handover struct {
	Target place.Target `msgpack:"target"`
	// AskedNanos is the time, on the receiver's clock, of the request that the
	// handover answers.
	AskedNanos int64 `msgpack:"asked_ns"`
	// LeftMillis has, for each running request, the time that it may still take.
	LeftMillis []int64 `msgpack:"left_ms"`
}

// LeftDone tells that a request which a Handover counted has ended. It is
// answered by Noted.
type LeftDone struct {
	Target     place.Target `msgpack:"target"`
	AskedNanos int64        `msgpack:"asked_ns"`
}

// KeepersAsk asks what the receiver keeps. It is answered by Keepers.
type KeepersAsk struct{}

// Keepers holds a view of each target that the sender keeps.
type Keepers struct {
	Views []KeeperView `msgpack:"views"`
}

// KeeperView is what the keeper of a target knows of it.
type KeeperView struct {
	Target     place.Target `msgpack:"t"`
	Free       int          `msgpack:"f"`
	WaitMicros int64        `msgpack:"w"`
	Failures   int          `msgpack:"b"`
	Leaving    bool         `msgpack:"l"`
	// ServiceMicros is the time from dispatch to answer.
	ServiceMicros int64 `msgpack:"s"`
}

// Noted answers a message that needs no other answer.
type Noted struct{}

func (*LeaseBeat) kind() Kind  { return KindLeaseBeat }
func (*LeaseAck) kind() Kind   { return KindLeaseAck }
func (*Handover) kind() Kind   { return KindHandover }
func (*LeftDone) kind() Kind   { return KindLeftDone }
func (*KeepersAsk) kind() Kind { return KindKeepersAsk }
func (*Keepers) kind() Kind    { return KindKeepers }
func (*Noted) kind() Kind      { return KindNoted }

func newLimits(k Kind) Message {
	switch k {
	case KindLeaseBeat:
		return &LeaseBeat{}
	case KindLeaseAck:
		return &LeaseAck{}
	case KindHandover:
		return &Handover{}
	case KindLeftDone:
		return &LeftDone{}
	case KindKeepersAsk:
		return &KeepersAsk{}
	case KindKeepers:
		return &Keepers{}
	case KindNoted:
		return &Noted{}
	default:
		return nil
	}
}
