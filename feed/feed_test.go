package feed_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/wire"
)

// fakePeers is a fake of the other instances that calls their feeds directly.
type fakePeers struct {
	live   []place.Instance
	others []place.Instance
	feeds  *feedSet
}

// feedSet holds the feeds that can be reached and counts the calls to each.
type feedSet struct {
	mu    sync.Mutex
	feeds map[place.Instance]*feed.Feed
	calls map[place.Instance]int
}

func (g *feedSet) callCount(name place.Instance) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[name]
}

func (g *feedSet) set(name place.Instance, f *feed.Feed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.feeds == nil {
		g.feeds = map[place.Instance]*feed.Feed{}
	}
	g.feeds[name] = f
}

func (g *feedSet) get(name place.Instance) *feed.Feed {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[place.Instance]int{}
	}
	g.calls[name]++
	return g.feeds[name]
}

func (z *fakePeers) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	peer := z.feeds.get(instance)
	if peer == nil {
		return nil, errors.Newf("instance %s can't be reached", instance)
	}
	return peer.HandleFollow(ctx, message.(*wire.Follow)), nil
}

func (z *fakePeers) Live() []place.Instance           { return z.live }
func (z *fakePeers) InZone() []place.Instance         { return nil }
func (z *fakePeers) OtherZones() []place.Instance     { return z.others }
func (z *fakePeers) SetInstances([]platform.Instance) {}

func (z *fakePeers) Resolve(context.Context, []string) []place.Instance { return nil }

func settings(t *testing.T, name, address string) *platform.Settings {
	t.Helper()
	s, err := platform.ReadSettings(strings.NewReader(fakes.Settings(name, "a1", "a", address, 20000)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func start(t *testing.T, store *fakes.Store, name string, peers *fakePeers) *feed.Feed {
	t.Helper()
	return startWithPeers(t, store, name, peers)
}

func startWithPeers(t *testing.T, store *fakes.Store, name string, peers feed.Peers) *feed.Feed {
	t.Helper()
	parsed := settings(t, name, store.Address())
	client := platform.NewStore(store.Address(), func(string, time.Duration) {})
	f := feed.New(parsed, client, peers, time.Now, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		client.Close()
	})
	return f
}

// eventually fails the test if the condition doesn't become true within the
// limit.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	const pause = 5 * time.Millisecond
	for end := time.Now().Add(limit); !condition(); time.Sleep(pause) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func newStore(t *testing.T) *fakes.Store {
	t.Helper()
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", fakes.Config(1, 1000))
	return store
}

const targetSpec = `{"service":"svc","address":"127.0.0.1:9","zone":"a1","max_concurrency":4,"state":"ready","cold_remaining_ms":0,"born":1}`

func configVersion(f *feed.Feed) uint64 {
	if table := f.Table(); table != nil {
		return table.Version()
	}
	return 0
}

func TestFollowsTheStore(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", targetSpec)
	store.Put("servers", "broken", `{"service":7}`)
	store.Put("servers", "odd", `"text"`)
	f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}})
	eventually(t, 2*time.Second, "ready", f.Ready)
	if f.View().Size() != 1 {
		t.Errorf("%d targets are known, want the one whose entry is valid", f.View().Size())
	}
	// The shortest time limit in the platform's contracts is 2 s.
	const bound = 2 * time.Second
	store.Put("config", "main", fakes.Config(5, 1000))
	eventually(t, bound, "a new configuration", func() bool { return configVersion(f) == 5 })
	store.Put("config", "main", fakes.Config(4, 1000))
	store.Put("config", "main", `{"version":6,"hosts":[{"host":"x","paths":[{"name":"r"}]}]}`)
	store.Put("servers", "t1", strings.Replace(targetSpec, "ready", "draining", 1))
	eventually(t, bound, "a leaving target", func() bool { return f.View().Size() == 0 })
	if configVersion(f) != 5 {
		t.Errorf("version %d is in force, want 5: neither an older nor a broken one", configVersion(f))
	}
	store.Put("servers", "t1", targetSpec)
	eventually(t, bound, "a target", func() bool { return f.View().Size() == 1 })
	store.Put("evacuations", "a1", `{}`)
	eventually(t, bound, "an evacuated zone", func() bool { return f.View().Size() == 0 })
	store.Delete("evacuations", "a1")
	eventually(t, bound, "a zone whose evacuation ended", func() bool { return f.View().Size() == 1 })
	store.Delete("servers", "t1")
	eventually(t, bound, "a removed target", func() bool { return f.View().Size() == 0 })
}

// TestDiscardedHistory has the store discard its history. It cuts the watches
// of the targets and leaves those of the other kinds waiting for changes that
// it will never report.
func TestDiscardedHistory(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", targetSpec)
	f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}})
	eventually(t, 2*time.Second, "ready", f.Ready)
	time.Sleep(200 * time.Millisecond)
	store.DiscardHistory([]string{"config", "evacuations", "endivechute-instances"}, func(put func(kind, name, spec string), remove func(kind, name string)) {
		put("config", "main", fakes.Config(2, 1000))
		put("evacuations", "a1", `{}`)
		remove("servers", "t1")
	})
	eventually(t, 2*time.Second, "the changes that were discarded", func() bool {
		return configVersion(f) == 2 && f.View().Size() == 0 && slices.Equal(f.View().Evacuated(), []place.Zone{"a/a1"})
	})
}

