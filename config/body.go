package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/endivechute/endivechute/place"
)

// Limits of the settings of teams and services.
const (
	// PolicyBytesMax is the maximum size of an object, in bytes.
	PolicyBytesMax = 1 << 20
	// RulesMax is the maximum length of each list in an object.
	RulesMax = 1024
	// PathBytesMax is the maximum length of a rule's path, in bytes.
	PathBytesMax = 2048
	// HeaderNameBytesMax is the maximum length of a header name, in bytes.
	HeaderNameBytesMax = 128

	statusLeast  = 400
	statusMost   = 599
	percentWhole = 100
	// percentEpsilon absorbs rounding errors in sums of percentages.
	percentSlack = 1e-9
)

// body holds the parsed settings of a team or a service. The only list that a
// team may set is refusedBeforeRun.
type body struct {
	values        values
	regions       map[place.Region]values
	targets       map[place.Target]values
	nonIdempotent []Rule
	refused       []Refused
	refusedGiven  bool
	diversions    []Diversion
	leaving       map[place.Target]bool
	leavingZones  map[place.Zone]bool
	allotments    map[place.Zone]float64
}

// Names of the fields that are not part of fieldSpecs.
const (
	nameRegions       = "regions"
	nameTargets       = "targets"
	nameNonIdempotent = "non_idempotent"
	nameRefused       = "refused_before_run"
	nameDiversions    = "diversions"
	nameLeaving       = "leaving"
	nameLeavingZones  = "leaving_zones"
	nameAllotments    = "allotments"
	nameLinks         = "links"
	nameInFlightLimit = "in_flight_limit"
	nameMbit          = "mbit_per_s"
	nameFrom          = "from"
	nameTo            = "to"
	namePercent       = "percent"
	nameMethod        = "method"
	namePath          = "path"
	nameStatus        = "status"
	nameHeader        = "header"
)

var (
	teamNames    = append(scalarNames(false), nameRegions, nameRefused)
	serviceNames = append(slices.Clone(teamNames), nameTargets, nameNonIdempotent, nameDiversions, nameLeaving,
		nameLeavingZones, nameAllotments)
	// nonNumericNames are the fields whose value has no numeric range.
	otherNames = []string{
		nameRegions, nameTargets, nameNonIdempotent, nameRefused, nameDiversions, nameLeaving, nameLeavingZones,
		nameAllotments, nameLinks, nameFrom, nameTo, nameMethod, namePath, nameHeader,
	}
	statusSpan = span{statusLeast, statusMost, true}
)

// body parses the settings of a service, or else of a team.
func (r *reader) body(raw json.RawMessage, service bool) *body {
	b := &body{
		regions: map[place.Region]values{}, targets: map[place.Target]values{},
		leaving: map[place.Target]bool{}, leavingZones: map[place.Zone]bool{}, allotments: map[place.Zone]float64{},
	}
	names := teamNames
	if service {
		names = serviceNames
	}
	for _, m := range r.members("", raw) {
		switch {
		case !slices.Contains(names, m.name):
			r.unknown(m, names)
		case !r.scalar(m, &b.values, false):
			r.part(m, b)
		}
	}
	r.checkDiversions(b)
	r.checkAllotments(b)
	return b
}

// nonNumericField parses a field of the top level whose value is a list or an
// object.
func (r *reader) part(m member, b *body) {
	switch m.name {
	case nameRegions:
		for _, inner := range r.members(m.path, m.value) {
			b.regions[r.region(inner.path, inner.name)] = r.block(inner, false)
		}
	case nameTargets:
		for _, inner := range r.members(m.path, m.value) {
			b.targets[r.target(inner.path, inner.name)] = r.block(inner, true)
		}
	case nameNonIdempotent:
		b.nonIdempotent = readList(r, m, r.rule)
	case nameRefused:
		b.refusedGiven = true
		b.refused = readList(r, m, r.refused)
	case nameDiversions:
		b.diversions = readList(r, m, r.diversion)
	case nameLeaving:
		for _, target := range readList(r, m, func(e member) place.Target { return r.target(e.path, r.text(e)) }) {
			b.leaving[target] = true
		}
	case nameLeavingZones:
		for _, zone := range readList(r, m, func(e member) place.Zone { return r.zone(e.path, r.text(e)) }) {
			b.leavingZones[zone] = true
		}
	case nameAllotments:
		for _, inner := range r.members(m.path, m.value) {
			if percent, ok := r.number(inner, percentSpan); ok {
				b.allotments[r.zone(inner.path, inner.name)] = percent
			}
		}
	}
}

