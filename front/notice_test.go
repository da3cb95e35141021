package front_test

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/wire"
)

// arrivals records when requests reach a target.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// between returns how many requests arrived after from and before to.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// doMany sends requests for different objects, a few at a time, and returns how
// many got each status.
func (w *testEnv) doMany(t *testing.T, prefix string, count int) map[int]int {
	t.Helper()
	const atOnce = 8
	var mu sync.Mutex
	statuses := map[int]int{}
	next := make(chan int)
	var tasks conc.WaitGroup
	for range atOnce {
		tasks.Go(func() {
			for i := range next {
				path := "/read/x"
				if i%2 == 1 {
					path = "/write/x"
				}
				got := w.do(t, "POST", path, fmt.Sprintf("%s%d", prefix, i))
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	tasks.Wait()
	return statuses
}

// TestTargetAnnouncesLeaving has a target announce in an answer that it leaves.
// It must get no more requests, whatever the store says, until its next process is
// listed.
func TestTargetAnnouncesLeaving(t *testing.T) {
	const id = "t1"
	answers := map[string]func(target *fakes.Target, rw http.ResponseWriter, r *http.Request){
		"success": func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) {
			target.Respond(rw, r, http.StatusOK, "whole")
		},
		"failure": func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) {
			target.Respond(rw, r, http.StatusInternalServerError, "failed")
		},
		"rejection": func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) { target.RespondNotRun(rw, r) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			reached := &arrivals{}
			w.targets[0].SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
				reached.add()
				rw.Header().Set("Server-Leaving", "1")
				answer(w.targets[0], rw, r)
				return true
			})
			w.doMany(t, "a", 40)
			known := time.Now()
			if reached.between(time.Time{}, known) == 0 {
				t.Fatal("the target got no request")
			}
			// None of these may bring the process back.
			w.store.Put("servers", id, w.targets[0].Spec("svc", "a1", "ready", 0, 1))
			w.store.Delete("servers", id)
			time.Sleep(300 * time.Millisecond)
			w.store.Put("servers", id, w.targets[0].Spec("svc", "a1", "ready", 0, 1))
			w.store.DiscardHistory(nil, func(func(kind, name, spec string), func(kind, name string)) {})
			time.Sleep(300 * time.Millisecond)
			if statuses := w.doMany(t, "b", 40); statuses[http.StatusOK] != 40 {
				t.Errorf("statuses %v while another target is there, want 40 successes", statuses)
			}
			if n := reached.between(known, time.Now()); n > 0 {
				t.Errorf("%d requests reached a target that had announced that it leaves", n)
			}
			w.targets[0].SetHandler(nil)
			w.store.Put("servers", id, w.targets[0].Spec("svc", "a1", "ready", 0, 2))
			eventually(t, 3*time.Second, "the next process gets requests", func() bool {
				w.doMany(t, "c", 10)
				return w.targets[0].Total() > 0
			})
		})
	}
}

// TestLeavingOfAnother has the process at a target's address announce that it
// leaves in an answer that shows that it is not this target.
func TestLeavingOfAnother(t *testing.T) {
	w := newTestEnv(t)
	misdirects := true
	var mu sync.Mutex
	w.targets[0].SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if !misdirects {
			return false
		}
		misdirects = false
		rw.Header().Set("X-Instance-Id", "another")
		rw.Header().Set("X-Request-Id", fakes.RequestID(r.Header))
		rw.Header().Set("Server-Leaving", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return true
	})
	w.doMany(t, "a", 20)
	if leaving := w.server.Dump().LeavingTargets; leaving != 0 {
		t.Errorf("%d targets count as leaving, want none", leaving)
	}
}

