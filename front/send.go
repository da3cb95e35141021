package front

import (
	"context"
	"net/http"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/sender"
)

// unreachedMax is how many targets may turn out to be unreachable for one
// request. They got nothing of it, so that they don't count as attempts.
const unreachedMax = 3

// tries is what became of a request so far.
type tries struct {
	request *request
	tried   []place.Target
	// reached counts the targets that the request was sent to.
	reached   int
	unreached int
	// failure is the answer of a target that failed the request.
	failure *sender.Answer
	// unknown is the refusal of a send whose fate is unknown.
	unknown error
	last    error
	done    bool
}

// add takes in what became of a send.
func (t *tries) add(send *pick.Send, answer sender.Answer, err error) {
	t.tried = append(t.tried, send.Member().Target())
	t.last = err
	refusal := errs.AsRefusal(err)
	switch {
	case err == nil && answer.Status() >= http.StatusInternalServerError:
		t.reached++
		t.failure = &answer
		t.done = !t.request.route.Idempotent()
	case err == nil:
		t.reached++
		t.failure = &answer
		t.done = true
	case refusal.Verdict() == errs.VerdictNotRun && refusal.Reason() == errs.ReasonTargetError:
		t.unreached++
		t.done = t.unreached >= unreachedMax
	case refusal.Verdict() == errs.VerdictNotRun:
		t.reached++
		t.done = refusal.Reason() == errs.ReasonBadRequest
	default:
		t.reached++
		t.unknown = err
		t.done = !t.request.route.Idempotent() || refusal.Reason() == errs.ReasonDeadline
	}
	t.done = t.done || t.reached >= t.request.route.Attempts()
}

// settled tells whether the request must not be sent again.
func (t *tries) settled() bool { return t.done }

// free tells whether another send is no retry, because no target got anything
// of the request so far.
func (t *tries) free() bool { return t.reached == 0 }

// end returns what the client gets: a target's answer, or else the refusal that
// says the truth of all sends together.
func (t *tries) end(err error) (sender.Answer, error) {
	switch {
	case t.failure != nil:
		return *t.failure, nil
	case t.unknown != nil:
		return sender.Answer{}, t.unknown
	case err == nil:
		err = t.last
	}
	return sender.Answer{}, err
}

// choose returns the target of the next send.
func (s *Server) choose(service place.Service, q *request, t *tries) (*pick.Send, error) {
	now := s.now()
	if !now.Before(q.deadline) {
		return nil, errs.NotRun(errs.ReasonDeadline, q.route.Aim(), "no time is left for the request")
	}
	object := q.head.Object()
	if !q.route.Affinity() {
		object = ""
	}
	send, err := s.chooser.Choose(s.feed.View().Members(service), pick.Query{
		Service: service, Object: object, Aim: q.route.Aim(), Left: q.deadline.Sub(now),
		Allowed: q.route.AllowedIn, Tried: t.tried, ColdShare: s.coldShare,
	}, now)
	return send, err //nolint:wrapcheck // a refusal, which says what it is about
}

// coldShare returns how many requests a second this entry may send to a cold
// target.
func (s *Server) coldShare(m *fleet.Member) int64 {
	if m.Zone() != s.settings().Zone() {
		return 0
	}
	service, found := s.feed.Table().Service(m.Service())
	if !found {
		return 0
	}
	bounds := s.settings().Bounds()
	bound := pace.ColdBound(service.ColdRate(), bounds.ColdFactor(), bounds.ColdSlack())
	return pace.ColdShare(bound, s.settings().Instance(), s.mates.Sharers(), m.Target())
}

// send hands the request to a target and takes in what becomes of it. An
// idempotent request is broken off when its client leaves; any other runs to
// its end, because its outcome counts all the same.
func (s *Server) send(ctx context.Context, q *request, send *pick.Send) (sender.Answer, error) {
	if !q.route.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	m := send.Member()
	client := s.client(m)
	answer, err := client.Do(ctx, platform.NewRequest(q.http, q.body, q.head.ID(), m.Target(), q.deadline, answerBytesMax))
	if err == nil {
		if spoiled := platform.CheckAnswer(answer); spoiled != nil {
			err = errs.MayHaveRun(errs.ReasonCutAnswer, "target %s: %v", m.Target(), spoiled)
		}
	}
	now := s.now()
	outcome := outcomeOf(answer, err)
	send.Done(outcome, report(answer), client.DialTime(), now)
	s.sent(q, send, outcome, answer, err, now)
	return answer, err //nolint:wrapcheck // a refusal, which says what it is about
}

// answerBytesMax bounds an answer that is held until it is whole.
const answerBytesMax = 16 << 20

func (s *Server) client(m *fleet.Member) *sender.Client {
	accepted := 0
	if service, found := s.feed.Table().Service(m.Service()); found {
		accepted = service.Connections()
	}
	return s.clients.of(m, connectionShare(accepted, s.mates.Size()))
}

func report(a sender.Answer) *pick.Report {
	load, known := platform.ReadLoad(a)
	if !known {
		return nil
	}
	return &pick.Report{Running: load.Running(), Waiting: load.Waiting()}
}

func outcomeOf(answer sender.Answer, err error) pick.Outcome {
	if err == nil {
		return pick.Answered{Failed: answer.Status() >= http.StatusInternalServerError}
	}
	refusal := errs.AsRefusal(err)
	switch refusal.Reason() {
	case errs.ReasonSilent:
		return pick.Unreachable{}
	case errs.ReasonDeadline, errs.ReasonCanceled:
		return pick.Abandoned{}
	case errs.ReasonTargetError:
		if refusal.Verdict() == errs.VerdictNotRun {
			return pick.Unreachable{}
		}
		return pick.Broken{}
	case errs.ReasonTargetBusy:
		if answer.Status() == http.StatusMisdirectedRequest {
			// The address belongs to another target: the one that was meant is
			// gone, though the list may still have it.
			return pick.Unreachable{}
		}
		return pick.Rejected{}
	default:
		return pick.Broken{}
	}
}
