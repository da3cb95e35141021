// Package feed keeps this process's copy of the platform's objects up to date
// and makes from it what requests need: the routes, the targets and the other
// instances.
//
// In each availability zone one instance watches the platform's store and the
// others follow it, so that the calls to the store don't grow with the fleet.
// A follower whose instance falls silent turns to the store itself, and one
// that the store turns away asks any instance that knows more.
package feed

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivechute/endivechute/platform"
)

// changesLeast is how many changes a mirror keeps at least; it keeps as many as
// there are objects, if that is more. Who is further behind gets the whole,
// which is then not longer than the changes.
const changesLeast = 512

// mirror is the copy of all objects of one kind. It is safe for use by several
// goroutines.
type mirror struct {
	kind string

	mu       sync.Mutex
	known    bool
	revision uint64
	objects  map[string]platform.Object
	// changes are the latest ones, each with the revision at which this copy
	// took it in, and complete says since which revision none is missing.
	changes  []change
	complete uint64
	// packed is the compressed list as of packedRevision, made at packedAt.
	packed         []byte
	packedRevision uint64
	packedAt       time.Time
}

// packedTime is how long a compressed list is handed on: the age that the
// knowledge of an instance may have that is followed.
const packedTime = ageMax

// packedList returns the compressed list and its revision if there is a recent
// one.
func (m *mirror) packedList(now time.Time) (packed []byte, revision uint64, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := m.packed != nil && now.Sub(m.packedAt) < packedTime && m.packedRevision >= m.complete
	return m.packed, m.packedRevision, recent
}

func (m *mirror) keepPacked(packed []byte, revision uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.packed, m.packedRevision, m.packedAt = packed, revision, now
}

type change struct {
	at     uint64
	object platform.Object
}

func newMirror(kind string) *mirror {
	return &mirror{kind: kind, objects: map[string]platform.Object{}}
}

// reset takes in all objects as of the revision, and returns false if this copy
// is newer.
func (m *mirror) reset(objects []platform.Object, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known && revision < m.revision {
		return false
	}
	m.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		m.objects[o.Name()] = o
	}
	m.known = true
	m.revision = revision
	m.changes = nil
	m.complete = revision
	return true
}

// apply takes in changes that bring the copy from the revision after to the
// revision to, and returns those that are news. A copy that is not yet at after
// would miss some; it takes none.
func (m *mirror) apply(objects []platform.Object, after, to uint64) []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known || m.revision < after || to < m.revision {
		return nil
	}
	var news []platform.Object
	for _, o := range objects {
		if m.take(o) {
			news = append(news, o)
			m.changes = append(m.changes, change{at: to, object: o})
		}
	}
	m.revision = to
	if extra := len(m.changes) - max(changesLeast, len(m.objects)); extra > 0 {
		m.complete = m.changes[extra-1].at
		m.changes = slices.Clone(m.changes[extra:])
	}
	return news
}

// take keeps the object unless this copy has the same or a newer one.
func (m *mirror) take(o platform.Object) bool {
	held, found := m.objects[o.Name()]
	if found && o.Revision() < held.Revision() {
		return false
	}
	if o.Deleted() {
		delete(m.objects, o.Name())
		return found
	}
	if found && o.Revision() == held.Revision() {
		return false
	}
	m.objects[o.Name()] = o
	return true
}

// since returns the changes after the revision, or all objects if too many have
// come since, and the present revision. known is false if this copy is empty.
func (m *mirror) since(after uint64) (objects []platform.Object, revision uint64, whole, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		return nil, 0, false, false
	}
	if after == 0 || after < m.complete {
		return m.all(), m.revision, true, true
	}
	for _, c := range m.changes {
		if c.at > after {
			objects = append(objects, c.object)
		}
	}
	return objects, m.revision, false, true
}

func (m *mirror) all() []platform.Object {
	objects := make([]platform.Object, 0, len(m.objects))
	for _, o := range m.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return objects
}

// list returns all objects in the order of their names.
func (m *mirror) list() []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all()
}

// at returns the revision, 0 if the copy is empty.
func (m *mirror) at() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		return 0
	}
	return m.revision
}
