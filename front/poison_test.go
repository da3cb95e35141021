package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

// poisonPath is the path of the requests under which targets crash.
const poisonPath = "/read/poison"

// crashTimes makes the targets crash under requests for poisonPath, and records when
// such requests reach one and when one crashes. Crashed targets are back after a
// second as new processes.
type crashTimes struct {
	reached, crashed *arrivals
}

func newCrashTimes(store *fakes.Store, targets []*fakes.Target) *crashTimes {
	const down = time.Second
	c := &crashTimes{reached: &arrivals{}, crashed: &arrivals{}}
	for i, target := range targets {
		born := 1
		target.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, poisonPath) || !target.Accepts(r) {
				return false
			}
			c.reached.add()
			time.Sleep(10 * time.Millisecond)
			target.Crash(down, func() {
				c.crashed.add()
				born++
				time.AfterFunc(down, func() {
					store.Put("servers", fmt.Sprintf("t%d", i+1), target.Spec("svc", "a1", "ready", 0, born))
				})
			})
			panic(http.ErrAbortHandler)
		})
	}
	return c
}

// poison sends the request of a caller under which targets crash to an instance.
func poison(t *testing.T, i testInstance, id, caller, body string) int {
	t.Helper()
	r, err := fakes.NewRequest(t.Context(), "POST", i.address, poisonPath, id, caller, body, timeoutMillis)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// The platform's rule on requests under which targets crash: poisonWindow after the
// third target has crashed, no more than poisonArrivalsMax further ones may be
// reached.
const (
	poisonWindow      = 3 * time.Second
	poisonArrivalsMax = 3
)

// TestPoisonSentOn guards against a fleet that goes on sending a request under which
// three targets have crashed, at whichever instance it comes.
func TestPoisonSentOn(t *testing.T) {
	const repeats = 60
	store, targets := newTestPlatform(t, 8)
	crashes := newCrashTimes(store, targets)
	instances := newTestFleet(t, store, "a1", "a1", "a2", "b1")
	began := time.Now()
	for n := range repeats {
		poison(t, instances[n%len(instances)], fmt.Sprintf("p%d", n), "7", "body")
		time.Sleep(100 * time.Millisecond)
	}
	n := crashes.crashed.between(began, time.Now())
	if n < 3 {
		t.Fatalf("%d targets crashed, want 3 or more", n)
	}
	third := crashes.crashed.at[2]
	if n := crashes.reached.between(third.Add(poisonWindow), time.Now()); n > poisonArrivalsMax {
		t.Errorf("the request reached targets %d times later than %v after the third crash, want at most %d", n, poisonWindow, poisonArrivalsMax)
	}
	// Others must be served as before.
	if statuses := sendAll(t, instances, time.Second); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v of other requests, want only successes", statuses)
	}
}
