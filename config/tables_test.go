package config_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4303", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestTablesTakeOnlyNewer applies valid, invalid and deleted objects in random
// order and repeatedly. After each one the tables must hold the greatest valid
// version, and the greatest invalid version if it is greater. Then they exchange
// objects with the tables of another process.
func TestTablesTakeOnlyNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := []string{"fleet", "teams/a", "teams/a/x", "teams/a/y", "plans/a/x"}
		invalid := map[uint64]bool{}
		all := []store.Object{}
		for version := uint64(1); version <= uint64(rapid.IntRange(1, 25).Draw(t, "writes")); version++ {
			path := rapid.SampledFrom(paths).Draw(t, "path")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				invalid[version] = path != "plans/a/x"
				all = append(all, store.NewObject(path, version, []byte(`{"schema":9}`), false))
			case 1:
				all = append(all, store.NewObject(path, version, nil, true))
			default:
				envelope := config.NewEnvelope(nil, "ana", "c", time.Unix(0, 0), []byte(`{}`))
				value, _ := envelope.Encode()
				all = append(all, store.NewObject(path, version, value, false))
			}
		}
		valid, refused := map[string]uint64{}, map[string]uint64{}
		tables := config.NewTables("kigali", nil)
		for range 3 * len(all) {
			o := rapid.SampledFrom(all).Draw(t, "offer")
			if invalid[o.Version()] {
				refused[o.Path()] = max(refused[o.Path()], o.Version())
			} else {
				valid[o.Path()] = max(valid[o.Path()], o.Version())
			}
			tables, _ = tables.Apply([]store.Object{o}, time.Unix(1, 0))
			for _, path := range paths {
				newest := refused[path]
				if newest < valid[path] {
					newest = 0
				}
				if want := config.NewVersion(path, valid[path], newest); tables.Version(path) != want {
					t.Fatalf("after applying %s version %d the tables hold %+v, want %+v", o.Path(), o.Version(), tables.Version(path), want)
				}
			}
		}
		checkExchange(t, tables, all)
	})
}

// checkExchange copies the missing versions to behind from tables that hold all
// objects, as processes do, and checks that the digests are equal afterwards.
func checkExchange(t *rapid.T, behind *config.Tables, all []store.Object) {
	ahead, _ := config.NewTables("huye", nil).Apply(all, time.Unix(1, 0))
	ahead, _ = ahead.Apply(heldBy(behind), time.Unix(1, 0))
	if behind.Digest() != ahead.Digest() && !behind.Digest().MayBeBehind(ahead.Digest()) {
		t.Fatalf("MayBeBehind is false for digest %+v and the digest %+v of a process that holds more", behind.Digest(), ahead.Digest())
	}
	var pulled []store.Object
	for _, version := range ahead.Versions(behind.Buckets()) {
		if behind.Version(version.Path()).IsBehind(version) {
			pulled = append(pulled, ahead.HeldObjects(version.Path())...)
		}
	}
	after, _ := behind.Apply(pulled, time.Unix(2, 0))
	if after.Digest() != ahead.Digest() {
		t.Fatalf("after the exchange the digests are %+v and %+v", after.Digest(), ahead.Digest())
	}
}

func heldBy(tables *config.Tables) []store.Object {
	paths := tables.Paths("")
	held := make([]store.Object, 0, len(paths))
	for _, path := range paths {
		held = append(held, tables.HeldObjects(path)...)
	}
	return held
}

func TestBadObjectLeavesTheLastGoodOne(t *testing.T) {
	tables, _ := config.NewTables("kigali", nil).Apply([]store.Object{object(t, "teams/a/x", 4, `{"slots":3}`)}, time.Unix(1, 0))
	tables, outcomes := tables.Apply([]store.Object{object(t, "teams/a/x", 6, `{"slots":0}`)}, time.Unix(2, 0))
	policy, _ := tables.Policy("a/x")
	if policy.Slots() != 3 || outcomes[0].Kind() != config.OutcomeRefused || tables.Problem("teams/a/x") == nil {
		t.Errorf("slots are %d, the outcome %+v", policy.Slots(), outcomes[0])
	}
	tables, _ = tables.Apply([]store.Object{store.NewObject("teams/a/x", 9, nil, true)}, time.Unix(3, 0))
	if _, found := tables.Policy("a/x"); found || tables.Problem("teams/a/x") != nil {
		t.Error("the deleted object is still in force")
	}
}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, size := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("services=%d", size), func(b *testing.B) {
			objects := make([]store.Object, 0, size)
			for i := range size {
				objects = append(objects, object(b, fmt.Sprintf("teams/t%d/s%d", i/10, i), uint64(i+1), `{"slots":3}`))
			}
			tables, _ := config.NewTables("kigali", nil).Apply(objects, time.Unix(1, 0))
			change := []store.Object{object(b, "teams/t0/s0", uint64(size+1), `{"slots":4}`)}
			b.ReportAllocs()
			for b.Loop() {
				tables.Apply(change, time.Unix(2, 0))
			}
		})
	}
}
