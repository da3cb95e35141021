package sender_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
)

// TestResetDuringUpload guards against a part of an answer that is taken for a whole one.
// The target answers a long upload at once, without a length, and ends the connection
// while the upload is still being written. Only a connection that isn't reset ends an
// answer.
func TestResetDuringUpload(t *testing.T) {
	const (
		rounds = 30
		pause  = 5 * time.Millisecond
	)
	head := "HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": r1\r\n\r\n"
	for name, c := range map[string]struct {
		// uploadBytes and answerBytes are the lengths of the bodies.
		uploadBytes, answerBytes int
		end                      func(conn *net.TCPConn)
		// want is the status, 0 if the answer must be rejected.
		want int
	}{
		"reset":                     {uploadBytes: 32 << 20, answerBytes: 4, end: reset},
		"reset, long answer":        {uploadBytes: 32 << 20, answerBytes: 3 << 20, end: reset},
		"closed with unread bytes":  {uploadBytes: 32 << 20, answerBytes: 4, end: func(conn *net.TCPConn) { _ = conn.Close() }},
		"reset, short upload":       {uploadBytes: 16 << 10, answerBytes: 4, end: reset},
		"closed, upload not read":   {uploadBytes: 32 << 20, answerBytes: 4, end: closeWrite, want: http.StatusOK},
		"closed, upload read":       {uploadBytes: 32 << 20, answerBytes: 4, end: closeAndRead, want: http.StatusOK},
		"closed, read, long answer": {uploadBytes: 32 << 20, answerBytes: 900 << 10, end: closeAndRead, want: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := bytes.Repeat([]byte("x"), c.answerBytes)
			address := serveConns(t, func(conn *net.TCPConn) {
				_, _ = io.ReadFull(conn, make([]byte, 1<<10))
				_, _ = io.WriteString(conn, head)
				_, _ = conn.Write(body)
				time.Sleep(pause)
				c.end(conn)
			})
			upload := make([]byte, c.uploadBytes)
			for range rounds {
				client := sender.New("t1", address, 1, sender.DialTCP)
				var streamed bytes.Buffer
				for kind, request := range requestKinds() {
					request = request.WithAnswerBytesMax(16<<20).WithHeadersAndBody(request.Headers(), upload).WithOverflow(nil, func(sender.Answer) (io.Writer, error) { return &streamed, nil })
					answer, err := client.Do(t.Context(), request)
					checkRejected(t, kind, answer, err, c.want, string(body))
				}
				client.Close()
			}
		})
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite ends the answer and leaves the upload unread for as long as a client takes to
// notice the end.
func closeWrite(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(200 * time.Millisecond)
	reset(conn)
}

func closeAndRead(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// serveConns serves each connection at an address by the function, with no HTTP library in
// between.
func serveConns(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving conc.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn.(*net.TCPConn)) })
		}
	})
	return listener.Addr().String()
}

// TestWriteGetsTheError lets the write of a request get the error that ended the
// connection, so that reading the answer sees a regular end. The lengths are of uploads that
// are written before the answer is read and beside it, and of answers that are buffered and
// streamed.
func TestWriteGetsTheError(t *testing.T) {
	for name, writeErr := range map[string]error{"reset": syscall.ECONNRESET, "silent": syscall.ETIMEDOUT, "reset after a close": syscall.EPIPE} {
		t.Run(name, func(t *testing.T) {
			for _, answerBytes := range []int{4, 3 << 20} {
				answer := "HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": r1\r\n\r\n" + strings.Repeat("x", answerBytes)
				dial := func(context.Context, string, time.Duration) (net.Conn, error) {
					return &brokenConn{answer: strings.NewReader(answer), writeErr: writeErr}, nil
				}
				for _, uploadBytes := range []int{8 << 10, 8<<10 + 1, 1 << 20} {
					client := sender.New("t1", "127.0.0.1:1", 1, dial)
					for kind, request := range requestKinds() {
						request = request.WithAnswerBytesMax(16<<20).WithHeadersAndBody(request.Headers(), make([]byte, uploadBytes)).WithOverflow(nil, func(sender.Answer) (io.Writer, error) { return io.Discard, nil })
						got, err := client.Do(t.Context(), request)
						if err == nil || errs.VerdictOf(err) != errs.VerdictMayHaveRun {
							t.Errorf("%s, upload of %d bytes, answer of %d: status %d, error %v; want an error that says that the request may have run", kind, uploadBytes, answerBytes, got.Status(), err)
						}
					}
					client.Close()
				}
			}
		})
	}
}

// brokenConn is a connection that takes the first write, fails the next one, and returns
// the answer and a regular end to reads.
type brokenConn struct {
	net.Conn
	answer   *strings.Reader
	writeErr error
	writes   int
}

func (c *brokenConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes > 1 {
		return 0, c.writeErr
	}
	return len(data), nil
}

func (c *brokenConn) Read(data []byte) (int, error)    { return c.answer.Read(data) }
func (c *brokenConn) Close() error                     { return nil }
func (c *brokenConn) SetDeadline(time.Time) error      { return nil }
func (c *brokenConn) SetReadDeadline(time.Time) error  { return nil }
func (c *brokenConn) SetWriteDeadline(time.Time) error { return nil }
