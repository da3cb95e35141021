package feed_test

import (
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform/fakes"
)

// bound is the shortest time limit in the platform's contracts.
const bound = 2 * time.Second

func targetSpecBorn(state, born string) string {
	spec := strings.Replace(targetSpec, `"ready"`, `"`+state+`"`, 1)
	return strings.Replace(spec, `"born":1`, `"born":`+born, 1)
}

// TestStoreRestored restores the store from a copy and looks at what an instance
// that watches it, and one that follows that instance, use until everything is
// written again, and after that.
func TestStoreRestored(t *testing.T) {
	store, feeds := newStore(t), &feedSet{}
	store.SetEra("1")
	for _, name := range []string{"leaves", "goes", "stays"} {
		store.Put("servers", name, targetSpec)
	}
	store.Put("evacuations", "b1", `{}`)
	live := []place.Instance{"i1", "i2"}
	for _, name := range live {
		feeds.set(name, start(t, store, string(name), &fakePeers{live: live, feeds: feeds}))
	}
	both := func(condition func(f *feed.Feed) bool) func() bool {
		return func() bool { return condition(feeds.get("i1")) && condition(feeds.get("i2")) }
	}
	uses := func(names ...place.Target) func(*feed.Feed) bool {
		return func(f *feed.Feed) bool {
			for _, name := range names {
				if _, found := f.View().Member(name); !found {
					return false
				}
			}
			return f.View().Size() == len(names)
		}
	}
	eventually(t, 3*time.Second, "all targets", both(uses("leaves", "goes", "stays")))
	older := store.Copy()

	// These changes are not in the copy.
	store.Put("servers", "leaves", targetSpecBorn("draining", "1"))
	store.Delete("servers", "goes")
	store.Put("servers", "comes", targetSpec)
	store.Put("servers", "lost", targetSpec)
	store.Delete("evacuations", "b1")
	store.Put("config", "main", fakes.Config(9, 1000))
	eventually(t, bound, "the changes", both(func(f *feed.Feed) bool {
		return uses("stays", "comes", "lost")(f) && configVersion(f) == 9 && len(f.View().Evacuated()) == 0
	}))

	store.Restore(older, "2")
	eventually(t, bound, "the next era", both(func(f *feed.Feed) bool { return f.Era() == 2 }))
	restored := time.Now()
	for time.Since(restored) < fleet.RelistTime/2 {
		if !both(uses("stays", "comes", "lost"))() {
			t.Fatalf("%v after the restore, i1 uses %d targets, i2 %d; want those of before", time.Since(restored), feeds.get("i1").View().Size(), feeds.get("i2").View().Size())
		}
		time.Sleep(10 * time.Millisecond)
	}
	store.Put("servers", "comes", targetSpec)
	store.Put("servers", "leaves", targetSpecBorn("draining", "1"))
	store.Delete("evacuations", "b1")
	eventually(t, bound+fleet.RelistTime, "what was written again", both(uses("stays", "comes")))
	if !both(func(f *feed.Feed) bool { return configVersion(f) == 9 && len(f.View().Evacuated()) == 0 })() {
		t.Errorf("versions %d and %d are in force, evacuated are %v and %v; want 9 and none", configVersion(feeds.get("i1")), configVersion(feeds.get("i2")), feeds.get("i1").View().Evacuated(), feeds.get("i2").View().Evacuated())
	}

	// The new process of a target that left is used, and later changes arrive
	// although their revisions were given out before.
	store.Put("servers", "leaves", targetSpecBorn("ready", "2"))
	store.Put("config", "main", fakes.Config(10, 1000))
	eventually(t, bound, "changes of the next era", both(func(f *feed.Feed) bool {
		return uses("leaves", "stays", "comes")(f) && configVersion(f) == 10
	}))
}

// TestStoreRestoredToNewer restores a store whose new history has passed the
// revision of a watch before the watch continues.
func TestStoreRestoredToNewer(t *testing.T) {
	store := newStore(t)
	store.SetEra("1")
	store.Put("servers", "t1", targetSpec)
	f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}})
	eventually(t, 3*time.Second, "a target", func() bool { return f.View().Size() == 1 })
	older := store.Copy()
	store.Put("servers", "t1", targetSpecBorn("draining", "1"))
	eventually(t, bound, "a leaving target", func() bool { return f.View().Size() == 0 })
	store.Hang()
	store.Restore(older, "2")
	for _, name := range []string{"t2", "t3", "t4", "t5"} {
		store.Put("servers", name, targetSpec)
	}
	store.Recover()
	eventually(t, 6*time.Second, "the targets of the next era", func() bool { return f.View().Size() == 4 && f.Era() == 2 })
}

// TestInvalidEras has the store state invalid eras. The data stays, and valid
// changes go on arriving.
func TestInvalidEras(t *testing.T) {
	for name, era := range map[string]string{"missing": "", "falling": "3", "text": "new", "negative": "-1", "fraction": "7.5"} {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			store.SetEra("7")
			store.Put("servers", "t1", targetSpec)
			f := start(t, store, "i1", &fakePeers{live: []place.Instance{"i1"}})
			eventually(t, 3*time.Second, "a target and the era", func() bool { return f.View().Size() == 1 && f.Era() == 7 })
			store.SetEra(era)
			store.Put("servers", "t2", targetSpec)
			if name != "falling" {
				eventually(t, 3*time.Second, "another target", func() bool { return f.View().Size() == 2 })
			} else {
				time.Sleep(500 * time.Millisecond)
			}
			if f.Era() != 7 || f.View().Size() == 0 {
				t.Errorf("era %d with %d targets, want era 7 and its targets", f.Era(), f.View().Size())
			}
			store.SetEra("7")
			store.Put("servers", "t3", targetSpec)
			eventually(t, 5*time.Second, "all targets", func() bool { return f.View().Size() == 3 })
		})
	}
}
