package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// The top level of the tree of objects.
const (
	// PathFleet is the path of the settings that belong to no team.
	PathFleet = "fleet"
	// PrefixTeams is the path prefix of the settings of teams and services.
	PrefixTeams = "teams/"
	// PrefixBlocks is the path prefix of the chunks of client blocks.
	PrefixBlocks = "blocks/"
	// PrefixPlans is the path prefix of the shift plans, which schedule how
	// traffic moves between regions.
	PrefixPlans = "plans/"
)

// Kind is the type of an object in the tree.
type Kind uint8

// The kinds of objects. KindOther is the kind of all objects whose format this
// package does not know, such as client blocks and shift plans.
const (
	KindOther Kind = iota
	KindFleet
	KindTeam
	KindService
)

// ServicePath returns the path of a service's settings.
func ServicePath(service place.Service) string { return PrefixTeams + string(service) }

// TeamPath returns the path of a team's settings.
func TeamPath(team place.Team) string { return PrefixTeams + string(team) }

// KindOf returns the kind of the object at the path. The error for an invalid
// path names the valid ones.
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

// CheckBody validates the body of the object at the path on its own, without
// inherited settings. The error has one line per problem.
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
		err = checkJSON(text)
	}
	return errors.Wrap(err, path)
}

// resolvePolicy returns the policy of a service in a region. Each numeric
// setting comes from the first of these that sets it: the service for the
// region, the service, the team for the region, the team, the default.
func resolvePolicy(team, service *body, teamOrigin, serviceOrigin Origin, region place.Region) *Policy {
	policy := &Policy{
		region:           region,
		values:           resolveAll(team, service, teamOrigin, serviceOrigin, region),
		byTarget:         service.targets,
		byRegion:         map[place.Region][FieldCount]Value{},
		nonIdempotent:    service.nonIdempotent,
		refusedBeforeRun: service.refusedBeforeRun,
		leaving:          service.leaving,
		leavingZones:     service.leavingZones,
	}
	if !service.refusedBeforeRunSet {
		policy.refusedBeforeRun = team.refusedBeforeRun
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

// capDiversions scales the diversions of each region down so that they add up
// to its cap. They exceed the cap if a team lowers it below the diversions of a
// service.
func capDiversions(policy *Policy, configured []Diversion) []Diversion {
	sums := map[place.Region]float64{}
	for _, d := range configured {
		sums[d.from] += d.percent
	}
	capped := make([]Diversion, 0, len(configured))
	for _, d := range configured {
		if limit := policy.CapPercentOf(d.from); sums[d.from] > limit {
			d.percent *= limit / sums[d.from]
		}
		capped = append(capped, d)
	}
	return capped
}

// capAllotments scales the allotments down so that they add up to the lowest
// cap of all regions.
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

// excess returns an error with a line for each diversion above a cap that the
// service inherits, and one for the allotments.
func excess(policy *Policy, service *body) error {
	var r reader
	for i, d := range capDiversions(policy, service.diversions) {
		if configured := service.diversions[i]; d.percent+percentEpsilon < configured.percent {
			r.addProblem(fmt.Sprintf("%s[%d]", nameDiversions, i), "%s percent of the arrivals of %s is given, but no more than %s percent may leave that region (%s); in force is %s",
				formatNumber(configured.percent), d.from, formatNumber(policy.CapPercentOf(d.from)), FieldCapPercent, formatNumber(d.percent))
		}
	}
	if sum, limit := service.allotmentSum(), policy.lowestCap(); sum > limit+percentEpsilon {
		r.addProblem(nameAllotments, "they add up to %s percent, but no more than %s are allowed (%s)", formatNumber(sum), formatNumber(limit), FieldCapPercent)
	}
	return r.err()
}
