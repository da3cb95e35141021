package wire

import "github.com/endivechute/endivechute/place"

// The kinds of the messages by which the entries of an availability zone elect the
// keeper of each target. The keeper is the only entry of the zone that sends to the
// target; it holds a lease from the electors.
const (
	KindLeaseHeartbeat Kind = 30
	KindLeaseAck       Kind = 31
	KindHandover       Kind = 32
	KindInheritedDone  Kind = 33
	KindKeepersRequest Kind = 34
	KindKeepers        Kind = 35
	KindAck            Kind = 36
)

// LeaseRequest requests the lease of one resource, or releases it. View is a
// digest of the resource's electors as the sender sees them; an elector ignores
// a request with another View.
type LeaseRequest struct {
	Resource string `msgpack:"r"`
	View     uint64 `msgpack:"v"`
	Release  bool   `msgpack:"x"`
}

// LeaseHeartbeat sends lease requests to an elector. It is answered by LeaseAck.
type LeaseHeartbeat struct {
	Incarnation uint64 `msgpack:"incarnation"`
	// SentNanos is the time of sending by the sender's clock.
	SentNanos int64          `msgpack:"sent_ns"`
	Requests  []LeaseRequest `msgpack:"asks"`
}

// LeaseAck answers a LeaseHeartbeat with the resources whose leases were
// granted. The other fields repeat those of the LeaseHeartbeat.
type LeaseAck struct {
	Incarnation uint64   `msgpack:"incarnation"`
	SentNanos   int64    `msgpack:"sent_ns"`
	Granted     []string `msgpack:"granted"`
}

// Handover tells the next keeper of a target which requests of the previous
// keeper are still running there. It is answered by Ack.
type Handover struct {
	Target place.Target `msgpack:"target"`
	// RequestedNanos is the time, by the receiver's clock, of the lease request
	// that the handover answers.
	RequestedNanos int64 `msgpack:"asked_ns"`
	// RemainingMillis holds, for each running request, how long it may still run.
	RemainingMillis []int64 `msgpack:"left_ms"`
}

// InheritedDone says that one of the requests in a Handover has ended. It is
// answered by Ack.
type InheritedDone struct {
	Target         place.Target `msgpack:"target"`
	RequestedNanos int64        `msgpack:"asked_ns"`
}

// KeepersRequest asks for the targets that the receiver keeps. It is answered by
// Keepers.
type KeepersRequest struct{}

// Keepers holds a KeeperView of each target that the sender keeps.
type Keepers struct {
	Views []KeeperView `msgpack:"views"`
}

// KeeperView is the state of a target as its keeper sees it.
type KeeperView struct {
	Target     place.Target `msgpack:"t"`
	Free       int          `msgpack:"f"`
	WaitMicros int64        `msgpack:"w"`
	Failures   int          `msgpack:"b"`
	Leaving    bool         `msgpack:"l"`
	// ServiceMicros is the service time: from sending a request to its answer.
	ServiceMicros int64 `msgpack:"s"`
	// Limit is the limit that the target names on its requests, in requests per
	// second, nil if it names none.
	Limit *float64 `msgpack:"q,omitempty"`
}

// Ack acknowledges a message that needs no other answer.
type Ack struct{}

func (*LeaseHeartbeat) kind() Kind { return KindLeaseHeartbeat }
func (*LeaseAck) kind() Kind       { return KindLeaseAck }
func (*Handover) kind() Kind       { return KindHandover }
func (*InheritedDone) kind() Kind  { return KindInheritedDone }
func (*KeepersRequest) kind() Kind { return KindKeepersRequest }
func (*Keepers) kind() Kind        { return KindKeepers }
func (*Ack) kind() Kind            { return KindAck }

func newLimitsMessage(k Kind) Message {
	switch k {
	case KindLeaseHeartbeat:
		return &LeaseHeartbeat{}
	case KindLeaseAck:
		return &LeaseAck{}
	case KindHandover:
		return &Handover{}
	case KindInheritedDone:
		return &InheritedDone{}
	case KindKeepersRequest:
		return &KeepersRequest{}
	case KindKeepers:
		return &Keepers{}
	case KindAck:
		return &Ack{}
	default:
		return nil
	}
}
