package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
)

// lateWait is the deadline of the requests below and the time-out of their routes, in
// milliseconds. It is longer than the whole stop.
const lateWait = 20_000

// lateAnswer is the answer to a request that is sent while the instance stops.
type lateAnswer struct {
	status     int
	retryAfter float64
	took       time.Duration
}

// sendLate sends an order on a connection and returns the answer.
func sendLate(t *testing.T, conn net.Conn, path, id string) lateAnswer {
	t.Helper()
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s%s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", path, fakes.RequestIDHeader, id, lateWait)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	_ = response.Body.Close()
	answer := lateAnswer{status: response.StatusCode, took: time.Since(sent)}
	answer.retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer
}

// TestStopRefusesWhatItWouldCutOff guards against orders that a stopping instance
// takes although they outlast it, and answers with 502 while a target is at work on
// them.
func TestStopRefusesWhatItWouldCutOff(t *testing.T) {
	t.Parallel()
	// The clients' port closes 3 s after the stop began, and what is still running is
	// canceled after 7.7 s.
	const grace = 8
	for name, c := range map[string]struct {
		// aim is the aim of the route, from which the instance takes how long a request
		// is expected to take, and work how long it does take.
		aim, work time.Duration
		// opened and sent are when the connection is opened and the request sent, from
		// the start of the stop on.
		opened, sent time.Duration
		path         string
		want         int
	}{
		"late and too long":                  {aim: 200 * time.Millisecond, work: 6 * time.Second, opened: 2800 * time.Millisecond, sent: 3100 * time.Millisecond, path: "/write/x", want: http.StatusServiceUnavailable},
		"just late and too long":             {aim: 200 * time.Millisecond, work: 6 * time.Second, sent: 2700 * time.Millisecond, path: "/write/x", want: http.StatusServiceUnavailable},
		"late and too long, idempotent":      {aim: 200 * time.Millisecond, work: 6 * time.Second, opened: 2800 * time.Millisecond, sent: 3100 * time.Millisecond, path: "/read/x", want: http.StatusServiceUnavailable},
		"early, but expected to be too long": {aim: 12 * time.Second, work: 6 * time.Second, sent: 2200 * time.Millisecond, path: "/write/x", want: http.StatusServiceUnavailable},
		"early and short enough":             {aim: time.Second, work: time.Second, sent: 2200 * time.Millisecond, path: "/write/x", want: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := strings.ReplaceAll(fakes.Config(1, lateWait), `"target_latency_ms":200`, fmt.Sprintf(`"target_latency_ms":%d`, c.aim.Milliseconds()))
			w := newTestEnvWith(t, fakes.GraceLine(grace), config)
			var lateRuns atomic.Int64
			w.handleAll(func(_ *fakes.Target, _ http.ResponseWriter, r *http.Request) bool {
				if fakes.RequestID(r.Header) == "late" {
					lateRuns.Add(1)
				}
				time.Sleep(c.work)
				return false
			})
			began := time.Now()
			w.stop()
			time.Sleep(time.Until(began.Add(c.opened)))
			conn := dial(t, w.address())
			time.Sleep(time.Until(began.Add(c.sent)))
			answer := sendLate(t, conn, c.path, "late")
			if answer.status != c.want {
				t.Errorf("status %d after %v, want %d", answer.status, answer.took, c.want)
			}
			if c.want == http.StatusOK {
				return
			}
			if runs := lateRuns.Load(); runs > 0 {
				t.Errorf("%d targets ran the request that was refused", runs)
			}
			if answer.took > 500*time.Millisecond || answer.retryAfter <= 0 || answer.retryAfter > 1 {
				t.Errorf("the refusal took %v and says to come back after %v s; want both at once", answer.took, answer.retryAfter)
			}
		})
	}
}

// TestStopSendsNothingLate guards against requests that a stopping instance takes in time
// and sends late, so that it answers them with 502 while a target is at work on them.
func TestStopSendsNothingLate(t *testing.T) {
	t.Parallel()
	// The targets work until after the end of the process, and what is still running is
	// canceled after 7.7 s.
	const (
		grace   = 8
		work    = 8 * time.Second
		sent    = 1500 * time.Millisecond
		delayed = 3500 * time.Millisecond
		margin  = 400 * time.Millisecond
	)
	for name, c := range map[string]struct {
		path string
		// uploaded is when the body is sent, from the start of the stop on, and rejected
		// when the first target says that it doesn't run the request, 0 for never.
		uploaded, rejected time.Duration
	}{
		"uploaded late":             {path: "/write/x", uploaded: delayed},
		"uploaded late, idempotent": {path: "/read/x", uploaded: delayed},
		"rejected late":             {path: "/write/x", uploaded: sent, rejected: delayed},
		"rejected late, idempotent": {path: "/read/x", uploaded: sent, rejected: delayed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnvWith(t, fakes.GraceLine(grace), fakes.Config(1, lateWait))
			began := time.Now()
			var rejected atomic.Bool
			var runs atomic.Int64
			w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
				if fakes.RequestID(r.Header) != "late" {
					return false
				}
				if c.rejected > 0 && rejected.CompareAndSwap(false, true) {
					time.Sleep(time.Until(began.Add(c.rejected)))
					target.RespondNotRun(rw, r)
					return true
				}
				runs.Add(1)
				select {
				case <-time.After(work):
				case <-r.Context().Done():
				}
				return false
			})
			w.stop()
			time.Sleep(time.Until(began.Add(sent)))
			conn := dial(t, w.address())
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%slate\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbo", c.path, fakes.RequestIDHeader, lateWait)
			time.Sleep(time.Until(began.Add(c.uploaded)))
			_, _ = io.WriteString(conn, "dy")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			answered := time.Since(began)
			if response.StatusCode != http.StatusServiceUnavailable || runs.Load() > 0 {
				t.Errorf("status %d after %v, run by %d targets; want 503 and no run", response.StatusCode, answered, runs.Load())
			}
			if latest := delayed + margin; answered > latest {
				t.Errorf("the answer came %v after the start of the stop, want %v at most", answered, latest)
			}
		})
	}
}

// TestLookupsForgetStoppingInstance guards against look-up answers that name an instance
// up to half a second after it began to stop, so that they outlast its port.
func TestLookupsForgetStoppingInstance(t *testing.T) {
	t.Parallel()
	const limit = 200 * time.Millisecond
	store, _ := newTestPlatform(t, 1)
	instances := newTestFleet(t, store, "a1", "a1", "a1", "a1", "a1")
	last := instances[len(instances)-1]
	host, text, _ := net.SplitHostPort(last.address)
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	lookUp := fakes.NodeSettings{Host: host, Port: port, Zone: "a1", Region: "a"}.LookupURL()
	names := func(address string) bool {
		response, err := http.Get(lookUp)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(body), address)
	}
	var stopping conc.WaitGroup
	defer stopping.Wait()
	for _, stopped := range instances[:len(instances)-1] {
		eventually(t, 3*time.Second, "named", func() bool { return names(stopped.address) })
		stopping.Go(stopped.stop)
		eventually(t, limit, "no longer named", func() bool { return !names(stopped.address) })
	}
}
