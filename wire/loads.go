package wire

import "github.com/endivechute/endivechute/place"

// KindLoads is the kind of the message by which the instances of an availability zone
// share the load reports of targets.
const KindLoads Kind = 74

// Loads holds load reports that the sender received from targets, the newest first.
// It is answered by Ack.
type Loads struct {
	Reports []TargetLoad `msgpack:"reports"`
}

// TargetLoad is the load report of a target. Born is the start of its process in Unix
// milliseconds. WorkPercent is how long work takes on its machine in percent of the
// usual time, 0 if the target doesn't report that. AgeMillis is the time since the
// sender received the report.
type TargetLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Target      place.Target
	Born        int64
	Running     int
	Waiting     int
	WorkPercent int
	AgeMillis   int64
}

func (*Loads) kind() Kind { return KindLoads }

func newLoadsMessage(k Kind) Message {
	if k == KindLoads {
		return &Loads{}
	}
	return nil
}
