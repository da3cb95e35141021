package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	mebibyte = 1 << 20
	// smallestMemory is the memory of the smallest instances.
	smallestMemory = 136 * mebibyte
)

// writeLong writes count bytes of a fixed pattern, or until the connection fails.
func writeLong(w io.Writer, count int) {
	block := []byte(strings.Repeat("0123456789abcdef", 2048))
	for count > 0 {
		n, err := w.Write(block[:min(count, len(block))])
		if err != nil {
			return
		}
		count -= n
	}
}

// TestAnswerBreaksOff lets targets break off an answer. The client must never get
// what looks like a whole answer. A request whose client got a part of the answer
// must not be sent to another target. The lengths are below and above what an
// instance buffers.
func TestAnswerBreaksOff(t *testing.T) {
	lengths := map[string]int{"buffered": 20_000, "streamed": 3 * mebibyte}
	heads := map[string]struct{ head, end string }{
		"with a length":                  {"Content-Length: 9000000\r\n\r\n", ""},
		"chunked":                        {"Transfer-Encoding: chunked\r\n\r\n", "\r\n5\r\nab"},
		"chunked, at the end of a chunk": {"Transfer-Encoding: chunked\r\n\r\n", "\r\n"},
		"chunked, before the last line":  {"Transfer-Encoding: chunked\r\n\r\n", "\r\n0\r\n"},
	}
	for lengthName, length := range lengths {
		for name, test := range heads {
			t.Run(lengthName+", "+name, func(t *testing.T) {
				t.Parallel()
				w := newTestEnv(t)
				w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
					target.CountRun(r)
					conn, _, err := rw.(http.Hijacker).Hijack()
					if err != nil {
						return true
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fakes.RequestIDHeader+fakes.RequestID(r.Header)+"\r\n"+fakes.StampHeader+test.head)
					if strings.HasPrefix(name, "chunked") {
						_, _ = fmt.Fprintf(conn, "%x\r\n", length)
					}
					writeLong(conn, length)
					_, _ = io.WriteString(conn, test.end)
					_ = conn.Close()
					return true
				})
				for path, runs := range map[string]int{"/write/x": 1, "/read/x": 2} {
					if lengthName == "streamed" {
						runs = 1
					}
					id := "r" + path[1:2]
					got := w.do(t, "POST", path, id)
					if got.status == http.StatusOK || w.runs(id) != runs {
						t.Errorf("%s: status %d with %d bytes, %d runs; want no success, %d runs", path, got.status, len(got.body), w.runs(id), runs)
					}
				}
			})
		}
	}
}

// TestOldClient checks that a client with HTTP/1.0, which can't tell a truncated
// answer of unknown length from a whole one, gets no part of a long answer.
func TestOldClient(t *testing.T) {
	w := newTestEnv(t)
	w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		target.CountRun(r)
		hijackWith(rw, func(conn io.Writer) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fakes.RequestIDHeader+fakes.RequestID(r.Header)+"\r\n"+fakes.StampHeader+"Transfer-Encoding: chunked\r\n\r\n")
			_, _ = fmt.Fprintf(conn, "%x\r\n", 3*mebibyte)
			writeLong(conn, 3*mebibyte)
		})
		return true
	})
	conn := dial(t, w.address())
	_, _ = io.WriteString(conn, "POST /write/x HTTP/1.0\r\nHost: h.example\r\n"+fakes.RequestIDHeader+"r1\r\nContent-Length: 0\r\n\r\n")
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.0 502") {
		t.Errorf("the answer begins with %.40q, error %v; want status 502", answer, err)
	}
}

// TestLongAnswers sends answers of 64 MiB to a hundred clients, most of which read
// slowly, at an instance with the smallest memory. All buffers of the process, the
// clients and targets included, must fit into it.
func TestLongAnswers(t *testing.T) {
	const (
		length    = 64 * mebibyte
		slow      = 95
		quick     = 5
		slowBytes = 256 << 10
		timeout   = 20_000
	)
	w := newTestEnvWith(t, fmt.Sprintf("limits.memory_mb=%d\n", smallestMemory/mebibyte), fakes.Config(1, timeout))
	w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		target.CountRun(r)
		hijackWith(rw, func(conn io.Writer) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%sContent-Length: %d\r\n\r\n", fakes.RequestIDHeader, fakes.RequestID(r.Header), fakes.StampHeader, length)
			writeLong(conn, length)
		})
		return true
	})
	stopWatching := watchMemory(t)
	var asking conc.WaitGroup
	for i := range slow + quick {
		asking.Go(func() {
			id := fmt.Sprintf("r%d", i)
			r, err := fakes.NewRequest(t.Context(), "POST", w.address(), "/read/x", id, "", "", timeout)
			if err != nil {
				t.Error(err)
				return
			}
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Errorf("request %s: %v", id, err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			if i < slow {
				for range 10 {
					_, _ = io.CopyN(io.Discard, response.Body, slowBytes/10)
					time.Sleep(100 * time.Millisecond)
				}
				return
			}
			if n, err := io.Copy(io.Discard, response.Body); err != nil || n != length {
				t.Errorf("request %s: %d bytes, error %v; want %d", id, n, err, length)
			}
		})
	}
	asking.Wait()
	stopWatching()
	eventually(t, 2*time.Second, "all buffers released", func() bool { return w.server.Dump().HeldBytes == 0 })
}

