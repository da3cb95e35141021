package front_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// testInstance is one of several running instances.
type testInstance struct {
	server  *front.Server
	address string
	// operators is the address of the port for operators.
	operators string
	// stop stops the instance and waits for its end.
	stop func()
}

// startInstance starts an instance in a zone, which is named by its region and a
// digit, such as a1. The instance stops at the end of the test.
func startInstance(t *testing.T, store *fakes.Store, name, zone string) testInstance {
	t.Helper()
	return startInstanceWith(t, store, name, zone, sender.DialTCP)
}

// startInstanceWith starts an instance that opens its connections to targets with
// dial.
func startInstanceWith(t *testing.T, store *fakes.Store, name, zone string, dial sender.DialFunc) testInstance {
	t.Helper()
	return startInstanceLogging(t, store, name, zone, dial, logs.Discard())
}

// startInstanceLogging is startInstanceWith for an instance that writes a log.
func startInstanceLogging(t *testing.T, store *fakes.Store, name, zone string, dial sender.DialFunc, log *logrus.Logger) testInstance {
	t.Helper()
	port := freePorts(t)
	settings, err := platform.ReadSettings(strings.NewReader(fakes.Settings(name, zone, zone[:1], store.Address(), port)))
	if err != nil {
		t.Fatal(err)
	}
	operators := port + portsEach - 1
	i := testInstance{
		server:  front.New(settings, strconv.Itoa(operators), dial, time.Now, log),
		address: fmt.Sprintf("127.0.0.1:%d", port), operators: fmt.Sprintf("127.0.0.1:%d", operators),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	i.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	running.Go(func() {
		if err := i.server.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(i.stop)
	return i
}

// newTestPlatform starts a store with a configuration and targets, which are named
// t1 and so on.
func newTestPlatform(t *testing.T, count int) (*fakes.Store, []*fakes.Target) {
	t.Helper()
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", fakes.Config(1, timeoutMillis))
	targets := make([]*fakes.Target, count)
	for i := range targets {
		id := fmt.Sprintf("t%d", i+1)
		targets[i] = fakes.NewTarget(id)
		t.Cleanup(targets[i].Close)
		store.Put("servers", id, targets[i].Spec("svc", "a1", "ready", 0, 1))
	}
	return store, targets
}

// newTestFleet starts one instance in each of the zones, at most nine, and waits
// until all of them know of each other.
func newTestFleet(t *testing.T, store *fakes.Store, zones ...string) []testInstance {
	t.Helper()
	instances := make([]testInstance, 0, len(zones))
	for i, zone := range zones {
		instances = append(instances, startInstance(t, store, fmt.Sprintf("i%d", i+1), zone))
	}
	for _, i := range instances {
		eventually(t, 5*time.Second, "ready", func() bool { return i.server.Ready() && i.server.Dump().Registered == len(zones) })
	}
	return instances
}

// sendAll sends requests for random objects to each of the instances, 30 a second,
// until the time is over. It returns how many got each status.
func sendAll(t *testing.T, instances []testInstance, span time.Duration) map[int]int {
	t.Helper()
	var ids atomic.Int64
	statuses := make(chan int, 1000)
	var senders conc.WaitGroup
	for _, i := range instances {
		senders.Go(func() {
			var requests conc.WaitGroup
			defer requests.Wait()
			const perSecond = 30
			ticker := time.NewTicker(time.Second / perSecond)
			defer ticker.Stop()
			for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
				requests.Go(func() {
					id := fmt.Sprintf("%s-%d", t.Name(), ids.Add(1))
					r, err := fakes.NewRequest(t.Context(), "POST", i.address, "/read/x", id, id, "body", timeoutMillis)
					if err != nil {
						t.Error(err)
						return
					}
					response, err := http.DefaultTransport.RoundTrip(r)
					if err != nil {
						t.Error(err)
						return
					}
					_ = response.Body.Close()
					statuses <- response.StatusCode
				})
			}
		})
	}
	counts := map[int]int{}
	var counter conc.WaitGroup
	counter.Go(func() {
		for status := range statuses {
			counts[status]++
		}
	})
	senders.Wait()
	close(statuses)
	counter.Wait()
	return counts
}

// namedLimit is a target that names the value of the limit in its answers, "" for
// none.
type namedLimit struct {
	value   atomic.Pointer[string]
	reached *arrivals
}

func newNamedLimit(target *fakes.Target) *namedLimit {
	l := &namedLimit{reached: &arrivals{}}
	l.set("")
	target.SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/health" {
			return false
		}
		l.reached.add()
		if value := *l.value.Load(); value != "" {
			rw.Header().Set("Server-Limit", value)
		}
		return false
	})
	return l
}

