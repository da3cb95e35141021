package node_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/entry"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/node"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/setup"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/stub"
)

const (
	desk   = place.Service("library/search-desk")
	ledger = place.Service("library/loan-ledger")
)

// fleet runs a platform, one target of each service and two entries in the test
// process.
type fleet struct {
	callers   []string
	peers     []string
	operators []string
	processes []*node.Node
	stop      [2]context.CancelFunc
	targets   *stub.Stub
	// platform is the address of the platform.
	platform string
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{}
	platform := plat.New(logs.Discard())
	if err := platform.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	f.targets, f.platform = startTargets(t), platform.Addr()
	roster := store.Roster{Targets: []store.Target{
		{Target: "desk-a", Service: desk, Zone: "kigali/a", Address: f.targets.Addr("desk-a"), State: store.StateLive},
		{Target: "ledger-b", Service: ledger, Zone: "kigali/b", Address: f.targets.Addr("ledger-b"), State: store.StateLive},
	}}
	for i := range 2 {
		zone := place.Zone([]string{"kigali/a", "kigali/b"}[i])
		roster.Entries = append(roster.Entries, f.open(t, i, zone, platform.Addr(), sender.DialTCP))
	}
	platform.SetRoster(roster)
	client := store.NewClient(platform.Addr(), "")
	defer client.Close()
	write(t, client, desk, `{}`)
	write(t, client, ledger, `{"non_idempotent":[{"method":"POST","path":"/loans"}]}`)
	ctx, cancel := context.WithCancel(context.Background())
	for i := range roster.Entries {
		running, stop := context.WithCancel(ctx)
		f.stop[i] = stop
		f.run(running, t, i)
	}
	t.Cleanup(cancel)
	for i := range 2 {
		await(t, func() bool { return len(f.lookup(t, i, desk).Entries) == 2 })
	}
	return f
}

func startTargets(t testing.TB) *stub.Stub {
	t.Helper()
	targets := stub.New(stub.Config{Slots: 4, ServiceTime: time.Millisecond, Targets: []stub.TargetConfig{
		{Name: "desk-a", Address: "127.0.0.1:0"}, {Name: "ledger-b", Address: "127.0.0.1:0"},
	}}, logs.Discard())
	if err := targets.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(targets.Close)
	return targets
}

func write(t testing.TB, client *store.Client, service place.Service, body string) {
	t.Helper()
	writeVersion(t, client, service, body, 0)
}

// writeVersion writes a policy in place of the given version.
func writeVersion(t testing.TB, client *store.Client, service place.Service, body string, replaced uint64) {
	t.Helper()
	value, err := config.NewEnvelope(nil, "test", "change-1", time.Now(), []byte(body)).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(context.Background(), config.ServicePath(service), value, replaced); err != nil {
		t.Fatal(err)
	}
}

