// Package config parses, validates and resolves the settings that operators
// write: the steering policies of teams and services with their values for
// single regions, and the limits of the fleet. Services inherit from their
// team. An object comes into force only if it passes its checks. The package
// does no I/O.
package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// Rule matches requests by HTTP method and path. A path that ends in "*"
// matches every path with the prefix before the "*".
type Rule struct {
	method string
	path   string
}

// NewRule returns a Rule for a method and a path, in the form that Method and
// Path return.
func NewRule(method, path string) Rule { return Rule{method: method, path: path} }

// Method returns the HTTP method, or "*" for every method.
func (r Rule) Method() string { return r.method }

// Path returns the path, with a "*" at its end if it is a prefix.
func (r Rule) Path() string { return r.path }

// Match reports whether the rule matches a request with the method and the
// path.
func (r Rule) Match(method, path string) bool {
	if r.method != "*" && r.method != method {
		return false
	}
	if prefix, found := strings.CutSuffix(r.path, "*"); found {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}

// RefusedResponse describes a response by which a target signals that it did
// not run the request.
type RefusedResponse struct {
	status int
	header string
}

// NewRefusedResponse returns a RefusedResponse. A status of 0 matches every
// status.
func NewRefusedResponse(status int, header string) RefusedResponse {
	return RefusedResponse{status: status, header: header}
}

// Status returns the HTTP status of the response.
func (r RefusedResponse) Status() int { return r.status }

// Header returns the header that the response must have, or "" if the status
// alone is enough.
func (r RefusedResponse) Header() string { return r.header }

// Diversion is the share of the arriving requests of one region that is sent
// to another region.
type Diversion struct {
	from    place.Region
	to      place.Region
	percent float64
}

// From returns the region whose arrivals are diverted.
func (d Diversion) From() place.Region { return d.from }

// To returns the region that receives them.
func (d Diversion) To() place.Region { return d.to }

// Percent returns the share of the arrivals in percent, 0 to 100.
func (d Diversion) Percent() float64 { return d.percent }

// Policy is the validated steering policy of one service in one region, with
// all inherited settings and defaults filled in. It is immutable.
type Policy struct {
	region           place.Region
	values           [FieldCount]Value
	byTarget         map[place.Target]values
	byRegion         map[place.Region][FieldCount]Value
	nonIdempotent    []Rule
	refusedBeforeRun []RefusedResponse
	diversions       []Diversion
	leaving          map[place.Target]bool
	leavingZones     map[place.Zone]bool
	allotments       map[place.Zone]float64
}

// NonIdempotent reports whether a request with the method and the path must
// run at most once.
func (p *Policy) NonIdempotent(method, path string) bool {
	for _, r := range p.nonIdempotent {
		if r.Match(method, path) {
			return true
		}
	}
	return false
}

// RefusedBeforeRun returns the responses by which targets signal that they did
// not run a request. The caller must not change the slice.
func (p *Policy) RefusedBeforeRun() []RefusedResponse { return p.refusedBeforeRun }

// Diversions returns the configured diversions, scaled down to the caps. The
// caller must not change the slice.
func (p *Policy) Diversions() []Diversion { return p.diversions }

// Leaving reports whether the operators declared the target to be leaving, so
// that it receives no new requests.
func (p *Policy) Leaving(target place.Target) bool { return p.leaving[target] }

// LeavingInZone reports whether the operators declared the target or its
// availability zone to be leaving.
func (p *Policy) LeavingInZone(target place.Target, zone place.Zone) bool {
	return p.leaving[target] || p.leavingZones[zone]
}

// LeavingNames returns the sorted names of the targets and availability zones
// that the operators declared to be leaving.
func (p *Policy) LeavingNames() []string {
	names := make([]string, 0, len(p.leaving)+len(p.leavingZones))
	for target := range p.leaving {
		names = append(names, string(target))
	}
	for zone := range p.leavingZones {
		names = append(names, string(zone))
	}
	slices.Sort(names)
	return names
}

// OverriddenRegions returns the sorted regions for which the service or its team
// sets values.
func (p *Policy) OverriddenRegions() []place.Region {
	regions := slices.Sorted(maps.Keys(p.byRegion))
	return slices.DeleteFunc(regions, func(region place.Region) bool { return region == "" })
}

// Allotment returns the share of the service's arrivals, in percent from 0 to
// 100, that an availability zone may divert in place of home entries that are
// gone.
func (p *Policy) Allotment(zone place.Zone) float64 { return p.allotments[zone] }

// Region returns the region for which the policy was resolved, "" if it was
// resolved without the values of any region.
func (p *Policy) Region() place.Region { return p.region }

// Value returns a numeric setting and its origin.
func (p *Policy) Value(field Field) Value { return p.values[field] }

// Deadline returns the deadline of requests for which the caller gives none,
// as a duration from their arrival.
func (p *Policy) Deadline() time.Duration {
	return time.Duration(p.values[FieldDeadline].number) * time.Millisecond
}

// Slots returns how many requests one target runs concurrently.
func (p *Policy) Slots() int { return int(p.values[FieldSlots].number) }

// SlotsOf returns how many requests the given target runs concurrently.
func (p *Policy) SlotsOf(target place.Target) int { return int(p.targetValue(target, FieldSlots)) }

// Connections returns how many connections one target accepts.
func (p *Policy) Connections() int { return int(p.values[FieldConnections].number) }

// ConnectionsOf returns how many connections the given target accepts.
func (p *Policy) ConnectionsOf(target place.Target) int {
	return int(p.targetValue(target, FieldConnections))
}

func (p *Policy) targetValue(target place.Target, field Field) float64 {
	if overrides, found := p.byTarget[target]; found && overrides.isSet[field] {
		return overrides.value[field]
	}
	return p.values[field].number
}

// CapPercent returns the cap of the policy's region: the largest share of its
// arrivals that may be diverted, in percent.
func (p *Policy) CapPercent() float64 { return p.values[FieldCapPercent].number }

// CapPercentOf returns the largest share of the given region's arrivals that
// may be diverted, in percent.
func (p *Policy) CapPercentOf(region place.Region) float64 {
	if resolved, found := p.byRegion[region]; found {
		return resolved[FieldCapPercent].number
	}
	return p.byRegion[""][FieldCapPercent].number
}

// lowestCap returns the lowest cap of all regions, in percent. It bounds the
// allotments because an allotment may be used for the arrivals of any region.
func (p *Policy) lowestCap() float64 {
	lowest := float64(percentMax)
	for _, resolved := range p.byRegion {
		lowest = min(lowest, resolved[FieldCapPercent].number)
	}
	return lowest
}

// StepPercent returns the largest change of a diversion in one step, in
// percent of the arrivals.
func (p *Policy) StepPercent() float64 { return p.values[FieldStepPercent].number }

// HedgePercent returns the budget of hedged requests, in percent of the
// idempotent requests.
func (p *Policy) HedgePercent() float64 { return p.values[FieldHedgePercent].number }

// RetryPercent returns the budget of retries, in percent of the requests.
func (p *Policy) RetryPercent() float64 { return p.values[FieldRetryPercent].number }

// AnswerBytesMax returns the size of the largest response that is forwarded to
// the caller, in bytes.
func (p *Policy) AnswerBytesMax() int { return int(p.values[FieldAnswerBytes].number) }

// ParsePolicy parses and validates a service's settings in JSON and fills in
// the defaults. Nothing is inherited from a team. The error has one line per
// problem, with the field, the given value and the allowed ones.
func ParsePolicy(text []byte) (*Policy, error) {
	service, err := parseBody(text, true)
	if err != nil {
		return nil, errors.Wrap(err, "policy")
	}
	return resolvePolicy(&body{}, service, Origin{}, Origin{}, ""), nil
}

// parseBody parses and validates the settings of a service, or else of a team.
// The error has one line per problem.
func parseBody(text []byte, service bool) (*body, error) {
	if err := checkJSON(text); err != nil {
		return nil, err
	}
	var r reader
	b := r.body(text, service)
	return b, r.err()
}

// checkJSON returns an error unless the text is a single JSON value of at most
// ObjectBytesMax bytes.
func checkJSON(text []byte) error {
	if len(text) > ObjectBytesMax {
		return errors.Newf("%d bytes are given, at most %d are allowed", len(text), ObjectBytesMax)
	}
	var raw json.RawMessage
	return errors.Wrap(json.Unmarshal(text, &raw), "invalid JSON")
}
