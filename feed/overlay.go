package feed

import (
	"maps"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/platform"
)

// tombstoneTime is how long a deleted object is remembered. The copy that a
// store is restored from is some seconds old.
const tombstoneTime = time.Minute

// overlay corrects the objects of a store that was restored from a copy some
// seconds old. What the copy lacks may still exist, and what it has may have been
// deleted since it was made. Those who wrote the objects write them again within
// fleet.RelistTime; until then, what was known before stays in force. It is not
// safe for use by several goroutines.
type overlay struct {
	// tombstones are the objects that were deleted recently, by name.
	tombstones map[string]tombstone
	// retained are the objects that the copy lacks, each with the end of its
	// time.
	retained map[string]retainedObject
	// hidden are the objects of the copy that were deleted before, each with the
	// end of its time.
	hidden map[string]time.Time
	// hideTime is how long an object of the copy is hidden that is certainly in
	// the state in which it was deleted. By then, the platform has removed the
	// entry of a target that has ended.
	hideTime time.Duration
}

type tombstone struct {
	revision uint64
	at       time.Time
}

type retainedObject struct {
	object platform.Object
	until  time.Time
}

func newOverlay(hideTime time.Duration) overlay {
	return overlay{hideTime: hideTime, tombstones: map[string]tombstone{}, retained: map[string]retainedObject{}, hidden: map[string]time.Time{}}
}

// deleted remembers the last state of an object that was deleted.
func (v *overlay) deleted(o platform.Object, now time.Time) {
	v.tombstones[o.Name()] = tombstone{revision: o.Revision(), at: now}
	maps.DeleteFunc(v.tombstones, func(_ string, t tombstone) bool { return now.Sub(t.at) > tombstoneTime })
}

// written ends what the overlay holds of an object that was written or deleted,
// and reports whether the object was retained.
func (v *overlay) written(name string) (wasRetained bool) {
	_, wasRetained = v.retained[name]
	delete(v.retained, name)
	delete(v.hidden, name)
	return wasRetained
}

// list takes in a list of the same era.
func (v *overlay) list(before, objects map[string]platform.Object, now time.Time) {
	for name, o := range before {
		if _, found := objects[name]; !found {
			v.deleted(o, now)
		}
	}
	for name, o := range objects {
		if previous, found := before[name]; !found || previous.Revision() != o.Revision() {
			v.written(name)
		}
	}
	maps.DeleteFunc(v.hidden, func(name string, _ time.Time) bool {
		_, found := objects[name]
		return !found
	})
}

// restore takes in the objects of a restored store. before are the objects that
// were in force until then.
func (v *overlay) restore(before, objects map[string]platform.Object, now time.Time) {
	until := now.Add(fleet.RelistTime)
	clear(v.retained)
	clear(v.hidden)
	for name, o := range before {
		if _, found := objects[name]; !found {
			v.retained[name] = retainedObject{object: o, until: until}
		}
	}
	for name, o := range objects {
		t, found := v.tombstones[name]
		switch {
		case !found || now.Sub(t.at) > tombstoneTime || o.Revision() > t.revision:
		case o.Revision() == t.revision:
			v.hidden[name] = now.Add(v.hideTime)
		default:
			// It is either an earlier state in the copy or was written again, with
			// a revision that was given out before.
			v.hidden[name] = until
		}
	}
}

// apply returns the objects that are in force.
func (v *overlay) apply(objects map[string]platform.Object) map[string]platform.Object {
	if len(v.retained) == 0 && len(v.hidden) == 0 {
		return objects
	}
	effective := maps.Clone(objects)
	for name := range v.hidden {
		delete(effective, name)
	}
	for name, r := range v.retained {
		effective[name] = r.object
	}
	return effective
}

// expire ends what is held for a limited time and returns the objects that come
// into force or, marked as deleted, go out of force.
func (v *overlay) expire(objects map[string]platform.Object, now time.Time) []platform.Object {
	var changed []platform.Object
	for name, r := range v.retained {
		if !now.Before(r.until) {
			delete(v.retained, name)
			changed = append(changed, platform.NewObject(name, r.object.Revision(), r.object.Spec(), true))
		}
	}
	for name, until := range v.hidden {
		if !now.Before(until) {
			delete(v.hidden, name)
			changed = append(changed, objects[name])
		}
	}
	return changed
}
