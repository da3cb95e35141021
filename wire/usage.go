package wire

import "github.com/endivechute/endivechute/place"

// The kinds of the messages by which instances share what their tenants use of their
// quotas.
const (
	KindUsage          Kind = 70
	KindUsageReply     Kind = 71
	KindZoneUsage      Kind = 72
	KindZoneUsageReply Kind = 73
)

// TenantCounts holds how many requests of a tenant were received and admitted.
type TenantCounts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Tenant          place.Tenant
	Asked, Admitted int64
}

// TenantPart is the part of a tenant's quota, from 0 to 1, that is counted for
// instances and zones that are silent.
type TenantPart struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Tenant place.Tenant
	Part   float64
}

// UsagePosition is how far somebody knows the counts of a collector, which is zero if
// nothing is known. ID changes when the collector's counts start from zero.
type UsagePosition struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	ID, Revision uint64
}

// UsageTotals holds cumulative counts of a collector that have changed after the
// revision After. AgeMillis is how long ago they started from zero.
type UsageTotals struct {
	Position  UsagePosition  `msgpack:"position"`
	After     uint64         `msgpack:"after"`
	AgeMillis int64          `msgpack:"age_ms"`
	Counts    []TenantCounts `msgpack:"counts"`
	Reserved  []TenantPart   `msgpack:"reserved,omitempty"`
}

// Usage tells the collector of the sender's zone what the sender received and admitted
// since its previous report. A report that is sent again has the same Sequence. It is
// answered by UsageReply.
type Usage struct {
	Sequence uint64         `msgpack:"sequence"`
	Counts   []TenantCounts `msgpack:"counts"`
	// Known is how far the sender knows the counts of the fleet.
	Known UsagePosition `msgpack:"known"`
}

// UsageReply holds the counts of the fleet.
type UsageReply struct {
	Totals UsageTotals `msgpack:"totals"`
}

// ZoneUsage tells the collector of another zone what the instances that report to the
// sender received and admitted. It is answered by ZoneUsageReply.
type ZoneUsage struct {
	Totals UsageTotals `msgpack:"totals"`
	// Known is how far the sender knows the counts of the receiver.
	Known UsagePosition `msgpack:"known"`
}

// ZoneUsageReply answers a ZoneUsage with the same about the receiver. If that isn't the
// collector of its zone, it only names which instance is.
type ZoneUsageReply struct {
	Collector place.Instance `msgpack:"collector,omitempty"`
	Totals    UsageTotals    `msgpack:"totals"`
	Known     UsagePosition  `msgpack:"known"`
}

func (*Usage) kind() Kind          { return KindUsage }
func (*UsageReply) kind() Kind     { return KindUsageReply }
func (*ZoneUsage) kind() Kind      { return KindZoneUsage }
func (*ZoneUsageReply) kind() Kind { return KindZoneUsageReply }

func newUsageMessage(k Kind) Message {
	switch k {
	case KindUsage:
		return &Usage{}
	case KindUsageReply:
		return &UsageReply{}
	case KindZoneUsage:
		return &ZoneUsage{}
	case KindZoneUsageReply:
		return &ZoneUsageReply{}
	default:
		return nil
	}
}
