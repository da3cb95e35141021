package wire

import (
	"math"
	"testing"

	"github.com/endivechute/endivechute/place"
)

// TestHeartbeatBounded checks the size of a heartbeat that tells of as many targets
// and requests as one may.
func TestHeartbeatBounded(t *testing.T) {
	const (
		most    = 32
		crashes = 80
		name    = place.Target("i-0123456789")
		witness = place.Instance("front-bog-a-10")
		born    = int64(1764811731000)
	)
	tests := map[string]struct {
		fill     func(*Heartbeat)
		bytesMax int
	}{
		"nothing": {func(*Heartbeat) {}, 128},
		"limits": {func(h *Heartbeat) {
			for range most {
				h.Limits = append(h.Limits, TargetLimit{Target: name, Born: born, PerSecond: 12.5, Named: true, AgeMillis: 1500})
			}
		}, 1536},
		"suspects": {func(h *Heartbeat) {
			for range most {
				h.Suspects = append(h.Suspects, Suspect{Fingerprint: math.MaxUint64, Cleared: true, ClearedAgeMillis: math.MaxInt32, Successive: 8})
			}
			for i := range crashes {
				s := &h.Suspects[i%most]
				s.Crashes = append(s.Crashes, Crash{
					Process: math.MaxUint64, AgeMillis: math.MaxInt32, RanMillis: math.MaxInt32, Target: name, Witness: witness,
				})
			}
		}, 6 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Heartbeat{Instance: "front-bog-a-1", Incarnation: math.MaxUint64}
			test.fill(h)
			payload, err := marshal(h)
			if err != nil {
				t.Fatal(err)
			}
			if len(payload) > test.bytesMax {
				t.Errorf("the heartbeat has %d bytes, want at most %d", len(payload), test.bytesMax)
			}
		})
	}
}

// TestUsageBounded checks the size of the messages of quotas with as many tenants as a
// deployment has, because each instance sends and gets them five times a second.
func TestUsageBounded(t *testing.T) {
	const tenants, bytesMax, emptyMax = 74, 3 << 10, 128
	totals := UsageTotals{Position: UsagePosition{ID: math.MaxUint64, Revision: math.MaxUint32}, After: math.MaxUint32, AgeMillis: math.MaxInt32}
	for name, limit := range map[string]int{"nothing changed": emptyMax, "all changed": bytesMax} {
		if limit == bytesMax {
			for range tenants {
				totals.Counts = append(totals.Counts, TenantCounts{Tenant: "tenant-0123456789", Asked: math.MaxInt32, Admitted: math.MaxInt32})
			}
		}
		payload, err := marshal(&UsageReply{Totals: totals})
		if err != nil {
			t.Fatal(err)
		}
		if len(payload) > limit {
			t.Errorf("%s: the reply has %d bytes, want at most %d", name, len(payload), limit)
		}
		totals.Counts = nil
	}
}

// TestLoadsBounded checks the size of a message with as many load reports as one may
// have. Instances with 10 Mbit/s send 20 of them a second.
func TestLoadsBounded(t *testing.T) {
	const most, bytesMax = 64, 2560
	message := &Loads{}
	for range most {
		message.Reports = append(message.Reports, TargetLoad{Target: "i-0123456789", Born: 1764811731000, Running: 4, Waiting: 300, WorkPercent: 250, AgeMillis: 999})
	}
	payload, err := marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if len(payload) > bytesMax {
		t.Errorf("the message has %d bytes, want at most %d", len(payload), bytesMax)
	}
	read, err := unmarshal(frame{kind: KindLoads, payload: payload})
	if loads, ok := read.(*Loads); err != nil || !ok || len(loads.Reports) != most {
		t.Errorf("read %T, error %v", read, err)
	}
}
