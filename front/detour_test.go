package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/stub"
)

// loseReach cuts the links of an instance and waits until it has noticed.
func loseReach(t *testing.T, i linkedInstance, form stub.Cut) {
	t.Helper()
	i.links.Cut(form, nil)
	eventually(t, stabilityWindow, "the targets are out of reach", func() bool {
		sendMixed(t, i, 60, 100*time.Millisecond)
		return len(i.server.Dump().OutOfReach) > 0
	})
}

// cutFleet starts a fleet whose first instance, in zone a1, reaches no target.
func cutFleet(t *testing.T, store *fakes.Store, zones ...string) []linkedInstance {
	t.Helper()
	instances := newLinkedFleet(t, store, zones...)
	loseReach(t, instances[0], stub.Reset{})
	return instances
}

// sendOne sends a request to an instance with the client's deadline.
func sendOne(t *testing.T, i linkedInstance, path, id string, wait time.Duration) result {
	t.Helper()
	r, err := fakes.NewRequest(t.Context(), "POST", i.address, path, id, id, "body", int(wait.Milliseconds()))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{body: err.Error(), took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	for name := range response.Header {
		if strings.HasPrefix(name, "Endivechute-") {
			t.Errorf("the client gets header %s", name)
		}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		body = []byte(err.Error())
	}
	return result{status: response.StatusCode, body: string(body), retryAfter: response.Header.Get("Retry-After"), took: time.Since(began)}
}

// arrivalLog records the requests that reach targets, by their ids.
type arrivalLog struct {
	mu       sync.Mutex
	byID     map[string][]*http.Request
	byTarget map[string]int
}

// logArrivals records the arrivals at the targets. respond may answer a request in
// place of its target.
func logArrivals(targets []*fakes.Target, respond func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool) *arrivalLog {
	l := &arrivalLog{byID: map[string][]*http.Request{}, byTarget: map[string]int{}}
	for n, target := range targets {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/health" || !target.Accepts(r) {
				return false
			}
			l.mu.Lock()
			id := fakes.RequestID(r.Header)
			l.byID[id] = append(l.byID[id], r)
			l.byTarget[fmt.Sprintf("t%d", n+1)]++
			l.mu.Unlock()
			return respond(target, w, r)
		})
	}
	return l
}

func (l *arrivalLog) of(id string) []*http.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// TestDetourIsOneAttempt lets targets fail or reject the requests that an instance
// which reaches none passes on. No request may reach more targets than its route
// allows, and none that runs once may run twice.
func TestDetourIsOneAttempt(t *testing.T) {
	const attemptsMax = 2
	tests := map[string]struct {
		respond func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool
		// arrivals and statuses are those of requests that may be repeated and that may
		// run once.
		arrivals, statuses [2]int
	}{
		"served": {func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false }, [2]int{1, 1}, [2]int{200, 200}},
		"failed": {func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
			t.CountRun(r)
			t.Respond(w, r, http.StatusInternalServerError, "failed")
			return true
		}, [2]int{2, 1}, [2]int{500, 500}},
		"rejected": {func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
			t.RespondNotRun(w, r)
			return true
		}, [2]int{2, 2}, [2]int{503, 503}},
		"broken off": {func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
			t.CountRun(r)
			hijack(w, "")
			return true
		}, [2]int{2, 1}, [2]int{502, 502}},
		"cut short": {func(t *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
			t.CountRun(r)
			hijack(w, "HTTP/1.1 200 OK\r\n"+fakes.RequestIDHeader+fakes.RequestID(r.Header)+"\r\n"+fakes.StampHeader+"Content-Length: 100\r\n\r\npart")
			return true
		}, [2]int{2, 1}, [2]int{502, 502}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, targets := newTestPlatform(t, 6)
			instances := cutFleet(t, store, "a1", "a1", "b1")
			arrivals := logArrivals(targets, test.respond)
			for kind, path := range []string{"/read/x", "/write/x"} {
				id := fmt.Sprintf("d%d", kind)
				got := sendOne(t, instances[0], path, id, timeoutMillis*time.Millisecond)
				n := len(arrivals.of(id))
				if got.status != test.statuses[kind] || n != test.arrivals[kind] || n > attemptsMax {
					t.Errorf("%s: status %d after %d arrivals, want %d after %d", path, got.status, n, test.statuses[kind], test.arrivals[kind])
				}
				if got.status == http.StatusServiceUnavailable && got.retryAfter == "" {
					t.Errorf("%s: no Retry-After, although the request didn't run", path)
				}
			}
			if len(instances[0].server.Dump().OutOfReach) == 0 {
				t.Error("the instance reaches targets again")
			}
		})
	}
}

