package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// messageBytesExtra is the size of the frame header and of the Ethernet, IP and TCP
// headers.
const messageBytesExtra = 14 + 66

// countingCaller calls the relay of a zone on behalf of its members, and counts the
// bytes of the messages.
type countingCaller struct {
	relay *roster.Follower
	bytes int
}

func (n *countingCaller) Call(_ context.Context, _ place.Instance, message wire.Message) (wire.Message, error) {
	answer := n.relay.Handle(message.(*wire.RosterRequest))
	for _, m := range []wire.Message{message, answer} {
		packed, err := msgpack.Marshal(m)
		if err != nil {
			return nil, err
		}
		n.bytes += len(packed) + messageBytesExtra
	}
	return answer, nil
}

// fixedSource is a platform that always has the same list.
type fixedSource store.Roster

func (l fixedSource) Roster(context.Context) (store.Roster, error) { return store.Roster(l), nil }

// BenchmarkFollow measures the bytes a second for following a list that does not
// change: those of a member, those between one of the zone's two relays and the
// members, and those of the platform's answer to a relay.
func BenchmarkFollow(b *testing.B) {
	for _, members := range []int{3, 30, 110} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var list store.Roster
			for i := range members * 40 {
				list.Entries = append(list.Entries, store.Entry{
					Instance: place.Instance(fmt.Sprintf("entry-%d", i)), Zone: place.Zone(fmt.Sprintf("region-%d/z%d", i%16, i%40)),
					CallerAddress: "10.100.200.100:8000", PeerAddress: "10.100.200.100:7001", State: store.StateLive,
				})
			}
			n := &countingCaller{}
			relay := roster.NewFollower(fixedSource(list), n, func() roster.Sources { return roster.NewSources(true, nil, nil) }, time.Now, logs.Discard())
			relay.Poll(context.Background())
			n.relay = relay
			member := roster.NewFollower(fixedSource(list), n, func() roster.Sources {
				return roster.NewSources(false, []place.Instance{"relay"}, nil)
			}, time.Now, logs.Discard())
			member.Poll(context.Background())
			n.bytes = 0
			for b.Loop() {
				member.Poll(context.Background())
			}
			answer, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			second := float64(n.bytes) / float64(b.N) / roster.Interval.Seconds()
			b.ReportMetric(second, "B/s/member")
			b.ReportMetric(second*float64(members-2)/2, "B/s/relay-to-members")
			b.ReportMetric(float64(len(answer))/roster.Interval.Seconds(), "B/s/relay-from-platform")
		})
	}
}
