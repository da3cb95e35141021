// Package config holds the settings that operators write: what a steering
// policy may say, how the settings of a team, a service and a region are
// inherited, and the checks that each object has to pass before it comes into
// force. It does no I/O.
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

// Rule names the requests of one method on one path. A path that ends in "*"
// stands for every path that begins with what is before it.
type Rule struct {
	method string
	path   string
}

// NewRule makes a Rule.
func NewRule(method, path string) Rule { return Rule{method: method, path: path} }

// Method returns the HTTP method, or "*" for every method.
func (r Rule) Method() string { return r.method }

// Path returns the path, with a "*" at its end if it stands for a prefix.
func (r Rule) Path() string { return r.path }

// Match tells whether a request of the method on the path falls under the
// rule.
func (r Rule) Match(method, path string) bool {
	if r.method != "*" && r.method != method {
		return false
	}
	if prefix, found := strings.CutSuffix(r.path, "*"); found {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}

// Refused names an answer by which targets say that they did not run the
// request.
type Refused struct {
	status int
	header string
}

// NewRefused makes a Refused. A status of 0 stands for any.
func NewRefused(status int, header string) Refused { return Refused{status: status, header: header} }

// Status returns the HTTP status of the answer.
func (r Refused) Status() int { return r.status }

// Header returns the header that has to be present, or "" if the status alone
// is enough.
func (r Refused) Header() string { return r.header }

// Diversion is the share of the arrivals of one region that is sent to
// another.
type Diversion struct {
	from    place.Region
	to      place.Region
	percent float64
}

// From returns the region whose arrivals are diverted.
func (d Diversion) From() place.Region { return d.from }

// To returns the region that receives them.
func (d Diversion) To() place.Region { return d.to }

// Percent returns the share of the arrivals, from 0 to 100.
func (d Diversion) Percent() float64 { return d.percent }

// Policy is the steering policy of one service as one region sees it, checked
// and with everything inherited filled in. It is never changed after it was
// made.
type Policy struct {
	region        place.Region
	values        [FieldCount]Value
	byTarget      map[place.Target]values
	byRegion      map[place.Region][FieldCount]Value
	nonIdempotent []Rule
	refused       []Refused
	diversions    []Diversion
	leaving       map[place.Target]bool
	leavingZones  map[place.Zone]bool
	allotments    map[place.Zone]float64
}

// NonIdempotent tells whether a request must run at most once.
func (p *Policy) NonIdempotent(method, path string) bool {
	for _, r := range p.nonIdempotent {
		if r.Match(method, path) {
			return true
		}
	}
	return false
}

// RefusedBeforeRun returns the answers by which targets say that they did not
// run a request. The caller must not change the slice.
func (p *Policy) RefusedBeforeRun() []Refused { return p.refused }

// Diversions returns the wanted diversions. The caller must not change the
// slice.
func (p *Policy) Diversions() []Diversion { return p.diversions }

// Leaving tells whether the operators declared the target to be leaving.
func (p *Policy) Leaving(target place.Target) bool { return p.leaving[target] }

// LeavingAt tells whether the operators declared the target, or the whole
// availability zone that it lies in, to be leaving.
func (p *Policy) LeavingAt(target place.Target, zone place.Zone) bool {
	return p.leaving[target] || p.leavingZones[zone]
}

// LeavingNames returns the targets and availability zones that the operators
// declared to be leaving, in order.
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

// RegionsNamed returns the regions that have values of their own, in order.
func (p *Policy) RegionsNamed() []place.Region {
	regions := slices.Sorted(maps.Keys(p.byRegion))
	return slices.DeleteFunc(regions, func(region place.Region) bool { return region == "" })
}

// Allotment returns the percentage of the service's arrivals that an
// availability zone may divert for home entries which are gone, 0 to 100.
func (p *Policy) Allotment(zone place.Zone) float64 { return p.allotments[zone] }

// Region returns the region whose settings the policy shows, "" for the
// settings without those of any region.
func (p *Policy) Region() place.Region { return p.region }

// Value returns a numeric setting and its origin.
func (p *Policy) Value(field Field) Value { return p.values[field] }

// Deadline returns the time a request has when the caller names none.
func (p *Policy) Deadline() time.Duration {
	return time.Duration(p.values[FieldDeadline].number) * time.Millisecond
}

// Slots returns how many requests one target runs at once.
func (p *Policy) Slots() int { return int(p.values[FieldSlots].number) }

// SlotsOf returns how many requests the given target runs at once.
func (p *Policy) SlotsOf(target place.Target) int { return int(p.valueOf(target, FieldSlots)) }

// Connections returns how many connections one target accepts.
func (p *Policy) Connections() int { return int(p.values[FieldConnections].number) }

// ConnectionsOf returns how many connections the given target accepts.
func (p *Policy) ConnectionsOf(target place.Target) int {
	return int(p.valueOf(target, FieldConnections))
}

func (p *Policy) valueOf(target place.Target, field Field) float64 {
	if block, found := p.byTarget[target]; found && block.given[field] {
		return block.value[field]
	}
	return p.values[field].number
}

// CapPercent returns the greatest share of a region's arrivals that may be
// diverted, in percent.
func (p *Policy) CapPercent() float64 { return p.values[FieldCapPercent].number }

// CapPercentOf returns the cap on what leaves the given region, in percent of
// its arrivals.
func (p *Policy) CapPercentOf(region place.Region) float64 {
	if resolved, found := p.byRegion[region]; found {
		return resolved[FieldCapPercent].number
	}
	return p.byRegion[""][FieldCapPercent].number
}

// lowestCap returns the lowest cap of any region. It bounds the allotments,
// since they may be used for arrivals of every region.
func (p *Policy) lowestCap() float64 {
	lowest := float64(percentWhole)
	for _, resolved := range p.byRegion {
		lowest = min(lowest, resolved[FieldCapPercent].number)
	}
	return lowest
}

// StepPercent returns the greatest change of a diversion in one step, in
// percent of the arrivals.
func (p *Policy) StepPercent() float64 { return p.values[FieldStepPercent].number }

// HedgePercent returns the budget of hedged requests, in percent of the
// idempotent requests.
func (p *Policy) HedgePercent() float64 { return p.values[FieldHedgePercent].number }

// RetryPercent returns the budget of retries, in percent of the requests.
func (p *Policy) RetryPercent() float64 { return p.values[FieldRetryPercent].number }

// AnswerBytesMax returns the largest answer that is passed on, in bytes.
func (p *Policy) AnswerBytesMax() int { return int(p.values[FieldAnswerBytes].number) }

// ParsePolicy reads the object of a service from JSON, checks it and fills in
// the defaults, with nothing inherited. The error has a line for each problem:
// the field, what was given and what is allowed.
func ParsePolicy(text []byte) (*Policy, error) {
	service, err := parseBody(text, true)
	if err != nil {
		return nil, errors.Wrap(err, "policy")
	}
	return resolvePolicy(&body{}, service, Origin{}, Origin{}, ""), nil
}

// parseBody reads the object of a team, or of a service.
func parseBody(text []byte, service bool) (*body, error) {
	if err := checkText(text); err != nil {
		return nil, err
	}
	var r reader
	b := r.body(text, service)
	return b, r.err()
}

// checkText tells whether the text is one JSON value of an allowed length.
func checkText(text []byte) error {
	if len(text) > PolicyBytesMax {
		return errors.Newf("%d bytes are given, at most %d are allowed", len(text), PolicyBytesMax)
	}
	var raw json.RawMessage
	return errors.Wrap(json.Unmarshal(text, &raw), "broken JSON")
}
