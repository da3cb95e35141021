package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/wire"
)

// messageBytesExtra is the size of the frame header and of the Ethernet, IP and TCP
// headers.
const messageBytesExtra = 14 + 66

// countingEnvironment is an environment that counts the bytes that both ends of each
// call send and receive.
type countingEnvironment struct {
	environment
	mu    *sync.Mutex
	bytes map[place.Instance]int
}

func (c countingEnvironment) Call(ctx context.Context, to place.Instance, message wire.Message) (wire.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, err := c.environment.Call(ctx, to, message)
	if err != nil {
		return nil, err
	}
	for _, m := range []wire.Message{message, answer} {
		packed, err := msgpack.Marshal(m)
		if err != nil {
			return nil, err
		}
		c.bytes[c.instance] += len(packed) + messageBytesExtra
		c.bytes[to] += len(packed) + messageBytesExtra
	}
	return answer, nil
}

// startCounted starts a process whose messages are counted.
func startCounted(w *simulation, mu *sync.Mutex, bytes map[place.Instance]int, instance place.Instance, zone place.Zone) {
	w.start(instance, zone)
	c := countingEnvironment{environment: environment{simulation: w, instance: instance}, mu: mu, bytes: bytes}
	w.processes[instance] = relay.New(wire.Hello{Instance: instance, Zone: zone}, config.NewTables(zone.Region(), nil), c, c,
		func() relay.View { return w.view(zone) }, func() time.Time { return w.now }, logs.Discard())
}

// BenchmarkSpread measures the bytes a second for following settings that do not
// change, as the mean of the members of one zone and as the maximum, which is that of
// a relay, and the bytes and rounds for one change of a policy. The fleet has 39 other
// zones of two members each.
func BenchmarkSpread(b *testing.B) {
	const rounds = 20
	var mu sync.Mutex
	for _, members := range []int{3, 30, 110} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				w, bytes := newSimulation(), map[place.Instance]int{}
				for i := range members {
					startCounted(w, &mu, bytes, place.Instance(fmt.Sprintf("entry-%03d", i)), "kigali/a")
				}
				for i := range 78 {
					startCounted(w, &mu, bytes, place.Instance(fmt.Sprintf("other-%03d", i)), place.Zone(fmt.Sprintf("region-%d/z%d", i%16, i/2)))
				}
				w.write("teams/library/search-desk", validPolicy(1), false)
				w.stepAll(10)
				clear(bytes)
				w.stepAll(rounds)
				member, most := spreadBytes(w, bytes)
				b.ReportMetric(float64(member)/rounds, "B/s/member")
				b.ReportMetric(float64(most)/rounds, "B/s/worst-relay")
				clear(bytes)
				version := w.write("teams/library/search-desk", validPolicy(2), false)
				spent := 0
				for ; !policyInForce(w, version); spent++ {
					w.stepAll(1)
				}
				changed, _ := spreadBytes(w, bytes)
				b.ReportMetric(float64(spent), "rounds/change")
				b.ReportMetric(float64(changed-spent*member/rounds), "B/change/member")
			}
		})
	}
}

// spreadBytes returns the mean and the maximum of the bytes of the members of zone
// "kigali/a".
func spreadBytes(w *simulation, bytes map[place.Instance]int) (mean, most int) {
	count := 0
	for instance, z := range w.zones {
		if z == "kigali/a" {
			mean, count = mean+bytes[instance], count+1
			most = max(most, bytes[instance])
		}
	}
	return mean / count, most
}

// policyInForce reports whether all processes have the version of the policy in force.
func policyInForce(w *simulation, version uint64) bool {
	for _, process := range w.processes {
		if process.Tables().Version("teams/library/search-desk").InForce() != version {
			return false
		}
	}
	return true
}
