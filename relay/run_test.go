package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/relay"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// fleet runs relays in the background that use a simulated platform over HTTP.
type fleet struct {
	t      *testing.T
	server *plat.Server
	mu     sync.Mutex
	alive  map[place.Instance]*relay.Relay
	stops  map[place.Instance]func()
}

func newFleet(t *testing.T, members int) *fleet {
	t.Helper()
	f := &fleet{t: t, server: plat.New(logs.Discard()), alive: map[place.Instance]*relay.Relay{}, stops: map[place.Instance]func(){}}
	if err := f.server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	for i := range members {
		f.start(place.Instance(fmt.Sprintf("e%d", i)))
	}
	t.Cleanup(func() {
		for instance := range f.stops {
			f.stop(instance)
		}
		if err := f.server.Close(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// peerCaller is the relay.Caller of one process of the fleet.
type peerCaller struct {
	*fleet
	instance place.Instance
}

// Call implements relay.Caller by calling Handle of the other relay directly.
func (f peerCaller) Call(ctx context.Context, to place.Instance, message wire.Message) (wire.Message, error) {
	f.mu.Lock()
	peer, found := f.alive[to]
	f.mu.Unlock()
	if !found {
		return nil, errors.New("gone")
	}
	return peer.Handle(ctx, wire.Hello{Instance: f.instance}, message), nil
}

func (f *fleet) view() relay.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]place.Instance, 0, len(f.alive))
	for instance := range f.alive {
		members = append(members, instance)
	}
	return relay.NewView(members, nil)
}

func (f *fleet) start(instance place.Instance) *relay.Relay {
	client := store.NewClient(f.server.Addr(), "")
	process := relay.New(wire.Hello{Instance: instance, Zone: "kigali/a"}, config.NewTables("kigali", nil), client, peerCaller{f, instance}, f.view, time.Now, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	f.mu.Lock()
	f.alive[instance] = process
	f.stops[instance] = func() {
		cancel()
		running.Wait()
		client.Close()
	}
	f.mu.Unlock()
	running.Go(func() { process.Run(ctx) })
	return process
}

func (f *fleet) stop(instance place.Instance) {
	f.mu.Lock()
	stop := f.stops[instance]
	delete(f.stops, instance)
	delete(f.alive, instance)
	f.mu.Unlock()
	stop()
}

func (f *fleet) write(path string, slots int, ifVersion uint64) uint64 {
	f.t.Helper()
	client := store.NewClient(f.server.Addr(), "")
	defer client.Close()
	version, err := client.Put(context.Background(), path, validPolicy(slots), ifVersion)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// await polls until the condition holds, and fails the test after 3000 polls, which
// take 30 s or more.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

// inForce returns a condition: all processes have the version in force.
func (f *fleet) inForce(version uint64) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, process := range f.alive {
			if process.Tables().Version("teams/a/x").InForce() != version {
				return false
			}
		}
		return true
	}
}

// TestRunOverThePlatform checks, with the real store client and real goroutines, that
// a change comes into force, that a process which starts while the store is down gets
// the settings from peers, and that others take over when the relays stop.
func TestRunOverThePlatform(t *testing.T) {
	f := newFleet(t, 5)
	version := f.write("teams/a/x", 3, 0)
	f.await("the first version is in force", f.inForce(version))
	f.await("all processes are ready", func() bool {
		for _, process := range f.alive {
			if !process.Ready() {
				return false
			}
		}
		return true
	})
	began := time.Now()
	version = f.write("teams/a/x", 4, version)
	f.await("the second version is in force", f.inForce(version))
	t.Logf("a change was in force in 5 processes after %v; calls to the store: %v", time.Since(began), f.server.Counts())

	f.server.SetFaults(plat.Faults{Down: true})
	late := f.start("late")
	f.await("the late process is ready", late.Ready)
	f.await("the late process has the second version in force", f.inForce(version))

	relays := 0
	for _, process := range f.alive {
		if process.IsRelay() {
			relays++
		}
	}
	if relays != relay.RelaysPerZone {
		t.Errorf("%d processes are relays, want RelaysPerZone", relays)
	}
	for _, instance := range []place.Instance{"e0", "e1", "e2", "e3"} {
		f.stop(instance)
	}
	f.server.SetFaults(plat.Faults{SlowMillis: 300})
	version = f.write("teams/a/x", 5, version)
	f.await("the remaining processes have the third version in force from a slow store", f.inForce(version))
}
