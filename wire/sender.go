package wire

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	sendQueueFrames = 256
	sendBufferBytes = 64 << 10
)

// sender writes the frames of one connection from one goroutine, so that a
// call whose context ends is never held up by a peer that does not read. Frames
// that queue up meanwhile go out in one write.
type sender struct {
	conn  net.Conn
	queue chan []byte
	done  chan struct{}
}

func newSender(conn net.Conn) *sender {
	return &sender{conn: conn, queue: make(chan []byte, sendQueueFrames), done: make(chan struct{})}
}

// send queues one message. An error says that nothing was or will be sent and
// holds ErrNotSent; it holds ErrFrame too if the message itself is at fault.
func (s *sender) send(ctx context.Context, flags byte, call uint64, message Message) error {
	out, err := encode(flags, call, message)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	select {
	case <-s.done:
		return errors.Mark(errors.Wrap(ErrClosed, "send"), ErrNotSent)
	default:
	}
	// Room in the queue counts for more than a context that has just ended:
	// otherwise a Cancel might be dropped by chance.
	select {
	case s.queue <- out:
		return nil
	default:
	}
	select {
	case s.queue <- out:
		return nil
	case <-s.done:
		return errors.Mark(errors.Wrap(ErrClosed, "send"), ErrNotSent)
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "wait to send"), ErrNotSent)
	}
}

// run writes what is queued until stop is called or a write fails.
func (s *sender) run() error {
	writer := bufio.NewWriterSize(s.conn, sendBufferBytes)
	for {
		select {
		case out := <-s.queue:
			if err := s.write(writer, out); err != nil {
				return err
			}
		case <-s.done:
			return nil
		}
	}
}

func (s *sender) write(writer *bufio.Writer, out []byte) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(FrameTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of a write")
	}
	for {
		if _, err := writer.Write(out); err != nil {
			return errors.Wrap(err, "write a frame")
		}
		select {
		case out = <-s.queue:
		default:
			return errors.Wrap(writer.Flush(), "write a frame")
		}
	}
}

func encode(flags byte, call uint64, message Message) ([]byte, error) {
	packed, err := pack(message)
	if err != nil {
		return nil, errors.Mark(err, ErrFrame)
	}
	out := make([]byte, 0, frameLenBytes+frameHeadBytes+len(packed))
	return appendFrame(out, frame{kind: message.kind(), flags: flags, call: call, packed: packed})
}

// writeNow writes one message directly, before the sender runs.
func writeNow(conn net.Conn, flags byte, call uint64, message Message) error {
	out, err := encode(flags, call, message)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(FrameTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of a write")
	}
	_, err = conn.Write(out)
	return errors.Wrap(err, "write a frame")
}
