package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/place"
)

// RelistTime is how long after the store comes back a target that was removed
// during the outage may still be alive: the platform documents that live targets
// are listed again within about two seconds.
const RelistTime = 2 * time.Second

// Timing holds the platform's timing parameters that a Registry depends on.
type Timing struct {
	// Heartbeat is the interval between a target's heartbeats to the store.
	Heartbeat time.Duration
	// ColdTime returns how long a target of the service is cold after its start.
	ColdTime func(place.Service) time.Duration
}

// RemovalHeartbeats is the number of missed heartbeats after which the platform
// removes a target. An outage shorter than RemovalHeartbeats-1 heartbeat
// intervals can't have removed any.
const RemovalHeartbeats = 3

type record struct {
	report    Report
	coldUntil time.Time
	// removeAt, if set, is when a target whose removal was seen right after an
	// outage of the store is dropped, unless it is listed again before.
	removeAt time.Time
}

// Registry is the mutable state from which Views are made. It is not safe for
// concurrent use.
type Registry struct {
	timing    Timing
	records   map[place.Target]*record
	evacuated map[place.Zone]bool
	// leaving holds the processes that announced themselves that they leave, or
	// were known to leave when the store was restored, with the time of that.
	// They get no more requests, whatever the list says later.
	leaving map[Process]time.Time
	// storeLostAt is when the store stopped answering, zero while it answers.
	storeLostAt time.Time
	// storeBackAt is when the store came back after the last outage that was long
	// enough for live targets to be removed.
	storeBackAt time.Time
}

// NewRegistry returns a Registry without targets.
func NewRegistry(timing Timing) *Registry {
	return &Registry{timing: timing, records: map[place.Target]*record{}, evacuated: map[place.Zone]bool{}, leaving: map[Process]time.Time{}}
}

// StoreLost records that the store doesn't answer. The targets stay in use.
func (b *Registry) StoreLost(now time.Time) {
	if b.storeLostAt.IsZero() {
		b.storeLostAt = now
	}
}

// StoreBack records that the store answers again and returns the length of the
// outage, 0 if there was none. It has to be called before the changes in the
// store's answer are applied.
func (b *Registry) StoreBack(now time.Time) time.Duration {
	if b.storeLostAt.IsZero() {
		return 0
	}
	outage := now.Sub(b.storeLostAt)
	b.storeLostAt = time.Time{}
	if outage >= (RemovalHeartbeats-1)*b.timing.Heartbeat {
		b.storeBackAt = now
	}
	return outage
}

// leavingTime is how long a leaving process is remembered. A list that names it
// for longer belongs to a target without valid start times.
const leavingTime = time.Hour

// MarkLeaving records that a process announced itself that it leaves, and reports
// whether that was unknown.
func (b *Registry) MarkLeaving(process Process, now time.Time) bool {
	_, known := b.leaving[process]
	b.leaving[process] = now
	maps.DeleteFunc(b.leaving, func(_ Process, at time.Time) bool { return now.Sub(at) > leavingTime })
	return !known
}

// LeavingListed returns at most limit processes that are known to leave although
// the platform's list doesn't say so, the last ones first.
func (b *Registry) LeavingListed(limit int) []Process {
	var listed []Process
	for process := range b.leaving {
		if r, found := b.records[process.Target()]; found && r.report.Process() == process && !r.report.Leaving {
			listed = append(listed, process)
		}
	}
	slices.SortFunc(listed, func(x, y Process) int {
		return cmp.Or(b.leaving[y].Compare(b.leaving[x]), strings.Compare(string(x.Target()), string(y.Target())))
	})
	return listed[:min(len(listed), limit)]
}

// Leaving returns the number of processes that are known to leave, whatever the
// list says.
func (b *Registry) Leaving() int { return len(b.leaving) }

// StoreRestored records that the store was restored from a copy, which may list
// leaving targets in an earlier state.
func (b *Registry) StoreRestored(now time.Time) {
	for _, r := range b.records {
		if r.report.Leaving {
			b.MarkLeaving(r.report.Process(), now)
		}
	}
}

// Put adds or updates a target from the platform's list.
func (b *Registry) Put(report Report, now time.Time) {
	coldUntil := time.Time{}
	if report.Cold > 0 {
		coldUntil = now.Add(report.Cold)
	}
	before, known := b.records[report.Target]
	// A cold period that the target itself announced, or that began with the end
	// of its zone's evacuation, ends early only if the list has a new process of
	// the target, or less remaining cold time than before.
	if known && before.report.Born == report.Born && report.Cold >= before.report.Cold {
		coldUntil = later(coldUntil, before.coldUntil)
	}
	b.records[report.Target] = &record{report: report, coldUntil: coldUntil}
}

// Remove handles the removal of a target from the list. Right after an outage of
// the store the target may still be alive and is kept until RelistTime after the
// outage.
func (b *Registry) Remove(target place.Target, now time.Time) {
	r, known := b.records[target]
	if !known {
		return
	}
	end := b.storeBackAt.Add(RelistTime)
	if b.storeBackAt.IsZero() || !now.Before(end) || r.report.Leaving {
		delete(b.records, target)
		return
	}
	r.removeAt = end
}

// Reset replaces the list: it puts the given targets and removes all others.
func (b *Registry) Reset(reports []Report, now time.Time) {
	listed := make(map[place.Target]bool, len(reports))
	for _, report := range reports {
		listed[report.Target] = true
		b.Put(report, now)
	}
	for target := range b.records {
		if !listed[target] {
			b.Remove(target, now)
		}
	}
}

// Evacuate sets the availability zones whose targets get no requests. When the
// evacuation of a zone ends, its targets may have become cold in the meantime.
// They count as cold until they report otherwise or their cold time is over.
func (b *Registry) Evacuate(zones []place.Zone, now time.Time) {
	before := b.evacuated
	b.evacuated = make(map[place.Zone]bool, len(zones))
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
	for _, r := range b.records {
		if zone := r.report.Zone; before[zone] && !b.evacuated[zone] {
			r.coldUntil = later(r.coldUntil, now.Add(b.timing.ColdTime(r.report.Service)))
		}
	}
}

// SetColdUntil records from a health check until when a target is cold.
func (b *Registry) SetColdUntil(target place.Target, until time.Time) {
	if r, known := b.records[target]; known {
		r.coldUntil = until
	}
}

// Expire drops the removed targets that weren't listed again in time, and reports
// whether there were any.
func (b *Registry) Expire(now time.Time) bool {
	expired := false
	for target, r := range b.records {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(b.records, target)
			expired = true
		}
	}
	return expired
}

// NextExpiry returns when Expire has to be called next, zero if no target is
// about to expire.
func (b *Registry) NextExpiry() time.Time {
	var next time.Time
	for _, r := range b.records {
		if !r.removeAt.IsZero() && (next.IsZero() || r.removeAt.Before(next)) {
			next = r.removeAt
		}
	}
	return next
}

// View returns a snapshot of the current state.
func (b *Registry) View() *View {
	v := &View{
		members:   map[place.Service][]*Member{},
		targets:   make(map[place.Target]*Member, len(b.records)),
		evacuated: b.evacuated,
	}
	for target, r := range b.records {
		if _, left := b.leaving[r.report.Process()]; left || r.report.Leaving || b.evacuated[r.report.Zone] {
			continue
		}
		m := NewMember(r.report, r.coldUntil)
		v.targets[target] = m
		v.members[r.report.Service] = append(v.members[r.report.Service], m)
	}
	for _, members := range v.members {
		slices.SortFunc(members, func(a, b *Member) int {
			return strings.Compare(string(a.Target()), string(b.Target()))
		})
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
