// Package place defines the types of names in the fleet: regions, availability
// zones, instances, targets, teams and services. Each is a distinct string type,
// so that names work as map keys and in messages without conversion but can't be
// mixed up.
package place

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// NameBytesMax is the maximum length of one part of a name, in bytes.
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

// Tenant is the name of a tenant, a customer of the operators' customers.
type Tenant string

// NewZone returns the availability zone with the given region and name. The error
// names the part that is invalid.
func NewZone(region, zone string) (Zone, error) {
	if err := CheckName("region", region); err != nil {
		return "", err
	}
	if err := CheckName("availability zone", zone); err != nil {
		return "", err
	}
	return Zone(region + "/" + zone), nil
}

// ParseZone parses a name of the form "region/zone".
func ParseZone(text string) (Zone, error) {
	region, zone, found := strings.Cut(text, "/")
	if !found {
		return "", errors.Newf("availability zone %q: want the form region/zone, such as kigali/a", text)
	}
	return NewZone(region, zone)
}

// Region returns the region of the availability zone.
func (z Zone) Region() Region {
	region, _, _ := strings.Cut(string(z), "/")
	return Region(region)
}

// Name returns the name of the availability zone within its region.
func (z Zone) Name() string {
	_, name, _ := strings.Cut(string(z), "/")
	return name
}

// ParseService parses a name of the form "team/service".
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

// CheckName returns an error unless text is a valid part of a name: 1 to
// NameBytesMax lower-case letters, digits and hyphens, with a letter or digit at
// each end. part says in the error which part of the name is invalid.
func CheckName(part, text string) error {
	if text == "" {
		return errors.Newf("%s: name is empty", part)
	}
	if len(text) > NameBytesMax {
		return errors.Newf("%s %q...: name has %d bytes, at most %d are allowed", part, text[:16], len(text), NameBytesMax)
	}
	for i := range len(text) {
		if !isNameByte(text[i], i == 0 || i == len(text)-1) {
			return errors.Newf("%s %q: invalid character at byte %d; want a-z, 0-9 and inner hyphens", part, text, i+1)
		}
	}
	return nil
}

func isNameByte(b byte, atEnd bool) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= '0' && b <= '9':
		return true
	case b == '-':
		return !atEnd
	}
	return false
}