// open assembles entry i, which opens its connections to targets with dial, and
// returns it as it stands in the roster. Its ports are open from then on, so that
// nothing else can take them.
func (f *fleet) open(t testing.TB, i int, zone place.Zone, platform string, dial sender.DialFunc) store.Entry {
	t.Helper()
	const address = "127.0.0.1:0"
	name := place.Instance(fmt.Sprintf("entry-%d", i))
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	settings := setup.NewEntry(flags)
	err := flags.Parse([]string{
		"--instance", string(name), "--zone", string(zone), "--caller-address", address, "--peer-address", address,
		"--operator-address", address, "--platform-address", platform, "--drain-timeout", "5s",
	})
	if err != nil {
		t.Fatal(err)
	}
	process, err := node.New(settings, dial, logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	f.processes = append(f.processes, process)
	f.callers, f.operators = append(f.callers, process.CallerAddr()), append(f.operators, process.OperatorAddr())
	f.peers = append(f.peers, process.PeerAddr())
	return store.Entry{Instance: name, Zone: zone, CallerAddress: f.callers[i], PeerAddress: f.peers[i], State: store.StateLive}
}

// run serves requests with entry i until ctx ends.
func (f *fleet) run(ctx context.Context, t testing.TB, i int) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- f.processes[i].Run(ctx) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func await(t testing.TB, ready func() bool) {
	t.Helper()
	for range 1000 {
		if ready() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the condition did not become true within 20 seconds")
}

// found is the answer to a look-up.
type found struct {
	Entries   []struct{ Instance place.Instance }
	KeyPrefix string `json:"key_prefix"`
}

func (f *fleet) lookup(t testing.TB, i int, service place.Service) found {
	t.Helper()
	var answer found
	response, err := http.Get("http://" + f.callers[i] + "/v1/lookup?service=" + string(service))
	if err != nil {
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer
}

// send sends a request to entry i and returns the status, the verdict, the
// reason and the body.
func (f *fleet) send(t *testing.T, i int, method, path string, headers map[string]string, body string) (int, string, string, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.callers[i]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(entry.HeaderVerdict), response.Header.Get(entry.HeaderReason), string(text)
}

// Requests and look-ups get the documented status, verdict and reason, whichever
// entry receives them.
func TestPath(t *testing.T) {
	f := newFleet(t)
	key := f.lookup(t, 1, ledger).KeyPrefix
	tests := map[string]struct {
		entry                int
		method, path         string
		headers              map[string]string
		body                 string
		status               int
		verdict, reason, has string
	}{
		"own zone":        {0, "GET", "/s/library/search-desk/books?q=1", map[string]string{"X-Request-Id": "r-1"}, "", 200, "ran", "", "r-1"},
		"other zone":      {1, "GET", "/s/library/search-desk/books", map[string]string{"X-Request-Id": "r-2"}, "", 200, "ran", "", "r-2"},
		"no key":          {0, "POST", "/s/library/loan-ledger/loans", nil, "x", 428, "not-run", "key-missing", "/v1/lookup"},
		"bad key":         {0, "POST", "/s/library/loan-ledger/loans", map[string]string{entry.HeaderKey: "nonsense"}, "x", 400, "not-run", "key-invalid", "look-up"},
		"key at home":     {1, "POST", "/s/library/loan-ledger/loans", map[string]string{entry.HeaderKey: key + ".1"}, "x", 200, "ran", "", key + ".1"},
		"key from away":   {0, "POST", "/s/library/loan-ledger/loans", map[string]string{entry.HeaderKey: key + ".2"}, "x", 200, "ran", "", key + ".2"},
		"no service":      {0, "GET", "/s/library/nothing/", nil, "", 404, "not-run", "no-service", "library/nothing"},
		"bad service":     {0, "GET", "/s/Library/x/", nil, "", 400, "not-run", "bad-request", "Library"},
		"no such page":    {0, "GET", "/admin", nil, "", 400, "not-run", "bad-request", "/v1/lookup"},
		"bad deadline":    {0, "GET", "/s/library/search-desk/", map[string]string{entry.HeaderDeadline: "soon"}, "", 400, "not-run", "bad-request", "soon"},
		"lookup unknown":  {0, "GET", "/v1/lookup?service=library/none", nil, "", 404, "not-run", "no-service", "none"},
		"lookup no query": {0, "GET", "/v1/lookup", nil, "", 400, "not-run", "bad-request", "team/service"},
		"oversized":       {0, "POST", "/s/library/search-desk/", nil, strings.Repeat("x", entry.RequestBytesMax+1), 400, "not-run", "bad-request", "too large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, verdict, reason, body := f.send(t, test.entry, test.method, test.path, test.headers, test.body)
			if status != test.status || verdict != test.verdict || reason != test.reason {
				t.Errorf("got %d %q %q %s, want %d %q %q", status, verdict, reason, body, test.status, test.verdict, test.reason)
			}
			if !strings.Contains(strings.ToLower(body), strings.ToLower(test.has)) {
				t.Errorf("the body %q lacks %q", body, test.has)
			}
		})
	}
}

// Malformed HTTP input must not affect requests on other connections.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	tests := map[string]string{
		"malformed":      "\x00\x01\x02 nonsense\r\n\r\n",
		"truncated":      "POST /s/library/search-desk/ HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nshort",
		"long head":      "GET /s/library/search-desk/ HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 2*entry.HeadBytesMax) + "\r\n\r\n",
		"lying length":   "POST /s/library/search-desk/ HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
		"two lengths":    "POST /s/library/search-desk/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"negative chunk": "POST /s/library/search-desk/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
	}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			for _, address := range []string{f.callers[0], f.operators[0]} {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(conn, input)
				_ = conn.(*net.TCPConn).CloseWrite()
				_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
				answer, _ := io.ReadAll(conn)
				if strings.HasPrefix(string(answer), "HTTP/1.1 200") && address == f.callers[0] {
					t.Errorf("the answer is %q", answer)
				}
				_ = conn.Close()
			}
			if status, _, _, body := f.send(t, 0, "GET", "/s/library/search-desk/", nil, ""); status != 200 {
				t.Errorf("the next request got %d %s", status, body)
			}
		})
	}
}

func TestOperatorPort(t *testing.T) {
	f := newFleet(t)
	tests := map[string]string{
		"/dump": `"settings"`, "/metrics": "endivechute_requests_total", "/health/alive": "alive", "/health/ready": "ready",
	}
	f.send(t, 0, "GET", "/s/library/search-desk/", nil, "")
	for page, want := range tests {
		t.Run(page, func(t *testing.T) {
			response, err := http.Get("http://" + f.operators[0] + page)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			text, _ := io.ReadAll(response.Body)
			if response.StatusCode != 200 || !strings.Contains(string(text), want) {
				t.Errorf("got %d %.200s, want %q in it", response.StatusCode, text, want)
			}
		})
	}
}
