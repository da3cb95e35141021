package front

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/tenant"
)

const (
	// configAgeMax is the age of the configuration up to which a request
	// without a route is answered with 404. With an older configuration the
	// process may have missed a change, and answers that it isn't ready.
	configAgeMax = 2 * time.Second
	// notReadyRetryAfter is when a client should try again if the process has
	// no recent configuration.
	notReadyRetryAfter = 500 * time.Millisecond
	// answerGrace is how long after a route's time-out the answer of an attempt
	// that is running is still awaited. A target works until the end of the time
	// that it is given, and its answer then needs a trip. The platform allows a
	// quarter of a second.
	answerGrace = 150 * time.Millisecond
	// bodyBytesDefault limits a request's body if the configuration sets no
	// limit.
	bodyBytesDefault = 1 << 20
)

// request is a client's request while it is being served.
type request struct {
	http  *http.Request
	head  platform.RequestHead
	route *route.Route
	// tenant is the tenant whose key the request has, nil if it needs none.
	tenant *tenant.Tenant
	// regions are the only regions that may serve the request. If empty, all may.
	regions []place.Region
	// countsAgainstQuota is true if the request was admitted within the tenant's quota.
	countsAgainstQuota bool

	body    []byte
	arrived time.Time
	// deadline is the earlier of the client's deadline and the end of the
	// route's time-out.
	deadline time.Time
	// answerDeadline is until when an attempt that is running may answer. It is
	// answerGrace after the route's time-out, but not after the client's deadline.
	answerDeadline time.Time
	table          *route.Table
	// share counts the bytes that are buffered for the request.
	share *hold.Share
	// fingerprintValue is computed on the first use, because few requests need it.
	fingerprintValue poison.Fingerprint
	fingerprinted    bool
	// trial is true if the request is quarantined and tried once more.
	trial bool
	// scope is the set of targets that the request may go to.
	scope reach.Scope
	// detoured is true if another instance passed the request on.
	detoured bool
	// sampled is set if an attempt that succeeded was logged, so that the
	// answer is logged too.
	sampled bool
}

// fingerprint returns the fingerprint that all attempts at the request have.
func (q *request) fingerprint() poison.Fingerprint {
	if !q.fingerprinted {
		q.fingerprintValue = poison.FingerprintOf(q.body, q.http.Method, q.http.Host, q.http.URL.RequestURI(), q.head.Caller())
		q.fingerprinted = true
	}
	return q.fingerprintValue
}

// path returns the path of the request as the client sent it.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.http.URL.RequestURI(), "?")
	return path
}

// ServeHTTP serves one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	// Package pipe closes the connection during a shutdown, because requests that were
	// started early may be behind this one.
	q := &request{http: r, head: platform.ReadRequestHead(r), arrived: s.now(), share: s.held.Share()}
	defer q.share.Release()
	defer s.recoverPanic(w, q)
	if !s.admit(w, q) {
		return
	}
	answer, err := s.forward(r.Context(), w, q)
	s.returnQuota(q, err)
	s.finish(w, q, answer, err)
}

// finish ends a request with a target's answer or with a refusal.
func (s *Server) finish(w http.ResponseWriter, q *request, answer sender.Answer, err error) {
	if answer.Streamed() {
		s.finishStream(q, answer, err)
		return
	}
	switch {
	case err == nil:
		s.writeAnswer(w, q, answer)
	case q.http.Context().Err() != nil:
		// The client may only have closed its sending side. net/http sends 200 for a
		// handler that writes nothing.
		s.writeRefusalAs(w, q, answerGone, err)
	default:
		s.writeRefusal(w, q, err)
	}
}

