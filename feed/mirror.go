// Package feed keeps this process's copy of the platform's objects up to date,
// and derives from it what requests need: the routes, the targets and the other
// instances.
//
// In each availability zone one instance watches the platform's store and the
// others follow that instance, so that the number of calls to the store doesn't
// grow with the fleet. A follower whose instance stops answering watches the
// store itself, and an instance that the store rejects asks any other instance
// with more recent data.
package feed

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivechute/endivechute/platform"
)

// changesMin is how many changes a mirror keeps at least. It keeps as many as
// there are objects if that is more. An instance that lacks more changes gets
// the whole list, which is then no longer than the changes.
const changesMin = 512

// mirror is a copy of all objects of one kind. It is safe for use by several
// goroutines.
type mirror struct {
	kind string

	mu       sync.Mutex
	loaded   bool
	revision uint64
	objects  map[string]platform.Object
	// changes are the latest changes, each with the revision at which this copy
	// applied it. All changes after completeSince are among them.
	changes       []change
	completeSince uint64
	// compressed is the compressed list of all objects at compressedRevision,
	// made at compressedAt.
	compressed         []byte
	compressedRevision uint64
	compressedAt       time.Time
}

// compressedTTL is how long a compressed list is used. It equals the greatest
// age of the data of an instance that may be followed.
const compressedTTL = peerAgeMax

// compressedList returns the compressed list and its revision. fresh reports
// whether it may be used: it is recent, and all changes since its revision are
// still kept.
func (m *mirror) compressedList(now time.Time) (list []byte, revision uint64, fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isRecent := m.compressed != nil && now.Sub(m.compressedAt) < compressedTTL && m.compressedRevision >= m.completeSince
	return m.compressed, m.compressedRevision, isRecent
}

// setCompressed stores the compressed list of all objects at a revision.
func (m *mirror) setCompressed(list []byte, revision uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compressed, m.compressedRevision, m.compressedAt = list, revision, now
}

// change is an object that was changed, and the revision at which the copy
// applied the change.
type change struct {
	at     uint64
	object platform.Object
}

func newMirror(kind string) *mirror {
	return &mirror{kind: kind, objects: map[string]platform.Object{}}
}

// reset replaces the copy by all objects at the revision. It reports whether it
// did; a copy that is newer stays as it is.
func (m *mirror) reset(objects []platform.Object, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && revision < m.revision {
		return false
	}
	m.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		m.objects[o.Name()] = o
	}
	m.loaded = true
	m.revision = revision
	m.changes = nil
	m.completeSince = revision
	return true
}

// apply applies the changes that lead from the revision after to the revision
// to, and returns those that changed the copy. It applies none if the copy is
// older than after, because changes in between would be missing, or newer than
// to.
func (m *mirror) apply(objects []platform.Object, after, to uint64) []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.revision < after || to < m.revision {
		return nil
	}
	var news []platform.Object
	for _, o := range objects {
		if m.put(o) {
			news = append(news, o)
			m.changes = append(m.changes, change{at: to, object: o})
		}
	}
	m.revision = to
	if extra := len(m.changes) - max(changesMin, len(m.objects)); extra > 0 {
		m.completeSince = m.changes[extra-1].at
		m.changes = slices.Clone(m.changes[extra:])
	}
	return news
}

// put stores an object unless the copy has it at the same or a newer revision,
// or deletes it unless the copy has it at a newer one. It reports whether the
// copy changed.
func (m *mirror) put(o platform.Object) bool {
	current, found := m.objects[o.Name()]
	if found && o.Revision() < current.Revision() {
		return false
	}
	if o.Deleted() {
		delete(m.objects, o.Name())
		return found
	}
	if found && o.Revision() == current.Revision() {
		return false
	}
	m.objects[o.Name()] = o
	return true
}

// changesSince returns the changes after the revision, or all objects if not
// all of these changes are kept, and the current revision. whole tells which of
// the two it is. loaded is false if the copy has no data yet.
func (m *mirror) changesSince(after uint64) (objects []platform.Object, revision uint64, whole, loaded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return nil, 0, false, false
	}
	if after == 0 || after < m.completeSince {
		return m.all(), m.revision, true, true
	}
	for _, c := range m.changes {
		if c.at > after {
			objects = append(objects, c.object)
		}
	}
	return objects, m.revision, false, true
}

// all returns all objects ordered by name. The caller holds mu.
func (m *mirror) all() []platform.Object {
	objects := make([]platform.Object, 0, len(m.objects))
	for _, o := range m.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return objects
}

// list returns all objects ordered by name.
func (m *mirror) list() []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all()
}

// currentRevision returns the revision of the copy, 0 if it has no data yet.
func (m *mirror) currentRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return 0
	}
	return m.revision
}
