package plat

import (
	"slices"
	"strings"
	"sync"

	"github.com/endivechute/endivechute/store"
)

// objects is the versioned object store. All versions come from one revision
// counter, so the version of an object also grows when it is deleted and created
// again.
type objects struct {
	mutex    sync.Mutex
	byPath   map[string]store.Object
	revision uint64
	// changed is closed and replaced at every write, to wake the watches.
	changed chan struct{}
}

func newObjects() *objects {
	return &objects{byPath: map[string]store.Object{}, changed: make(chan struct{})}
}

func (o *objects) get(path string) (store.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	object, found := o.byPath[path]
	if !found {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// write stores a value or a tombstone if the object's version is still ifVersion,
// and returns the new version. On a conflict it returns the current version.
func (o *objects) write(path string, value []byte, deleted bool, ifVersion uint64) (uint64, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	current := o.byPath[path].Version()
	if current != ifVersion {
		return current, store.ErrConflict
	}
	if deleted && current == 0 {
		return 0, store.ErrNotFound
	}
	o.revision++
	o.byPath[path] = store.NewObject(path, o.revision, value, deleted)
	close(o.changed)
	o.changed = make(chan struct{})
	return o.revision, nil
}

// since returns the objects whose path begins with the prefix and that changed
// after the revision, sorted by path. It also returns the current revision, and a
// channel that is closed at the next write.
func (o *objects) since(prefix string, after uint64) ([]store.Object, uint64, <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []store.Object
	for path, object := range o.byPath {
		if object.Version() > after && strings.HasPrefix(path, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b store.Object) int { return strings.Compare(a.Path(), b.Path()) })
	return found, o.revision, o.changed
}
