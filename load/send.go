package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/stub"
)

// The headers of the callers' interface.
const (
	headerVerdict  = "Endivechute-Verdict"
	headerReason   = "Endivechute-Reason"
	headerComeBack = "Endivechute-Come-Back-Ms"
	headerDeadline = "Endivechute-Deadline-Ms"
	headerLookUp   = "Endivechute-Lookup"
)

const (
	// timeLeftDivisor limits an exchange with an entry that is not the last one to
	// a part of the time left, but not to less than exchangeTimeoutMin.
	timeLeftDivisor    = 2
	exchangeTimeoutMin = 250 * time.Millisecond
	retryPauseMin      = 5 * time.Millisecond
)

// Outcome is the final result of a request, as the caller knows it.
type Outcome string

// The outcomes. OutcomeRan, OutcomeNotRun and OutcomeMayHaveRun are verdicts.
// OutcomeUnknown means that no entry gave a verdict, and OutcomeSkipped that the
// request was not sent because too many were in flight.
const (
	OutcomeRan        Outcome = "ran"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeMayHaveRun Outcome = "may-have-run"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeSkipped    Outcome = "skipped"
)

// sentRequest is one request with its result.
type sentRequest struct {
	id       string
	kind     *Kind
	path     string
	body     []byte
	due      time.Time
	latency  time.Duration
	outcome  Outcome
	reason   errs.Reason
	problem  string
	attempts []attempt
}

// attempt covers all sends of a request under one id and key. A repeat at another
// entry after a send without a verdict belongs to the same attempt, since it uses
// the same id and key.
type attempt struct {
	id      string
	key     string
	outcome Outcome
	repeats int
}

func newSentRequest(id string, kind *Kind, number int, due time.Time) *sentRequest {
	body := bytes.Repeat([]byte{'x'}, kind.BodyBytes)
	copy(body, strconv.Itoa(number))
	return &sentRequest{id: id, kind: kind, path: kind.path(number), body: body, due: due, outcome: OutcomeUnknown}
}

// exchangeResult is the result of one exchange with an entry or target.
type exchangeResult struct {
	outcome    Outcome
	reason     errs.Reason
	retryAfter time.Duration
	// lookUp means that the entry asks the caller to look up again.
	lookUp bool
	// unreachable means that nothing was sent, because connecting failed.
	unreachable bool
	answer      sender.Answer
}

// send makes attempts until the request has run, a non-idempotent request may
// have run, or the attempts or the time are used up.
func (c *caller) send(ctx context.Context, s *sentRequest) {
	deadline := s.due.Add(millis(int64(s.kind.DeadlineMillis)))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for number := range c.options.Attempts {
		result := c.attempt(ctx, s, number)
		s.outcome, s.reason = result.outcome, result.reason
		if result.outcome == OutcomeRan {
			s.latency = time.Since(s.due)
			s.problem = s.checkAnswer(result.answer)
			return
		}
		if result.outcome != OutcomeNotRun && s.kind.NonIdempotent {
			return
		}
		pause := max(result.retryAfter, retryPauseMin)
		if time.Until(deadline) <= pause || !sleepUntil(ctx, time.Now().Add(pause)) {
			return
		}
	}
}

// attempt sends the request under one id and one key, to one entry after another
// until one gives a verdict. After a send without a verdict, a not-run verdict of
// a later entry holds for a non-idempotent request, because all entries use the
// same record for its key; an idempotent request has no key and may have run, so
// its outcome is unknown.
func (c *caller) attempt(ctx context.Context, s *sentRequest, number int) exchangeResult {
	a := attempt{id: fmt.Sprintf("%s.%d", s.id, number), outcome: OutcomeUnknown}
	defer func() { s.attempts = append(s.attempts, a) }()
	if c.options.Baseline {
		result := c.sendToTarget(ctx, s, a)
		a.outcome = result.outcome
		return result
	}
	used, err := c.resolver.route(ctx, s.kind.Service)
	if err != nil {
		a.outcome = OutcomeNotRun
		return exchangeResult{outcome: OutcomeNotRun, reason: "no-look-up"}
	}
	if s.kind.NonIdempotent {
		a.key = c.resolver.key(used.keyPrefix)
	}
	result := exchangeResult{outcome: OutcomeNotRun, reason: "no-entry"}
	mayHaveRun := false
	for i, entry := range used.entries {
		last := i == len(used.entries)-1
		result = c.exchange(ctx, entry, s, a, last)
		if result.lookUp || result.unreachable {
			c.resolver.invalidate(s.kind.Service, used)
		}
		mayHaveRun = mayHaveRun || result.outcome == OutcomeUnknown
		final := result.outcome != OutcomeUnknown && !result.unreachable
		if final || ctx.Err() != nil {
			break
		}
		a.repeats++
	}
	if result.outcome == OutcomeNotRun && mayHaveRun && (result.unreachable || !s.kind.NonIdempotent) {
		result.outcome = OutcomeUnknown
	}
	a.outcome = result.outcome
	return result
}