// TestAnswerAfterStream sends a streamed answer and a short one on one connection.
// The time limit of the first must not end the second, which comes after it.
func TestAnswerAfterStream(t *testing.T) {
	const length, timeout = 3 * mebibyte, 300
	w := newTestEnvWith(t, "", fakes.Config(1, timeout))
	w.handleAll(func(_ *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		if fakes.RequestID(r.Header) != "r0" {
			return false
		}
		hijackWith(rw, func(conn io.Writer) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%sContent-Length: %d\r\n\r\n", fakes.RequestIDHeader, fakes.RequestID(r.Header), fakes.StampHeader, length)
			writeLong(conn, length)
		})
		return true
	})
	conn := dial(t, w.address())
	reader := bufio.NewReader(conn)
	for i, want := range []int64{length, int64(len("whole"))} {
		_, _ = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: h.example\r\n%sr%d\r\n\r\n", fakes.RequestIDHeader, i)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil || n != want || response.Close {
			t.Errorf("request %d: %d bytes, error %v, the connection closes: %v", i, n, err, response.Close)
		}
		time.Sleep(3 * timeout * time.Millisecond)
	}
}

// TestEndlessAnswers lets one of two targets send bytes without end, in the head
// or in the body, to a hundred requests at once. Each attempt must end, and good
// requests beside them must be answered.
func TestEndlessAnswers(t *testing.T) {
	const (
		requests = 100
		timeout  = 5000
		endless  = 1 << 40
	)
	tests := map[string]struct {
		head string
		part func(io.Writer) error
	}{
		"status line":         {"", writeText(strings.Repeat("x", 1000))},
		"one header":          {"HTTP/1.1 200 OK\r\nX-Long: ", writeText(strings.Repeat("x", 1000))},
		"headers":             {"HTTP/1.1 200 OK\r\n", writeText(strings.Repeat("X-More: x\r\n", 100))},
		"interim answers":     {"", writeText(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100))},
		"chunks":              {"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n", writeText("3e8\r\n" + strings.Repeat("x", 1000) + "\r\n")},
		"slow chunks":         {"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", 1000), writeSlowly("1\r\nx\r\n")},
		"chunk extension":     {"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n3e8;", writeText(strings.Repeat("x", 1000))},
		"trailer":             {"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n0\r\n", writeText(strings.Repeat("X-More: x\r\n", 100))},
		"no length":           {"HTTP/1.1 200 OK\r\nHEAD\r\n", writeText(strings.Repeat("x", 1000))},
		"no stamp, no length": {"HTTP/1.1 200 OK\r\nID\r\n", writeText(strings.Repeat("x", 1000))},
		"another request's":   {"HTTP/1.1 200 OK\r\n" + fakes.RequestIDHeader + "other\r\n\r\n", writeText(strings.Repeat("x", 1000))},
		"no HTTP":             {"\x00\x01", writeText(strings.Repeat("\xff", 1000))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvWith(t, fmt.Sprintf("limits.memory_mb=%d\n", smallestMemory/mebibyte), fakes.Config(1, timeout))
			w.targets[0].SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
				id := fakes.RequestIDHeader + fakes.RequestID(r.Header) + "\r\n"
				head := strings.NewReplacer("HEAD", id+fakes.StampHeader, "ID\r\n", id).Replace(test.head)
				w.targets[0].CountRun(r)
				hijackWith(rw, func(conn io.Writer) {
					if _, err := io.WriteString(conn, head); err != nil {
						return
					}
					for range endless {
						if test.part(conn) != nil {
							return
						}
					}
				})
				return true
			})
			stopWatching := watchMemory(t)
			var asking conc.WaitGroup
			for i := range requests {
				asking.Go(func() {
					if status, body, err := doDiscard(t, w, fmt.Sprintf("r%d", i)); err == nil && status == http.StatusOK && body != "whole" {
						t.Errorf("a success with the body %q", body)
					}
				})
			}
			asking.Wait()
			stopWatching()
			good := 0
			for i := range requests {
				if got := w.do(t, "POST", "/read/x", fmt.Sprintf("g%d", i)); got.status == http.StatusOK && got.body == "whole" {
					good++
				}
			}
			if good < requests*9/10 {
				t.Errorf("%d of %d requests after that were answered by the other target, want 9 of 10", good, requests)
			}
			eventually(t, 2*time.Second, "all buffers released", func() bool { return w.server.Dump().HeldBytes == 0 })
		})
	}
}

// watchMemory measures the memory of this process until the function that it
// returns is called, which fails the test if it exceeded smallestMemory. The runtime has
// the limit that a process with this memory sets, so that no garbage is counted that such
// a process would have collected.
func watchMemory(t *testing.T) (stop func()) {
	t.Helper()
	before := debug.SetMemoryLimit(front.RuntimeMemoryLimit(smallestMemory))
	runtime.GC()
	var highest uint64
	ended := make(chan struct{})
	var watching conc.WaitGroup
	watching.Go(func() {
		const pause = 20 * time.Millisecond
		for {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			highest = max(highest, memory.HeapInuse+memory.StackInuse)
			select {
			case <-ended:
				return
			case <-time.After(pause):
			}
		}
	})
	return func() {
		close(ended)
		watching.Wait()
		debug.SetMemoryLimit(before)
		if highest > smallestMemory {
			t.Errorf("%d MiB were in use; want at most %d", highest/mebibyte, smallestMemory/mebibyte)
		}
	}
}

// doDiscard sends a request and reads its answer without keeping more than the
// first bytes of the body.
func doDiscard(t *testing.T, w *testEnv, id string) (status int, body string, err error) {
	t.Helper()
	const waitMillis, kept = 1500, 16
	r, err := fakes.NewRequest(t.Context(), "POST", w.address(), "/read/x", id, "", "body", waitMillis)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	first, err := io.ReadAll(io.LimitReader(response.Body, kept))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return response.StatusCode, string(first), err
}

// writeSlowly is writeText with a pause after each part.
func writeSlowly(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		time.Sleep(10 * time.Millisecond)
		return writeText(text)(w)
	}
}

func writeText(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}