// TestRefusedByTheStore has the store reject the calls of one instance, which
// must then learn of changes from another instance and call the store rarely.
func TestRefusedByTheStore(t *testing.T) {
	tests := map[string]func(*fakes.Store){
		"busy":     func(s *fakes.Store) { s.RejectCalls(http.StatusServiceUnavailable) },
		"too many": func(s *fakes.Store) { s.RejectCalls(http.StatusTooManyRequests) },
		"silent":   func(s *fakes.Store) { s.Hang() },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			// Two stores with the same content stand for one that answers i2 and
			// rejects i1.
			first, second := newStore(t), newStore(t)
			feeds := &feedSet{}
			feeds.set("i2", start(t, second, "i2", &fakePeers{live: []place.Instance{"i2"}, feeds: feeds}))
			f := start(t, first, "i1", &fakePeers{live: []place.Instance{"i1"}, others: []place.Instance{"i2"}, feeds: feeds})
			eventually(t, 2*time.Second, "ready", f.Ready)
			fail(first)
			second.Put("config", "main", fakes.Config(3, 1000))
			eventually(t, 2*time.Second, "a configuration from another instance", func() bool { return configVersion(f) == 3 })
			eventually(t, 4*time.Second, "recent data", func() bool { return f.Source() == "i2" && f.Age() < time.Second })
			calls := first.Calls()
			time.Sleep(2 * time.Second)
			// At most one call for each pause, and one that may be under way.
			if made := first.Calls() - calls; made > 8 {
				t.Errorf("%d calls were made in 2 s to a store that rejects them", made)
			}
		})
	}
}

// TestStartsWithoutTheStore starts a process while the store is unavailable to
// all. It must use the data of another instance, however old that is.
func TestStartsWithoutTheStore(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", targetSpec)
	feeds := &feedSet{}
	old := start(t, store, "i2", &fakePeers{live: []place.Instance{"i2"}, feeds: feeds})
	eventually(t, 2*time.Second, "ready", old.Ready)
	store.RejectCalls(http.StatusServiceUnavailable)
	eventually(t, 3*time.Second, "outdated data", func() bool { return old.Age() > 1500*time.Millisecond })
	feeds.set("i2", old)
	f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}, others: []place.Instance{"i2"}, feeds: feeds})
	eventually(t, 2*time.Second, "ready without the store", f.Ready)
	if f.Age() < time.Second || f.View().Size() != 1 {
		t.Errorf("the data is %v old, with %d targets", f.Age(), f.View().Size())
	}
	store.RejectCalls(0)
	eventually(t, 3*time.Second, "recent data", func() bool { return f.Age() < time.Second })
}

// TestRestartBringsNothingBack starts a process while the store is unavailable.
// Targets that had left before must not be in use there again.
func TestRestartBringsNothingBack(t *testing.T) {
	store := newStore(t)
	for _, name := range []string{"stays", "leaves", "gone"} {
		store.Put("servers", name, targetSpec)
	}
	feeds := &feedSet{}
	old := start(t, store, "i2", &fakePeers{live: []place.Instance{"i2"}, feeds: feeds})
	eventually(t, 2*time.Second, "all targets", func() bool { return old.View().Size() == 3 })
	store.Put("servers", "leaves", strings.Replace(targetSpec, "ready", "draining", 1))
	store.Delete("servers", "gone")
	eventually(t, 2*time.Second, "one target", func() bool { return old.View().Size() == 1 })
	store.RejectCalls(http.StatusServiceUnavailable)
	feeds.set("i2", old)
	f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}, others: []place.Instance{"i2"}, feeds: feeds})
	eventually(t, 4*time.Second, "ready without the store", f.Ready)
	if _, found := f.View().Member("stays"); !found || f.View().Size() != 1 {
		t.Errorf("%d targets are in use, want the one that stayed", f.View().Size())
	}
}

// TestFollowerAsksNobodyElse checks that a follower sends no calls to other
// zones while nothing changes and the instance that it follows answers.
func TestFollowerAsksNobodyElse(t *testing.T) {
	store := newStore(t)
	near, others := &feedSet{}, &feedSet{}
	others.set("i9", start(t, store, "i9", &fakePeers{live: []place.Instance{"i9"}, feeds: others}))
	both := &splitPeers{fakePeers: fakePeers{live: []place.Instance{"i1", "i2", "i3", "i4"}, others: []place.Instance{"i9"}, feeds: near}, otherFeeds: others}
	for _, name := range both.live {
		near.set(name, startWithPeers(t, store, string(name), both))
	}
	eventually(t, 3*time.Second, "three that follow the fourth", func() bool {
		followed := 0
		for _, name := range both.live {
			if near.get(name).Source() != "store" {
				followed++
			}
		}
		return followed == len(both.live)-1
	})
	before := others.callCount("i9")
	const period, interval = 3 * time.Second, 500 * time.Millisecond
	time.Sleep(period)
	// The instance that watches the store compares its data with other zones.
	if calls := others.callCount("i9") - before; calls > int(period/interval)+1 {
		t.Errorf("%d calls to another zone in %v, want only those of the instance that watches the store", calls, period)
	}
}