// TestTargetAsksForPause has a target reject requests and ask for a pause. As the
// platform's rule counts, no more than two requests may reach it between half a
// second after that and the end of the pause.
func TestTargetAsksForPause(t *testing.T) {
	const pause = 2 * time.Second
	w := newTestEnv(t)
	reached := &arrivals{}
	var first time.Time
	var once sync.Once
	w.targets[0].SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
		reached.add()
		rw.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
		w.targets[0].RespondNotRun(rw, r)
		once.Do(func() { first = time.Now() })
		return true
	})
	statuses := w.doMany(t, "a", 40)
	for i := 0; time.Since(first) < pause; i++ {
		for status, n := range w.doMany(t, fmt.Sprintf("b%d-", i), 16) {
			statuses[status] += n
		}
	}
	if n := reached.between(first.Add(500*time.Millisecond), first.Add(pause)); n > 2 {
		t.Errorf("%d requests reached the target during its pause, want at most 2", n)
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v while another target is there, want only successes", statuses)
	}
	w.targets[0].SetHandler(nil)
	w.targets[1].SetHandler(func(rw http.ResponseWriter, r *http.Request) bool {
		w.targets[1].RespondNotRun(rw, r)
		return true
	})
	eventually(t, pause, "the target is used again", func() bool { return w.do(t, "POST", "/write/x", "c").status == http.StatusOK })
}

// TestAllAskForPause has all targets ask for a pause. Requests must be refused at
// once, and told to return after the pause, not all at the same time.
func TestAllAskForPause(t *testing.T) {
	const pause = 5 * time.Second
	w := newTestEnv(t)
	reached := &arrivals{}
	w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
		reached.add()
		rw.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
		target.RespondNotRun(rw, r)
		return true
	})
	w.doMany(t, "a", 4)
	began := time.Now()
	times := map[string]bool{}
	const requests = 10
	for i := range requests {
		got := w.do(t, "POST", "/write/x", fmt.Sprintf("b%d", i))
		seconds, err := strconv.ParseFloat(got.retryAfter, 64)
		if got.status != http.StatusServiceUnavailable || err != nil || seconds < pause.Seconds()-2 || got.took > 200*time.Millisecond {
			t.Errorf("status %d after %v with Retry-After %q, want 503 at once and about %v", got.status, got.took, got.retryAfter, pause)
		}
		times[got.retryAfter] = true
	}
	if n := reached.between(began, time.Now()); n > 0 || len(times) < requests/2 {
		t.Errorf("%d requests reached targets, %d different times to return, want 0 and %d or more", n, len(times), requests/2)
	}
}

// TestInvalidNotices has a target send invalid headers. A valid pause that it asked
// for before stays in force.
func TestInvalidNotices(t *testing.T) {
	tests := map[string]struct {
		name, value string
		longest     time.Duration
	}{
		"negative pause":   {"Retry-After", "-5", 0},
		"pause is no time": {"Retry-After", "soon", 0},
		"pause is NaN":     {"Retry-After", "NaN", 0},
		"a year":           {"Retry-After", "31536000", 10 * time.Minute},
		"beyond numbers":   {"Retry-After", "1e999", 10 * time.Minute},
		"infinite":         {"Retry-After", "Inf", 10 * time.Minute},
		"a date":           {"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT", 0},
		"leaving: text":    {"Server-Leaving", "yes", 0},
		"leaving: 0":       {"Server-Leaving", "0", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.handleAll(func(target *fakes.Target, rw http.ResponseWriter, r *http.Request) bool {
				rw.Header().Set(test.name, test.value)
				target.RespondNotRun(rw, r)
				return true
			})
			w.do(t, "POST", "/write/x", "r1")
			dump := w.server.Dump()
			longest := int64(math.MinInt64)
			for _, target := range dump.Targets {
				longest = max(longest, target.PausedMillis)
			}
			if want := test.longest.Milliseconds(); dump.LeavingTargets != 0 || longest > want || longest < want-2000 {
				t.Errorf("%d targets leave, the longest pause is %d ms, want 0 and %d", dump.LeavingTargets, longest, want)
			}
		})
	}
}

// TestHeardLeaving has another instance of the zone tell that a target announced
// that it leaves. That process must get no more requests, and a process of the same
// target that started later is used.
func TestHeardLeaving(t *testing.T) {
	tests := map[string]struct {
		born int64
		used bool
	}{
		"its process":    {1, false},
		"an earlier one": {0, true},
		"a later one":    {2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.server.Handle(t.Context(), wire.Hello{Instance: "other"}, &wire.Heartbeat{
				Instance: "other", Left: []wire.LeavingTarget{{Target: "t1", Born: test.born}, {Target: "unknown", Born: 1}},
			})
			w.doMany(t, "a", 40)
			if used := w.targets[0].Total() > 0; used != test.used {
				t.Errorf("the target is used: %v, want %v", used, test.used)
			}
		})
	}
}