// TestDetourHeaders: a target gets the client's request as it is, and no more time than
// the client has left.
func TestDetourHeaders(t *testing.T) {
	t.Parallel()
	const wait = 400 * time.Millisecond
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "b1")
	arrivals := logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false })
	if got := sendOne(t, instances[0], "/read/x?q=1&r=%2f", "h1", wait); got.status != http.StatusOK || got.body != "whole" {
		t.Fatalf("status %d, body %q", got.status, got.body)
	}
	reached := arrivals.of("h1")
	if len(reached) != 1 {
		t.Fatalf("%d arrivals, want 1", len(reached))
	}
	r := reached[0]
	if r.Method != "POST" || r.RequestURI != "/read/x?q=1&r=%2f" || r.Host != "h.example" {
		t.Errorf("the target gets %s %s for host %s", r.Method, r.RequestURI, r.Host)
	}
	for name := range r.Header {
		if strings.HasPrefix(name, "Endivechute-") {
			t.Errorf("the target gets header %s", name)
		}
	}
	if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || left > int(wait.Milliseconds()) {
		t.Errorf("the target gets %q ms, at most %d are left", r.Header.Get("X-Deadline-Ms"), wait.Milliseconds())
	}
}

// TestDetourDeadline: a slow target holds a detour no longer than its client waits, and
// a request that runs once is then not called refused.
func TestDetourDeadline(t *testing.T) {
	t.Parallel()
	const wait = 300 * time.Millisecond
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "b1")
	logArrivals(targets, func(_ *fakes.Target, _ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
		return true
	})
	for _, path := range []string{"/read/x", "/write/x"} {
		got := sendOne(t, instances[0], path, "w"+path[1:2], wait)
		if got.status != http.StatusGatewayTimeout || got.took > wait+200*time.Millisecond {
			t.Errorf("%s: status %d after %v, want 504 after %v", path, got.status, got.took, wait)
		}
	}
}

// TestDetourClientLeaves: when the client of a request that may be repeated leaves, the
// target stops working on it.
func TestDetourClientLeaves(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "b1")
	arrived, stopped := make(chan struct{}), make(chan struct{})
	logArrivals(targets, func(_ *fakes.Target, _ http.ResponseWriter, r *http.Request) bool {
		close(arrived)
		<-r.Context().Done()
		close(stopped)
		return true
	})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	r, err := fakes.NewRequest(ctx, "POST", instances[0].address, "/read/x", "c1", "c1", "body", 10*timeoutMillis)
	if err != nil {
		t.Fatal(err)
	}
	var client conc.WaitGroup
	client.Go(func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	})
	<-arrived
	leave()
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target still works half a second after the client left")
	}
	client.Wait()
}

// TestDetourKeepsHomes: a request on a route with allowed regions is neither sent to
// targets of another region nor passed on to an instance there.
func TestDetourKeepsHomes(t *testing.T) {
	tests := map[string]struct {
		region string
		want   int
	}{
		"home of the other instance": {"b", http.StatusOK},
		"own region":                 {"a", http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, targets := newTestPlatform(t, 4)
			for n, target := range targets {
				store.Put("servers", fmt.Sprintf("t%d", n+1), target.Spec("svc", []string{"a1", "b1"}[n%2], "ready", 0, 1))
			}
			store.Put("config", "main", strings.ReplaceAll(fakes.Config(2, timeoutMillis), `"allowed_regions":[]`, fmt.Sprintf(`"allowed_regions":[%q]`, test.region)))
			instances := cutFleet(t, store, "a1", "b1")
			arrivals := logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false })
			for n := range 10 {
				if got := sendOne(t, instances[0], "/read/x", fmt.Sprintf("k%d", n), timeoutMillis*time.Millisecond); got.status != test.want || got.took > 200*time.Millisecond {
					t.Errorf("status %d after %v, want %d at once", got.status, got.took, test.want)
				}
			}
			arrivals.mu.Lock()
			defer arrivals.mu.Unlock()
			for n := range targets {
				id := fmt.Sprintf("t%d", n+1)
				if in := []string{"a", "b"}[n%2]; in != test.region && arrivals.byTarget[id] > 0 {
					t.Errorf("target %s in region %s got %d requests", id, in, arrivals.byTarget[id])
				}
			}
		})
	}
}

