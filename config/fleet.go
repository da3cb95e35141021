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

	linkMbitMin = 0.001
)

var (
	inFlightRange = numberRange{1, InFlightLimitMax, true}
	mbitRange     = numberRange{min: linkMbitMin, max: LinkMbitMax}
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
	inFlightLimits map[place.Region]int
	linkRates      map[Link]float64
}

// Regions returns the sorted regions that have an in-flight limit.
func (f *Fleet) Regions() []place.Region { return slices.Sorted(maps.Keys(f.inFlightLimits)) }

// InFlightLimit returns the maximum number of concurrent requests in a region,
// and false if the settings set no limit.
func (f *Fleet) InFlightLimit(region place.Region) (int, bool) {
	limit, found := f.inFlightLimits[region]
	return limit, found
}

// LinkMbitPerSecond returns the maximum rate at which the system may send over
// a link, in Mbit/s, and false if the settings set no limit.
func (f *Fleet) LinkMbitPerSecond(link Link) (float64, bool) {
	rate, found := f.linkRates[link]
	return rate, found
}

// ParseFleet parses and validates the settings of the fleet in JSON. The error
// has one line per problem.
func ParseFleet(text []byte) (*Fleet, error) {
	if err := checkJSON(text); err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	fleet := &Fleet{inFlightLimits: map[place.Region]int{}, linkRates: map[Link]float64{}}
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
			r.unknownField(m, []string{nameRegions, nameLinks})
		}
	}
	return fleet, errors.Wrap(r.err(), "fleet")
}

func (r *reader) fleetRegions(m member, fleet *Fleet) {
	for _, region := range r.members(m.path, m.value) {
		name := r.region(region.path, region.name)
		for _, inner := range r.members(region.path, region.value) {
			if inner.name != nameInFlightLimit {
				r.unknownField(inner, []string{nameInFlightLimit})
				continue
			}
			if limit, ok := r.number(inner, inFlightRange); ok {
				fleet.inFlightLimits[name] = int(limit)
			}
		}
		if _, found := fleet.inFlightLimits[name]; !found {
			r.addProblem(joinPath(region.path, nameInFlightLimit), "no valid limit is given; want %s", inFlightRange)
		}
	}
}

func (r *reader) link(element member, fleet *Fleet) {
	var link Link
	var rate float64
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameFrom:
			link.from = r.region(m.path, r.stringValue(m))
		case nameTo:
			link.to = r.region(m.path, r.stringValue(m))
		case nameMbit:
			rate, _ = r.number(m, mbitRange)
		default:
			r.unknownField(m, []string{nameFrom, nameTo, nameMbit})
		}
	}
	if link.from == "" || link.to == "" || link.from == link.to {
		r.addProblem(element.path, "from %q to %q is given; want two different regions", link.from, link.to)
	}
	if rate == 0 {
		r.addProblem(joinPath(element.path, nameMbit), "no valid rate is given; want %s", mbitRange)
	}
	if _, found := fleet.linkRates[link]; found {
		r.addProblem(element.path, "the link from %s to %s appears twice; want it once", link.from, link.to)
	}
	fleet.linkRates[link] = rate
}
