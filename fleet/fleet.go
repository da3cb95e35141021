// Package fleet keeps track of the targets: which exist, which may get requests,
// and how long they are cold. It does no I/O and takes the current time as an
// argument. A View is immutable, so that requests read it without a lock.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/place"
)

// Report is the entry of a target in the platform's list.
type Report struct {
	Target  place.Target
	Service place.Service
	Zone    place.Zone
	Address string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving is true if the target announced its shutdown.
	Leaving bool
	// Cold is the remaining time for which the target is cold, as of the report.
	Cold time.Duration
	// Born is the start time of the target's process, in Unix milliseconds. It
	// changes when a target restarts under the same name.
	Born int64
}

// Member is a target that may get requests.
type Member struct {
	report    Report
	coldUntil time.Time
	hash      uint64
	region    place.Region
}

// NewMember returns a Member that is cold until the given time.
func NewMember(report Report, coldUntil time.Time) *Member {
	return &Member{report: report, coldUntil: coldUntil, hash: xxhash.Sum64String(string(report.Target)), region: report.Zone.Region()}
}

// Hash returns the hash of the target's name for rendezvous hashing.
func (m *Member) Hash() uint64 { return m.hash }

// Target returns the name of the target.
func (m *Member) Target() place.Target { return m.report.Target }

// Service returns the service of the target.
func (m *Member) Service() place.Service { return m.report.Service }

// Zone returns the availability zone of the target.
func (m *Member) Zone() place.Zone { return m.report.Zone }

// Region returns the region of the target.
func (m *Member) Region() place.Region { return m.region }

// Address returns the address of the target, as "IP:port".
func (m *Member) Address() string { return m.report.Address }

// Slots returns the number of requests that the target runs at once.
func (m *Member) Slots() int { return m.report.Slots }

// ColdUntil returns the time until which the target counts as cold.
func (m *Member) ColdUntil() time.Time { return m.coldUntil }

// Cold reports whether the target counts as cold.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.coldUntil) }

// Process identifies one process of a target. A new process starts without the
// cache of the previous one, even under the same name and address.
type Process struct {
	target  place.Target
	born    int64
	address string
}

// Process returns the identity of the process that the report is about.
func (r Report) Process() Process {
	return Process{target: r.Target, born: r.Born, address: r.Address}
}

// Process returns the identity of the target's current process.
func (m *Member) Process() Process { return m.report.Process() }

// Born returns when the process started, in Unix milliseconds.
func (p Process) Born() int64 { return p.born }

// Target returns the target that the process belongs to.
func (p Process) Target() place.Target { return p.target }

// View is an immutable snapshot of the targets that may get requests.
type View struct {
	members   map[place.Service][]*Member
	targets   map[place.Target]*Member
	evacuated map[place.Zone]bool
}

// Members returns the targets of a service that may get requests, sorted by name.
// The caller must not change the slice.
func (v *View) Members(service place.Service) []*Member { return v.members[service] }

// Services returns the services that have targets, in no particular order.
func (v *View) Services() []place.Service { return slices.Collect(maps.Keys(v.members)) }

// Member returns the target if it may get requests.
func (v *View) Member(target place.Target) (*Member, bool) {
	m, found := v.targets[target]
	return m, found
}

// Size returns how many targets may get requests.
func (v *View) Size() int { return len(v.targets) }

// Evacuated returns the availability zones whose targets get no requests, in no
// particular order.
func (v *View) Evacuated() []place.Zone {
	zones := make([]place.Zone, 0, len(v.evacuated))
	for zone := range v.evacuated {
		zones = append(zones, zone)
	}
	return zones
}