// TestAllOutOfReach cuts all instances from the targets. Requests must be refused at
// once as not run, and not go round among the instances.
func TestAllOutOfReach(t *testing.T) {
	t.Parallel()
	const perSecond = 40
	store, _ := newTestPlatform(t, 6)
	instances := newLinkedFleet(t, store, "a1", "a1", "a2", "b1")
	for _, i := range instances {
		i.links.Cut(stub.Hang{}, nil)
	}
	sendMixedToAll(t, instances, perSecond, stabilityWindow)
	for n, attempts := range sendMixedToAll(t, instances, perSecond, time.Second) {
		for _, a := range attempts {
			if a.status != http.StatusServiceUnavailable || a.took > 200*time.Millisecond {
				t.Errorf("instance %d: status %d after %v, want 503 at once", n, a.status, a.took)
			}
		}
	}
	for _, i := range instances {
		i.links.Heal()
	}
	eventually(t, 2*time.Second, "all instances reach the targets", func() bool {
		for _, i := range instances {
			if len(i.server.Dump().OutOfReach) > 0 {
				return false
			}
		}
		return true
	})
	for n, attempts := range sendMixedToAll(t, instances, perSecond, time.Second) {
		if served(attempts) < len(attempts) {
			t.Errorf("instance %d served %d of %d after the cut, statuses %v", n, served(attempts), len(attempts), statuses(attempts))
		}
	}
}

// TestReachRegained: seconds after the cut an instance sends straight to all targets
// again, those included that it believed unreachable.
func TestReachRegained(t *testing.T) {
	for name, form := range map[string]stub.Cut{"hang": stub.Hang{}, "reset": stub.Reset{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, _ := newTestPlatform(t, 6)
			instances := newLinkedFleet(t, store, "a1", "a1")
			sendMixedToAll(t, instances, 30, 500*time.Millisecond)
			loseReach(t, instances[0], form)
			sendMixed(t, instances[0], 30, 2*time.Second)
			instances[0].links.Heal()
			eventually(t, 2*time.Second, "the targets are in reach", func() bool { return len(instances[0].server.Dump().OutOfReach) == 0 })
			for _, target := range instances[0].server.Dump().Targets {
				if target.Unreachable {
					t.Errorf("target %s is still believed unreachable", target.Target)
				}
			}
			attempts := sendMixed(t, instances[0], 30, time.Second)
			if served(attempts) < len(attempts) {
				t.Errorf("%d of %d served, statuses %v", served(attempts), len(attempts), statuses(attempts))
			}
		})
	}
}

// TestFlappingReach cuts and heals the links of an instance again and again.
func TestFlappingReach(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 6)
	instances := newLinkedFleet(t, store, "a1", "a1", "a2")
	sendMixedToAll(t, instances, 30, 500*time.Millisecond)
	stop, flapping := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(flapping)
		for {
			for _, change := range []func(){func() { instances[0].links.Cut(stub.Reset{}, nil) }, instances[0].links.Heal} {
				change()
				select {
				case <-stop:
					instances[0].links.Heal()
					return
				case <-time.After(700 * time.Millisecond):
				}
			}
		}
	}()
	sendMixed(t, instances[0], 30, stabilityWindow)
	attempts := sendMixed(t, instances[0], 30, 4*time.Second)
	close(stop)
	<-flapping
	// A request that is on its way when the connection is reset may have run.
	if unserved := len(attempts) - served(attempts); unserved*10 > len(attempts) {
		t.Errorf("%d of %d attempts were served, statuses %v", served(attempts), len(attempts), statuses(attempts))
	}
	for _, a := range attempts {
		runs := 0
		for _, target := range targets {
			runs += target.Runs(a.id)
		}
		if a.atMostOnce && runs > 1 || a.status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("attempt %s ran %d times, status %d", a.id, runs, a.status)
		}
	}
	eventually(t, 5*time.Second, "the targets are in reach", func() bool { return len(instances[0].server.Dump().OutOfReach) == 0 })
}

