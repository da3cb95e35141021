package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

// TestHalfClosedClientIsAnswered guards against an empty 200 for a request that failed,
// of a client that has closed its sending side and waits for the answer.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	t.Parallel()
	const delay = 100 * time.Millisecond
	for name, c := range map[string]struct {
		respond func(*fakes.Target, http.ResponseWriter, *http.Request) bool
		// once and repeatable are the statuses for requests that run once and for
		// others, which are canceled when the client's stream ends.
		once, repeatable int
	}{
		"rejected": {func(target *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
			target.RespondNotRun(w, r)
			return true
		}, http.StatusServiceUnavailable, http.StatusBadGateway},
		"crashed": {func(_ *fakes.Target, w http.ResponseWriter, _ *http.Request) bool {
			hijack(w, "")
			return true
		}, http.StatusBadGateway, http.StatusBadGateway},
		"too late": {func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
			time.Sleep(2 * time.Second)
			return true
		}, http.StatusGatewayTimeout, http.StatusBadGateway},
		"answered": {func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false }, http.StatusOK, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
				time.Sleep(delay)
				return c.respond(target, rw, r)
			})
			for path, want := range map[string]int{"/write/x": c.once, "/read/x": c.repeatable} {
				conn := dial(t, w.address())
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%sh1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody", path, fakes.RequestIDHeader)
				time.Sleep(delay / 2)
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("%s: %v", path, err)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != want || fakes.RequestID(response.Header) != "h1" {
					t.Errorf("%s: status %d with body %q and request ID %q, error %v; want %d", path, response.StatusCode, body, fakes.RequestID(response.Header), err, want)
				}
			}
		})
	}
}
