package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

// pipelined returns the bytes of one request without a body for each path. Their ids are p0,
// p1 and so on.
func pipelined(paths ...string) string {
	var requests strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: h.example\r\n%sp%d\r\n\r\n", path, fakes.RequestIDHeader, i)
	}
	return requests.String()
}

// expectAnswers reads the answers to n requests in order and returns their bodies.
func expectAnswers(t *testing.T, reader *bufio.Reader, n, status int) []string {
	t.Helper()
	bodies := make([]string, 0, n)
	for i := range n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(response.Body)
		if id := fmt.Sprintf("p%d", i); err != nil || response.StatusCode != status || fakes.RequestID(response.Header) != id {
			t.Fatalf("answer %d: status %d, id %q, error %v", i, response.StatusCode, fakes.RequestID(response.Header), err)
		}
		bodies = append(bodies, string(body))
	}
	return bodies
}

// TestPipelinedRunTogether guards against pipelined reads that run one after the other, and
// against a request that may run once running before its turn.
func TestPipelinedRunTogether(t *testing.T) {
	t.Parallel()
	const running = 300 * time.Millisecond
	for name, c := range map[string]struct {
		paths []string
		// early is how many requests run at first.
		early int
		limit time.Duration
	}{
		"reads":              {[]string{"/read/a", "/read/b", "/read/c", "/read/d"}, 4, 2 * running},
		"a write waits":      {[]string{"/read/a", "/write/b", "/read/c"}, 1, 4 * running},
		"a write comes last": {[]string{"/read/a", "/read/b", "/write/c"}, 2, 3 * running},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			var began atomic.Int64
			w.handleAll(func(_ *fakes.Target, _ http.ResponseWriter, r *http.Request) bool {
				began.Add(1)
				if r.URL.Path != "/read/b" {
					time.Sleep(running)
				}
				return false
			})
			conn := dial(t, w.address())
			start := time.Now()
			_, _ = io.WriteString(conn, pipelined(c.paths...))
			time.Sleep(running / 2)
			if n := began.Load(); n != int64(c.early) {
				t.Errorf("%d requests run at first, want %d", n, c.early)
			}
			expectAnswers(t, bufio.NewReader(conn), len(c.paths), http.StatusOK)
			if took := time.Since(start); took > c.limit {
				t.Errorf("the answers took %v", took)
			}
			for i := range c.paths {
				if runs := w.runs(fmt.Sprintf("p%d", i)); runs != 1 {
					t.Errorf("request %d ran %d times", i, runs)
				}
			}
		})
	}
}

// TestPipeliningClientLeaves guards against targets that go on working for a client that has
// left, and against running a write that nobody has read by then.
func TestPipeliningClientLeaves(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	var began, canceled atomic.Int64
	w.handleAll(func(_ *fakes.Target, _ http.ResponseWriter, r *http.Request) bool {
		began.Add(1)
		select {
		case <-r.Context().Done():
			canceled.Add(1)
		case <-time.After(3 * time.Second):
		}
		return true
	})
	conn := dial(t, w.address())
	_, _ = io.WriteString(conn, pipelined("/read/a", "/read/b", "/read/c", "/write/d"))
	eventually(t, time.Second, "three requests running", func() bool { return began.Load() == 3 })
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	eventually(t, 500*time.Millisecond, "three requests canceled", func() bool { return canceled.Load() == 3 })
	eventually(t, 500*time.Millisecond, "no request left", func() bool { return w.server.Dump().Running == 0 })
	if began.Load() != 3 {
		t.Errorf("%d requests ran", began.Load())
	}
}

// TestPipelinedLongAnswer guards against a long answer, which is streamed, that is cut off
// or mixed up with others because it is ready before its turn.
func TestPipelinedLongAnswer(t *testing.T) {
	t.Parallel()
	const length = 3 << 20
	w := newTestEnv(t)
	w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/read/b" {
			target.Respond(rw, r, http.StatusOK, strings.Repeat("b", length))
			return true
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
	conn := dial(t, w.address())
	_, _ = io.WriteString(conn, pipelined("/read/a", "/read/b", "/read/c"))
	bodies := expectAnswers(t, bufio.NewReader(conn), 3, http.StatusOK)
	if len(bodies[0]) != 5 || bodies[1] != strings.Repeat("b", length) || len(bodies[2]) != 5 {
		t.Errorf("answers of %d, %d and %d bytes", len(bodies[0]), len(bodies[1]), len(bodies[2]))
	}
}

// TestStopWithPipelined guards against requests that were started and are cut off by the
// shutdown, and against answers without a run or runs without an answer behind the last one.
func TestStopWithPipelined(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.handleAll(func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
		time.Sleep(400 * time.Millisecond)
		return false
	})
	conn := dial(t, w.address())
	_, _ = io.WriteString(conn, pipelined("/read/a", "/read/b", "/read/c"))
	eventually(t, time.Second, "three requests running", func() bool { return w.server.Dump().Running == 3 })
	w.stop()
	eventually(t, time.Second, "the shutdown", func() bool { return w.server.Dump().Leaving })
	_, _ = fmt.Fprintf(conn, "GET /read/d HTTP/1.1\r\nHost: h.example\r\n%sp3\r\n\r\n", fakes.RequestIDHeader)
	reader := bufio.NewReader(conn)
	expectAnswers(t, reader, 3, http.StatusOK)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil || w.runs("p3") != 0 {
		t.Errorf("behind the last answer: %q, %v; the request ran %d times", rest, err, w.runs("p3"))
	}
}