// TestOneServiceOutOfReach cuts an instance from the targets of one service. Requests
// for the other one must go straight.
func TestOneServiceOutOfReach(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 8)
	ofOther := map[string]bool{}
	for n, target := range targets[4:] {
		store.Put("servers", fmt.Sprintf("t%d", n+5), target.Spec("other", "a1", "ready", 0, 1))
		ofOther[target.Address()] = true
	}
	store.Put("config", "main", fakes.ConfigOfTwo(2, timeoutMillis, "svc", "other"))
	instances := newLinkedFleet(t, store, "a1", "a1")
	instances[0].links.Cut(stub.Hang{}, func(address string) bool { return ofOther[address] })
	sendMixed(t, instances[0], 60, stabilityWindow)
	during := sendMixed(t, instances[0], 60, 2*time.Second)
	checkServed(t, during)
	if got := instances[0].server.Dump().OutOfReach; len(got) != 1 || got[0] != "other" {
		t.Errorf("out of reach are %v, want the service other", got)
	}
}

// TestNoWitness cuts an instance from all targets, or from those of its service, in
// each form. Nothing that it tells may change what the others do.
func TestNoWitness(t *testing.T) {
	for name, form := range map[string]stub.Cut{"hang": stub.Hang{}, "reset": stub.Reset{}, "refuse new": stub.RefuseNew{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, targets := newTestPlatform(t, 6)
			logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
				time.Sleep(30 * time.Millisecond)
				return false
			})
			instances := newLinkedFleet(t, store, "a1", "a1", "a2")
			sendMixedToAll(t, instances, 40, time.Second)
			stop, watching := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(watching)
				for {
					for n, i := range instances {
						dump := i.server.Dump()
						if len(dump.Quarantined) > 0 {
							t.Errorf("instance %d: quarantined are %v", n, dump.Quarantined)
							return
						}
						for _, target := range dump.Targets {
							if n > 0 && target.HeardSlowdown > 0 {
								t.Errorf("instance %d hears that target %s is slow, by a factor of %.1f", n, target.Target, target.HeardSlowdown)
								return
							}
						}
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
			for range 3 {
				instances[0].links.Cut(form, nil)
				sendMixedToAll(t, instances, 40, 2*time.Second)
				instances[0].links.Heal()
				sendMixedToAll(t, instances, 40, 500*time.Millisecond)
			}
			close(stop)
			<-watching
		})
	}
}

// TestPoisonThroughDetour: a request under which targets crash is quarantined when it
// comes through detours too.
func TestPoisonThroughDetour(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 8)
	instances := cutFleet(t, store, "a1", "a1", "a2")
	crashes := newCrashTimes(store, targets)
	began := time.Now()
	for n := range 40 {
		poison(t, instances[0].testInstance, fmt.Sprintf("p%d", n), poisonCaller)
		time.Sleep(100 * time.Millisecond)
	}
	if n := crashes.crashed.between(began, time.Now()); n < 3 {
		t.Fatalf("%d targets crashed, want 3 or more", n)
	}
	third := crashes.crashed.at[2]
	if n := crashes.reached.between(third.Add(poisonWindow), time.Now()); n > poisonArrivalsMax {
		t.Errorf("the request reached targets %d times later than %v after the third crash", n, poisonWindow)
	}
}

