package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// frameOverheadBytes is the size of the frame header and of the TCP, IP and
// Ethernet headers.
const frameOverheadBytes = 14 + 66

// leaseZone simulates the leases of an availability zone with as many targets as
// entries. It counts the bytes that each entry sends and receives.
type leaseZone struct {
	members []place.Instance
	targets []place.Target
	leases  map[place.Instance]*keeper.Leases
	bytes   map[place.Instance]int
}

func newLeaseZone(members int) *leaseZone {
	z := &leaseZone{leases: map[place.Instance]*keeper.Leases{}, bytes: map[place.Instance]int{}}
	resources := make([]keeper.Resource, 0, members)
	for i := range members {
		z.members = append(z.members, place.Instance(fmt.Sprintf("entry-%03d", i)))
		z.targets = append(z.targets, place.Target(fmt.Sprintf("ledger-%03d", i)))
		resources = append(resources, keeper.TargetResource(z.targets[i]))
	}
	for _, m := range z.members {
		z.leases[m] = keeper.NewLeases(m, 1<<60, 0)
		z.leases[m].Update(z.members, resources, 0)
	}
	return z
}

// countBytes counts the bytes of the messages at both ends.
func (z *leaseZone) countBytes(from, to place.Instance, messages ...wire.Message) {
	for _, m := range messages {
		packed, err := msgpack.Marshal(m)
		if err != nil {
			panic(err)
		}
		z.bytes[from] += len(packed) + frameOverheadBytes
		z.bytes[to] += len(packed) + frameOverheadBytes
	}
}

// renewLeases makes every entry renew its leases once.
func (z *leaseZone) renewLeases(now time.Duration) {
	for _, m := range z.members {
		for _, addressed := range z.leases[m].Tick(now) {
			ack, _ := z.leases[addressed.To].HandleHeartbeat(m, addressed.Heartbeat, now)
			z.leases[m].HandleAck(addressed.To, ack, now)
			answer := &wire.LeaseAck{Incarnation: ack.Incarnation, SentNanos: int64(ack.Sent)}
			for _, r := range ack.Granted {
				answer.Granted = append(answer.Granted, string(r))
			}
			z.countBytes(m, addressed.To, beatToWire(addressed.Heartbeat), answer)
		}
	}
}

// askKeepers makes every entry answer as many requests for its kept targets as an
// entry sends in a round. It returns how many targets have a keeper.
func (z *leaseZone) askKeepers(now time.Duration) int {
	held := 0
	for _, m := range z.members {
		answer := &wire.Keepers{}
		for _, t := range z.targets {
			if z.leases[m].Lease(keeper.TargetResource(t)).Held(now) {
				answer.Views = append(answer.Views, wire.KeeperView{Target: t, Free: 3, WaitMicros: 2500})
			}
		}
		held += len(answer.Views)
		for range min(peersAskedPerRound, len(z.members)-1) {
			z.countBytes(z.members[rand.IntN(len(z.members))], m, &wire.KeepersRequest{}, answer)
		}
	}
	return held
}

// BenchmarkKeepers measures the network traffic of an entry for leases on targets
// and for the exchange of keepers' views, with as many targets as entries in the
// zone.
func BenchmarkKeepers(b *testing.B) {
	const seconds = 20
	for _, members := range []int{3, 30, 110} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var leases, views, held int
			for b.Loop() {
				z := newLeaseZone(members)
				now := time.Duration(0)
				for ; now < 20*time.Second; now += keeper.HeartbeatInterval {
					z.renewLeases(now)
				}
				clear(z.bytes)
				for range seconds * int(time.Second/keeper.HeartbeatInterval) {
					now += keeper.HeartbeatInterval
					z.renewLeases(now)
				}
				leases = sumBytes(z.bytes)
				clear(z.bytes)
				for range seconds * int(time.Second/roundInterval) {
					held = z.askKeepers(now)
				}
				views = sumBytes(z.bytes)
			}
			if held != members {
				b.Fatalf("%d of %d targets have a keeper", held, members)
			}
			nodeSeconds := float64(seconds * members)
			b.ReportMetric(float64(leases)/nodeSeconds, "B/s/node-leases")
			b.ReportMetric(float64(views)/nodeSeconds, "B/s/node-views")
			asked := float64(min(peersAskedPerRound, members-1)) / roundInterval.Seconds()
			b.ReportMetric(float64(members-1)/asked, "s-between-views")
		})
	}
}

func sumBytes(bytes map[place.Instance]int) int {
	sum := 0
	for _, n := range bytes {
		sum += n
	}
	return sum
}
