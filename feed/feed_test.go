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

// zone is a fake of the other instances: their feeds, called directly.
type zone struct {
	live  []place.Instance
	far   []place.Instance
	feeds *group
}

// group holds the feeds that can be reached and counts the calls to them.
type group struct {
	mu    sync.Mutex
	feeds map[place.Instance]*feed.Feed
	calls map[place.Instance]int
}

func (g *group) called(name place.Instance) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[name]
}

func (g *group) set(name place.Instance, f *feed.Feed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.feeds == nil {
		g.feeds = map[place.Instance]*feed.Feed{}
	}
	g.feeds[name] = f
}

func (g *group) get(name place.Instance) *feed.Feed {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[place.Instance]int{}
	}
	g.calls[name]++
	return g.feeds[name]
}

func (z *zone) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	peer := z.feeds.get(instance)
	if peer == nil {
		return nil, errors.Newf("instance %s can't be reached", instance)
	}
	return peer.Follow(ctx, message.(*wire.Follow)), nil
}

func (z *zone) Live() []place.Instance    { return z.live }
func (z *zone) Others() []place.Instance  { return z.far }
func (z *zone) Learn([]platform.Instance) {}

func (z *zone) Find(context.Context, []string) []place.Instance { return nil }

func settings(t *testing.T, name, address string) *platform.Settings {
	t.Helper()
	s, err := platform.ReadSettings(strings.NewReader(fakes.Settings(name, "a1", "a", address, 20000)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func start(t *testing.T, store *fakes.Store, name string, peers *zone) *feed.Feed {
	t.Helper()
	return startWith(t, store, name, peers)
}

func startWith(t *testing.T, store *fakes.Store, name string, peers feed.Peers) *feed.Feed {
	t.Helper()
	set := settings(t, name, store.Address())
	client := platform.NewStore(store.Address(), func(string, time.Duration) {})
	f := feed.New(set, client, peers, time.Now, logs.Discard())
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

// within fails the test if the condition does not come true in the time.
func within(t *testing.T, limit time.Duration, what string, condition func() bool) {
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

const entry = `{"service":"svc","address":"127.0.0.1:9","zone":"a1","max_concurrency":4,"state":"ready","cold_remaining_ms":0,"born":1}`

func version(f *feed.Feed) uint64 {
	if table := f.Table(); table != nil {
		return table.Version()
	}
	return 0
}

func TestFollowsTheStore(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", entry)
	store.Put("servers", "broken", `{"service":7}`)
	store.Put("servers", "odd", `"text"`)
	f := start(t, store, "i1", &zone{live: []place.Instance{"i1"}})
	within(t, 2*time.Second, "ready", f.Ready)
	if f.View().Size() != 1 {
		t.Errorf("%d targets are known, want the one whose entry can be read", f.View().Size())
	}
	// The shortest bound of the contracts is 2 s.
	const bound = 2 * time.Second
	store.Put("config", "main", fakes.Config(5, 1000))
	within(t, bound, "a new configuration", func() bool { return version(f) == 5 })
	store.Put("config", "main", fakes.Config(4, 1000))
	store.Put("config", "main", `{"version":6,"hosts":[{"host":"x","paths":[{"name":"r"}]}]}`)
	store.Put("servers", "t1", strings.Replace(entry, "ready", "draining", 1))
	within(t, bound, "a leaving target", func() bool { return f.View().Size() == 0 })
	if version(f) != 5 {
		t.Errorf("version %d is in force, want 5: neither an older nor a broken one", version(f))
	}
	store.Put("servers", "t1", entry)
	within(t, bound, "a target", func() bool { return f.View().Size() == 1 })
	store.Put("evacuations", "a1", `{}`)
	within(t, bound, "an evacuated zone", func() bool { return f.View().Size() == 0 })
	store.Delete("evacuations", "a1")
	within(t, bound, "a zone that is taken back", func() bool { return f.View().Size() == 1 })
	store.Delete("servers", "t1")
	within(t, bound, "a removed target", func() bool { return f.View().Size() == 0 })
}

// TestDiscardedHistory: the store discards its history, cuts the watches of the
// targets and leaves those of the other kinds waiting for a change that they
// will not hear of.
func TestDiscardedHistory(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", entry)
	f := start(t, store, "i1", &zone{live: []place.Instance{"i1"}})
	within(t, 2*time.Second, "ready", f.Ready)
	time.Sleep(200 * time.Millisecond)
	store.Discard([]string{"config", "evacuations", "endivechute-instances"}, func(put func(kind, name, spec string), remove func(kind, name string)) {
		put("config", "main", fakes.Config(2, 1000))
		put("evacuations", "a1", `{}`)
		remove("servers", "t1")
	})
	within(t, 2*time.Second, "what was discarded", func() bool {
		return version(f) == 2 && f.View().Size() == 0 && slices.Equal(f.View().Evacuated(), []place.Zone{"a/a1"})
	})
}

// TestRefusedByTheStore: the store turns one instance away, which then learns
// of changes from another.
func TestRefusedByTheStore(t *testing.T) {
	tests := map[string]func(*fakes.Store){
		"busy":     func(s *fakes.Store) { s.Refuse(http.StatusServiceUnavailable) },
		"too many": func(s *fakes.Store) { s.Refuse(http.StatusTooManyRequests) },
		"silent":   func(s *fakes.Store) { s.Silence() },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			// Two stores with the same content stand for one that serves i2 and
			// turns i1 away.
			first, second := newStore(t), newStore(t)
			feeds := &group{}
			feeds.set("i2", start(t, second, "i2", &zone{live: []place.Instance{"i2"}, feeds: feeds}))
			f := start(t, first, "i1", &zone{live: []place.Instance{"i1"}, far: []place.Instance{"i2"}, feeds: feeds})
			within(t, 2*time.Second, "ready", f.Ready)
			fail(first)
			second.Put("config", "main", fakes.Config(3, 1000))
			within(t, 2*time.Second, "a configuration from another instance", func() bool { return version(f) == 3 })
			within(t, 4*time.Second, "recent knowledge", func() bool { return f.Source() == "i2" && f.Age() < time.Second })
			calls := first.Calls()
			time.Sleep(2 * time.Second)
			// At most one call for each pause, and one that may be under way.
			if made := first.Calls() - calls; made > 8 {
				t.Errorf("%d calls were made in 2 s to a store that turns them away", made)
			}
		})
	}
}

// TestStartsWithoutTheStore: the store is away for all, and a new process begins
// with what another one knows, however old that is.
func TestStartsWithoutTheStore(t *testing.T) {
	store := newStore(t)
	store.Put("servers", "t1", entry)
	feeds := &group{}
	old := start(t, store, "i2", &zone{live: []place.Instance{"i2"}, feeds: feeds})
	within(t, 2*time.Second, "ready", old.Ready)
	store.Refuse(http.StatusServiceUnavailable)
	within(t, 3*time.Second, "old knowledge", func() bool { return old.Age() > 1500*time.Millisecond })
	feeds.set("i2", old)
	f := start(t, store, "i1", &zone{live: []place.Instance{"i1"}, far: []place.Instance{"i2"}, feeds: feeds})
	within(t, 2*time.Second, "ready without the store", f.Ready)
	if f.Age() < time.Second || f.View().Size() != 1 {
		t.Errorf("the knowledge counts as %v old, with %d targets", f.Age(), f.View().Size())
	}
	store.Refuse(0)
	within(t, 3*time.Second, "recent knowledge", func() bool { return f.Age() < time.Second })
}

// TestFollowerAsksNobodyElse: while nothing changes, a follower that hears from
// the instance it follows asks none of another zone.
func TestFollowerAsksNobodyElse(t *testing.T) {
	store := newStore(t)
	near, far := &group{}, &group{}
	far.set("i9", start(t, store, "i9", &zone{live: []place.Instance{"i9"}, feeds: far}))
	both := &reach{zone: zone{live: []place.Instance{"i1", "i2", "i3", "i4"}, far: []place.Instance{"i9"}, feeds: near}, others: far}
	for _, name := range both.live {
		near.set(name, startWith(t, store, string(name), both))
	}
	within(t, 3*time.Second, "three that follow the fourth", func() bool {
		followed := 0
		for _, name := range both.live {
			if near.get(name).Source() != "store" {
				followed++
			}
		}
		return followed == len(both.live)-1
	})
	before := far.called("i9")
	const quiet, compared = 3 * time.Second, 500 * time.Millisecond
	time.Sleep(quiet)
	// The one that watches the store compares what it knows with other zones.
	if calls := far.called("i9") - before; calls > int(quiet/compared)+1 {
		t.Errorf("%d calls to another zone in %v, want those of the one that watches the store", calls, quiet)
	}
}

// reach is a fake of the other instances whose other zones have calls of their
// own.
type reach struct {
	zone
	others *group
}

// Call implements feed.Peers.
func (r *reach) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	if slices.Contains(r.far, instance) {
		return (&zone{feeds: r.others}).Call(ctx, instance, message)
	}
	return r.zone.Call(ctx, instance, message)
}

// TestFollowsTheZone: one instance of a zone watches the store, the other
// follows it, and turns to the store when the first is gone.
func TestFollowsTheZone(t *testing.T) {
	store := newStore(t)
	feeds := &group{}
	live := []place.Instance{"i1", "i2"}
	for _, name := range live {
		feeds.set(name, start(t, store, string(name), &zone{live: live, feeds: feeds}))
	}
	one, two := feeds.get("i1"), feeds.get("i2")
	within(t, 3*time.Second, "ready", func() bool { return one.Ready() && two.Ready() })
	sources := []string{one.Source(), two.Source()}
	if slices.Contains(sources, "store") == (sources[0] == sources[1]) {
		t.Errorf("the sources are %v, want the store for one of them", sources)
	}
	store.Put("config", "main", fakes.Config(2, 1000))
	within(t, 2*time.Second, "a configuration", func() bool { return version(one) == 2 && version(two) == 2 })
	follower := one
	if sources[0] == "store" {
		follower = two
	}
	feeds.set(place.Instance(follower.Source()), nil)
	store.Put("config", "main", fakes.Config(3, 1000))
	within(t, 2*time.Second, "a configuration without the instance that was followed", func() bool { return version(follower) == 3 })
}

// TestFollowsManyTargets: a follower gets a long list, which travels compressed,
// and the changes that come right after it.
func TestFollowsManyTargets(t *testing.T) {
	const targets = 300
	store, feeds := newStore(t), &group{}
	for i := range targets {
		store.Put("servers", fmt.Sprint("t", i), entry)
	}
	first := start(t, store, "i1", &zone{live: []place.Instance{"i1"}, feeds: feeds})
	within(t, 3*time.Second, "ready", first.Ready)
	feeds.set("i1", first)
	late := start(t, store, "i2", &zone{live: []place.Instance{"i1"}, feeds: feeds})
	within(t, 3*time.Second, "all targets", func() bool { return late.View().Size() == targets })
	store.Delete("servers", "t7")
	third := start(t, store, "i3", &zone{live: []place.Instance{"i1"}, feeds: feeds})
	within(t, 3*time.Second, "one target less", func() bool { return late.View().Size() == targets-1 && third.View().Size() == targets-1 })
	if late.Source() != "i1" || third.Source() != "i1" {
		t.Errorf("the sources are %s and %s, want i1", late.Source(), third.Source())
	}
}
