package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// The top names of the tree of objects.
const (
	// PathFleet is the object with the settings that belong to no team.
	PathFleet = "fleet"
	// PrefixTeams begins the paths of the teams' and services' settings.
	PrefixTeams = "teams/"
	// PrefixBlocks begins the paths of the chunks of client blocks.
	PrefixBlocks = "blocks/"
	// PrefixPlans begins the paths of the shift plans.
	PrefixPlans = "plans/"
)

// Kind says what an object of the tree holds.
type Kind uint8

// The kinds of objects. KindOther is every object that this package does not
// read, such as client blocks and shift plans.
const (
	KindOther Kind = iota
	KindFleet
	KindTeam
	KindService
)

// ServicePath returns the path of a service's object.
func ServicePath(service place.Service) string { return PrefixTeams + string(service) }

// TeamPath returns the path of a team's object.
func TeamPath(team place.Team) string { return PrefixTeams + string(team) }

// KindOf tells what the object at the path holds. The error says which paths
// exist.
func KindOf(path string) (Kind, error) {
	if path == PathFleet {
		return KindFleet, nil
	}
	if strings.HasPrefix(path, PrefixBlocks) || strings.HasPrefix(path, PrefixPlans) {
		return KindOther, nil
	}
	rest, found := strings.CutPrefix(path, PrefixTeams)
	if !found {
		return KindOther, errors.Newf("path %q: want fleet, teams/TEAM, teams/TEAM/SERVICE, plans/... or blocks/...", path)
	}
	if !strings.Contains(rest, "/") {
		return KindTeam, errors.Wrapf(place.CheckName("team", rest), "path %q", path)
	}
	_, err := place.ParseService(rest)
	return KindService, errors.Wrapf(err, "path %q", path)
}

// CheckBody checks the body of the object at the path by itself, without what
// it inherits. The error has a line for each problem.
func CheckBody(path string, text []byte) error {
	kind, err := KindOf(path)
	if err != nil {
		return err
	}
	switch kind {
	case KindFleet:
		_, err = ParseFleet(text)
	case KindTeam:
		_, err = parseBody(text, false)
	case KindService:
		_, err = parseBody(text, true)
	default:
		err = checkText(text)
	}
	return errors.Wrap(err, path)
}

// resolvePolicy fills in what a service inherits: for each numeric setting the
// service's value for the region wins, then the service's, the team's for the
// region, the team's, and the default.
func resolvePolicy(team, service *body, teamOrigin, serviceOrigin Origin, region place.Region) *Policy {
	policy := &Policy{
		region:        region,
		values:        resolveAll(team, service, teamOrigin, serviceOrigin, region),
		byTarget:      service.targets,
		byRegion:      map[place.Region][FieldCount]Value{},
		nonIdempotent: service.nonIdempotent,
		refused:       service.refused,
		leaving:       service.leaving,
		leavingZones:  service.leavingZones,
	}
	if !service.refusedGiven {
		policy.refused = team.refused
	}
	policy.byRegion[""] = resolveAll(team, service, teamOrigin, serviceOrigin, "")
	for _, b := range []*body{team, service} {
		for name := range b.regions {
			policy.byRegion[name] = resolveAll(team, service, teamOrigin, serviceOrigin, name)
		}
	}
	policy.diversions = capDiversions(policy, service.diversions)
	policy.allotments = capAllotments(policy, service)
	return policy
}

func resolveAll(team, service *body, teamOrigin, serviceOrigin Origin, region place.Region) [FieldCount]Value {
	layers := regionLayer(service, region, serviceOrigin)
	layers = append(layers, layer{values: &service.values, origin: serviceOrigin})
	layers = append(layers, regionLayer(team, region, teamOrigin)...)
	layers = append(layers, layer{values: &team.values, origin: teamOrigin})
	var resolved [FieldCount]Value
	for field := range FieldCount {
		resolved[field] = resolve(field, layers)
	}
	return resolved
}

// capDiversions scales the diversions of a region down to its cap. This is
// needed when a team lowers a cap under the diversions of a service.
func capDiversions(policy *Policy, wanted []Diversion) []Diversion {
	sums := map[place.Region]float64{}
	for _, d := range wanted {
		sums[d.from] += d.percent
	}
	capped := make([]Diversion, 0, len(wanted))
	for _, d := range wanted {
		if limit := policy.CapPercentOf(d.from); sums[d.from] > limit {
			d.percent *= limit / sums[d.from]
		}
		capped = append(capped, d)
	}
	return capped
}

func capAllotments(policy *Policy, service *body) map[place.Zone]float64 {
	sum := service.allotmentSum()
	limit := policy.lowestCap()
	if sum <= limit {
		return service.allotments
	}
	capped := map[place.Zone]float64{}
	for zone, percent := range service.allotments {
		capped[zone] = percent * limit / sum
	}
	return capped
}

// excess reports diversions and allotments above a cap that the service
// inherits.
func excess(policy *Policy, service *body) error {
	var r reader
	for i, d := range capDiversions(policy, service.diversions) {
		if wanted := service.diversions[i]; d.percent+percentSlack < wanted.percent {
			r.add(fmt.Sprintf("%s[%d]", nameDiversions, i), "%s percent of the arrivals of %s is given, but no more than %s percent may leave that region (%s); in force is %s",
				number(wanted.percent), d.from, number(policy.CapPercentOf(d.from)), FieldCapPercent, number(d.percent))
		}
	}
	if sum, limit := service.allotmentSum(), policy.lowestCap(); sum > limit+percentSlack {
		r.add(nameAllotments, "they add up to %s percent, but no more than %s are allowed (%s)", number(sum), number(limit), FieldCapPercent)
	}
	return r.err()
}
