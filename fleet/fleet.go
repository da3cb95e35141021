// Package fleet keeps what is known of the targets: which of them exist, which
// may get requests, and how long they are cold. It does no input or output and
// is passed the time. A View is never changed once it is made, so that requests
// read it without a lock.
package fleet

import (
	"time"

	"github.com/endivechute/endivechute/place"
)

// Report is what the platform's list says of one target.
type Report struct {
	Target  place.Target
	Service place.Service
	Zone    place.Zone
	Address string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving tells that the target announced its shutdown.
	Leaving bool
	// Cold is how much longer the target is cold, as of the report.
	Cold time.Duration
	// Born is the start of the target's process, in Unix milliseconds. A target
	// that starts again under its old name has another one.
	Born int64
}

// Member is a target that may get requests.
type Member struct {
	report    Report
	coldUntil time.Time
}

// NewMember makes a Member that is cold until the given time.
func NewMember(report Report, coldUntil time.Time) *Member {
	return &Member{report: report, coldUntil: coldUntil}
}

// Target returns the name of the target.
func (m *Member) Target() place.Target { return m.report.Target }

// Service returns the service of the target.
func (m *Member) Service() place.Service { return m.report.Service }

// Zone returns the availability zone of the target.
func (m *Member) Zone() place.Zone { return m.report.Zone }

// Address returns the address of the target, as "IP:port".
func (m *Member) Address() string { return m.report.Address }

// Slots returns the number of requests that the target runs at once.
func (m *Member) Slots() int { return m.report.Slots }

// ColdUntil returns until when the target counts as cold.
func (m *Member) ColdUntil() time.Time { return m.coldUntil }

// Cold tells whether the target counts as cold.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.coldUntil) }

// Process names one process of a target: another one knows nothing of what the
// first did, even under the same name and address.
type Process struct {
	target  place.Target
	born    int64
	address string
}

// Process returns which process of the target this is.
func (m *Member) Process() Process {
	return Process{target: m.report.Target, born: m.report.Born, address: m.report.Address}
}

// View is what is known at one moment.
type View struct {
	members map[place.Service][]*Member
	targets map[place.Target]*Member
	zones   map[place.Zone]bool
}

// Members returns the targets of a service that may get requests, in the order
// of their names. The caller must not change the slice.
func (v *View) Members(service place.Service) []*Member { return v.members[service] }

// Member returns the target if it may get requests.
func (v *View) Member(target place.Target) (*Member, bool) {
	m, found := v.targets[target]
	return m, found
}

// Size returns how many targets may get requests.
func (v *View) Size() int { return len(v.targets) }

// Evacuated returns the availability zones whose targets get nothing.
func (v *View) Evacuated() []place.Zone {
	zones := make([]place.Zone, 0, len(v.zones))
	for zone := range v.zones {
		zones = append(zones, zone)
	}
	return zones
}