func (l *namedLimit) set(value string) { l.value.Store(&value) }

// limitWindow and limitAllowance are those of the platform's rule on limits: in
// such a window a target may get one and a half times what its limit allows, and
// limitSlack more.
const (
	limitWindow    = 4 * time.Second
	limitAllowance = 1.5
	limitSlack     = 5
)

// TestNamedLimitExceeded guards against a fleet that sends a target more than the
// limit that it named, in the fleet's zones together, and against a fleet that keeps
// to a limit that has gone.
func TestNamedLimitExceeded(t *testing.T) {
	const (
		limit = 10
		known = 500 * time.Millisecond
	)
	store, targets := newTestPlatform(t, 2)
	limited := newNamedLimit(targets[0])
	instances := newTestFleet(t, store, "a1", "a1", "a2", "b1")

	limited.set(fmt.Sprint(limit))
	sendAll(t, instances, time.Second)
	for i, value := range []string{fmt.Sprint(limit), "soon"} {
		limited.set(value)
		from := time.Now().Add(known)
		statuses := sendAll(t, instances, known+limitWindow)
		n := limited.reached.between(from, from.Add(limitWindow))
		if most := int(limitAllowance*limit*limitWindow.Seconds()) + limitSlack; n > most {
			t.Errorf("limit %q, part %d: %d requests in %v, want at most %d", value, i, n, limitWindow, most)
		}
		if least := limit * int(limitWindow.Seconds()) / 2; n < least {
			t.Errorf("limit %q, part %d: %d requests in %v, want %d or more", value, i, n, limitWindow, least)
		}
		if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
			t.Errorf("limit %q: statuses %v while another target is there, want only successes", value, statuses)
		}
	}
	limited.set("")
	sendAll(t, instances, time.Second)
	from := time.Now()
	sendAll(t, instances, time.Second)
	if n := limited.reached.between(from, time.Now()); n < 2*limit {
		t.Errorf("%d requests in the second second after the limit went, want %d or more", n, 2*limit)
	}
}

// TestLimitToldToOtherZones has a target name a limit to one instance and end it. The
// instances of another availability zone, which send nothing, must learn of both.
func TestLimitToldToOtherZones(t *testing.T) {
	store, targets := newTestPlatform(t, 1)
	limited := newNamedLimit(targets[0])
	instances := newTestFleet(t, store, "a1", "b1", "b1")
	for _, value := range []string{"10", ""} {
		limited.set(value)
		sendAll(t, instances[:1], time.Second)
		want := 0
		if value != "" {
			want = 1
		}
		for n, i := range instances {
			eventually(t, 2*time.Second, fmt.Sprintf("instance %d knows %d limits", n, want), func() bool { return i.server.Dump().LimitedTargets == want })
		}
	}
}

