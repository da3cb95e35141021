package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/wire"
)

// joiningPeers is a fake of the other instances for a process that starts: a seed
// in another zone, and the instances of the own zone once they are known. It counts
// the lists of targets that each sends.
type joiningPeers struct {
	fakePeers
	seed place.Instance

	mu    sync.Mutex
	zone  []place.Instance
	lists map[place.Instance]int
}

func (p *joiningPeers) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	answer, err := p.fakePeers.Call(ctx, instance, message)
	if followed, ok := answer.(*wire.Followed); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, k := range followed.Kinds {
			if k.Kind == platform.KindTargets && k.Whole {
				p.lists[instance]++
			}
		}
	}
	return answer, err
}

func (p *joiningPeers) Resolve(context.Context, []string) []place.Instance {
	return []place.Instance{p.seed}
}

func (p *joiningPeers) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = nil
	for _, i := range instances {
		if i.Zone() == "a/a1" {
			p.zone = append(p.zone, i.Name())
		}
	}
}

func (p *joiningPeers) InZone() []place.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zone
}

// TestJoinsWithinTheZone: a process that starts reads the long lists from an
// instance of its availability zone if one serves, and else from a seed. Only the
// list of instances, which names those of the zone, always comes from the seed.
func TestJoinsWithinTheZone(t *testing.T) {
	tests := map[string]struct {
		mates []place.Instance // those that serve
		from  place.Instance
	}{
		"an instance of the zone serves": {[]place.Instance{"mate"}, "mate"},
		"none of the zone serves":        {nil, "seed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, feeds := newStore(t), &feedSet{}
			for i := range 100 {
				store.Put("servers", fmt.Sprint("t", i), targetSpec)
			}
			own := platform.NewInstance("mate", "a/a1", "127.0.0.1:1", "127.0.0.1:2")
			spec, err := json.Marshal(own.Spec())
			if err != nil {
				t.Fatal(err)
			}
			store.Put(platform.KindInstances, "mate", string(spec))
			for _, serving := range append(test.mates, "seed") {
				f := start(t, store, string(serving), &fakePeers{live: []place.Instance{serving}, feeds: feeds})
				eventually(t, 3*time.Second, "ready", f.Ready)
				feeds.set(serving, f)
			}
			peers := &joiningPeers{fakePeers: fakePeers{live: []place.Instance{"new"}, feeds: feeds}, seed: "seed", lists: map[place.Instance]int{}}
			text := fakes.NodeSettings{Name: "new", Zone: "a1", Region: "a", Store: store.Address(), Port: 20000, Seeds: []string{"127.0.0.2"}}.Lines()
			parsed, err := platform.ReadSettings(strings.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			client := platform.NewStore(store.Address(), func(string, time.Duration) {})
			defer client.Close()
			joining := feed.New(parsed, client, peers, time.Now, logs.Discard())
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); joining.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			eventually(t, 3*time.Second, "ready", joining.Ready)
			peers.mu.Lock()
			defer peers.mu.Unlock()
			if len(peers.lists) != 1 || peers.lists[test.from] != 1 {
				t.Errorf("lists of targets were sent by %v, want one by %s", peers.lists, test.from)
			}
		})
	}
}
