package feed

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/platform"
)

// TestMirrorFollows applies any mix of lists and changes from the store and
// from another copy, also late ones, to two copies. Each must equal the store
// at the same revision, and must never go back to an older revision.
func TestMirrorFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMirror("k")
		store.reset(nil, 1)
		history := map[uint64][]platform.Object{1: nil}
		first, second := newMirror("k"), newMirror("k")
		revision := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			target, source := first, store
			if rapid.Bool().Draw(t, "second") {
				target = second
			}
			if rapid.Bool().Draw(t, "from the other") && target == second {
				source = first
			}
			before := target.currentRevision()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
				o := platform.NewObject(name, revision, []byte(`{}`), rapid.Bool().Draw(t, "deleted"))
				store.apply([]platform.Object{o}, revision-1, revision)
				history[revision] = store.list()
			case 1:
				at := rapid.Uint64Range(1, revision).Draw(t, "list of")
				target.reset(history[at], at)
			default:
				after := target.currentRevision()
				objects, to, whole, loaded := source.changesSince(after)
				if loaded && whole {
					target.reset(objects, to)
				} else if loaded {
					target.apply(objects, after, to)
				}
			}
			if target.currentRevision() < before {
				t.Fatalf("the copy went back from revision %d to %d", before, target.currentRevision())
			}
			for name, m := range map[string]*mirror{"first": first, "second": second} {
				if at := m.currentRevision(); at > 0 && fmt.Sprint(m.list()) != fmt.Sprint(history[at]) {
					t.Fatalf("%s at revision %d holds %v, the store held %v", name, at, m.list(), history[at])
				}
			}
		}
	})
}

// TestMirrorKeepsChanges checks that a copy that lacks a change of every object
// gets these changes and not the whole list, which is no shorter.
func TestMirrorKeepsChanges(t *testing.T) {
	const objects = 3000
	m, revision := newMirror("k"), uint64(1)
	m.reset(nil, revision)
	changeAll := func() {
		for i := range objects {
			revision++
			o := platform.NewObject(fmt.Sprint(i), revision, []byte(`{}`), false)
			m.apply([]platform.Object{o}, revision-1, revision)
		}
	}
	changeAll()
	before := revision
	changeAll()
	if changes, _, whole, _ := m.changesSince(before); whole || len(changes) != objects {
		t.Errorf("%d changes came, whole: %v; want the %d changes", len(changes), whole, objects)
	}
}
