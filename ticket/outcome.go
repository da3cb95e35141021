package ticket

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/errs"
)

// Digest is a hash that detects the reuse of a key for a different request. It
// catches mistakes; a caller can construct collisions on purpose.
type Digest uint64

// NewDigest returns the digest of a request's service, method, path and body.
func NewDigest(service, method, path string, body []byte) Digest {
	hash := xxhash.New()
	var length [wordBytes]byte
	for _, field := range []string{service, method, path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(field)
	}
	_, _ = hash.Write(body)
	return Digest(hash.Sum64())
}

// Outcome is the final result of a request: an encoded answer or a refusal.
type Outcome struct {
	answer  []byte
	refusal *errs.Refusal
}

// Answered returns the outcome of a request that got a complete answer. packed
// is the encoded answer.
func Answered(packed []byte) Outcome { return Outcome{answer: packed} }

// Refused returns the outcome of a request that failed.
func Refused(refusal *errs.Refusal) Outcome { return Outcome{refusal: refusal} }

// OutcomeOf returns the outcome for the encoded answer or, if err is not nil,
// the error of a run.
func OutcomeOf(packed []byte, err error) Outcome {
	if err != nil {
		return Refused(errs.AsRefusal(err))
	}
	return Answered(packed)
}

// Answer returns the encoded answer, or nil if the request was refused.
func (o Outcome) Answer() []byte { return o.answer }

// Refusal returns the refusal, or nil if there is an answer.
func (o Outcome) Refusal() *errs.Refusal { return o.refusal }

// Result returns the encoded answer, or the refusal as an error.
func (o Outcome) Result() ([]byte, error) {
	if o.refusal != nil {
		return nil, o.refusal
	}
	return o.answer, nil
}

// notRun reports whether the request did not run.
func (o Outcome) notRun() bool {
	return o.refusal != nil && o.refusal.Verdict() == errs.VerdictNotRun
}

// forStorage returns the outcome to keep for repeats of the request: an answer
// of more than bytesMax bytes is replaced by a refusal.
func (o Outcome) forStorage(bytesMax int64) Outcome {
	if int64(len(o.answer)) <= bytesMax {
		return o
	}
	return Refused(errs.MayHaveRun(errs.ReasonAnswerNotKept, "the request ran, but its answer of %d bytes was too large to keep for a repeat", len(o.answer)))
}

// refused returns a step that refuses the request with the verdict "not run".
func refused(reason errs.Reason, text string) StepDone {
	return StepDone{outcome: Refused(errs.NotRun(reason, 0, "%s", text))}
}
