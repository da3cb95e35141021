package peers_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// messageBytesExtra is the size of a frame header (14 bytes) and of the TCP, IP and
// Ethernet headers (66 bytes).
const messageBytesExtra = 14 + 66

// countingPeers replies to every heartbeat and counts the bytes of both messages.
type countingPeers struct{ bytes atomic.Int64 }

func (c *countingPeers) Call(_ context.Context, _ place.Instance, message wire.Message) (wire.Message, error) {
	answer := &wire.HeartbeatAck{Incarnation: 1 << 60}
	for _, m := range []wire.Message{message, answer} {
		packed, err := msgpack.Marshal(m)
		if err != nil {
			return nil, err
		}
		c.bytes.Add(int64(len(packed) + messageBytesExtra))
	}
	return answer, nil
}

// BenchmarkHeart measures the traffic of heartbeats per second and entry if each
// entry sends heartbeats to all others: its own calls and as many from the others.
func BenchmarkHeart(b *testing.B) {
	for _, entries := range []int{20, 440, 4400} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			caller := &countingPeers{}
			heartbeats := peers.NewHeartbeats(wire.Hello{Instance: "entry-0000", Zone: "kigali/a", Incarnation: 1 << 60}, caller, time.Now)
			others := make([]place.Instance, 0, entries-1)
			for i := range entries - 1 {
				others = append(others, place.Instance(fmt.Sprintf("entry-%04d", i+1)))
			}
			heartbeats.SetPeers(others)
			for b.Loop() {
				heartbeats.SendAll(context.Background())
			}
			perRound := float64(caller.bytes.Load()) / float64(b.N)
			b.ReportMetric(2*perRound/peers.HeartbeatInterval.Seconds(), "B/s/node")
		})
	}
}