// splitPeers is a fake of the other instances that counts the calls to other
// zones separately.
type splitPeers struct {
	fakePeers
	otherFeeds *feedSet
}

// Call implements feed.Peers.
func (r *splitPeers) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	if slices.Contains(r.others, instance) {
		return (&fakePeers{feeds: r.otherFeeds}).Call(ctx, instance, message)
	}
	return r.fakePeers.Call(ctx, instance, message)
}

// TestFollowsTheZone checks that one instance of a zone watches the store, and
// that the other one follows it and watches the store itself when the first
// can't be reached.
func TestFollowsTheZone(t *testing.T) {
	store := newStore(t)
	feeds := &feedSet{}
	live := []place.Instance{"i1", "i2"}
	for _, name := range live {
		feeds.set(name, start(t, store, string(name), &fakePeers{live: live, feeds: feeds}))
	}
	one, two := feeds.get("i1"), feeds.get("i2")
	eventually(t, 3*time.Second, "ready", func() bool { return one.Ready() && two.Ready() })
	sources := []string{one.Source(), two.Source()}
	if slices.Contains(sources, "store") == (sources[0] == sources[1]) {
		t.Errorf("the sources are %v, want the store for one of them", sources)
	}
	store.Put("config", "main", fakes.Config(2, 1000))
	eventually(t, 2*time.Second, "a configuration", func() bool { return configVersion(one) == 2 && configVersion(two) == 2 })
	follower := one
	if sources[0] == "store" {
		follower = two
	}
	feeds.set(place.Instance(follower.Source()), nil)
	store.Put("config", "main", fakes.Config(3, 1000))
	eventually(t, 2*time.Second, "a configuration after the followed instance was lost", func() bool { return configVersion(follower) == 3 })
}

// TestFollowsManyTargets checks that a follower gets a long list, which is sent
// compressed, and the changes that come right after it.
func TestFollowsManyTargets(t *testing.T) {
	const targets = 300
	store, feeds := newStore(t), &feedSet{}
	for i := range targets {
		store.Put("servers", fmt.Sprint("t", i), targetSpec)
	}
	first := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "ready", first.Ready)
	feeds.set("i1", first)
	late := start(t, store, "i2", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "all targets", func() bool { return late.View().Size() == targets })
	store.Delete("servers", "t7")
	third := start(t, store, "i3", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "one target fewer", func() bool { return late.View().Size() == targets-1 && third.View().Size() == targets-1 })
	if late.Source() != "i1" || third.Source() != "i1" {
		t.Errorf("the sources are %s and %s, want i1", late.Source(), third.Source())
	}
}

// TestFollowsLongConfig checks that a long configuration is sent compressed to the
// instances that follow another one, for which all of them share its link, and
// that each version arrives although another one was sent shortly before.
func TestFollowsLongConfig(t *testing.T) {
	const routes, compression = 1000, 5
	longConfig := func(version int) string {
		paths := make([]string, 0, routes)
		for i := range routes {
			paths = append(paths, fmt.Sprintf(`{"name":"r%d","path_prefix":"/p%d/","type":"idempotent","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"svc","max_attempts":2}`, i, i*7919%routes))
		}
		return fmt.Sprintf(`{"version":%d,"services":[],"limits":{},"hosts":[{"host":"h.example","paths":[%s]}]}`, version, strings.Join(paths, ","))
	}
	store, feeds := newStore(t), &feedSet{}
	first := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "ready", first.Ready)
	feeds.set("i1", first)
	follower := start(t, store, "i2", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "a follower", func() bool { return follower.Ready() && follower.Source() == "i1" })
	for version := 2; version < 6; version++ {
		before := first.HandleFollow(t.Context(), &wire.Follow{})
		request := &wire.Follow{After: map[string]uint64{}, Eras: map[string]uint64{}}
		for _, k := range before.Kinds {
			request.After[k.Kind] = k.Revision
		}
		store.Put("config", "main", longConfig(version))
		eventually(t, bound, "a long configuration", func() bool {
			return configVersion(first) == version64(version) && configVersion(follower) == version64(version)
		})
		sent := 0
		for _, k := range first.HandleFollow(t.Context(), request).Kinds {
			sent += len(k.Compressed)
			for _, o := range k.Objects {
				sent += len(o.Spec)
			}
		}
		if limit := len(longConfig(version)) / compression; sent == 0 || sent > limit {
			t.Errorf("version %d: %d bytes were sent of a configuration of %d, want at most %d", version, sent, len(longConfig(version)), limit)
		}
	}
}

func version64(version int) uint64 { return uint64(version) }
