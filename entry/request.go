package entry

import (
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// HopsMax is the maximum number of times that a request may be forwarded from
// entry to entry.
const HopsMax = 3

// Request is a caller's request to a service.
type Request struct {
	service  place.Service
	method   string
	path     string
	headers  []wire.Header
	body     []byte
	key      string
	deadline time.Time
	hops     int
	admitted bool // another entry of the region counts it against the in-flight limit
}

// NewRequest returns a Request. path is the path and query that the target
// receives. With a zero deadline the deadline of the service's policy applies.
func NewRequest(service place.Service, method, path string, headers []wire.Header, body []byte, key string, deadline time.Time) *Request {
	return &Request{service: service, method: method, path: path, headers: headers, body: body, key: key, deadline: deadline}
}

// pathWithoutQuery returns the path without the query. The rules of a policy
// match this part only.
func (r *Request) pathWithoutQuery() string {
	for i := range len(r.path) {
		if r.path[i] == '?' {
			return r.path[:i]
		}
	}
	return r.path
}

func (r *Request) toWire(scope wire.Scope, now time.Time) *wire.Forward {
	return &wire.Forward{
		Scope:          scope,
		Service:        r.service,
		Method:         r.method,
		Path:           r.path,
		Headers:        r.headers,
		Body:           r.body,
		Key:            r.key,
		DeadlineMillis: max(r.deadline.Sub(now).Milliseconds(), 1),
		Hops:           r.hops + 1,
	}
}

func requestFromWire(f *wire.Forward, now time.Time) *Request {
	deadline := now.Add(time.Duration(f.DeadlineMillis) * time.Millisecond)
	return &Request{
		service: f.Service, method: f.Method, path: f.Path, headers: f.Headers, body: f.Body,
		key: f.Key, deadline: deadline, hops: f.Hops,
	}
}

func answerToWire(answer sender.Answer) *wire.Answer {
	headers := make([]wire.Header, 0, len(answer.Headers()))
	for _, h := range answer.Headers() {
		headers = append(headers, wire.Header{Name: h.Name(), Value: h.Value()})
	}
	return &wire.Answer{Status: answer.Status(), Headers: headers, Body: answer.Body()}
}

func refusalToWire(err error) *wire.Refused {
	refusal := errs.AsRefusal(err)
	return &wire.Refused{
		Verdict:          refusal.Verdict(),
		Reason:           refusal.Reason(),
		Text:             refusal.Message(),
		RetryAfterMillis: refusal.RetryAfter().Milliseconds(),
	}
}

func refusalFromWire(r *wire.Refused) *errs.Refusal {
	return errs.New(r.Verdict, r.Reason, time.Duration(r.RetryAfterMillis)*time.Millisecond, "%s", r.Text)
}