// readList parses a list in which no element may appear twice.
func readList[T comparable](r *reader, m member, read func(member) T) []T {
	var found []T
	for _, element := range r.list(m, RulesMax) {
		value := read(element)
		if slices.Contains(found, value) {
			r.add(element.path, "%s appears twice in the list; want it once", given(element.value))
			continue
		}
		found = append(found, value)
	}
	return found
}

func (r *reader) rule(element member) Rule {
	var rule Rule
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameMethod:
			rule.method = r.text(m)
		case namePath:
			rule.path = r.text(m)
		default:
			r.unknown(m, []string{nameMethod, namePath})
		}
	}
	if rule.method != "*" && !methodText(rule.method) {
		r.add(join(element.path, nameMethod), `%q is given; want an HTTP method in capitals, such as POST, or "*"`, rule.method)
	}
	if len(rule.path) > PathBytesMax {
		r.add(join(element.path, namePath), "%d bytes are given, at most %d are allowed", len(rule.path), PathBytesMax)
	}
	if !strings.HasPrefix(rule.path, "/") {
		r.add(join(element.path, namePath), `%q is given; want a path that begins with "/"; a "*" at its end matches every suffix`, given([]byte(rule.path)))
	}
	if star := strings.IndexByte(rule.path, '*'); star >= 0 && star != len(rule.path)-1 {
		r.add(join(element.path, namePath), `%q is given; a "*" is allowed only at the end`, given([]byte(rule.path)))
	}
	return rule
}

func (r *reader) refused(element member) Refused {
	var refused Refused
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameStatus:
			status, _ := r.number(m, statusSpan)
			refused.status = int(status)
		case nameHeader:
			refused.header = r.text(m)
		default:
			r.unknown(m, []string{nameStatus, nameHeader})
		}
	}
	if refused.status == 0 {
		r.add(join(element.path, nameStatus), "no valid status is given; want one from %d to %d", statusLeast, statusMost)
	}
	if refused.header != "" && !headerText(refused.header) {
		r.add(join(element.path, nameHeader), `%q is given; want the name of a header, such as "X-Shed"`, given([]byte(refused.header)))
	}
	return refused
}

func (r *reader) diversion(element member) Diversion {
	var d Diversion
	for _, m := range r.members(element.path, element.value) {
		switch m.name {
		case nameFrom:
			d.from = r.region(m.path, r.text(m))
		case nameTo:
			d.to = r.region(m.path, r.text(m))
		case namePercent:
			d.percent, _ = r.number(m, percentSpan)
		default:
			r.unknown(m, []string{nameFrom, nameTo, namePercent})
		}
	}
	if d.from == "" || d.to == "" || d.from == d.to {
		r.add(element.path, "from %q to %q is given; want two different regions", d.from, d.to)
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
			r.add(nameDiversions, "the diversion from %s to %s appears twice; want it once", d.from, d.to)
		}
		pairs[pair] = true
		sums[d.from] += d.percent
	}
	for from, sum := range sums {
		limit := b.ownCap(from)
		if sum > limit+percentSlack {
			r.add(nameDiversions, "%s percent of the arrivals of %s are diverted; at most %s are allowed there (%s)",
				number(sum), from, number(limit), FieldCapPercent)
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
	if sum > limit+percentSlack {
		r.add(nameAllotments, "they add up to %s percent; at most %s are allowed (%s)", number(sum), number(limit), FieldCapPercent)
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
	if block, found := b.regions[from]; found && block.given[FieldCapPercent] {
		return block.value[FieldCapPercent]
	}
	if b.values.given[FieldCapPercent] {
		return b.values.value[FieldCapPercent]
	}
	return percentWhole
}

func methodText(text string) bool {
	for _, b := range []byte(text) {
		if b < 'A' || b > 'Z' {
			return false
		}
	}
	return text != "" && len(text) <= place.NameBytesMax
}

func headerText(text string) bool {
	for _, b := range []byte(text) {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && b != '-' && b != '_' {
			return false
		}
	}
	return len(text) <= HeaderNameBytesMax
}
