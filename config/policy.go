// Package config holds the settings that operators write: what a steering
// policy may say, how the settings of a team, a service and a region are
// inherited, and the checks that each object has to pass before it comes into
// force. It does no I/O.
package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// Defaults of a policy that does not say otherwise.
const (
	DefaultDeadline      = 2 * time.Second
	DefaultSlots         = 4
	DefaultConnections   = 64
	DefaultCapPercent    = 0
	DefaultStepPercent   = 5
	DefaultHedgePercent  = 5
	DefaultRetryPercent  = 10
	DefaultAnswerBytes   = 1 << 20
	PolicyBytesMax       = 1 << 20
	DeadlineMillisMax    = 600_000
	SlotsMax             = 100_000
	ConnectionsMax       = 1_000_000
	HeaderNameBytesMax   = 128
	NonIdempotentRuleMax = 256
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

// Policy is the steering policy of one service, checked and with every default
// filled in. It is never changed after it was made.
type Policy struct {
	nonIdempotent []Rule
	refused       []Refused
	diversions    []Diversion
	leaving       map[place.Target]bool
	allotments    map[place.Zone]float64
	deadline      time.Duration
	slots         int
	connections   int
	capPercent    float64
	stepPercent   float64
	hedgePercent  float64
	retryPercent  float64
	answerBytes   int
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

// Allotment returns the percentage of the service's arrivals that an
// availability zone may divert for home entries which are gone, 0 to 100.
func (p *Policy) Allotment(zone place.Zone) float64 { return p.allotments[zone] }

// Deadline returns the time a request has when the caller names none.
func (p *Policy) Deadline() time.Duration { return p.deadline }

// Slots returns how many requests one target runs at once.
func (p *Policy) Slots() int { return p.slots }

// Connections returns how many connections one target accepts.
func (p *Policy) Connections() int { return p.connections }

// CapPercent returns the greatest share of a region's arrivals that may be
// diverted, in percent.
func (p *Policy) CapPercent() float64 { return p.capPercent }

// StepPercent returns the greatest change of a diversion in one step, in
// percent of the arrivals.
func (p *Policy) StepPercent() float64 { return p.stepPercent }

// HedgePercent returns the budget of hedged requests, in percent of the
// idempotent requests.
func (p *Policy) HedgePercent() float64 { return p.hedgePercent }

// RetryPercent returns the budget of retries, in percent of the requests.
func (p *Policy) RetryPercent() float64 { return p.retryPercent }

// AnswerBytesMax returns the largest answer that is passed on, in bytes.
func (p *Policy) AnswerBytesMax() int { return p.answerBytes }

// policyBody is the form of a policy in the store. Pointers tell a value that
// is not given from one that is zero.
type policyBody struct {
	NonIdempotent []struct {
		Method string `json:"method"`
		Path   string `json:"path"`
	} `json:"non_idempotent"`
	RefusedBeforeRun []struct {
		Status int    `json:"status"`
		Header string `json:"header"`
	} `json:"refused_before_run"`
	Diversions []struct {
		From    string  `json:"from"`
		To      string  `json:"to"`
		Percent float64 `json:"percent"`
	} `json:"diversions"`
	Leaving        []string           `json:"leaving"`
	Allotments     map[string]float64 `json:"allotments"`
	DeadlineMillis *int               `json:"deadline_ms"`
	Slots          *int               `json:"slots"`
	Connections    *int               `json:"connections"`
	CapPercent     *float64           `json:"cap_percent"`
	StepPercent    *float64           `json:"step_percent"`
	HedgePercent   *float64           `json:"hedge_percent"`
	RetryPercent   *float64           `json:"retry_percent"`
	AnswerBytes    *int               `json:"answer_bytes_max"`
}

// ParsePolicy reads a policy from JSON, fills in the defaults and checks it.
// The error names the field, what was given and what is allowed.
func ParsePolicy(text []byte) (*Policy, error) {
	if len(text) > PolicyBytesMax {
		return nil, errors.Newf("policy: %d bytes are given, at most %d are allowed", len(text), PolicyBytesMax)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var body policyBody
	if err := decoder.Decode(&body); err != nil {
		return nil, errors.Wrap(err, "policy")
	}
	if decoder.More() {
		return nil, errors.New("policy: more text follows the object; want one JSON object")
	}
	return body.policy()
}

func (b *policyBody) policy() (*Policy, error) {
	policy := &Policy{leaving: map[place.Target]bool{}, allotments: map[place.Zone]float64{}}
	for _, r := range b.NonIdempotent {
		policy.nonIdempotent = append(policy.nonIdempotent, Rule{method: r.Method, path: r.Path})
	}
	for _, r := range b.RefusedBeforeRun {
		policy.refused = append(policy.refused, Refused{status: r.Status, header: r.Header})
	}
	for _, d := range b.Diversions {
		policy.diversions = append(policy.diversions, Diversion{from: place.Region(d.From), to: place.Region(d.To), percent: d.Percent})
	}
	for _, target := range b.Leaving {
		policy.leaving[place.Target(target)] = true
	}
	for zone, percent := range b.Allotments {
		policy.allotments[place.Zone(zone)] = percent
	}
	policy.deadline = time.Duration(valueOr(b.DeadlineMillis, int(DefaultDeadline/time.Millisecond))) * time.Millisecond
	policy.slots = valueOr(b.Slots, DefaultSlots)
	policy.connections = valueOr(b.Connections, DefaultConnections)
	policy.capPercent = valueOr(b.CapPercent, DefaultCapPercent)
	policy.stepPercent = valueOr(b.StepPercent, DefaultStepPercent)
	policy.hedgePercent = valueOr(b.HedgePercent, DefaultHedgePercent)
	policy.retryPercent = valueOr(b.RetryPercent, DefaultRetryPercent)
	policy.answerBytes = valueOr(b.AnswerBytes, DefaultAnswerBytes)
	return policy, nil
}

func valueOr[T any](given *T, fallback T) T {
	if given == nil {
		return fallback
	}
	return *given
}
