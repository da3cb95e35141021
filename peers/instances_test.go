package peers

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

type noHandler struct{}

func (noHandler) Handle(context.Context, wire.Hello, wire.Message) wire.Message { return &wire.Ack{} }

// TestResolveNearestFirst: seeds are returned in the order of their distance, so
// that a new process reads the lists over the shortest path, whatever the order in
// the settings.
func TestResolveNearestFirst(t *testing.T) {
	zones := map[place.Instance]place.Zone{"far": "west/a", "near": "east/b", "same": "east/a", "farther": "north/a"}
	addresses := make([]string, 0, len(zones))
	for instance, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := wire.NewServer(listener, wire.Hello{Instance: instance, Incarnation: 1, Zone: zone}, noHandler{}, logs.Discard())
		go server.Serve()
		defer server.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	self := wire.Hello{Instance: "self", Incarnation: 1, Zone: "east/a"}
	pool := New(self, DialTCP)
	defer pool.Close()
	m := NewInstances(self, pool, NewHeartbeats(self, pool, time.Now), time.Now)
	for range 20 {
		found := m.Resolve(context.Background(), addresses)
		if len(found) != len(zones) {
			t.Fatalf("%d seeds were found, want %d", len(found), len(zones))
		}
		if diff := cmp.Diff([]place.Instance{"same", "near"}, found[:2]); diff != "" {
			t.Fatalf("the nearest seeds aren't first (-want +got):\n%s", diff)
		}
	}
}
