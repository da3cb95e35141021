package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/endivechute/endivechute/place"
)

// Limits of the settings of teams and services.
const (
	// ObjectBytesMax is the maximum size of an object, in bytes.
	ObjectBytesMax = 1 << 20
	// RulesMax is the maximum length of each list in an object.
	RulesMax = 1024
	// PathBytesMax is the maximum length of a rule's path, in bytes.
	PathBytesMax = 2048
	// HeaderNameBytesMax is the maximum length of a header name, in bytes.
	HeaderNameBytesMax = 128

	statusMin  = 400
	statusMax  = 599
	percentMax = 100
	// percentEpsilon absorbs rounding errors in sums of percentages.
	percentEpsilon = 1e-9
)

// body holds the parsed settings of a team or a service. The only list that a
// team may set is refusedBeforeRun.
type body struct {
	values              values
	regions             map[place.Region]values
	targets             map[place.Target]values
	nonIdempotent       []Rule
	refusedBeforeRun    []RefusedResponse
	refusedBeforeRunSet bool
	diversions          []Diversion
	leaving             map[place.Target]bool
	leavingZones        map[place.Zone]bool
	allotments          map[place.Zone]float64
}

// Names of the fields that are not part of fieldSpecs.
const (
	nameRegions          = "regions"
	nameTargets          = "targets"
	nameNonIdempotent    = "non_idempotent"
	nameRefusedBeforeRun = "refused_before_run"
	nameDiversions       = "diversions"
	nameLeaving          = "leaving"
	nameLeavingZones     = "leaving_zones"
	nameAllotments       = "allotments"
	nameLinks            = "links"
	nameInFlightLimit    = "in_flight_limit"
	nameMbit             = "mbit_per_s"
	nameFrom             = "from"
	nameTo               = "to"
	namePercent          = "percent"
	nameMethod           = "method"
	namePath             = "path"
	nameStatus           = "status"
	nameHeader           = "header"
)

var (
	teamFieldNames    = append(numericFieldNames(false), nameRegions, nameRefusedBeforeRun)
	serviceFieldNames = append(slices.Clone(teamFieldNames), nameTargets, nameNonIdempotent, nameDiversions, nameLeaving,
		nameLeavingZones, nameAllotments)
	// nonNumericNames are the fields whose value has no numeric range.
	nonNumericNames = []string{
		nameRegions, nameTargets, nameNonIdempotent, nameRefusedBeforeRun, nameDiversions, nameLeaving, nameLeavingZones,
		nameAllotments, nameLinks, nameFrom, nameTo, nameMethod, namePath, nameHeader,
	}
	statusRange = numberRange{statusMin, statusMax, true}
)

// body parses the settings of a service, or else of a team.
func (r *reader) body(raw json.RawMessage, service bool) *body {
	b := &body{
		regions: map[place.Region]values{}, targets: map[place.Target]values{},
		leaving: map[place.Target]bool{}, leavingZones: map[place.Zone]bool{}, allotments: map[place.Zone]float64{},
	}
	names := teamFieldNames
	if service {
		names = serviceFieldNames
	}
	for _, m := range r.members("", raw) {
		switch {
		case !slices.Contains(names, m.name):
			r.unknownField(m, names)
		case !r.numericField(m, &b.values, false):
			r.nonNumericField(m, b)
		}
	}
	r.checkDiversions(b)
	r.checkAllotments(b)
	return b
}

// nonNumericField parses a field of the top level whose value is a list or an
// object.
func (r *reader) nonNumericField(m member, b *body) {
	switch m.name {
	case nameRegions:
		for _, inner := range r.members(m.path, m.value) {
			b.regions[r.region(inner.path, inner.name)] = r.numericFields(inner, false)
		}
	case nameTargets:
		for _, inner := range r.members(m.path, m.value) {
			b.targets[r.target(inner.path, inner.name)] = r.numericFields(inner, true)
		}
	case nameNonIdempotent:
		b.nonIdempotent = readList(r, m, r.rule)
	case nameRefusedBeforeRun:
		b.refusedBeforeRunSet = true
		b.refusedBeforeRun = readList(r, m, r.refusedBeforeRun)
	case nameDiversions:
		b.diversions = readList(r, m, r.diversion)
	case nameLeaving:
		for _, target := range readList(r, m, func(e member) place.Target { return r.target(e.path, r.stringValue(e)) }) {
			b.leaving[target] = true
		}
	case nameLeavingZones:
		for _, zone := range readList(r, m, func(e member) place.Zone { return r.zone(e.path, r.stringValue(e)) }) {
			b.leavingZones[zone] = true
		}
	case nameAllotments:
		for _, inner := range r.members(m.path, m.value) {
			if percent, ok := r.number(inner, percentRange); ok {
				b.allotments[r.zone(inner.path, inner.name)] = percent
			}
		}
	}
}

// readList parses a list in which no element may appear twice.
func readList[T comparable](r *reader, m member, read func(member) T) []T {
	var list []T
	for _, element := range r.list(m, RulesMax) {
		value := read(element)
		if slices.Contains(list, value) {
			r.addProblem(element.path, "%s appears twice in the list; want it once", excerpt(element.value))
			continue
		}
		list = append(list, value)
	}
	return list
}

