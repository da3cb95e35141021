package stub_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/stub"
)

const service = "library/search-desk"

func start(t *testing.T, slots, queue int, serviceTime time.Duration) string {
	t.Helper()
	s := stub.New(stub.Config{
		Service: service, Zone: "kigali/a", Slots: slots, Queue: queue, ServiceTime: serviceTime,
		Targets: []stub.TargetConfig{{Name: "t1", Address: "127.0.0.1:0"}},
	}, logs.Discard())
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return "http://" + s.Addr("t1")
}

func send(ctx context.Context, t *testing.T, method, url, body string, headers map[string]string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer.StatusCode, "cut"
	}
	return answer.StatusCode, string(text)
}

func readLog(t *testing.T, url string) stub.Log {
	t.Helper()
	_, text := send(t.Context(), t, "GET", url+"/control/log", "", nil)
	var log stub.Log
	if err := json.Unmarshal([]byte(text), &log); err != nil {
		t.Fatal(err)
	}
	return log
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: the condition did not hold within 20 s", what)
		}
	}
}

func TestEcho(t *testing.T) {
	url := start(t, 1, 0, 0)
	_, text := send(t.Context(), t, "POST", url+"/loans", "book", map[string]string{"Endivechute-Key": "k.1", "X-Request-Id": "r1"})
	var got stub.Echo
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	want := stub.Echo{Target: "t1", Service: service, Key: "k.1", Request: "r1", BodyHash: stub.HashBody([]byte("book"))}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	log := readLog(t, url)
	if len(log.Executions) != 1 || log.Executions[0].Key != "k.1" || log.Executions[0].EndedMillis == 0 {
		t.Errorf("log %+v, want one completed execution with key k.1", log)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults string
		status int
		body   string
		ran    int
	}{
		"close after run": {`{"close_after_run":1}`, 0, "", 1},
		"cut answer":      {`{"cut_answer":1}`, 200, "cut", 1},
		"down":            {`{"down":true}`, 0, "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url := start(t, 1, 0, 0)
			if status, text := send(t.Context(), t, "POST", url+"/control/faults", test.faults, nil); status != 200 {
				t.Fatal(text)
			}
			status, body := send(t.Context(), t, "POST", url+"/x", "", nil)
			if status != test.status || body != test.body {
				t.Errorf("got %d %q, want %d %q", status, body, test.status, test.body)
			}
			if log := readLog(t, url); len(log.Executions) != test.ran {
				t.Errorf("%d executions, want %d", len(log.Executions), test.ran)
			}
		})
	}
	url := start(t, 1, 0, 0)
	if status, _ := send(t.Context(), t, "POST", url+"/control/faults", `{"closed":1}`, nil); status != 400 {
		t.Errorf("an unknown fault returned status %d, want 400", status)
	}
}

// TestSlots fills the only slot and then the only place in the queue, and checks
// the statuses of further requests and that a canceled read ends.
func TestSlots(t *testing.T) {
	url := start(t, 1, 1, time.Hour)
	var sending conc.WaitGroup
	defer sending.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sending.Go(func() { send(ctx, t, "GET", url+"/a", "", nil) })
	waitFor(t, "the first request runs", func() bool { return len(readLog(t, url).Executions) == 1 })
	if status, _ := send(t.Context(), t, "GET", url+"/late", "", map[string]string{"X-Deadline-Ms": "1"}); status != 504 {
		t.Errorf("a request with a deadline of 1 ms returned status %d, want 504", status)
	}
	sending.Go(func() {
		for ctx.Err() == nil {
			send(ctx, t, "GET", url+"/b", "", nil)
		}
	})
	waitFor(t, "a request is shed", func() bool {
		status, _ := send(t.Context(), t, "GET", url+"/c", "", map[string]string{"X-Deadline-Ms": "1"})
		return status == 503
	})
	cancel()
	sending.Wait()
	waitFor(t, "the canceled read ends", func() bool { return readLog(t, url).Executions[0].Canceled })
	if log := readLog(t, url); log.MostRunning != 1 {
		t.Errorf("most running %d, want 1", log.MostRunning)
	}
}

func TestLoadLies(t *testing.T) {
	url := start(t, 3, 0, 0)
	for faults, want := range map[string]string{
		`{}`:                   `"slots":3,"connections":1,"leaving":false`,
		`{"leaving":true}`:     `"leaving":true`,
		`{"lie_idle":true}`:    `"running":0`,
		`{"freeze_load":true}`: `"leaving":false`,
	} {
		send(t.Context(), t, "POST", url+"/control/faults", `{}`, nil)
		send(t.Context(), t, "POST", url+"/control/faults", faults, nil)
		if _, text := send(t.Context(), t, "GET", url+"/load", "", nil); !bytes.Contains([]byte(text), []byte(want)) {
			t.Errorf("faults %s: load report %s, want it to contain %s", faults, text, want)
		}
	}
}