// TestLimitHeader has targets name limits that are valid or not. What is invalid
// neither sets a limit nor ends one.
func TestLimitHeader(t *testing.T) {
	tests := map[string]struct {
		first, then string
		// want is the limit in the end, -1 for none.
		want float64
	}{
		"a number":          {"12.5", "12.5", 12.5},
		"none":              {"", "", -1},
		"spaces around it":  {"  7 ", " 7 ", 7},
		"zero":              {"0", "0", 0},
		"an exponent":       {"1e2", "1e2", 100},
		"lowered":           {"12.5", "3", 3},
		"gone":              {"12.5", "", -1},
		"negative":          {"-1", "-1", -1},
		"text":              {"soon", "soon", -1},
		"NaN":               {"NaN", "NaN", -1},
		"hexadecimal":       {"0x10", "0x10", -1},
		"a unit":            {"5/s", "5/s", -1},
		"two numbers":       {"5, 6", "5, 6", -1},
		"infinite":          {"Inf", "Inf", -1},
		"beyond numbers":    {"1e999", "1e999", 1e6},
		"far too high":      {"1e9", "1e9", 1e6},
		"negative later":    {"12.5", "-1", 12.5},
		"text later":        {"12.5", "soon", 12.5},
		"a long text later": {"12.5", strings.Repeat("9", 4000) + "x", 12.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			value := test.first
			w.handleAll(func(_ *fakes.Target, rw http.ResponseWriter, _ *http.Request) bool {
				if value != "" {
					rw.Header().Set("Server-Limit", value)
				}
				return false
			})
			w.do(t, "POST", "/write/x", "r1")
			value = test.then
			// The target gets another request as soon as its limit allows one.
			target := w.targets[0]
			if target.Total() == 0 {
				target = w.targets[1]
			}
			eventually(t, 3*time.Second, "a second request", func() bool {
				w.do(t, "POST", "/write/x", "r2")
				return target.Total() > 1 || test.first == "0"
			})
			got := -1.0
			for _, state := range w.server.Dump().Targets {
				if state.Limit != nil {
					got = *state.Limit
				}
			}
			if got != test.want {
				t.Errorf("the limit is %v, want %v", got, test.want)
			}
		})
	}
}

// TestHeardLimit has another instance of the zone tell of a limit, which then counts
// as if the target had named it to this one.
func TestHeardLimit(t *testing.T) {
	tests := map[string]struct {
		heard wire.TargetLimit
		kept  bool
	}{
		"its process":     {wire.TargetLimit{Target: "t1", Born: 1, PerSecond: 1, Named: true}, true},
		"an earlier one":  {wire.TargetLimit{Target: "t1", Born: 0, PerSecond: 1, Named: true}, false},
		"an unknown one":  {wire.TargetLimit{Target: "t9", Born: 1, PerSecond: 1, Named: true}, false},
		"a negative one":  {wire.TargetLimit{Target: "t1", Born: 1, PerSecond: -1, Named: true}, false},
		"not a number":    {wire.TargetLimit{Target: "t1", Born: 1, PerSecond: math.NaN(), Named: true}, false},
		"infinite":        {wire.TargetLimit{Target: "t1", Born: 1, PerSecond: math.Inf(1), Named: true}, false},
		"end of a limit":  {wire.TargetLimit{Target: "t1", Born: 1}, false},
		"an old one, 9 s": {wire.TargetLimit{Target: "t1", Born: 1, PerSecond: 1, Named: true, AgeMillis: 9000}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			limited := newNamedLimit(w.targets[0])
			if test.kept {
				limited.set("1")
			}
			w.server.Handle(t.Context(), wire.Hello{Instance: "other"}, &wire.Heartbeat{Instance: "other", Limits: []wire.TargetLimit{test.heard}})
			began := time.Now()
			sendAll(t, []testInstance{{server: w.server, address: w.address()}}, time.Second)
			n := limited.reached.between(began, time.Now())
			if kept := n <= 3; kept != test.kept {
				t.Errorf("%d requests reach the target in a second, want the limit of 1 per second kept: %v", n, test.kept)
			}
		})
	}
}

// TestAllNameLimits has all targets name a low limit. Requests beyond it must be
// refused at once, and told to return at different times.
func TestAllNameLimits(t *testing.T) {
	w := newTestEnv(t)
	w.handleAll(func(_ *fakes.Target, rw http.ResponseWriter, _ *http.Request) bool {
		rw.Header().Set("Server-Limit", "0.5")
		return false
	})
	w.doMany(t, "a", 10)
	refused, times := 0, map[string]bool{}
	for i := range 20 {
		got := w.do(t, "POST", "/write/x", fmt.Sprintf("b%d", i))
		if got.status == http.StatusOK {
			continue
		}
		refused++
		times[got.retryAfter] = true
		seconds, err := strconv.ParseFloat(got.retryAfter, 64)
		if got.status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 1.5 || got.took > 200*time.Millisecond {
			t.Errorf("status %d after %v with Retry-After %q, want 503 at once and a time within 1.5 s", got.status, got.took, got.retryAfter)
		}
	}
	if refused < 16 || len(times) < refused/2 {
		t.Errorf("%d of 20 requests are refused, with %d different times to return; want 16 or more, at different times", refused, len(times))
	}
}
