package plat_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/store"
)

// TestMain ignores two goroutines of fasthttp that can't be stopped from outside:
// the clock of its Date header never ends, and the cleaner of a worker pool ends
// 10 s after the pool was stopped.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func start(t *testing.T, token string) (*plat.Server, *store.Client) {
	t.Helper()
	server := plat.New(logs.Discard())
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	client := store.NewClient(server.Addr(), token)
	t.Cleanup(func() {
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, client
}

func TestConditionalWrites(t *testing.T) {
	_, client := start(t, "")
	ctx := context.Background()
	path := "teams/library/search-desk"
	if _, err := client.Get(ctx, path); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("Get of a missing object returned %v", err)
	}
	first, err := client.Put(ctx, path, []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, path, []byte("two"), 0); !errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
		t.Errorf("a write with an old version returned %v, want a conflict", err)
	}
	if _, err := client.Put(ctx, path, make([]byte, store.ValueBytesMax+1), first); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("a write of a value that is too large returned %v", err)
	}
	tombstone, err := client.Delete(ctx, path, first)
	if err != nil || tombstone <= first {
		t.Fatalf("Delete returned version %d, %v; want one above %d", tombstone, err, first)
	}
	object, err := client.Get(ctx, path)
	if err != nil || !object.Deleted() || object.Version() != tombstone {
		t.Errorf("Get returned %+v, %v; want the tombstone", object, err)
	}
	again, err := client.Put(ctx, path, []byte("three"), tombstone)
	if err != nil || again <= tombstone {
		t.Errorf("Put over a tombstone returned %d, %v", again, err)
	}
}

func TestWatchWaitsForOneChange(t *testing.T) {
	_, client := start(t, "")
	ctx := context.Background()
	_, revision, err := client.List(ctx, "teams/")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		if _, err := client.Put(ctx, "other", []byte("x"), 0); err != nil {
			t.Error(err)
		}
		if _, err := client.Put(ctx, "teams/a/b", []byte("y"), 0); err != nil {
			t.Error(err)
		}
	})
	objects, _, err := client.Watch(ctx, "teams/", revision, 30*time.Second)
	group.Wait()
	if err != nil || len(objects) != 1 || objects[0].Path() != "teams/a/b" || string(objects[0].Value()) != "y" {
		t.Errorf("Watch returned %v, %v", objects, err)
	}
	objects, after, err := client.Watch(ctx, "teams/", objects[0].Version(), time.Millisecond)
	if err != nil || len(objects) != 0 || after == 0 {
		t.Errorf("Watch without a change returned %v, %d, %v", objects, after, err)
	}
}

func TestFaults(t *testing.T) {
	server, client := start(t, "")
	ctx := context.Background()
	server.SetFaults(plat.Faults{LoseReplies: 1})
	if _, err := client.Put(ctx, "a", []byte("1"), 0); err == nil || store.NotWritten(err) {
		t.Errorf("a write with a lost reply returned %v, want an error after which the outcome is unknown", err)
	}
	if object, err := client.Get(ctx, "a"); err != nil || string(object.Value()) != "1" {
		t.Errorf("after the write with a lost reply, Get returned %v, %v", object, err)
	}
	server.SetFaults(plat.Faults{Down: true})
	if _, err := client.Get(ctx, "a"); err == nil {
		t.Error("Get while the platform is down returned no error")
	}
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	server.SetFaults(plat.Faults{SlowMillis: 200})
	if _, err := client.Get(short, "a"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Get after its deadline returned %v", err)
	}
	server.SetFaults(plat.Faults{})
	if counts := server.Counts(); counts[plat.KindPut] != 1 || counts[plat.KindGet] < 3 {
		t.Errorf("counts are %v", counts)
	}
	closed := store.NewClient("127.0.0.1:1", "")
	if _, err := closed.Put(ctx, "a", nil, 0); !errors.Is(err, store.ErrUnreachable) {
		t.Errorf("a write to a closed port returned %v", err)
	}
}

func TestTokensOwnSubtrees(t *testing.T) {
	server, client := start(t, "library-token")
	server.SetTokens(map[string]string{"library-token": "teams/library,plans/library", "root": ""})
	tests := map[string]bool{
		"teams/library":             true,
		"teams/library/search-desk": true,
		"plans/library/search-desk": true,
		"teams/library-two/x":       false,
		"teams/bonds/saldos":        false,
		"fleet":                     false,
	}
	for path, allowed := range tests {
		t.Run(strings.ReplaceAll(path, "/", "_"), func(t *testing.T) {
			_, err := client.Put(context.Background(), path, []byte("{}"), 0)
			if allowed != (err == nil) || (!allowed && !errors.Is(err, store.ErrForbidden)) {
				t.Errorf("a write of %s returned %v, want allowed %v", path, err, allowed)
			}
		})
	}
}

func TestRosterLagsAndFreezes(t *testing.T) {
	server, client := start(t, "")
	before := store.Roster{Entries: []store.Entry{{Instance: "e1", Zone: "kigali/a", State: store.StateLive}}, Targets: []store.Target{}}
	after := store.Roster{Entries: []store.Entry{{Instance: "e1", Zone: "kigali/a", State: store.StateLeaving}}, Targets: []store.Target{}}
	server.SetRoster(before)
	want := func(what string, want store.Roster) {
		t.Helper()
		got, err := client.Roster(context.Background())
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: %v\n%s", what, err, diff)
		}
	}
	server.SetFaults(plat.Faults{FreezeList: true})
	server.SetRoster(after)
	want("frozen", before)
	server.SetFaults(plat.Faults{ListLagMillis: 600_000})
	want("lagging", before)
	server.SetFaults(plat.Faults{})
	want("present", after)
}

// TestCloseAtOnce guards against a Close that never returns: if it runs before the
// server's goroutine begins to serve the listener, fiber's shutdown alone leaves
// the listener open.
func TestCloseAtOnce(t *testing.T) {
	for range 200 {
		server := plat.New(logs.Discard())
		if err := server.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		if err := server.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