// recoverPanic answers a request whose handler panicked. net/http would close
// the connection without an answer.
func (s *Server) recoverPanic(w http.ResponseWriter, q *request) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler { //nolint:errorlint // net/http compares it like this too
		panic(recovered)
	}
	s.log.WithFields(logrus.Fields{"id": q.head.ID(), "fault": recovered, "stack": string(debug.Stack())}).Error("Handling a request panicked.")
	s.writeRefusal(w, q, errs.MayHaveRun(errs.ReasonPeerFailed, "handling the request panicked: %v", recovered))
}

// admit finds the route and the tenant of a request and reads its body. It reports whether
// that succeeded; if not, it has answered the request.
func (s *Server) admit(w http.ResponseWriter, q *request) bool {
	q.table = s.feed.Table()
	if q.table == nil || !s.feed.Ready() {
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "the configuration, targets or instances are not loaded yet"))
		return false
	}
	path := q.path()
	found := false
	if q.route, found = q.table.Find(q.http.Host, path); !found {
		s.deny(w, q, path)
		return false
	}
	if q.route.Unusable() {
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNoService, notReadyRetryAfter, "route %s of configuration version %d is invalid", q.route.Name(), q.table.Version()))
		return false
	}
	q.deadline = q.arrived.Add(q.route.Timeout())
	q.answerDeadline = q.deadline.Add(answerGrace)
	if wait := q.head.Deadline(); wait > 0 {
		clientDeadline := q.arrived.Add(wait)
		q.deadline = earlier(q.deadline, clientDeadline)
		q.answerDeadline = earlier(q.answerDeadline, clientDeadline)
	}
	if !s.admitTenant(w, q) {
		return false
	}
	if err := s.checkShutdown(q, q.arrived); err != nil {
		s.writeRefusal(w, q, err)
		return false
	}
	return s.checkQuota(w, q) && s.readAdmitted(w, q)
}

// readAdmitted reads the body of a request that its tenant's quota admits. It reports
// whether the request can be sent; if not, it has answered it.
func (s *Server) readAdmitted(w http.ResponseWriter, q *request) bool {
	if s.hasRoomForAnswer(w, q) && s.readBody(w, q) {
		return true
	}
	s.returnQuota(q, errs.NotRun(errs.ReasonBadRequest, 0, "the request can't be sent"))
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// deny answers a request that matches no route.
func (s *Server) deny(w http.ResponseWriter, q *request, path string) {
	if age := s.feed.Age(); age > configAgeMax {
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "no route of configuration version %d matches host %s and path %s, but the configuration is %v old", q.table.Version(), q.http.Host, path, age))
		return
	}
	if q.table.Incomplete() {
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNoService, notReadyRetryAfter, "no route of configuration version %d matches host %s and path %s, but some of its routes are invalid", q.table.Version(), q.http.Host, path))
		return
	}
	s.recordRefusal(q, answerDenied, errs.NotRun(errs.ReasonNoService, 0, "no route of configuration version %d matches host %s and path %s", q.table.Version(), q.http.Host, path))
	platform.WriteRefusal(w, q.head.ID(), http.StatusNotFound, 0)
}

// readBody reads the whole body, so that the request can be sent again and
// net/http notices when the client disconnects. It reports whether that
// succeeded; if not, it has answered the request.
func (s *Server) readBody(w http.ResponseWriter, q *request) bool {
	limit := q.table.Limits().BodyBytes
	if limit <= 0 {
		limit = bodyBytesDefault
	}
	body, err := readAll(q.http, q.share, limit)
	switch {
	case errors.Is(err, errBodyTooLong):
		s.recordRefusal(q, answerDenied, errs.NotRun(errs.ReasonBadRequest, 0, "the body is longer than %d bytes", limit))
		w.Header().Set("Connection", "close")
		platform.WriteRefusal(w, q.head.ID(), http.StatusRequestEntityTooLarge, 0)
		return false
	case errors.Is(err, errNoRoom):
		w.Header().Set("Connection", "close")
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "the bodies of other requests take up the %d bytes for bodies", s.held.Limit()))
		return false
	case err != nil:
		s.recordRefusal(q, answerGone, errs.NotRun(errs.ReasonCanceled, 0, "reading the body failed: %v", err))
		w.Header().Set("Connection", "close")
		platform.WriteRefusal(w, q.head.ID(), http.StatusBadRequest, 0)
		return false
	}
	q.body = body
	return true
}

