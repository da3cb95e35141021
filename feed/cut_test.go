package feed_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/wire"
)

// link is an instance's link to the store. A cut link loses requests and replies and
// resets no connection.
type link struct {
	store  *fakes.Store
	server *httptest.Server
	cut    atomic.Bool
	calls  atomic.Int64
	// armed cuts the link when the next watch of the targets begins, which is the
	// latest time for the instance to notice it.
	armed   atomic.Bool
	cutting chan struct{}
	// listDelay delays each page of a list, in nanoseconds.
	listDelay atomic.Int64
}

func newLink(t *testing.T, store *fakes.Store) *link {
	t.Helper()
	l := &link{store: store, cutting: make(chan struct{}, 1)}
	l.server = httptest.NewServer(l)
	t.Cleanup(func() {
		l.server.CloseClientConnections()
		l.server.Close()
	})
	return l
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	if strings.Contains(r.URL.Path, platform.KindTargets) && l.armed.CompareAndSwap(true, false) {
		l.cut.Store(true)
		l.cutting <- struct{}{}
	}
	if !r.URL.Query().Has("watch") {
		time.Sleep(time.Duration(l.listDelay.Load()))
	}
	recorder := httptest.NewRecorder()
	l.store.ServeHTTP(recorder, r)
	if l.cut.Load() {
		<-r.Context().Done()
		return
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// pausablePeers is a fake of the other instances, which don't answer while they are
// paused.
type pausablePeers struct {
	fakePeers
	self   place.Instance
	paused *atomic.Pointer[place.Instance]
	// isolated is an instance that doesn't reach other zones.
	isolated *atomic.Pointer[place.Instance]
}

// Call implements feed.Peers.
func (p *pausablePeers) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	if isolated := p.isolated.Load(); isolated != nil && *isolated == p.self && slices.Contains(p.others, instance) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := p.fakePeers.Call(ctx, instance, message)
	if paused := p.paused.Load(); paused != nil && *paused == instance {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, err
}

// cutZone is a zone of instances, one of which watches the store and the others
// follow it.
type cutZone struct {
	store *fakes.Store
	links map[place.Instance]*link
	feeds *feedSet
	// paused doesn't answer, and isolated doesn't reach other zones.
	paused, isolated atomic.Pointer[place.Instance]
	watcher          place.Instance
}

// newCutZone starts a zone beside the given instances of other zones.
func newCutZone(t *testing.T, others ...place.Instance) *cutZone {
	t.Helper()
	z := &cutZone{store: newStore(t), links: map[place.Instance]*link{}, feeds: &feedSet{}}
	z.store.Put("servers", "t1", targetSpec)
	live := []place.Instance{"i1", "i2", "i3", "i4"}
	for _, name := range others {
		z.feeds.set(name, start(t, z.store, string(name), &fakePeers{live: []place.Instance{name}, feeds: z.feeds}))
	}
	for _, name := range live {
		l := newLink(t, z.store)
		z.links[name] = l
		address := l.server.Listener.Addr().String()
		client := platform.NewStore(address, func(string, time.Duration) {})
		f := feed.New(settings(t, string(name), address), client, &pausablePeers{fakePeers: fakePeers{live: live, others: others, feeds: z.feeds}, self: name, paused: &z.paused, isolated: &z.isolated}, time.Now, logs.Discard())
		z.feeds.set(name, f)
		ctx, cancel := context.WithCancel(context.Background())
		var running conc.WaitGroup
		running.Go(func() { f.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			running.Wait()
			client.Close()
		})
	}
	eventually(t, 5*time.Second, "three that follow the fourth", func() bool {
		followers := 0
		for _, name := range live {
			if source := place.Instance(z.feeds.get(name).Source()); source != "store" {
				followers++
				z.watcher = source
			}
		}
		return followers == len(live)-1
	})
	return z
}

// TestFollowersNoticeCutOffWatcher guards against instances that use an old
// configuration, although they reach the store, because the instance that they follow
// has lost the store or hangs and hasn't noticed it.
func TestFollowersNoticeCutOffWatcher(t *testing.T) {
	// apply is the shortest time in the platform's contracts within which a change has
	// to be in force.
	const apply = 2 * time.Second
	for name, fail := range map[string]func(z *cutZone){
		"loses the store": func(z *cutZone) {
			watched := z.links[z.watcher]
			watched.armed.Store(true)
			<-watched.cutting
		},
		"hangs": func(z *cutZone) { z.paused.Store(&z.watcher) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newCutZone(t)
			fail(z)
			time.Sleep(20 * time.Millisecond)
			z.store.Put("config", "main", fakes.Config(2, 1000))
			acknowledged := time.Now()
			for instance := range z.links {
				if instance == z.watcher {
					continue
				}
				eventually(t, time.Until(acknowledged.Add(apply)), fmt.Sprintf("the configuration at %s", instance), func() bool { return configVersion(z.feeds.get(instance)) == 2 })
			}
		})
	}
}

// TestFollowersAskOtherZonesFirst guards against followers that all turn to the store
// when the instance that they follow has lost it, although another zone has recent data.
func TestFollowersAskOtherZonesFirst(t *testing.T) {
	t.Parallel()
	const apply = 2 * time.Second
	z := newCutZone(t, "i9")
	before := map[place.Instance]int64{}
	for instance, l := range z.links {
		before[instance] = l.calls.Load()
	}
	z.isolated.Store(&z.watcher)
	watched := z.links[z.watcher]
	watched.armed.Store(true)
	<-watched.cutting
	z.store.Put("config", "main", fakes.Config(2, 1000))
	acknowledged := time.Now()
	for instance, l := range z.links {
		if instance == z.watcher {
			continue
		}
		eventually(t, time.Until(acknowledged.Add(apply)), fmt.Sprintf("the configuration at %s", instance), func() bool { return configVersion(z.feeds.get(instance)) == 2 })
		if calls := l.calls.Load() - before[instance]; calls > 0 {
			t.Errorf("%s made %d calls to the store", instance, calls)
		}
	}
}

// TestFollowersOfSoundWatcherStay checks that followers leave the store alone while the
// instance that they follow has it, and that no instance's data seems old then.
func TestFollowersOfSoundWatcherStay(t *testing.T) {
	t.Parallel()
	z := newCutZone(t)
	before := map[place.Instance]int64{}
	for instance, l := range z.links {
		before[instance] = l.calls.Load()
	}
	oldest := time.Duration(0)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for instance := range z.links {
			oldest = max(oldest, z.feeds.get(instance).Age())
		}
	}
	if oldest > 1500*time.Millisecond {
		t.Errorf("the data of an instance was %v old", oldest)
	}
	for instance, l := range z.links {
		if calls := l.calls.Load() - before[instance]; instance != z.watcher && calls > 0 {
			t.Errorf("%s follows another instance and made %d calls to the store", instance, calls)
		}
	}
}

