package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	slowLength = 500 << 10
	// slowPause is how long a slow client reads nothing, and unreadMax how long a target
	// waits for an answer to be read before it cuts it off.
	slowPause = 3 * time.Second
	unreadMax = 2 * time.Second
)

// newSlowEnv starts an instance with the smallest memory and targets with long answers
// to /read/long, which they cut off if nothing of it is read for unreadMax.
func newSlowEnv(t *testing.T) (w *testEnv, cutOff *atomic.Int64) {
	t.Helper()
	const timeout = 20_000
	cutOff = &atomic.Int64{}
	config := strings.NewReplacer(`"max_connections":100`, `"max_connections":1000`, `"idempotent"`, `"download"`).Replace(fakes.Config(1, timeout))
	w = newTestEnvWith(t, fmt.Sprintf("limits.memory_mb=%d\ncontracts=pressure\n", smallestMemory/mebibyte), config)
	w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != "/read/long" {
			return false
		}
		target.CountRun(r)
		hijackWith(rw, func(conn io.Writer) {
			_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%sContent-Length: %d\r\n\r\n", fakes.RequestIDHeader, fakes.RequestID(r.Header), fakes.StampHeader, slowLength)
			block := make([]byte, 4<<10)
			for written := 0; written < slowLength; written += len(block) {
				_ = conn.(*net.TCPConn).SetWriteDeadline(time.Now().Add(unreadMax))
				if _, err := conn.Write(block); err != nil {
					cutOff.Add(1)
					return
				}
			}
		})
		return true
	})
	return w, cutOff
}

// askSlowly sends a request for a long answer over a connection with a small receive
// buffer and reads nothing of the answer.
func askSlowly(t *testing.T, w *testEnv, id string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			// With the segment size of loopback, the kernel would buffer the whole
			// answer on the side that sends.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", w.address())
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "GET /read/long HTTP/1.1\r\nHost: h.example\r\n%s%s\r\n\r\n", fakes.RequestIDHeader, id)
	return conn
}

// isWhole reads an answer and reports whether it is whole.
func isWhole(conn net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	return err == nil && n == slowLength && response.StatusCode == http.StatusOK
}

// TestSlowReaders lets clients read nothing of long answers for some seconds. It guards
// against buffers beyond the budget, against a budget that is spent on parts of answers
// so that none of them is whole, against other requests that are refused or slow
// meanwhile, and against targets that cut off answers for which there is room.
func TestSlowReaders(t *testing.T) {
	tests := map[string]struct{ clients, wholeMin, cutOffMax int }{
		"all fit": {20, 20, 0},
		// 68 answers may be streamed at a time, and a few more have been sent to targets
		// when that many are.
		"more than can fit": {300, 25, 80},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, cutOff := newSlowEnv(t)
			stopWatching := watchMemory(t)
			var whole atomic.Int64
			var asking conc.WaitGroup
			for i := range test.clients {
				asking.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(test.clients))
					if conn := askSlowly(t, w, fmt.Sprintf("s%d", i)); conn != nil {
						time.Sleep(slowPause)
						if isWhole(conn) {
							whole.Add(1)
						}
					}
				})
			}
			const settle, pause, usual = 500 * time.Millisecond, 20 * time.Millisecond, 400 * time.Millisecond
			time.Sleep(settle)
			body := strings.Repeat("x", 100<<10)
			for i, began := 0, time.Now(); time.Since(began) < slowPause-2*settle; i++ {
				if dump := w.server.Dump(); dump.HeldBytes > dump.HeldBytesMax {
					t.Errorf("%d bytes are held, at most %d may be", dump.HeldBytes, dump.HeldBytesMax)
				}
				r, err := fakes.NewRequest(t.Context(), "POST", w.address(), "/write/x", fmt.Sprintf("o%d", i), "", body, 2000)
				if err != nil {
					t.Fatal(err)
				}
				sent := time.Now()
				response, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if took := time.Since(sent); response.StatusCode != http.StatusOK || took > usual {
					t.Errorf("another request got status %d after %v", response.StatusCode, took)
				}
				time.Sleep(pause)
			}
			asking.Wait()
			stopWatching()
			t.Logf("%d of %d answers are whole, %d cut off", whole.Load(), test.clients, cutOff.Load())
			if int(whole.Load()) < test.wholeMin || int(cutOff.Load()) > test.cutOffMax {
				t.Errorf("%d of %d answers are whole and %d cut off; want %d or more, and %d or less", whole.Load(), test.clients, cutOff.Load(), test.wholeMin, test.cutOffMax)
			}
			eventually(t, 2*time.Second, "all buffers released", func() bool { return w.server.Dump().HeldBytes == 0 })
		})
	}
}

// TestSlowReaderLeaves guards against buffers that stay taken when clients disconnect
// before they have read their answers.
func TestSlowReaderLeaves(t *testing.T) {
	const clients = 20
	w, _ := newSlowEnv(t)
	conns := make([]net.Conn, 0, clients)
	for i := range clients {
		conns = append(conns, askSlowly(t, w, fmt.Sprintf("s%d", i)))
	}
	eventually(t, 2*time.Second, "answers held", func() bool { return w.server.Dump().HeldBytes > clients/2*slowLength })
	for _, conn := range conns {
		_ = conn.Close()
	}
	eventually(t, time.Second, "all buffers released", func() bool { return w.server.Dump().HeldBytes == 0 })
}
