package ticket

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/errs"
)

// Digest tells the requests that bear one key apart. It finds mistakes; it is
// no protection against a caller who wants two requests to look alike.
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

// Outcome is what finally became of a request: a packed answer, or a refusal.
type Outcome struct {
	answer  []byte
	refusal *errs.Refusal
}

// Answered is the outcome of a request whose whole answer is at hand, packed.
func Answered(packed []byte) Outcome { return Outcome{answer: packed} }

// Refused is the outcome of a request that failed.
func Refused(refusal *errs.Refusal) Outcome { return Outcome{refusal: refusal} }

// OutcomeOf joins the two results of a run.
func OutcomeOf(packed []byte, err error) Outcome {
	if err != nil {
		return Refused(errs.AsRefusal(err))
	}
	return Answered(packed)
}

// Answer returns the packed answer, or nil if the request was refused.
func (o Outcome) Answer() []byte { return o.answer }

// Refusal returns the refusal, or nil if there is an answer.
func (o Outcome) Refusal() *errs.Refusal { return o.refusal }

// Result returns the two parts of the outcome as a run returns them.
func (o Outcome) Result() ([]byte, error) {
	if o.refusal != nil {
		return nil, o.refusal
	}
	return o.answer, nil
}

// notRun tells whether the outcome says that the request did not run.
func (o Outcome) notRun() bool {
	return o.refusal != nil && o.refusal.Verdict() == errs.VerdictNotRun
}

// kept returns the form of the outcome that is kept for repeats: an answer of
// more than bytesMax is replaced by a refusal.
func (o Outcome) kept(bytesMax int64) Outcome {
	if int64(len(o.answer)) <= bytesMax {
		return o
	}
	return Refused(errs.MayHaveRun(errs.ReasonNotKept, "the request ran, but its answer of %d bytes was too large to keep for a repeat", len(o.answer)))
}

func refused(reason errs.Reason, text string) StepDone {
	return StepDone{outcome: Refused(errs.NotRun(reason, 0, "%s", text))}
}
