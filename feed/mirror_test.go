package feed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/platform"
)

// hideTime is how long the copies hide an object that was deleted before the store
// was restored.
const hideTime = 5 * time.Second

// storeModel is a store that can be restored from an earlier state, with all its
// states.
type storeModel struct {
	mirror  *mirror
	states  map[platform.Position][]platform.Object
	history []platform.Position
}

func newStoreModel() *storeModel {
	s := &storeModel{mirror: newMirror("k", hideTime), states: map[platform.Position][]platform.Object{}}
	s.set(nil, platform.NewPosition(1, 1))
	return s
}

func (s *storeModel) at() platform.Position { return s.mirror.at }

func (s *storeModel) set(objects []platform.Object, at platform.Position) {
	s.mirror.reset(objects, at, time.Time{})
	s.record()
}

func (s *storeModel) record() {
	s.states[s.at()] = s.mirror.stored()
	s.history = append(s.history, s.at())
}

// write stores or deletes an object.
func (s *storeModel) write(name string, deleted bool) {
	before := s.at()
	after := platform.NewPosition(before.Era(), before.Revision()+1)
	s.mirror.apply([]platform.Object{platform.NewObject(name, after.Revision(), []byte(`{}`), deleted)}, before, after, time.Time{})
	s.record()
}

// restore goes back to a state of the present era, and begins the next era.
func (s *storeModel) restore(at platform.Position) {
	s.set(s.states[at], platform.NewPosition(at.Era()+1, at.Revision()))
}

// TestMirrorFollows applies any mix of lists and changes from the store and from
// another copy, also late ones, to two copies, while the store is restored from
// earlier states. Each copy must have the objects that the store had at the same
// position, and must never go back to an earlier position. Once everything that
// exists was written again, the objects in force are those of the store.
func TestMirrorFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newStoreModel(), time.Unix(1000, 0)
		copies := map[string]*mirror{"first": newMirror("k", hideTime), "second": newMirror("k", hideTime)}
		names := []string{"0", "1", "2", "3"}
		pull := func(to, from *mirror) {
			after := to.position()
			objects, at, whole, loaded := from.changesSince(after)
			switch {
			case !loaded:
			case whole:
				to.reset(objects, at, now)
			default:
				to.apply(objects, after, at, now)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			copied, from := copies["first"], store.mirror
			if rapid.Bool().Draw(t, "second") {
				copied = copies["second"]
				if rapid.Bool().Draw(t, "from the first") {
					from = copies["first"]
				}
			}
			before := copied.position()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.write(rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				at := rapid.SampledFrom(store.history).Draw(t, "list of")
				copied.reset(store.states[at], at, now)
			case 3:
				earlier := rapid.SampledFrom(store.history).Draw(t, "restored to")
				if earlier.Era() == store.at().Era() {
					store.restore(earlier)
				}
			default:
				pull(copied, from)
			}
			if copied.position().Compare(before) < 0 {
				t.Fatalf("the copy went back from %s to %s", before, copied.position())
			}
			copied.expire(now)
			for name, m := range copies {
				if m.isLoaded() && fmt.Sprint(m.stored()) != fmt.Sprint(store.states[m.position()]) {
					t.Fatalf("%s at %s has %v, the store had %v", name, m.position(), m.stored(), store.states[m.position()])
				}
			}
		}
		for _, o := range store.mirror.stored() {
			store.write(o.Name(), false)
		}
		for name, m := range copies {
			pull(m, store.mirror)
			m.expire(now.Add(hideTime))
			if m.position() != store.at() || fmt.Sprint(m.list()) != fmt.Sprint(store.mirror.stored()) {
				t.Fatalf("%s at %s uses %v, the store has %v at %s", name, m.position(), m.list(), store.mirror.stored(), store.at())
			}
		}
	})
}

// TestRestoredStore restores a store from a copy and checks which objects are in
// force right after that and two seconds later.
func TestRestoredStore(t *testing.T) {
	start := time.Unix(1000, 0)
	object := func(name string, revision uint64, deleted bool) platform.Object {
		return platform.NewObject(name, revision, []byte(`{}`), deleted)
	}
	tests := map[string]struct {
		// change leads from revision 10, which has "old" at revision 5, to revision
		// 20. copied is what the copy at revision 10 has.
		change              []platform.Object
		copied              []platform.Object
		atOnce, later, last string
	}{
		"unchanged":                    {nil, []platform.Object{object("old", 5, false)}, "old@5", "old@5", "old@5"},
		"created after the copy":       {[]platform.Object{object("new", 11, false)}, []platform.Object{object("old", 5, false)}, "new@11 old@5", "old@5", "old@5"},
		"deleted after the copy":       {[]platform.Object{object("old", 11, true)}, []platform.Object{object("old", 5, false)}, "", "", "old@5"},
		"changed and deleted after it": {[]platform.Object{object("old", 11, false), object("old", 12, true)}, []platform.Object{object("old", 5, false)}, "", "old@5", "old@5"},
		"written again after it":       {[]platform.Object{object("old", 11, true)}, []platform.Object{object("old", 12, false)}, "old@12", "old@12", "old@12"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMirror("k", hideTime)
			m.reset([]platform.Object{object("old", 5, false)}, platform.NewPosition(1, 10), start)
			m.apply(test.change, platform.NewPosition(1, 10), platform.NewPosition(1, 20), start)
			if _, restored := m.reset(test.copied, platform.NewPosition(2, 10), start); !restored {
				t.Error("the store doesn't count as restored")
			}
			show := func() string {
				objects := m.list()
				shown := make([]string, 0, len(objects))
				for _, o := range objects {
					shown = append(shown, fmt.Sprintf("%s@%d", o.Name(), o.Revision()))
				}
				return strings.Join(shown, " ")
			}
			m.expire(start.Add(fleet.RelistTime - 1))
			if got := show(); got != test.atOnce {
				t.Errorf("%q in force right after the restore, want %q", got, test.atOnce)
			}
			m.expire(start.Add(fleet.RelistTime))
			if got := show(); got != test.later {
				t.Errorf("%q in force %v later, want %q", got, fleet.RelistTime, test.later)
			}
			m.expire(start.Add(hideTime))
			if got := show(); got != test.last {
				t.Errorf("%q in force %v later, want %q", got, hideTime, test.last)
			}
		})
	}
}

// TestMirrorKeepsChanges checks that a copy that lacks a change of every object
// gets these changes and not the whole list, which is no shorter.
func TestMirrorKeepsChanges(t *testing.T) {
	const objects = 3000
	m, revision := newMirror("k", hideTime), uint64(1)
	m.reset(nil, platform.NewPosition(0, revision), time.Time{})
	changeAll := func() {
		for i := range objects {
			revision++
			o := platform.NewObject(fmt.Sprint(i), revision, []byte(`{}`), false)
			m.apply([]platform.Object{o}, platform.NewPosition(0, revision-1), platform.NewPosition(0, revision), time.Time{})
		}
	}
	changeAll()
	before := revision
	changeAll()
	if changes, _, whole, _ := m.changesSince(platform.NewPosition(0, before)); whole || len(changes) != objects {
		t.Errorf("%d changes came, whole: %v; want the %d changes", len(changes), whole, objects)
	}
}