// TestDetourEndsWithPeer: if the instance that a request was passed on to ends, one that
// runs once is neither sent again nor called refused.
func TestDetourEndsWithPeer(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "a1")
	arrived := make(chan struct{}, 10)
	arrivals := logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
		arrived <- struct{}{}
		time.Sleep(800 * time.Millisecond)
		return false
	})
	done := make(chan result, 1)
	go func() { done <- sendOne(t, instances[0], "/write/x", "e1", timeoutMillis*time.Millisecond) }()
	select {
	case <-arrived:
	case got := <-done:
		t.Fatalf("status %d before the request reached a target", got.status)
	}
	instances[1].stop()
	// The instance finishes what it has begun before it stops.
	if got := <-done; got.status != http.StatusOK || len(arrivals.of("e1")) != 1 {
		t.Errorf("status %d after %d arrivals, want 200 after 1", got.status, len(arrivals.of("e1")))
	}
	if got := sendOne(t, instances[0], "/write/x", "e2", timeoutMillis*time.Millisecond); got.status != http.StatusServiceUnavailable || got.took > 500*time.Millisecond {
		t.Errorf("status %d after %v with no instance left, want 503 at once", got.status, got.took)
	}
}

// TestLongDetour: answers that are too long to be buffered are streamed through both
// instances, and one that breaks off doesn't look complete.
func TestLongDetour(t *testing.T) {
	const length = 3 * mebibyte
	for name, whole := range map[string]bool{"whole": true, "broken off": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, targets := newTestPlatform(t, 4)
			instances := cutFleet(t, store, "a1", "b1")
			logArrivals(targets, func(target *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
				target.CountRun(r)
				hijackWith(w, func(conn io.Writer) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%sContent-Length: %d\r\n\r\n", fakes.RequestIDHeader, fakes.RequestID(r.Header), fakes.StampHeader, length)
					if whole {
						writeLong(conn, length)
					} else {
						writeLong(conn, length/2)
					}
				})
				return true
			})
			r, err := fakes.NewRequest(t.Context(), "POST", instances[0].address, "/read/x", "l1", "l1", "", 5*timeoutMillis)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			n, err := io.Copy(io.Discard, response.Body)
			if whole != (err == nil && n == length) || response.StatusCode != http.StatusOK {
				t.Errorf("status %d, %d bytes, error %v", response.StatusCode, n, err)
			}
			for name := range response.Header {
				if strings.HasPrefix(name, "Endivechute-") {
					t.Errorf("the client gets header %s", name)
				}
			}
		})
	}
}

// lookUp returns the addresses that an instance names to clients.
func lookUp(t *testing.T, i testInstance) []string {
	t.Helper()
	host, port, err := net.SplitHostPort(i.address)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Get(fakes.NodeSettings{Host: host, Port: n, Region: "a", Zone: "a1"}.LookupURL())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer fakes.Lookup
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.Addresses
}

// TestLookupLeavesOutOfReach: look-ups name an instance that reaches no target only if
// fewer others remain.
func TestLookupLeavesOutOfReach(t *testing.T) {
	t.Parallel()
	store, _ := newTestPlatform(t, 4)
	instances := newLinkedFleet(t, store, "a1", "a1", "a1")
	loseReach(t, instances[0], stub.Reset{})
	names := func(at linkedInstance) []string { return lookUp(t, at.testInstance) }
	eventually(t, 2*time.Second, "no look-up names the instance", func() bool {
		return len(names(instances[0])) == 2 && len(names(instances[1])) == 2
	})
	loseReach(t, instances[1], stub.Reset{})
	eventually(t, 2*time.Second, "look-ups name all instances", func() bool {
		return len(names(instances[0])) == 3 && len(names(instances[2])) == 3
	})
}

// TestStopWaitsForDetours guards against an instance that stops and cuts off the
// requests of others soon after its clients' port is closed, although there is time
// left for them.
func TestStopWaitsForDetours(t *testing.T) {
	t.Parallel()
	const (
		wait = 5 * time.Second
		// work ends after the clients' port is closed, 1 s after the stop began, and
		// before the requests that are still running are canceled, 1.7 s after it.
		work = 1300 * time.Millisecond
	)
	store, targets := newTestPlatform(t, 4)
	store.Put("config", "main", fakes.Config(2, int(wait.Milliseconds())))
	instances := cutFleet(t, store, "a1", "b1")
	arrived := make(chan struct{})
	logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
		close(arrived)
		time.Sleep(work)
		return false
	})
	var client conc.WaitGroup
	client.Go(func() {
		if got := sendOne(t, instances[0], "/write/x", "s1", wait); got.status != http.StatusOK {
			t.Errorf("status %d after %v, want 200", got.status, got.took)
		}
	})
	<-arrived
	instances[1].stop()
	client.Wait()
}