// writeAnswer writes a target's answer to the client unchanged.
func (s *Server) writeAnswer(w http.ResponseWriter, q *request, a sender.Answer) {
	s.limitWrite(w, a)
	writeHead(w, a)
	_, err := w.Write(a.Body())
	if err != nil {
		s.recordRefusal(q, answerGone, errors.Wrap(err, "write the answer"))
		return
	}
	s.recordAnswer(q, a.Status())
}

// writeHead writes the status and the headers of a target's answer.
func writeHead(w http.ResponseWriter, a sender.Answer) {
	header := w.Header()
	for _, h := range a.Headers() {
		header.Add(h.Name(), h.Value())
	}
	if header.Get("Content-Type") == "" {
		// Without this, net/http would derive a type from the body.
		header["Content-Type"] = nil
	}
	w.WriteHeader(a.Status())
}

// writeRefusal writes the final answer to a request that got none from a
// target. Retry-After is set only if no target ran the request and none will.
func (s *Server) writeRefusal(w http.ResponseWriter, q *request, err error) {
	s.writeRefusalAs(w, q, answerRefused, err)
}

// writeRefusalAs is writeRefusal with the answer for the log and the metrics.
func (s *Server) writeRefusalAs(w http.ResponseWriter, q *request, answer string, err error) {
	refusal := errs.AsRefusal(err)
	s.recordRefusal(q, answer, refusal)
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	switch {
	case refusal.Verdict() == errs.VerdictNotRun:
		status, retryAfter = http.StatusServiceUnavailable, max(refusal.RetryAfter(), retryAfterMin)
		if refusal.Reason() == errs.ReasonQuota {
			status = http.StatusTooManyRequests
		}
	case refusal.Reason() == errs.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	if q.detoured {
		platform.SetRefusal(w, refusal)
	}
	platform.WriteRefusal(w, q.head.ID(), status, retryAfter)
}

// retryAfterMin is the shortest time after which a client is told to try again.
const retryAfterMin = 10 * time.Millisecond

// attempt sends the request to one target and records the outcome: straight if this
// instance reaches the targets, or else through another instance.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, q *request, service place.Service, state *retryState) (sender.Answer, error) {
	if s.needsDetour(state) {
		return s.detour(ctx, w, q, service, state)
	}
	attempt, err := s.choose(service, q, state)
	if err != nil && state.mayDetour && state.reached == 0 && state.unreachable > 0 {
		// None of the targets that are left can take the request, but those that were
		// unreachable may be in reach of others.
		return s.detour(ctx, w, q, service, state)
	}
	if err != nil {
		state.done = true
		return sender.Answer{}, err
	}
	answer, err := s.send(ctx, w, q, attempt)
	state.record(attempt.Member().Target(), answer, err)
	return answer, err
}

// forward sends the request to one target after another until one answers it or
// its route or the retry budget allows no further attempt.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, q *request) (sender.Answer, error) {
	service := q.route.Next()
	q.scope = reach.NewScope(service, q.regions)
	budget := s.retryBudget(service)
	budget.AddRequest(q.arrived)
	state := &retryState{request: q, mayDetour: s.instances.HasDetours()}
	defer s.endTrial(q, state)
	for {
		if err := s.checkAttempt(state, s.now()); err != nil {
			return state.result(err)
		}
		answer, err := s.attempt(ctx, w, q, service, state)
		if answer.Streamed() {
			return answer, err
		}
		if state.finished() || ctx.Err() != nil {
			return state.result(err)
		}
		if !state.nextIsFree() && !budget.Take(s.retrySlack(), s.now()) {
			return state.result(err)
		}
	}
}
