package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/sender"
)

// unreachableMax limits how many targets may be unreachable for one request.
// They received nothing of it, so they don't count as attempts.
const unreachableMax = 3

// retryState holds the results of the attempts at one request.
type retryState struct {
	request *request
	tried   []place.Target
	// reached counts the targets that the request was sent to.
	reached     int
	unreachable int
	// mayDetour is true if the request may go through another instance.
	mayDetour bool
	// answer is the latest answer of a target, success or failure.
	answer *sender.Answer
	// mayHaveRun is the error of an attempt that may have run.
	mayHaveRun error
	lastErr    error
	done       bool
}

// record adds the result of an attempt at a target and decides whether the request may be
// sent again.
func (t *retryState) record(target place.Target, answer sender.Answer, err error) {
	if target != "" {
		t.tried = append(t.tried, target)
	}
	t.lastErr = err
	refusal := errs.AsRefusal(err)
	switch {
	case err == nil && answer.Status() >= http.StatusInternalServerError:
		t.reached++
		t.answer = &answer
		t.done = !t.request.route.Idempotent()
	case err == nil:
		t.reached++
		t.answer = &answer
		t.done = true
	case refusal.Verdict() == errs.VerdictNotRun && refusal.Reason() == errs.ReasonTargetFailed:
		t.unreachable++
		t.done = t.unreachable >= unreachableMax && !t.mayDetour
	case refusal.Verdict() == errs.VerdictNotRun:
		t.reached++
		t.done = refusal.Reason() == errs.ReasonBadRequest
	default:
		t.reached++
		t.mayHaveRun = err
		t.done = !t.request.route.Idempotent() || refusal.Reason() == errs.ReasonDeadline
	}
	t.done = t.done || t.reached >= t.request.route.Attempts()
}

// finished reports whether the request must not be sent again.
func (t *retryState) finished() bool { return t.done }

// nextIsFree reports whether the next attempt needs no retry budget, because no
// target has received anything of the request so far.
func (t *retryState) nextIsFree() bool { return t.reached == 0 }

// result returns what the client gets: a target's answer if there is one, else
// the error of an attempt that may have run, else err or the last error.
func (t *retryState) result(err error) (sender.Answer, error) {
	switch {
	case t.answer != nil:
		return *t.answer, nil
	case t.mayHaveRun != nil:
		return sender.Answer{}, t.mayHaveRun
	case err == nil:
		err = t.lastErr
	}
	return sender.Answer{}, err
}

// mayHaveBegun reports whether a target may have run the request.
func (t *retryState) mayHaveBegun() bool { return t.answer != nil || t.mayHaveRun != nil }

// checkAttempt returns a refusal if the request must not be sent to a target now. A stop
// prevents only what can be refused as not run: the client may then send it elsewhere.
func (s *Server) checkAttempt(t *retryState, now time.Time) error {
	if !t.mayHaveBegun() {
		// The body may have taken a while, or a target to reject the request.
		if err := s.checkShutdown(t.request, now); err != nil {
			return err
		}
	}
	return s.checkQuarantine(t.request, now)
}

// choose returns the target of the next attempt. It returns a refusal if the
// deadline has passed or no target can take the request.
func (s *Server) choose(service place.Service, q *request, t *retryState) (*pick.Attempt, error) {
	now := s.now()
	if !now.Before(q.deadline) {
		return nil, errs.NotRun(errs.ReasonDeadline, q.route.Aim(), "the deadline of the request has passed")
	}
	object := q.head.Object()
	if !q.route.Affinity() {
		object = ""
	}
	timeLeft := s.timeLeft(q.deadline, now)
	attempt, err := s.chooser.Choose(s.feed.View().Members(service), pick.Query{
		Service: service, Object: object, Aim: q.route.Aim(), TimeLeft: timeLeft,
		Allowed: q.allowedIn, Tried: t.tried, ColdShare: s.coldShare, Priority: s.priorityOf(q),
		Policy: s.policy(service, now),
	}, now)
	if err != nil && timeLeft < q.deadline.Sub(now) && errs.AsRefusal(err).Reason() == errs.ReasonTargetBusy {
		// Another instance may have the time that this one lacks.
		return nil, errStopping(errs.AsRefusal(err).Message())
	}
	return attempt, err //nolint:wrapcheck // a refusal needs no more context
}

// coldShare returns how many requests per second this entry may send to a cold
// target. It is 0 for targets of other availability zones.
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
	return pace.ColdShare(bound, s.settings().Instance(), s.instances.PossibleSenders(), m.Target())
}