func (r *reader) rule(element member) Rule {
	var rule Rule
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameMethod:
			rule.method = r.stringValue(m)
		case namePath:
			rule.path = r.stringValue(m)
		default:
			r.unknownField(m, []string{nameMethod, namePath})
		}
	}
	if rule.method != "*" && !validMethod(rule.method) {
		r.addProblem(joinPath(element.path, nameMethod), `%q is given; want an HTTP method in capitals, such as POST, or "*"`, rule.method)
	}
	if len(rule.path) > PathBytesMax {
		r.addProblem(joinPath(element.path, namePath), "%d bytes are given, at most %d are allowed", len(rule.path), PathBytesMax)
	}
	if !strings.HasPrefix(rule.path, "/") {
		r.addProblem(joinPath(element.path, namePath), `%q is given; want a path that begins with "/"; a "*" at its end matches every suffix`, excerpt([]byte(rule.path)))
	}
	if star := strings.IndexByte(rule.path, '*'); star >= 0 && star != len(rule.path)-1 {
		r.addProblem(joinPath(element.path, namePath), `%q is given; a "*" is allowed only at the end`, excerpt([]byte(rule.path)))
	}
	return rule
}

func (r *reader) refusedBeforeRun(element member) RefusedResponse {
	var refused RefusedResponse
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameStatus:
			status, _ := r.number(m, statusRange)
			refused.status = int(status)
		case nameHeader:
			refused.header = r.stringValue(m)
		default:
			r.unknownField(m, []string{nameStatus, nameHeader})
		}
	}
	if refused.status == 0 {
		r.addProblem(joinPath(element.path, nameStatus), "no valid status is given; want one from %d to %d", statusMin, statusMax)
	}
	if refused.header != "" && !validHeaderName(refused.header) {
		r.addProblem(joinPath(element.path, nameHeader), `%q is given; want the name of a header, such as "X-Shed"`, excerpt([]byte(refused.header)))
	}
	return refused
}

func (r *reader) diversion(element member) Diversion {
	var d Diversion
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameFrom:
			d.from = r.region(m.path, r.stringValue(m))
		case nameTo:
			d.to = r.region(m.path, r.stringValue(m))
		case namePercent:
			d.percent, _ = r.number(m, percentRange)
		default:
			r.unknownField(m, []string{nameFrom, nameTo, namePercent})
		}
	}
	if d.from == "" || d.to == "" || d.from == d.to {
		r.addProblem(element.path, "from %q to %q is given; want two different regions", d.from, d.to)
	}
	return d
}

// checkDiversions requires the diversions of each region to add up to at most
// the region's cap. It knows only the caps that this object sets itself; an
// inherited cap scales the diversions down when the policy is resolved.
func (r *reader) checkDiversions(b *body) {
	sums := map[place.Region]float64{}
	pairs := map[[2]place.Region]bool{}
	for _, d := range b.diversions {
		pair := [2]place.Region{d.from, d.to}
		if pairs[pair] {
			r.addProblem(nameDiversions, "the diversion from %s to %s appears twice; want it once", d.from, d.to)
		}
		pairs[pair] = true
		sums[d.from] += d.percent
	}
	for from, sum := range sums {
		limit := b.ownCap(from)
		if sum > limit+percentEpsilon {
			r.addProblem(nameDiversions, "%s percent of the arrivals of %s are diverted; at most %s are allowed there (%s)",
				formatNumber(sum), from, formatNumber(limit), FieldCapPercent)
		}
	}
	slices.Sort(r.problems)
}

// checkAllotments requires the allotments to add up to at most the lowest cap
// that this object sets itself.
func (r *reader) checkAllotments(b *body) {
	sum := b.allotmentSum()
	limit := b.ownCap("")
	for region := range b.regions {
		limit = min(limit, b.ownCap(region))
	}
	if sum > limit+percentEpsilon {
		r.addProblem(nameAllotments, "they add up to %s percent; at most %s are allowed (%s)", formatNumber(sum), formatNumber(limit), FieldCapPercent)
	}
}

func (b *body) allotmentSum() float64 {
	var sum float64
	for _, percent := range b.allotments {
		sum += percent
	}
	return sum
}

// ownCap returns the cap for the region that the object itself sets, 100 if it
// sets none.
func (b *body) ownCap(from place.Region) float64 {
	if overrides, found := b.regions[from]; found && overrides.isSet[FieldCapPercent] {
		return overrides.value[FieldCapPercent]
	}
	if b.values.isSet[FieldCapPercent] {
		return b.values.value[FieldCapPercent]
	}
	return percentMax
}

func validMethod(text string) bool {
	for _, b := range []byte(text) {
		if b < 'A' || b > 'Z' {
			return false
		}
	}
	return text != "" && len(text) <= place.NameBytesMax
}

func validHeaderName(text string) bool {
	for _, b := range []byte(text) {
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && b != '-' && b != '_' {
			return false
		}
	}
	return len(text) <= HeaderNameBytesMax
}
