// Package place names the parts of the fleet: regions, availability zones,
// instances, targets and services. The names are plain strings with a type
// each, so that they can be map keys, travel in messages unchanged and still
// not be mistaken for one another.
package place

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// NameBytesMax is the longest part of a name that is accepted, in bytes.
const NameBytesMax = 63

// Region is the name of a region, such as "kigali".
type Region string

// Zone is the name of an availability zone in the form "region/zone", such as
// "kigali/a".
type Zone string

// Instance is the name of an entry instance. It is unique in the fleet.
type Instance string

// Target is the name of a target. It is unique in the fleet.
type Target string

// Team is the name of a team that owns one subtree of the settings.
type Team string

// Service is the name of a service in the form "team/service", such as
// "library/search-desk".
type Service string

// NewZone checks and joins the two parts of the name of an availability zone.
func NewZone(region, zone string) (Zone, error) {
	if err := CheckName("region", region); err != nil {
		return "", err
	}
	if err := CheckName("availability zone", zone); err != nil {
		return "", err
	}
	return Zone(region + "/" + zone), nil
}

// ParseZone checks a name of the form "region/zone".
func ParseZone(text string) (Zone, error) {
	region, zone, found := strings.Cut(text, "/")
	if !found {
		return "", errors.Newf("availability zone %q: want the form region/zone, such as kigali/a", text)
	}
	return NewZone(region, zone)
}

// Region returns the region that the availability zone lies in.
func (z Zone) Region() Region {
	region, _, _ := strings.Cut(string(z), "/")
	return Region(region)
}

// Name returns the name of the availability zone within its region.
func (z Zone) Name() string {
	_, name, _ := strings.Cut(string(z), "/")
	return name
}

// ParseService checks a name of the form "team/service".
func ParseService(text string) (Service, error) {
	team, name, found := strings.Cut(text, "/")
	if !found {
		return "", errors.Newf("service %q: want the form team/service, such as library/search-desk", text)
	}
	if err := CheckName("team", team); err != nil {
		return "", err
	}
	if err := CheckName("service", name); err != nil {
		return "", err
	}
	return Service(text), nil
}

// Team returns the team that owns the service.
func (s Service) Team() Team {
	team, _, _ := strings.Cut(string(s), "/")
	return Team(team)
}

// Name returns the name of the service within its team.
func (s Service) Name() string {
	_, name, _ := strings.Cut(string(s), "/")
	return name
}

// CheckName tells whether text may be one part of a name: 1 to NameBytesMax
// lower-case letters, digits and hyphens, with a letter or digit at each end.
// The error names the part, what was given and what is allowed.
func CheckName(part, text string) error {
	if text == "" {
		return errors.Newf("%s: no name is given", part)
	}
	if len(text) > NameBytesMax {
		return errors.Newf("%s %q...: %d bytes are given, at most %d are allowed", part, text[:16], len(text), NameBytesMax)
	}
	for i := range len(text) {
		if !nameByte(text[i], i == 0 || i == len(text)-1) {
			return errors.Newf("%s %q: byte %d is not allowed; want a-z, 0-9 and inner hyphens", part, text, i+1)
		}
	}
	return nil
}

func nameByte(b byte, atEnd bool) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= '0' && b <= '9':
		return true
	case b == '-':
		return !atEnd
	}
	return false
}