// send sends the request to a target and records the outcome. An idempotent
// request is canceled when its client disconnects. Any other runs to its end,
// because it may take effect whether or not the client waits.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, q *request, attempt *pick.Attempt) (sender.Answer, error) {
	if !q.route.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.sendContext, cancel)()
	m := attempt.Member()
	client := s.clientFor(m)
	request := platform.NewRequest(q.http, q.body, q.head.ID(), m.Target(), q.answerDeadline, answerBytesMax)
	request = request.WithOverflow(s.answerShare(q), func(head sender.Answer) (io.Writer, error) {
		return s.streamTo(w, q, attempt, head)
	})
	if !q.route.Idempotent() {
		request = request.WithAwaitSilent()
	}
	answer, err := client.Do(ctx, request)
	s.endStream(answer)
	if err == nil {
		if problem := platform.CheckResponse(answer); problem != nil {
			err = errs.MayHaveRun(errs.ReasonCutAnswer, "target %s: %v", m.Target(), problem)
		}
	}
	now := s.now()
	outcome := outcomeOf(answer, err)
	s.observeLinks(q.scope, m.Target(), outcome, answer, err, attempt.At(), now)
	attempt.Done(outcome, loadReport(answer), client.DialTime(), now)
	s.judgeRequest(q, m, answer, err, attempt.At(), now)
	if answer.Status() != http.StatusMisdirectedRequest {
		s.observeTarget(m, answer, attempt.At(), now)
	}
	s.recordAttempt(q, attempt, outcome, answer, err, now)
	return answer, err //nolint:wrapcheck // a refusal needs no more context
}

// observeTarget records what a target says about itself in an answer, a rejection
// or a failure included: that its process leaves, that it wants a pause, or that it
// names a limit on its requests. The answer must not be from another target at the
// same address. sent is when the request was sent.
func (s *Server) observeTarget(m *fleet.Member, answer sender.Answer, sent, now time.Time) {
	leaving, err := platform.ReadLeaving(answer)
	if leaving && s.feed.MarkLeaving(m.Process()) {
		s.stats.leaving.Inc()
		s.log.WithFields(logrus.Fields{fieldTarget: m.Target(), fieldService: m.Service()}).Info("A target announced that it leaves.")
	}
	s.reportHeader(m, err, now)
	pause, err := platform.ReadPause(answer)
	s.reportHeader(m, err, now)
	if pause > 0 {
		s.chooser.Pause(m.Process(), pause, now)
		s.stats.pauses.Inc()
		if s.logQuota.Allow(logs.ClassRefused, now) {
			s.log.WithFields(logrus.Fields{fieldTarget: m.Target(), fieldService: m.Service(), "pause_ms": pause.Milliseconds()}).Info("A target asked for a pause.")
		}
	}
	s.observeLimit(m, answer, sent, now)
}

// observeLimit records whether a target names a limit in the answer to a request that
// was sent at the given time. Only an answer that the target itself wrote ends a
// limit; a limit that is invalid doesn't.
func (s *Server) observeLimit(m *fleet.Member, answer sender.Answer, sent, now time.Time) {
	perSecond, named, err := platform.ReadLimit(answer)
	s.reportHeader(m, err, now)
	fields := logrus.Fields{fieldTarget: m.Target(), fieldService: m.Service(), fieldLimit: perSecond}
	switch {
	case named:
		s.stats.limited.Inc()
		if s.rateLimiter.Named(m.Process(), perSecond, now) && s.logQuota.Allow(logs.ClassRefused, now) {
			s.log.WithFields(fields).Info("A target named a limit.")
		}
	case err == nil && platform.CheckResponse(answer) == nil:
		if s.rateLimiter.Unnamed(m.Process(), sent, now) {
			s.log.WithFields(fields).Info("A target names no limit any more.")
		}
	}
}

// reportHeader logs an invalid header of a target.
func (s *Server) reportHeader(m *fleet.Member, err error, now time.Time) {
	if err != nil && s.logQuota.Allow(logs.ClassFailed, now) {
		s.log.WithError(err).WithFields(logrus.Fields{fieldTarget: m.Target(), "address": m.Address()}).Warn("A header of a target is invalid.")
	}
}

// answerBytesMax limits a target's answer that doesn't state its length.
const answerBytesMax = 16 << 20

// clientFor returns the client of a target, which may open this entry's share
// of the connections that the target accepts.
func (s *Server) clientFor(m *fleet.Member) *sender.Client {
	accepted := 0
	if service, found := s.feed.Table().Service(m.Service()); found {
		accepted = service.Connections()
	}
	return s.targetClients.get(m, connectionShare(accepted, s.instances.Size()))
}

// loadReport returns the load that a target's answer states, nil if it states
// none.
func loadReport(a sender.Answer) *pick.Report {
	load, known := platform.ReadLoad(a)
	if !known {
		return nil
	}
	return &pick.Report{Running: load.Running(), Waiting: load.Waiting(), WorkFactor: load.WorkFactor()}
}

// outcomeOf returns the outcome that the chooser learns from an attempt's
// result.
func outcomeOf(answer sender.Answer, err error) pick.Outcome {
	if err == nil {
		return pick.Answered{Failed: answer.Status() >= http.StatusInternalServerError}
	}
	refusal := errs.AsRefusal(err)
	switch refusal.Reason() {
	case errs.ReasonTargetSilent:
		return pick.Unreachable{}
	case errs.ReasonDeadline, errs.ReasonCanceled:
		return pick.Abandoned{}
	case errs.ReasonTargetFailed:
		if refusal.Verdict() == errs.VerdictNotRun {
			return pick.Unreachable{}
		}
		return pick.Broken{}
	case errs.ReasonTargetBusy:
		if answer.Status() == http.StatusMisdirectedRequest {
			// The address belongs to another target now. The intended target is
			// gone, although the list may still contain it.
			return pick.Unreachable{}
		}
		return pick.Rejected{}
	default:
		return pick.Broken{}
	}
}
