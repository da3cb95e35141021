package front

import (
	"io"
	"net/http"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/sender"
)

const (
	// reserveDivisor is the divisor of the bytes for bodies that gives the part which
	// answers leave to the bodies of requests, so that clients that read slowly can't
	// make the instance refuse other requests.
	reserveDivisor = 8
	// bufferedWriteTimeout is how long a client may take for a buffered answer. Without
	// a limit a client that reads nothing would keep the buffer until it disconnects.
	// Clients wait for an answer for a few seconds.
	bufferedWriteTimeout = 10 * time.Second
	// bytesPerStream is the number of bytes for bodies for which one answer may be
	// streamed at a time, and streamsMin the number that always may. A streamed answer
	// takes about 50 KiB of buffers that aren't counted, and as much in the kernel.
	bytesPerStream = 256 << 10
	streamsMin     = 16
)

// answerShare returns the share of the memory for bodies that an answer may take.
func (s *Server) answerShare(q *request) *hold.Share {
	if !s.underPressure() {
		return q.share
	}
	return q.share.Leaving(s.held.Limit() / reserveDivisor)
}

// streamTo starts to pass on the answer to an attempt as the client reads it. A client
// that reads slowly must not make the target look slow and loaded.
func (s *Server) streamTo(w http.ResponseWriter, q *request, attempt *pick.Attempt, head sender.Answer) (io.Writer, error) {
	writer, err := s.startStream(w, q, head)
	if err != nil {
		return nil, err
	}
	s.streams.Add(1)
	if s.underPressure() {
		attempt.Streaming(s.now())
	}
	return writer, nil
}

// endStream records that an answer, if it was streamed, has come to its end.
func (s *Server) endStream(answer sender.Answer) {
	if answer.Streamed() {
		s.streams.Add(-1)
	}
}

// hasRoomForAnswer reports whether there is room for the answer to a request on a route
// with large answers; if not, it has refused the request. While many answers are
// streamed, the clients read slowly and the memory for answers is in use, so that a
// target would probably cut off one more.
func (s *Server) hasRoomForAnswer(w http.ResponseWriter, q *request) bool {
	streams := s.streams.Load()
	if !s.underPressure() || !q.route.Download() || streams < max(s.held.Limit()/bytesPerStream, streamsMin) {
		return true
	}
	s.writeRefusal(w, q, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "%d clients read their answers slowly, and there is no memory for more", streams))
	return false
}

// limitWrite limits the time in which a client may take a buffered answer. Answers that
// the socket buffers take at once need no limit.
func (s *Server) limitWrite(w http.ResponseWriter, a sender.Answer) {
	if !s.underPressure() || len(a.Body()) <= bodyBytesFree {
		return
	}
	if err := http.NewResponseController(w).SetWriteDeadline(s.now().Add(bufferedWriteTimeout)); err != nil {
		s.log.WithError(err).Debug("Limiting the time of an answer failed.")
	}
}
