package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/place"
)

// ReturnTime is how long after the store's return a target that was removed
// meanwhile may still be alive: the platform's pages promise that targets that
// live are back in the list within about two seconds.
const ReturnTime = 2 * time.Second

// Times are the figures of the platform that a Book depends on.
type Times struct {
	// Heartbeat is the time between two heartbeats of a target to the store.
	Heartbeat time.Duration
	// ColdTime returns how long a target of the service is cold after a start.
	ColdTime func(place.Service) time.Duration
}

// lapseBeats is after how many heartbeats of silence the platform removes a
// target. An outage that was shorter by one can't have removed any.
const lapseBeats = 3

type record struct {
	report    Report
	coldUntil time.Time
	// goneAt, if set, is when a target that was removed during an outage of
	// the store is taken as gone.
	goneAt time.Time
}

// Book is the state from which Views are made. It is not safe for use by
// several goroutines.
type Book struct {
	times     Times
	records   map[place.Target]*record
	evacuated map[place.Zone]bool
	// lostAt is when the store fell silent, zero while it answers.
	lostAt time.Time
	// returned is when the store came back after an outage in which targets
	// may have been removed for their silence.
	returned time.Time
}

// NewBook makes a Book that knows no target.
func NewBook(times Times) *Book {
	return &Book{times: times, records: map[place.Target]*record{}, evacuated: map[place.Zone]bool{}}
}

// Lost notes that the store does not answer. What is known stays in use.
func (b *Book) Lost(now time.Time) {
	if b.lostAt.IsZero() {
		b.lostAt = now
	}
}

// Back notes that the store answers again and returns how long it was away. It
// has to be called before the changes of the answer are made.
func (b *Book) Back(now time.Time) time.Duration {
	if b.lostAt.IsZero() {
		return 0
	}
	away := now.Sub(b.lostAt)
	b.lostAt = time.Time{}
	if away >= (lapseBeats-1)*b.times.Heartbeat {
		b.returned = now
	}
	return away
}

// Put takes in what the list says of a target.
func (b *Book) Put(report Report, now time.Time) {
	coldUntil := time.Time{}
	if report.Cold > 0 {
		coldUntil = now.Add(report.Cold)
	}
	before, known := b.records[report.Target]
	// A report that says nothing new of the cold does not end one that the zone's
	// return, or the target itself, has shown.
	if known && before.report.Born == report.Born && report.Cold >= before.report.Cold {
		coldUntil = later(coldUntil, before.coldUntil)
	}
	b.records[report.Target] = &record{report: report, coldUntil: coldUntil}
}

// Remove takes in that the list holds a target no longer. Right after an outage
// of the store the target may be alive, and is kept until ReturnTime after it.
func (b *Book) Remove(target place.Target, now time.Time) {
	r, known := b.records[target]
	if !known {
		return
	}
	end := b.returned.Add(ReturnTime)
	if b.returned.IsZero() || !now.Before(end) || r.report.Leaving {
		delete(b.records, target)
		return
	}
	r.goneAt = end
}

// Reset takes in the whole list. Targets that it lacks are removed.
func (b *Book) Reset(reports []Report, now time.Time) {
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

// Evacuate sets the availability zones whose targets get nothing. The targets
// of a zone that is taken back may have become cold in the meantime, and count
// as cold until they say otherwise or the time for it is over.
func (b *Book) Evacuate(zones []place.Zone, now time.Time) {
	before := b.evacuated
	b.evacuated = make(map[place.Zone]bool, len(zones))
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
	for _, r := range b.records {
		if zone := r.report.Zone; before[zone] && !b.evacuated[zone] {
			r.coldUntil = later(r.coldUntil, now.Add(b.times.ColdTime(r.report.Service)))
		}
	}
}

// Chill notes that a target said of itself that it is cold.
func (b *Book) Chill(target place.Target, until time.Time) {
	if r, known := b.records[target]; known {
		r.coldUntil = until
	}
}

// Expire removes the targets whose time to return is over, and tells whether
// there were any.
func (b *Book) Expire(now time.Time) bool {
	expired := false
	for target, r := range b.records {
		if !r.goneAt.IsZero() && !now.Before(r.goneAt) {
			delete(b.records, target)
			expired = true
		}
	}
	return expired
}

// NextExpiry returns when Expire has something to do next, zero if never.
func (b *Book) NextExpiry() time.Time {
	var next time.Time
	for _, r := range b.records {
		if !r.goneAt.IsZero() && (next.IsZero() || r.goneAt.Before(next)) {
			next = r.goneAt
		}
	}
	return next
}

// View makes the View of the present state.
func (b *Book) View() *View {
	v := &View{
		members: map[place.Service][]*Member{},
		targets: make(map[place.Target]*Member, len(b.records)),
		zones:   b.evacuated,
	}
	for target, r := range b.records {
		if r.report.Leaving || b.evacuated[r.report.Zone] {
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