// exchange sends the request to one entry and reads the verdict. Unless the entry
// is the last one, it may use only a part of the remaining time, so that there is
// time for the next one.
func (c *caller) exchange(ctx context.Context, entry string, s *sentRequest, a attempt, last bool) exchangeResult {
	deadline, _ := ctx.Deadline()
	if left := time.Until(deadline); !last {
		deadline = time.Now().Add(min(left, max(left/timeLeftDivisor, exchangeTimeoutMin)))
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	headers := []sender.Header{
		sender.NewHeader(sender.HeaderRequestID, a.id),
		sender.NewHeader(headerDeadline, strconv.FormatInt(left, 10)),
	}
	path := "/s/" + string(s.kind.Service) + s.path
	request := sender.NewRequest(s.kind.Method, path, deadline).WithHeadersAndBody(headers, s.body).WithKey(a.key)
	answer, err := c.resolver.client(entry).Do(ctx, request)
	if err != nil {
		reason := errs.AsRefusal(err).Reason()
		if errs.VerdictOf(err) == errs.VerdictNotRun {
			return exchangeResult{outcome: OutcomeNotRun, reason: reason, unreachable: true}
		}
		return exchangeResult{outcome: OutcomeUnknown, reason: reason}
	}
	result := exchangeResult{
		outcome: OutcomeUnknown,
		reason:  errs.Reason(answer.Header(headerReason)),
		lookUp:  answer.Header(headerLookUp) != "",
		answer:  answer,
	}
	if verdict, err := errs.ParseVerdict(answer.Header(headerVerdict)); err == nil {
		result.outcome = Outcome(verdict.String())
	}
	if n, err := strconv.ParseInt(answer.Header(headerComeBack), 10, 64); err == nil {
		result.retryAfter = millis(n)
	}
	return result
}

// sendToTarget sends the request directly to the next target in rotation.
func (c *caller) sendToTarget(ctx context.Context, s *sentRequest, a attempt) exchangeResult {
	addresses := c.options.Targets[s.kind.Service]
	address := addresses[int(c.nextTarget.Add(1)%uint64(len(addresses)))]
	request := sender.NewRequest(s.kind.Method, s.path, time.Time{}).
		WithHeadersAndBody([]sender.Header{sender.NewHeader(sender.HeaderRequestID, a.id)}, s.body).WithKey(a.id)
	answer, err := c.resolver.client(address).Do(ctx, request)
	switch {
	case errs.VerdictOf(err) == errs.VerdictNotRun, err == nil && answer.Header(stub.HeaderShed) != "":
		return exchangeResult{outcome: OutcomeNotRun}
	case err != nil:
		return exchangeResult{outcome: OutcomeMayHaveRun}
	}
	return exchangeResult{outcome: OutcomeRan, answer: answer}
}

// checkAnswer returns what is wrong with an answer that the entry reported as
// complete, or "" if it belongs to this request.
func (s *sentRequest) checkAnswer(answer sender.Answer) string {
	var echo stub.Echo
	if err := json.Unmarshal(answer.Body(), &echo); err != nil {
		return fmt.Sprintf("request %s: the answer is incomplete or not an echo: %.100q", s.id, answer.Body())
	}
	a := s.attempts[len(s.attempts)-1]
	if echo.Request != a.id || echo.BodyHash != stub.HashBody(s.body) {
		return fmt.Sprintf("request %s: got the answer to request %s", a.id, echo.Request)
	}
	if s.kind.NonIdempotent && a.key != "" && echo.Key != a.key {
		return fmt.Sprintf("request %s: got the answer to key %s, want key %s", a.id, echo.Key, a.key)
	}
	if echo.Service != string(s.kind.Service) {
		return fmt.Sprintf("request %s: got an answer of service %s, want service %s", a.id, echo.Service, s.kind.Service)
	}
	return ""
}
