package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
)

// testInstance is one of several running instances.
type testInstance struct {
	server  *front.Server
	address string
}

// startInstance starts an instance in a zone, which is named by its region and a
// digit, such as a1. The instance stops at the end of the test.
func startInstance(t *testing.T, store *fakes.Store, name, zone string) testInstance {
	t.Helper()
	port := freePorts(t)
	settings, err := platform.ReadSettings(strings.NewReader(fakes.Settings(name, zone, zone[:1], store.Address(), port)))
	if err != nil {
		t.Fatal(err)
	}
	i := testInstance{server: front.New(settings, "", time.Now, logs.Discard()), address: fmt.Sprintf("127.0.0.1:%d", port)}
	ctx, stop := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() {
		if err := i.server.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	return i
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
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", fakes.Config(1, timeoutMillis))
	targets := make([]*fakes.Target, 2)
	for i := range targets {
		id := fmt.Sprintf("t%d", i+1)
		targets[i] = fakes.NewTarget(id)
		t.Cleanup(targets[i].Close)
		store.Put("servers", id, targets[i].Spec("svc", "a1", "ready", 0, 1))
	}
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
