package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/entry"
	"github.com/endivechute/endivechute/store"
)

// TestStopRefusesLateRequests guards against requests that an entry takes shortly before
// it stops, and cuts off while a target is at work on them.
func TestStopRefusesLateRequests(t *testing.T) {
	const (
		path = "/s/library/search-desk/books"
		// The target is in the zone of the other entry. work is the time of a request there. The drain timeout of the entries
		// is 5 s, and look-up answers have expired 3 s after the stop began.
		work = "4500"
		late = 3300 * time.Millisecond
	)
	f := newFleet(t)
	client := store.NewClient(f.platform, "")
	defer client.Close()
	policy, err := client.Get(t.Context(), config.ServicePath(desk))
	if err != nil {
		t.Fatal(err)
	}
	writeVersion(t, client, desk, `{"deadline_ms":10000}`, policy.Version())
	time.Sleep(500 * time.Millisecond) // until the policy is in force
	response, err := http.Post("http://"+f.targets.Addr("desk-a")+"/control/faults", "application/json", strings.NewReader(`{"slow_ms":`+work+`}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	send := func(deadline string) (status int, verdict, lookup string, err error) {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.callers[1]+path, http.NoBody)
		if err != nil {
			return 0, "", "", err
		}
		request.Header.Set(entry.HeaderDeadline, deadline)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return 0, "", "", err
		}
		_ = response.Body.Close()
		return response.StatusCode, response.Header.Get(entry.HeaderVerdict), response.Header.Get(entry.HeaderLookup), nil
	}
	began := time.Now()
	f.stop[1]()
	var early conc.WaitGroup
	defer early.Wait()
	early.Go(func() {
		if status, verdict, _, err := send("10000"); status != http.StatusOK || verdict != "ran" {
			t.Errorf("the early request: status %d, verdict %q, error %v; want 200", status, verdict, err)
		}
	})
	time.Sleep(time.Until(began.Add(late)))
	sent := time.Now()
	status, verdict, lookup, err := send("10000")
	if status != http.StatusServiceUnavailable || verdict != "not-run" || lookup != "again" {
		t.Errorf("the late request: status %d, verdict %q, look-up %q, error %v; want 503, not-run, again", status, verdict, lookup, err)
	}
	if took := time.Since(sent); took > 500*time.Millisecond {
		t.Errorf("the late request was refused after %v, want at once", took)
	}
	if status, _, _, err := send("1000"); status != http.StatusGatewayTimeout {
		t.Errorf("the late request with a deadline before the end: status %d, error %v; want the 504 of its deadline", status, err)
	}
}
