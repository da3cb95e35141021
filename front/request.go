package front

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/sender"
)

const (
	// routesAgeMax is how old the configuration may be for an unknown route to
	// be denied. A process that may have missed a change says that it can't
	// tell.
	routesAgeMax = 2 * time.Second
	// unreadyComeBack is when a client may find the process ready.
	unreadyComeBack = 500 * time.Millisecond
	// bodyBytesUnknown bounds a body before the configuration says how long it
	// may be.
	bodyBytesUnknown = 1 << 20
)

// request is one attempt of a client on its way.
type request struct {
	http    *http.Request
	head    platform.Head
	route   *route.Route
	body    []byte
	arrived time.Time
	// deadline is when nobody waits any more: the client's own or the route's.
	deadline time.Time
	table    *route.Table
	// sampled tells that the log has a line on a request that went well.
	sampled bool
}

// ServeHTTP answers one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{http: r, head: platform.ReadHead(r), arrived: s.now()}
	defer s.guard(w, q)
	if !s.admit(w, q) {
		return
	}
	answer, err := s.run(r.Context(), q)
	if r.Context().Err() != nil && err != nil {
		s.note(q, answerGone, err)
		return
	}
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	s.deliver(w, q, answer)
}

// guard answers a request whose handling failed by a fault of this program. The
// library would close the connection without an answer.
func (s *Server) guard(w http.ResponseWriter, q *request) {
	fault := recover()
	if fault == nil {
		return
	}
	s.log.WithFields(logrus.Fields{"id": q.head.ID(), "fault": fault, "stack": string(debug.Stack())}).Error("A fault of the program ended a request.")
	s.refuse(w, q, errs.MayHaveRun(errs.ReasonPeerFailed, "a fault of the program: %v", fault))
}

// admit finds the route of a request and reads its body, or answers it.
func (s *Server) admit(w http.ResponseWriter, q *request) bool {
	q.table = s.feed.Table()
	if q.table == nil || !s.feed.Ready() {
		s.refuse(w, q, errs.NotRun(errs.ReasonNotReady, unreadyComeBack, "no configuration is known yet"))
		return false
	}
	path, _, _ := strings.Cut(q.http.URL.RequestURI(), "?")
	found := false
	if q.route, found = q.table.Find(q.http.Host, path); !found {
		s.deny(w, q, path)
		return false
	}
	q.deadline = q.arrived.Add(q.route.Timeout())
	if wait := q.head.Deadline(); wait > 0 && wait < q.route.Timeout() {
		q.deadline = q.arrived.Add(wait)
	}
	return s.readBody(w, q)
}

// deny answers a request that no route matches.
func (s *Server) deny(w http.ResponseWriter, q *request, path string) {
	if age := s.feed.Age(); age > routesAgeMax {
		s.refuse(w, q, errs.NotRun(errs.ReasonNotReady, unreadyComeBack, "no route of version %d matches host %s and path %s, but that is %v old", q.table.Version(), q.http.Host, path, age))
		return
	}
	s.note(q, answerDenied, errs.NotRun(errs.ReasonNoService, 0, "no route of version %d matches host %s and path %s", q.table.Version(), q.http.Host, path))
	platform.WriteRefusal(w, q.head.ID(), http.StatusNotFound, 0)
}

// readBody reads the whole body, so that the request can be sent again and a
// client that leaves is noticed.
func (s *Server) readBody(w http.ResponseWriter, q *request) bool {
	most := q.table.Limits().BodyBytes
	if most <= 0 {
		most = bodyBytesUnknown
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.http.Body, int64(most)))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		s.note(q, answerDenied, errs.NotRun(errs.ReasonBadRequest, 0, "the body is longer than %d bytes", most))
		platform.WriteRefusal(w, q.head.ID(), http.StatusRequestEntityTooLarge, 0)
		return false
	}
	if err != nil {
		s.note(q, answerGone, errs.NotRun(errs.ReasonCanceled, 0, "the body broke off: %v", err))
		w.Header().Set("Connection", "close")
		platform.WriteRefusal(w, q.head.ID(), http.StatusBadRequest, 0)
		return false
	}
	q.body = body
	return true
}

// deliver writes a target's answer as it came.
func (s *Server) deliver(w http.ResponseWriter, q *request, a sender.Answer) {
	header := w.Header()
	for _, h := range a.Headers() {
		header.Add(h.Name(), h.Value())
	}
	if header.Get("Content-Type") == "" {
		// The library would guess a type otherwise.
		header["Content-Type"] = nil
	}
	w.WriteHeader(a.Status())
	_, err := w.Write(a.Body())
	if err != nil {
		s.note(q, answerGone, errors.Wrap(err, "write the answer"))
		return
	}
	s.answered(q, a.Status())
}

// refuse writes the final answer to a request that got none from a target. Only
// one that no target ran, and none will, is told when to come back.
func (s *Server) refuse(w http.ResponseWriter, q *request, err error) {
	refusal := errs.AsRefusal(err)
	s.note(q, answerRefused, refusal)
	status, comeBack := http.StatusBadGateway, time.Duration(0)
	switch {
	case refusal.Verdict() == errs.VerdictNotRun:
		status, comeBack = http.StatusServiceUnavailable, max(refusal.ComeBack(), comeBackLeast)
	case refusal.Reason() == errs.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	platform.WriteRefusal(w, q.head.ID(), status, comeBack)
}

// comeBackLeast is the least time after which a client is told to come back.
const comeBackLeast = 10 * time.Millisecond

// run sends the request to one target after another until one answers it, as
// far as its route and the budget allow.
func (s *Server) run(ctx context.Context, q *request) (sender.Answer, error) {
	service := q.route.Next()
	retries := s.retries(service)
	retries.Request(q.arrived)
	try := &tries{request: q}
	for {
		send, err := s.choose(service, q, try)
		if err != nil {
			return try.end(err)
		}
		answer, err := s.send(ctx, q, send)
		try.add(send, answer, err)
		if try.settled() || ctx.Err() != nil {
			return try.end(err)
		}
		if !try.free() && !retries.Take(s.retrySlack(), s.now()) {
			return try.end(err)
		}
	}
}
