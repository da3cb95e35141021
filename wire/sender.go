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

// frameWriter writes the frames of one connection in a goroutine of its own, so
// that a peer that doesn't read can't block a call beyond the end of its context.
// Frames that are queued during a write are batched.
type frameWriter struct {
	conn  net.Conn
	queue chan []byte
	done  chan struct{}
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, queue: make(chan []byte, sendQueueFrames), done: make(chan struct{})}
}

// send queues a message. An error means that nothing was or will be sent: it
// holds ErrNotSent in its chain, and also ErrProtocol if the message can't be
// encoded or is too large.
func (w *frameWriter) send(ctx context.Context, flags byte, call uint64, message Message) error {
	out, err := encode(flags, call, message)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	select {
	case <-w.done:
		return errors.Mark(errors.Wrap(ErrClosed, "send"), ErrNotSent)
	default:
	}
	// Use free space in the queue even if ctx has ended: select picks randomly
	// among ready cases, so a single select could drop a Cancel.
	select {
	case w.queue <- out:
		return nil
	default:
	}
	select {
	case w.queue <- out:
		return nil
	case <-w.done:
		return errors.Mark(errors.Wrap(ErrClosed, "send"), ErrNotSent)
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "wait for space in the send queue"), ErrNotSent)
	}
}

// run writes the queued frames until done is closed or a write fails.
func (w *frameWriter) run() error {
	writer := bufio.NewWriterSize(w.conn, sendBufferBytes)
	for {
		select {
		case out := <-w.queue:
			if err := w.write(writer, out); err != nil {
				return err
			}
		case <-w.done:
			return nil
		}
	}
}

func (w *frameWriter) write(writer *bufio.Writer, out []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(FrameTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of a write")
	}
	for {
		if _, err := writer.Write(out); err != nil {
			return errors.Wrap(err, "write a frame")
		}
		select {
		case out = <-w.queue:
		default:
			return errors.Wrap(writer.Flush(), "write a frame")
		}
	}
}

func encode(flags byte, call uint64, message Message) ([]byte, error) {
	payload, err := marshal(message)
	if err != nil {
		return nil, errors.Mark(err, ErrProtocol)
	}
	out := make([]byte, 0, frameLengthBytes+frameHeaderBytes+len(payload))
	return appendFrame(out, frame{kind: message.kind(), flags: flags, call: call, payload: payload})
}

// writeNow writes a message directly to conn. It is for the handshake, before the
// frameWriter runs.
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
