package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// Limits of the settings of the fleet.
const (
	// InFlightLimitMax is the maximum in-flight limit of a region, in requests.
	InFlightLimitMax = 10_000_000
	// LinkMbitMax is the maximum rate of a link, in Mbit/s.
	LinkMbitMax = 10_000_000
	// LinksMax is the maximum number of links of the fleet.
	LinksMax = 4096

	linkMbitLeast = 0.001
)

var (
	inFlightSpan = span{1, InFlightLimitMax, true}
	mbitSpan     = span{least: linkMbitLeast, most: LinkMbitMax}
)

// Link is a network link from one region to another, in one direction.
type Link struct {
	from place.Region
	to   place.Region
}

// NewLink returns the link from one region to another.
func NewLink(from, to place.Region) Link { return Link{from: from, to: to} }

// From returns the sending region.
func (l Link) From() place.Region { return l.from }

// To returns the receiving region.
func (l Link) To() place.Region { return l.to }

// Fleet holds the settings that belong to no team: the limits of regions and of
// the links between them. It is immutable.
type Fleet struct {
	inFlight map[place.Region]int
	links    map[Link]float64
}

// Regions returns the sorted regions that have an in-flight limit.
func (f *Fleet) Regions() []place.Region { return slices.Sorted(maps.Keys(f.inFlight)) }

// InFlightLimit returns the maximum number of concurrent requests in a region,
// and false if the settings set no limit.
func (f *Fleet) InFlightLimit(region place.Region) (int, bool) {
	limit, found := f.inFlight[region]
	return limit, found
}

// LinkMbitPerSecond returns the maximum rate at which the system may send over
// a link, in Mbit/s, and false if the settings set no limit.
func (f *Fleet) LinkMbitPerSecond(link Link) (float64, bool) {
	rate, found := f.links[link]
	return rate, found
}

// ParseFleet parses and validates the settings of the fleet in JSON. The error
// has one line per problem.
func ParseFleet(text []byte) (*Fleet, error) {
	if err := checkText(text); err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	fleet := &Fleet{inFlight: map[place.Region]int{}, links: map[Link]float64{}}
	var r reader
	for _, m := range r.members("", text) {
		switch m.name {
		case nameRegions:
			r.fleetRegions(m, fleet)
		case nameLinks:
			for _, element := range r.list(m, LinksMax) {
				r.link(element, fleet)
			}
		default:
			r.unknown(m, []string{nameRegions, nameLinks})
		}
	}
	return fleet, errors.Wrap(r.err(), "fleet")
}

func (r *reader) fleetRegions(m member, fleet *Fleet) {
	for _, region := range r.members(m.path, m.value) {
		name := r.region(region.path, region.name)
		for _, inner := range r.members(region.path, region.value) {
			if inner.name != nameInFlightLimit {
				r.unknown(inner, []string{nameInFlightLimit})
				continue
			}
			if limit, ok := r.number(inner, inFlightSpan); ok {
				fleet.inFlight[name] = int(limit)
			}
		}
		if _, found := fleet.inFlight[name]; !found {
			r.add(join(region.path, nameInFlightLimit), "no valid limit is given; want %s", inFlightSpan)
		}
	}
}

func (r *reader) link(element member, fleet *Fleet) {
	var link Link
	var rate float64
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameFrom:
			link.from = r.region(m.path, r.text(m))
		case nameTo:
			link.to = r.region(m.path, r.text(m))
		case nameMbit:
			rate, _ = r.number(m, mbitSpan)
		default:
			r.unknown(m, []string{nameFrom, nameTo, nameMbit})
		}
	}
	if link.from == "" || link.to == "" || link.from == link.to {
		r.add(element.path, "from %q to %q is given; want two different regions", link.from, link.to)
	}
	if rate == 0 {
		r.add(join(element.path, nameMbit), "no valid rate is given; want %s", mbitSpan)
	}
	if _, found := fleet.links[link]; found {
		r.add(element.path, "the link from %s to %s appears twice; want it once", link.from, link.to)
	}
	fleet.links[link] = rate
}
