package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/load"
	"github.com/endivechute/endivechute/place"
)

// setFaults replaces the faults that the target desk-a simulates. body is a
// stub.Faults as JSON.
func (f *fleet) setFaults(t *testing.T, body string) {
	t.Helper()
	response, err := http.Post("http://"+f.targets.Addr("desk-a")+"/control/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("faults: status %d", response.StatusCode)
	}
}

// sendFor sends requests to both entries, 25 a second to each, for the given time.
func (f *fleet) sendFor(t *testing.T, span time.Duration) {
	t.Helper()
	var requests conc.WaitGroup
	defer requests.Wait()
	n := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n++
		requests.Go(func() {
			f.send(t, n%2, http.MethodGet, fmt.Sprintf("/s/%s/%s-%d", desk, t.Name(), n), map[string]string{"Endivechute-Deadline-Ms": "500"}, "")
		})
	}
}

// executed returns how many requests the target began to run from the given time
// on, within the span.
func (f *fleet) executed(t *testing.T, target place.Target, from time.Time, span time.Duration) int {
	t.Helper()
	log, err := load.ReadLog(f.targets.Addr(target))
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, e := range log.Executions {
		if began := time.UnixMilli(e.BeganMillis); began.After(from) && began.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// TestKeeperExceedsNamedLimit guards against a keeper that sends its target more
// requests per second than the target names.
func TestKeeperExceedsNamedLimit(t *testing.T) {
	const (
		limit  = 5
		window = 4 * time.Second
		most   = limit*4*3/2 + 5
	)
	f := newFleet(t)
	for _, value := range []string{"5", "soon"} {
		f.setFaults(t, fmt.Sprintf(`{"limit":%q}`, value))
		f.sendFor(t, time.Second)
		from := time.Now()
		f.sendFor(t, window)
		if n := f.executed(t, "desk-a", from, window); n > most || n < 2*limit {
			t.Errorf("limit %q: %d requests in %v, want %d to %d", value, n, window, 2*limit, most)
		}
	}
	f.setFaults(t, `{}`)
	f.sendFor(t, time.Second)
	from := time.Now()
	f.sendFor(t, time.Second)
	if n := f.executed(t, "desk-a", from, time.Second); n < 2*limit {
		t.Errorf("%d requests in a second after the limit went, want %d or more", n, 2*limit)
	}
}
