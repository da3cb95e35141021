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

	mu      sync.Mutex
	loaded  bool
	at      platform.Position
	objects map[string]platform.Object
	// changes are the latest changes, each with the revision at which this copy
	// applied it. All changes of this era after completeSince are among them.
	changes       []change
	completeSince uint64
	// overlay holds what differs from the objects after the store was restored.
	overlay overlay
	// compressed is the compressed list of all objects at compressedPosition,
	// made at compressedAt.
	compressed         []byte
	compressedPosition platform.Position
	compressedAt       time.Time
}

// compressedTTL is how long a compressed list is used. It equals the greatest
// age of the data of an instance that may be followed.
const compressedTTL = peerAgeMax

// compressedList returns the compressed list and its position. fresh reports
// whether it may be used: it is recent, and all changes since its revision are
// still kept, unless these are as long as the list.
func (m *mirror) compressedList(now time.Time) (list []byte, position platform.Position, fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if specBytes(changedSince(m.changes, m.compressedPosition.Revision())) >= compressBytes && m.compressedPosition != m.at {
		return nil, platform.Position{}, false
	}
	isRecent := m.compressed != nil && now.Sub(m.compressedAt) < compressedTTL &&
		m.compressedPosition.Era() == m.at.Era() && m.compressedPosition.Revision() >= m.completeSince
	return m.compressed, m.compressedPosition, isRecent
}

// wholeListFactor is how many times as long as the changes the whole list may be
// to be sent in their place.
const wholeListFactor = 4

// wholeIfSmall returns all objects in place of long changes, unless they are much
// longer, and whether it does.
func (m *mirror) wholeIfSmall(changes []platform.Object, at platform.Position) ([]platform.Object, platform.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := sorted(m.objects)
	if at != m.at || specBytes(all) > wholeListFactor*specBytes(changes) {
		return changes, at, false
	}
	return all, m.at, true
}

// setCompressed stores the compressed list of all objects at a position.
func (m *mirror) setCompressed(list []byte, position platform.Position, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compressed, m.compressedPosition, m.compressedAt = list, position, now
}

// change is an object that was changed, and the revision at which the copy
// applied the change.
type change struct {
	at     uint64
	object platform.Object
}

// newMirror returns a copy without data. hideTime is how long an object may stay
// hidden after the store was restored.
func newMirror(kind string, hideTime time.Duration) *mirror {
	return &mirror{kind: kind, objects: map[string]platform.Object{}, overlay: newOverlay(hideTime)}
}

// reset replaces the copy by all objects at the position. It reports whether it
// did; a copy that is newer stays as it is. restored reports whether the store
// was restored from a copy since the position of the mirror.
func (m *mirror) reset(objects []platform.Object, position platform.Position, now time.Time) (accepted, restored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && position.Compare(m.at) < 0 {
		return false, false
	}
	before := m.effective()
	replaced := m.objects
	m.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		m.objects[o.Name()] = o
	}
	// A position without an era is from a source that doesn't know of eras. If
	// its revision is not after the new one, nothing shows that the store was
	// restored.
	restored = m.loaded && position.Era() > m.at.Era() && (m.at.Era() > 0 || position.Revision() < m.at.Revision())
	if restored {
		m.overlay.restore(before, m.objects, now)
	} else {
		m.overlay.list(replaced, m.objects, now)
	}
	m.loaded = true
	m.at = position
	m.changes = nil
	m.completeSince = position.Revision()
	return true, restored
}

// apply applies the changes that lead from the position after to the position
// to, and returns those that changed the copy. It applies none if the copy is
// older than after, because changes in between would be missing, or newer than
// to, or of another era.
func (m *mirror) apply(objects []platform.Object, after, to platform.Position, now time.Time) []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	sameEra := after.Era() == m.at.Era() && to.Era() == m.at.Era()
	if !m.loaded || !sameEra || m.at.Compare(after) < 0 || to.Compare(m.at) < 0 {
		return nil
	}
	var news []platform.Object
	for _, o := range objects {
		if m.put(o, now) {
			news = append(news, o)
			m.changes = append(m.changes, change{at: to.Revision(), object: o})
		}
	}
	m.at = to
	if extra := len(m.changes) - max(changesMin, len(m.objects)); extra > 0 {
		m.completeSince = m.changes[extra-1].at
		m.changes = slices.Clone(m.changes[extra:])
	}
	return news
}

// put stores an object unless the copy has it at the same or a newer revision,
// or deletes it unless the copy has it at a newer one. It reports whether the
// copy changed.
func (m *mirror) put(o platform.Object, now time.Time) bool {
	current, found := m.objects[o.Name()]
	if found && o.Revision() < current.Revision() {
		return false
	}
	if o.Deleted() {
		delete(m.objects, o.Name())
		retained := m.overlay.written(o.Name())
		if found {
			m.overlay.deleted(current, now)
		}
		return found || retained
	}
	if found && o.Revision() == current.Revision() {
		return false
	}
	m.overlay.written(o.Name())
	m.objects[o.Name()] = o
	return true
}

// changesSince returns the changes after the position, or all objects if not all
// of these changes are kept, and the current position. whole tells which of the
// two it is. loaded is false if the copy has no data yet. A copy of an earlier
// era than the position has no changes after it.
func (m *mirror) changesSince(after platform.Position) (objects []platform.Object, position platform.Position, whole, loaded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.loaded:
		return nil, platform.Position{}, false, false
	case after.Era() > m.at.Era():
		return nil, m.at, false, true
	case after.Era() < m.at.Era() || after.Revision() == 0 || after.Revision() < m.completeSince:
		return sorted(m.objects), m.at, true, true
	}
	return changedSince(m.changes, after.Revision()), m.at, false, true
}

// changedSince returns the objects that changed after a revision.
func changedSince(changes []change, revision uint64) []platform.Object {
	var objects []platform.Object
	for _, c := range changes {
		if c.at > revision {
			objects = append(objects, c.object)
		}
	}
	return objects
}

func sorted(objects map[string]platform.Object) []platform.Object {
	all := make([]platform.Object, 0, len(objects))
	for _, o := range objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b platform.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return all
}

// effective returns the objects that are in force, by name. The caller holds mu.
func (m *mirror) effective() map[string]platform.Object { return m.overlay.apply(m.objects) }

// list returns the objects that are in force, ordered by name.
func (m *mirror) list() []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.effective())
}

// stored returns the objects that the store has, ordered by name.
func (m *mirror) stored() []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.objects)
}

// object returns the stored object with the name.
func (m *mirror) object(name string) (platform.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[name]
	return o, found
}

// expire ends what the overlay holds for a limited time, and returns the objects
// that change by that.
func (m *mirror) expire(now time.Time) []platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overlay.expire(m.objects, now)
}

// isLoaded reports whether the copy has data.
func (m *mirror) isLoaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// position returns the position of the copy, the zero one if it has no data yet.
func (m *mirror) position() platform.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}
