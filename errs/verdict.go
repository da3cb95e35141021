// Package errs says what became of a request. Every failure on the path of a
// request carries a Verdict, because the caller has to know above all whether
// the request may have run at a target.
package errs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request ran at a target.
type Verdict uint8

// The verdicts. VerdictMayHaveRun is the zero value, so that a failure which
// nobody has judged is never taken for proof that the request did not run.
const (
	// VerdictMayHaveRun: the request was handed to a target and its fate is
	// unknown. A non-idempotent request must not be sent again.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun: no target ran the request and none will.
	VerdictNotRun
	// VerdictRan: a target ran the request and its whole answer is at hand.
	VerdictRan
)

// String returns the form used in headers and logs, such as "not-run".
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictRan:
		return "ran"
	case VerdictMayHaveRun:
		return "may-have-run"
	}
	return "may-have-run"
}

// ParseVerdict reads the form that String writes. Any other text yields
// VerdictMayHaveRun and an error.
func ParseVerdict(text string) (Verdict, error) {
	for _, v := range []Verdict{VerdictMayHaveRun, VerdictNotRun, VerdictRan} {
		if text == v.String() {
			return v, nil
		}
	}
	return VerdictMayHaveRun, errors.Newf("verdict %q: want not-run, may-have-run or ran", text)
}

// Reason says in one word why a request was given up on. It is part of the
// callers' interface and a label of the metrics.
type Reason string

// The reasons.
const (
	ReasonBadRequest  Reason = "bad-request"
	ReasonNoService   Reason = "no-service"
	ReasonKeyMissing  Reason = "key-missing"
	ReasonKeyInvalid  Reason = "key-invalid"
	ReasonKeyExpired  Reason = "key-expired"
	ReasonKeyReused   Reason = "key-reused"
	ReasonKeysFull    Reason = "keys-full"
	ReasonNotKept     Reason = "answer-not-kept"
	ReasonNoTarget    Reason = "no-target"
	ReasonTargetBusy  Reason = "target-busy"
	ReasonRegionFull  Reason = "region-full"
	ReasonLinkFull    Reason = "link-full"
	ReasonDeadline    Reason = "deadline"
	ReasonLostKeeper  Reason = "lost-keeper"
	ReasonPeerFailed  Reason = "peer-failed"
	ReasonTargetError Reason = "target-failed"
	ReasonSilent      Reason = "target-silent"
	ReasonCutAnswer   Reason = "cut-answer"
	ReasonLostHome    Reason = "lost-home"
	ReasonNoWitness   Reason = "no-witness"
	ReasonStopping    Reason = "stopping"
	ReasonNotReady    Reason = "not-ready"
	ReasonCanceled    Reason = "canceled"
)

// Refusal is the final failure of a request: the verdict, the reason, a
// sentence for a person and how long to wait before asking again.
type Refusal struct {
	verdict  Verdict
	reason   Reason
	message  string
	comeBack time.Duration
}

// New makes a Refusal. comeBack is the time after which the caller should come
// back; zero means at once.
func New(verdict Verdict, reason Reason, comeBack time.Duration, format string, args ...any) *Refusal {
	return &Refusal{verdict: verdict, reason: reason, message: fmt.Sprintf(format, args...), comeBack: comeBack}
}

// NotRun makes a Refusal of a request that no target ran.
func NotRun(reason Reason, comeBack time.Duration, format string, args ...any) *Refusal {
	return New(VerdictNotRun, reason, comeBack, format, args...)
}

// MayHaveRun makes a Refusal of a request whose fate is unknown.
func MayHaveRun(reason Reason, format string, args ...any) *Refusal {
	return New(VerdictMayHaveRun, reason, 0, format, args...)
}

// Verdict returns whether the request may have run.
func (r *Refusal) Verdict() Verdict { return r.verdict }

// Reason returns why the request was given up on.
func (r *Refusal) Reason() Reason { return r.reason }

// Message returns the sentence for a person.
func (r *Refusal) Message() string { return r.message }

// ComeBack returns how long the caller should wait before asking again.
func (r *Refusal) ComeBack() time.Duration { return r.comeBack }

// Error returns the verdict, the reason and the message in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.verdict, r.reason, r.message)
}

// VerdictOf returns the verdict that err carries anywhere in its chain. An
// error that carries none is VerdictMayHaveRun, the safe answer.
func VerdictOf(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict()
	}
	return VerdictMayHaveRun
}

// AsRefusal returns the Refusal in the chain of err, or one with the verdict
// VerdictMayHaveRun that holds the text of err.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return MayHaveRun(ReasonPeerFailed, "%v", err)
}