// TestFollowersOfListingWatcherStay guards against followers that all turn to the store,
// and list everything too, because the instance that they follow takes long to list what
// it has to read anew.
func TestFollowersOfListingWatcherStay(t *testing.T) {
	t.Parallel()
	const targets, pageDelay = 220, 400 * time.Millisecond // five pages
	z := newCutZone(t)
	before := map[place.Instance]int64{}
	for instance, l := range z.links {
		l.listDelay.Store(int64(pageDelay))
		before[instance] = l.calls.Load()
	}
	z.store.DiscardHistory(nil, func(put func(kind, name, spec string), _ func(kind, name string)) {
		for i := range targets {
			put("servers", fmt.Sprintf("n%03d", i), targetSpec)
		}
	})
	for instance := range z.links {
		eventually(t, 5*time.Second, fmt.Sprintf("the targets at %s", instance), func() bool { return z.feeds.get(instance).View().Size() == targets+1 })
	}
	for instance, l := range z.links {
		if calls := l.calls.Load() - before[instance]; instance != z.watcher && calls > 0 {
			t.Errorf("%s follows another instance and made %d calls to the store", instance, calls)
		}
	}
}

// TestCutOffWatchersDontConfirmEachOther guards against two instances that have both
// lost the store and take each other's old data for current.
func TestCutOffWatchersDontConfirmEachOther(t *testing.T) {
	t.Parallel()
	const cutFor, slack = 1400 * time.Millisecond, 300 * time.Millisecond
	store, feeds := newStore(t), &feedSet{}
	links := []*link{newLink(t, store), newLink(t, store)}
	names := []place.Instance{"i1", "i2"}
	for i, name := range names {
		address := links[i].server.Listener.Addr().String()
		client := platform.NewStore(address, func(string, time.Duration) {})
		t.Cleanup(client.Close)
		f := feed.New(settings(t, string(name), address), client, &fakePeers{live: names[i : i+1], others: []place.Instance{names[1-i]}, feeds: feeds}, time.Now, logs.Discard())
		feeds.set(name, f)
		ctx, cancel := context.WithCancel(context.Background())
		var running conc.WaitGroup
		running.Go(func() { f.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			running.Wait()
		})
	}
	for _, name := range names {
		eventually(t, 3*time.Second, "ready", feeds.get(name).Ready)
	}
	for _, l := range links {
		l.cut.Store(true)
	}
	time.Sleep(cutFor)
	for _, name := range names {
		if age := feeds.get(name).Age(); age < cutFor-slack {
			t.Errorf("%s takes its data for %v old, %v after both lost the store", name, age, cutFor)
		}
	}
}

// slowPeers delays the first answer of another instance.
type slowPeers struct {
	fakePeers
	delay  time.Duration
	called atomic.Bool
}

// Call implements feed.Peers.
func (p *slowPeers) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	if p.called.CompareAndSwap(false, true) {
		select {
		case <-time.After(p.delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return p.fakePeers.Call(ctx, instance, message)
}

// TestSlowFirstAnswerIsAwaited guards against an instance that turns to the store because
// the first answer of the one that it follows takes longer than later ones.
func TestSlowFirstAnswerIsAwaited(t *testing.T) {
	t.Parallel()
	store, feeds := newStore(t), &feedSet{}
	watcher := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}, feeds: feeds})
	eventually(t, 3*time.Second, "ready", watcher.Ready)
	feeds.set("i1", watcher)
	peers := &slowPeers{fakePeers: fakePeers{live: []place.Instance{"i1"}, feeds: feeds}, delay: 600 * time.Millisecond}
	f := startWithPeers(t, store, "i2", peers)
	eventually(t, 3*time.Second, "data", f.Ready)
	if source := f.Source(); source != "i1" {
		t.Errorf("the data comes from %q, want i1", source)
	}
}
