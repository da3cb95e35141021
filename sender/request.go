package sender

import (
	"strings"
	"time"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/hold"
)

// Headers of requests to targets.
const (
	// HeaderDeadline carries the time left until the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderIdempotencyKey carries the idempotency key of a non-idempotent
	// request.
	HeaderIdempotencyKey = "Endivechute-Key"
	// HeaderRequestID carries the caller's ID of the request.
	HeaderRequestID = "X-Request-Id"
)

// Header is one header field of a request or an answer.
type Header struct {
	name  string
	value string
}

// NewHeader returns a Header.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the name of the header.
func (h Header) Name() string { return h.name }

// Value returns the value of the header.
func (h Header) Value() string { return h.value }

// Request is a request to a target. It is immutable: the methods return changed
// copies, and the caller must not change the headers or the body that it passed.
type Request struct {
	method         string
	path           string
	key            string
	headers        []Header
	body           []byte
	deadline       time.Time
	refused        []config.RefusedResponse
	answerBytesMax int
	host           string
	echo           Header
	echoOptional   bool
	closeDelimited bool
	bodyDiscarded  bool
	share          *hold.Share
	overflow       OverflowFunc
	awaitSilent    bool
}

// NewRequest returns a Request. path includes the query string and begins with
// "/". With a zero deadline, the request ends after 30 s at the latest. The
// deadline of the context applies in any case.
func NewRequest(method, path string, deadline time.Time) Request {
	return Request{method: method, path: path, deadline: deadline, answerBytesMax: config.DefaultAnswerBytes}
}

// WithKey returns a copy with the idempotency key of a non-idempotent request.
func (r Request) WithKey(key string) Request {
	r.key = key
	return r
}

// WithHeadersAndBody returns a copy with the headers and the body.
func (r Request) WithHeadersAndBody(headers []Header, body []byte) Request {
	r.headers = headers
	r.body = body
	return r
}

// WithPolicy returns a copy with two settings of the service's policy: which
// answers mean that the target did not run the request, and the maximum size of
// an answer.
func (r Request) WithPolicy(policy *config.Policy) Request {
	r.refused = policy.RefusedBeforeRun()
	r.answerBytesMax = policy.AnswerBytesMax()
	return r
}

// WithAnswerBytesMax returns a copy that accepts answers with bodies of up to n
// bytes.
func (r Request) WithAnswerBytesMax(n int) Request {
	r.answerBytesMax = n
	return r
}

// WithHost returns a copy whose Host header is host. The default is the target's
// address.
func (r Request) WithHost(host string) Request {
	r.host = host
	return r
}

// WithEcho returns a copy whose answer must contain the given header with the
// same value, which no other request to the target has. Answers with another value belong to earlier requests on the
// connection and are skipped.
func (r Request) WithEcho(header Header) Request {
	r.echo = header
	return r
}

// isIdentified reports whether an answer to another request can't be taken for the
// answer to this one.
func (r Request) isIdentified() bool { return r.echo.name != "" && !r.echoOptional }

// WithOptionalEcho is like WithEcho for targets that may leave out the header, and for
// values that another request may have too. An answer without the header counts as the
// answer to this request. A connection isn't used again after an answer that says that
// the request was not run.
func (r Request) WithOptionalEcho(header Header) Request {
	r.echo = header
	r.echoOptional = true
	return r
}

// WithCloseDelimited returns a copy that also accepts an answer with neither
// Content-Length nor chunked encoding. Its body ends when the target closes the
// connection without a reset.
func (r Request) WithCloseDelimited() Request {
	r.closeDelimited = true
	return r
}

// WithBodyDiscarded returns a copy whose answer has no body. The target's is read to its
// end, within the limit of WithAnswerBytesMax, and nothing of it is kept.
func (r Request) WithBodyDiscarded() Request {
	r.bodyDiscarded = true
	return r
}

// WithOverflow returns a copy whose answer is buffered only as far as the share
// has room, and at most 1 MiB of it. The head of a longer answer is passed to
// overflow, and its body is written to the writer that overflow returns. The
// answer is then not limited by WithAnswerBytesMax if it states its length.
func (r Request) WithOverflow(share *hold.Share, overflow OverflowFunc) Request {
	r.share = share
	r.overflow = overflow
	return r
}

// WithRefusedResponses returns a copy for which an answer that matches one of
// the given rules means that the target did not run the request.
func (r Request) WithRefusedResponses(refused []config.RefusedResponse) Request {
	r.refused = refused
	return r
}

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Headers returns the headers without those that each hop sets. The caller must not
// change the slice.
func (r Request) Headers() []Header { return r.headers }

// Path returns the path and query string that the target receives.
func (r Request) Path() string { return r.path }

// Deadline returns the time until which the caller waits for the answer, or the
// zero time if only the context and the default bound it.
func (r Request) Deadline() time.Time { return r.deadline }

// WithAwaitSilent returns a copy for a request that must not be sent again. Until
// its deadline it waits for a target that acknowledges nothing: after a network cut
// the target may still be at work and answer. Other requests give up on it after
// socket.UserTimeout.
func (r Request) WithAwaitSilent() Request {
	r.awaitSilent = true
	return r
}

// validate rejects a path or method that would allow request smuggling.
func (r Request) validate() error {
	if !strings.HasPrefix(r.path, "/") || !isPrintable(r.path) {
		return errs.NotRun(errs.ReasonBadRequest, 0, "path %.64q: want a path that begins with / and contains no spaces or control characters", r.path)
	}
	if r.method == "" || strings.Trim(r.method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return errs.NotRun(errs.ReasonBadRequest, 0, "method %.16q: want upper-case letters, such as GET", r.method)
	}
	return nil
}

func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// Answer is the complete HTTP response of a target.
type Answer struct {
	status    int
	headers   []Header
	body      []byte
	keepAlive string
	streamed  bool
	// endsWithConnection is true if the end of the connection ends the body.
	endsWithConnection bool
}

// NewAnswer returns an Answer with the status and no headers or body.
func NewAnswer(status int) Answer { return Answer{status: status} }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Headers returns the headers, except hop-by-hop headers and Content-Length.
// The caller must not change the slice.
func (a Answer) Headers() []Header { return a.headers }

// Header returns the value of the first header with the name, or "". Names are
// compared case-insensitively.
func (a Answer) Header(name string) string {
	for _, h := range a.headers {
		if strings.EqualFold(h.name, name) {
			return h.value
		}
	}
	return ""
}

// WithoutHeaders returns a copy without the headers for whose names drop returns true.
func (a Answer) WithoutHeaders(drop func(name string) bool) Answer {
	kept := make([]Header, 0, len(a.headers))
	for _, h := range a.headers {
		if !drop(h.name) {
			kept = append(kept, h)
		}
	}
	a.headers = kept
	return a
}

// Body returns the whole body. The caller must not change it.
func (a Answer) Body() []byte { return a.body }

// Streamed reports whether the answer was passed to the overflow of the request,
// and so has no body here. If Do returned an error too, its body is incomplete.
func (a Answer) Streamed() bool { return a.streamed }

// isConnectionHeader reports whether a header is hop-by-hop, so that it must not
// be forwarded, or is written by the HTTP library itself.
func isConnectionHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host":
		return true
	}
	return false
}
