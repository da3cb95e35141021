package front

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/sender"
)

const (
	// heldDivisor is the divisor of the process's memory that gives the bytes of
	// bodies that it may buffer at once. The garbage collector may keep several
	// times as much allocated.
	heldDivisor = 8
	// heldBytesDefault is that number if the settings don't state the memory.
	heldBytesDefault = 64 << 20
	// bodyBytesFree is how much of a request's body is buffered without counting
	// it.
	bodyBytesFree = 4 << 10
	// streamWriteSlack is how long after the deadline of a request the client may
	// still take bytes of a streamed answer.
	streamWriteSlack = 250 * time.Millisecond
)

// heldBytes returns how many bytes of bodies a process with the given memory may
// buffer at once.
func heldBytes(memory int64) int64 {
	if memory <= 0 {
		return heldBytesDefault
	}
	return memory / heldDivisor
}

// RuntimeMemoryLimit returns the memory limit of the Go runtime, in bytes, for a process with
// the given memory. Near it the runtime collects garbage as often as it needs to.
func RuntimeMemoryLimit(memory int64) int64 { return memory / 10 * 7 }

// errBodyTooLong and errNoRoom are the reasons why a request's body isn't read.
var (
	errBodyTooLong = errors.New("the body is too long")
	errNoRoom      = errors.New("the bodies of other requests take up the memory")
)

// readAll reads a request's body of up to limit bytes.
func readAll(r *http.Request, share *hold.Share, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, errBodyTooLong
	}
	body, whole, err := hold.ReadAll(r.Body, share, r.ContentLength, limit+1, bodyBytesFree)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read the body")
	case len(body) > limit:
		return nil, errBodyTooLong
	case !whole:
		return nil, errNoRoom
	}
	return body, nil
}

// startStream writes the head of a target's answer that is too long to be
// buffered, and returns the writer of its body. From then on the request can't
// be retried.
func (s *Server) startStream(w http.ResponseWriter, q *request, head sender.Answer) (io.Writer, error) {
	if err := platform.CheckResponse(head); err != nil {
		return nil, errors.Wrap(err, "check the answer")
	}
	if !q.http.ProtoAtLeast(1, 1) {
		return nil, errors.Newf("the answer is too long for a client with %s, which can't detect a truncated one", q.http.Proto)
	}
	if err := http.NewResponseController(w).SetWriteDeadline(q.answerDeadline.Add(streamWriteSlack)); err != nil {
		return nil, errors.Wrap(err, "limit the time of the answer")
	}
	s.stats.streamed.Inc()
	writeHead(w, head)
	return w, nil
}

// finishStream ends a streamed answer, whose head is already written.
func (s *Server) finishStream(q *request, a sender.Answer, err error) {
	if err != nil {
		s.recordRefusal(q, answerBroken, err)
		abortStream()
	}
	s.recordAnswer(q, a.Status())
}

// abortStream ends the connection of a client that got only a part of an answer,
// so that the answer doesn't look complete.
func abortStream() { panic(http.ErrAbortHandler) }
