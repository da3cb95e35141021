package sender

import (
	"strings"
	"time"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
)

// The headers of the targets' protocol.
const (
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderKey carries the key of a non-idempotent request.
	HeaderKey = "Endivechute-Key"
	// HeaderRequest carries the caller's own name of the request.
	HeaderRequest = "X-Request-Id"
)

// Header is one header line of a request or an answer.
type Header struct {
	name  string
	value string
}

// NewHeader makes a Header.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the name of the header.
func (h Header) Name() string { return h.name }

// Value returns the value of the header.
func (h Header) Value() string { return h.value }

// Request is one request to a target. It is never changed after it was made,
// and the body must not be changed either.
type Request struct {
	method      string
	path        string
	key         string
	headers     []Header
	body        []byte
	deadline    time.Time
	refused     []config.Refused
	answerBytes int
	host        string
	echo        Header
	unframed    bool
}

// NewRequest makes a Request. path is what the target receives, with the query
// string, and begins with "/". A zero deadline leaves the bound to the context.
func NewRequest(method, path string, deadline time.Time) Request {
	return Request{method: method, path: path, deadline: deadline, answerBytes: config.DefaultAnswerBytes}
}

// WithKey returns a copy that carries the key of a non-idempotent request.
func (r Request) WithKey(key string) Request {
	r.key = key
	return r
}

// WithBody returns a copy that carries the headers and the body.
func (r Request) WithBody(headers []Header, body []byte) Request {
	r.headers = headers
	r.body = body
	return r
}

// WithPolicy returns a copy that takes from the policy of its service which
// answers mean that the target did not run the request, and the largest answer.
func (r Request) WithPolicy(policy *config.Policy) Request {
	r.refused = policy.RefusedBeforeRun()
	r.answerBytes = policy.AnswerBytesMax()
	return r
}

// WithAnswerBytesMax returns a copy that takes answers of up to n bytes.
func (r Request) WithAnswerBytesMax(n int) Request {
	r.answerBytes = n
	return r
}

// WithHost returns a copy that bears the name of a host in place of the
// target's address.
func (r Request) WithHost(host string) Request {
	r.host = host
	return r
}

// WithEcho returns a copy whose answer has to repeat a header. An answer with
// another value belongs to an earlier request and is passed over.
func (r Request) WithEcho(header Header) Request {
	r.echo = header
	return r
}

// WithUnframed returns a copy that takes an answer without a length, which ends
// when the target closes the connection in good order.
func (r Request) WithUnframed() Request {
	r.unframed = true
	return r
}

// WithRefused returns a copy that takes the given answers as a target's word
// that it did not run the request.
func (r Request) WithRefused(refused []config.Refused) Request {
	r.refused = refused
	return r
}

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Path returns the path and query string that the target receives.
func (r Request) Path() string { return r.path }

// Deadline returns the time after which nobody waits for the answer.
func (r Request) Deadline() time.Time { return r.deadline }

// check refuses what could be read as more than one request.
func (r Request) check() error {
	if !strings.HasPrefix(r.path, "/") || !printable(r.path) {
		return errs.NotRun(errs.ReasonBadRequest, 0, "path %.64q: want a path that begins with / and holds no spaces or control characters", r.path)
	}
	if r.method == "" || strings.Trim(r.method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return errs.NotRun(errs.ReasonBadRequest, 0, "method %.16q: want upper-case letters, such as GET", r.method)
	}
	return nil
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// Answer is the whole answer of a target.
type Answer struct {
	status    int
	headers   []Header
	body      []byte
	keepAlive string
}

// NewAnswer makes an Answer with a status and nothing else.
func NewAnswer(status int) Answer { return Answer{status: status} }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Headers returns the headers without those that concern one connection only.
// The caller must not change the slice.
func (a Answer) Headers() []Header { return a.headers }

// Header returns the value of the first header with the name, or "". The case
// of the name does not count.
func (a Answer) Header(name string) string {
	for _, h := range a.headers {
		if strings.EqualFold(h.name, name) {
			return h.value
		}
	}
	return ""
}

// Body returns the whole body. The caller must not change it.
func (a Answer) Body() []byte { return a.body }

// connectionHeader tells whether a header concerns one connection only, so that
// it must not be passed on, or is written by the HTTP library itself.
func connectionHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host":
		return true
	}
	return false
}
