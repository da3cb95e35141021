// Package errs defines the errors of the request path. Each carries a Verdict
// that tells the caller whether the request may have run at a target, and so
// whether it is safe to send it again.
package errs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request ran at a target.
type Verdict uint8

// The verdicts. VerdictMayHaveRun is the zero value, so that an error without an
// explicit verdict never counts as proof that the request did not run.
const (
	// VerdictMayHaveRun means that the request was passed to a target and its
	// outcome is unknown. A non-idempotent request must not be sent again.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun means that no target ran the request and none will.
	VerdictNotRun
	// VerdictRan means that a target ran the request and its complete answer was
	// received.
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

// ParseVerdict parses the form that String returns. For any other text it
// returns VerdictMayHaveRun and an error.
func ParseVerdict(text string) (Verdict, error) {
	for _, v := range []Verdict{VerdictMayHaveRun, VerdictNotRun, VerdictRan} {
		if text == v.String() {
			return v, nil
		}
	}
	return VerdictMayHaveRun, errors.Newf("verdict %q: want not-run, may-have-run or ran", text)
}

// Reason is the machine-readable cause of a refusal. It is part of the callers'
// interface and a label of the metrics.
type Reason string

// The reasons. docs/OPERATORS.md describes each.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonNoService     Reason = "no-service"
	ReasonKeyMissing    Reason = "key-missing"
	ReasonKeyInvalid    Reason = "key-invalid"
	ReasonKeyExpired    Reason = "key-expired"
	ReasonKeyReused     Reason = "key-reused"
	ReasonKeysFull      Reason = "keys-full"
	ReasonAnswerNotKept Reason = "answer-not-kept"
	ReasonNoTarget      Reason = "no-target"
	ReasonTargetBusy    Reason = "target-busy"
	ReasonRegionFull    Reason = "region-full"
	ReasonLinkFull      Reason = "link-full"
	ReasonDeadline      Reason = "deadline"
	ReasonLostKeeper    Reason = "lost-keeper"
	ReasonPeerFailed    Reason = "peer-failed"
	ReasonTargetFailed  Reason = "target-failed"
	ReasonTargetSilent  Reason = "target-silent"
	ReasonCutAnswer     Reason = "cut-answer"
	ReasonLostHome      Reason = "lost-home"
	ReasonNoWitness     Reason = "no-witness"
	ReasonStopping      Reason = "stopping"
	ReasonNotReady      Reason = "not-ready"
	ReasonQuarantined   Reason = "quarantined"
	ReasonCanceled      Reason = "canceled"
	ReasonUnauthorized  Reason = "unauthorized"
	ReasonQuota         Reason = "quota"
)

// Refusal is the error with which a request finally fails: the verdict, the
// reason, a message for people and the time to wait before retrying.
type Refusal struct {
	verdict    Verdict
	reason     Reason
	message    string
	retryAfter time.Duration
}

// New returns a Refusal. retryAfter is how long the caller should wait before
// retrying; 0 means that it may retry at once.
func New(verdict Verdict, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{verdict: verdict, reason: reason, message: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// NotRun returns a Refusal of a request that no target ran.
func NotRun(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return New(VerdictNotRun, reason, retryAfter, format, args...)
}

// MayHaveRun returns a Refusal of a request that a target may have run.
func MayHaveRun(reason Reason, format string, args ...any) *Refusal {
	return New(VerdictMayHaveRun, reason, 0, format, args...)
}

// Verdict returns whether the request may have run.
func (r *Refusal) Verdict() Verdict { return r.verdict }

// Reason returns the cause of the refusal.
func (r *Refusal) Reason() Reason { return r.reason }

// Message returns the message for people.
func (r *Refusal) Message() string { return r.message }

// RetryAfter returns how long the caller should wait before retrying.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the verdict, the reason and the message in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.verdict, r.reason, r.message)
}

// VerdictOf returns the verdict of the first Refusal in the chain of err. Without
// one it returns VerdictMayHaveRun, the safe assumption.
func VerdictOf(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict()
	}
	return VerdictMayHaveRun
}

// AsRefusal returns the first Refusal in the chain of err. Without one it returns
// a new Refusal with the verdict VerdictMayHaveRun, the reason ReasonPeerFailed
// and the text of err.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return MayHaveRun(ReasonPeerFailed, "%v", err)
}
