package front_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// Keys of tenants in the tests. No instance may show them.
const (
	keyOne  = "secret-key-one"
	keyTwo  = "secret-key-two"
	forged  = "forged-tenant"
	keyText = "secret-key"
)

// detourPortOffset is the number of ports from that for clients to that for requests of
// other instances.
const detourPortOffset = 4

func tenantConfig(version int, tenants ...fakes.TenantEntry) string {
	return fakes.WithTenants(fakes.Config(version, timeoutMillis), tenants...)
}

// doWithKeys sends a request with a forged tenant and with the keys, and returns its
// status and whether it has a time to come back.
func doWithKeys(t *testing.T, address, path, id string, keys ...string) (status int, retryAfter bool) {
	t.Helper()
	r, err := fakes.NewRequest(t.Context(), "POST", address, path, id, "7", "body", timeoutMillis)
	if err != nil {
		t.Fatal(err)
	}
	fakes.SetKeys(r, keys...)
	fakes.SetTenant(r, forged)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Error(err)
		return 0, false
	}
	_ = response.Body.Close()
	if echo := fakes.RequestID(response.Header); echo != id {
		t.Errorf("the answer has the request id %q, want %q", echo, id)
	}
	return response.StatusCode, response.Header.Get("Retry-After") != ""
}

// hasKey reports whether any header of a request has one of the keys.
func hasKey(r *http.Request) bool {
	return strings.Contains(fmt.Sprint(r.Header), keyText)
}

// TestKeys checks for requests with and without keys what clients get and what targets
// get to see: never a key, and never a tenant that the client has named. Without tenants
// in the configuration, requests are forwarded as they are.
func TestKeys(t *testing.T) {
	valid := fakes.TenantEntry{Name: "one", Keys: []string{"other", keyOne}}
	tests := map[string]struct {
		config  string
		path    string
		keys    []string
		status  int
		tenants []string
	}{
		"known key":            {tenantConfig(1, valid), "/read/x", []string{keyOne}, 200, []string{"one"}},
		"known key, once":      {tenantConfig(1, valid), "/write/x", []string{keyOne}, 200, []string{"one"}},
		"unknown key":          {tenantConfig(1, valid), "/read/x", []string{keyTwo}, 401, nil},
		"no key":               {tenantConfig(1, valid), "/read/x", nil, 401, nil},
		"empty key":            {tenantConfig(1, valid), "/read/x", []string{""}, 401, nil},
		"two keys":             {tenantConfig(1, valid), "/read/x", []string{keyOne, keyOne}, 401, nil},
		"unknown route":        {tenantConfig(1, valid), "/nowhere/x", nil, 404, nil},
		"public route":         {tenantConfig(1, valid), fakes.PublicRoute, nil, 200, nil},
		"public route, key":    {tenantConfig(1, valid), fakes.PublicRoute, []string{keyOne}, 200, nil},
		"shared key":           {tenantConfig(1, valid, fakes.TenantEntry{Name: "two", Keys: []string{keyOne}}), "/read/x", []string{keyOne}, 503, nil},
		"unreadable list":      {fakes.WithTenantList(fakes.Config(1, timeoutMillis), `"`+keyOne+`"`), "/read/x", []string{keyOne}, 503, nil},
		"unreadable, no key":   {fakes.WithTenantList(fakes.Config(1, timeoutMillis), `{}`), "/read/x", nil, 503, nil},
		"unreadable, public":   {fakes.WithTenantList(fakes.Config(1, timeoutMillis), `{}`), fakes.PublicRoute, nil, 200, nil},
		"empty list":           {fakes.WithTenantList(fakes.Config(1, timeoutMillis), `[]`), "/read/x", []string{keyOne}, 200, []string{forged}},
		"no list":              {fakes.Config(1, timeoutMillis), "/read/x", []string{keyOne}, 200, []string{forged}},
		"region out of bounds": {tenantConfig(1, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}, AllowedRegions: []string{"b"}}), "/read/x", []string{keyOne}, 503, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnvWith(t, "", test.config)
			arrivals := logArrivals(w.targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false })
			status, retryAfter := doWithKeys(t, w.address(), test.path, "r1", test.keys...)
			if status != test.status || retryAfter != (status == http.StatusServiceUnavailable) {
				t.Errorf("status %d, a time to come back: %v; want %d", status, retryAfter, test.status)
			}
			reached := arrivals.of("r1")
			if (len(reached) > 0) != (status == http.StatusOK) {
				t.Fatalf("%d arrivals at targets with status %d", len(reached), status)
			}
			for _, r := range reached {
				asIs := slices.Equal(test.tenants, []string{forged})
				if named := fakes.TenantsOf(r); !slices.Equal(named, test.tenants) || hasKey(r) != asIs {
					t.Errorf("the target gets %v, want the tenants %q and the key: %v", r.Header, test.tenants, asIs)
				}
			}
		})
	}
}

// TestKeysChange replaces a key by a new version of the configuration while a connection
// is open. It guards against a check only at the start of a connection.
func TestKeysChange(t *testing.T) {
	w := newTestEnvWith(t, "", tenantConfig(1, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}}))
	conn := dial(t, w.address())
	reader := bufio.NewReader(conn)
	n := 0
	do := func(key string) int {
		n++
		r, err := fakes.NewRequest(t.Context(), "POST", w.address(), "/read/x", fmt.Sprintf("c%d", n), "7", "body", timeoutMillis)
		if err != nil {
			t.Fatal(err)
		}
		fakes.SetKeys(r, key)
		return exchangeRequest(t, conn, reader, r)
	}
	if one, two := do(keyOne), do(keyTwo); one != http.StatusOK || two != http.StatusUnauthorized {
		t.Fatalf("statuses %d and %d, want 200 and 401", one, two)
	}
	w.store.Put("config", "main", tenantConfig(2, fakes.TenantEntry{Name: "one", Keys: []string{keyTwo}}))
	eventually(t, 2*time.Second, "the keys change", func() bool {
		return do(keyOne) == http.StatusUnauthorized && do(keyTwo) == http.StatusOK
	})
}

func exchangeRequest(t *testing.T, conn net.Conn, reader *bufio.Reader, r *http.Request) int {
	t.Helper()
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestKeysOutdated guards against a new key being denied by an instance that can't
// follow the platform, and against known keys being refused there.
func TestKeysOutdated(t *testing.T) {
	w := newTestEnvWith(t, "", tenantConfig(1, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}}))
	w.store.RejectCalls(http.StatusServiceUnavailable)
	eventually(t, 8*time.Second, "an outdated configuration", func() bool {
		status, retryAfter := doWithKeys(t, w.address(), "/read/x", "r1", keyTwo)
		return status == http.StatusServiceUnavailable && retryAfter
	})
	if status, _ := doWithKeys(t, w.address(), "/read/x", "r2", keyOne); status != http.StatusOK {
		t.Errorf("status %d with a known key, want 200", status)
	}
}

// TestTenantDetour guards against a key that reaches another instance or a target by a
// detour, and against one into a region that the tenant doesn't allow.
func TestTenantDetour(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 4)
	for n, target := range targets {
		store.Put("servers", fmt.Sprintf("t%d", n+1), target.Spec("svc", []string{"a1", "b1"}[n%2], "ready", 0, 1))
	}
	instances := cutFleet(t, store, "a1", "a2", "b1")
	store.Put("config", "main", tenantConfig(2, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}, AllowedRegions: []string{"b"}}, fakes.TenantEntry{Name: "none", Keys: []string{keyTwo}, AllowedRegions: []string{"c"}}))
	for _, i := range instances {
		eventually(t, 3*time.Second, "the tenants are known", func() bool { return i.server.Dump().Tenants == 2 })
	}
	arrivals := logArrivals(targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false })
	n := 0
	eventually(t, 3*time.Second, "the targets of the tenant's region are out of reach", func() bool {
		n++
		status, _ := doWithKeys(t, instances[0].address, "/read/x", fmt.Sprintf("w%d", n), keyOne)
		return status == http.StatusOK
	})
	for n := range 10 {
		id := fmt.Sprintf("d%d", n)
		if status, _ := doWithKeys(t, instances[0].address, "/read/x", id, keyOne); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		for _, r := range arrivals.of(id) {
			if hasKey(r) || !slices.Equal(fakes.TenantsOf(r), []string{"one"}) {
				t.Errorf("the target gets %v, want the tenant and no key", r.Header)
			}
		}
		if targets[0].Runs(id)+targets[2].Runs(id) > 0 {
			t.Error("a target in a region that the tenant doesn't allow ran the request")
		}
		if status, _ := doWithKeys(t, instances[0].address, "/read/x", id+"n", keyTwo); status != http.StatusServiceUnavailable {
			t.Errorf("status %d for a tenant without instances in its region, want 503", status)
		}
		if status, _ := doWithKeys(t, instances[0].address, fakes.PublicRoute, id+"p", keyOne); status != http.StatusOK {
			t.Errorf("status %d on a public route, want 200", status)
		}
		for _, r := range arrivals.of(id + "p") {
			if hasKey(r) || len(fakes.TenantsOf(r)) > 0 {
				t.Errorf("the target gets %v on a public route, want neither tenant nor key", r.Header)
			}
		}
	}
}

// TestDetourUnchecked sends an instance requests as another one passes them on. It
// guards against a key that reaches a target, or a request without one, if the sender
// is of the previous release or has no tenants in its configuration yet.
func TestDetourUnchecked(t *testing.T) {
	w := newTestEnvWith(t, "", tenantConfig(1, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}}))
	arrivals := logArrivals(w.targets, func(*fakes.Target, http.ResponseWriter, *http.Request) bool { return false })
	tests := map[string]struct {
		path    string
		key     string
		checked bool
		status  int
		tenants []string
	}{
		"known key":          {"/read/x", keyOne, false, 200, []string{"one"}},
		"unknown key":        {"/read/x", keyTwo, false, 503, nil},
		"no key":             {"/read/x", "", false, 503, nil},
		"public route":       {fakes.PublicRoute, keyOne, false, 200, nil},
		"checked":            {"/read/x", "", true, 200, []string{"two"}},
		"checked, still has": {"/read/x", keyTwo, true, 200, []string{"two"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := strings.ReplaceAll(name, " ", "-")
			r, err := fakes.NewRequest(t.Context(), "POST", fmt.Sprintf("127.0.0.1:%d", w.port+detourPortOffset), test.path, id, "7", "", timeoutMillis)
			if err != nil {
				t.Fatal(err)
			}
			fakes.SetKeys(r, test.key)
			fakes.SetTenant(r, forged)
			description := platform.Detour{Service: "svc", Route: route.Spec{Idempotent: true, Timeout: time.Second}, Left: time.Second, KeyChecked: test.checked}
			if test.checked {
				description.Tenant = "two"
			}
			passedOn, err := platform.NewDetourRequest(r, nil, id, description, time.Now(), 1)
			if err != nil {
				t.Fatal(err)
			}
			r.Header = http.Header{}
			for _, h := range passedOn.Headers() {
				r.Header.Add(h.Name(), h.Value())
			}
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			reached := arrivals.of(id)
			if response.StatusCode != test.status || (len(reached) > 0) != (test.status == http.StatusOK) {
				t.Fatalf("status %d after %d arrivals, want %d", response.StatusCode, len(reached), test.status)
			}
			for _, r := range reached {
				if hasKey(r) || !slices.Equal(fakes.TenantsOf(r), test.tenants) {
					t.Errorf("the target gets %v, want the tenants %q and no key", r.Header, test.tenants)
				}
			}
		})
	}
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestKeysStaySecret guards against keys in the log, the dump, the metrics and the
// messages to instances that follow this one.
func TestKeysStaySecret(t *testing.T) {
	store, targets := newTestPlatform(t, 1)
	store.Put("config", "main", tenantConfig(1, fakes.TenantEntry{Name: "one", Keys: []string{keyOne}}, fakes.TenantEntry{Name: keyText[:6], Keys: []string{keyTwo, keyOne + "x", ""}}))
	targets[0].SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		hijack(w, "")
		return r.URL.Path != "/health"
	})
	var lines lockedBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetLevel(logrus.DebugLevel)
	i := startInstanceLogging(t, store, "i1", "a1", sender.DialTCP, log)
	eventually(t, 5*time.Second, "ready", func() bool { return strings.Contains(lines.String(), "Serving requests.") })
	for n, key := range []string{keyOne, keyTwo, keyText + "-unknown"} {
		doWithKeys(t, i.address, "/read/x", fmt.Sprintf("r%d", n), key)
	}
	response, err := http.Get("http://" + i.operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	dump, err := json.Marshal(i.server.Dump())
	if err != nil {
		t.Fatal(err)
	}
	followed, isFollowed := i.server.Handle(t.Context(), wire.Hello{}, &wire.Follow{}).(*wire.Followed)
	if !isFollowed {
		t.Fatal("the instance can't be followed")
	}
	var specs strings.Builder
	for _, kind := range followed.Kinds {
		for _, o := range kind.Objects {
			specs.Write(o.Spec)
		}
	}
	for where, text := range map[string][2]string{
		"log":      {lines.String(), `"tenant":"one"`},
		"dump":     {string(dump), `"tenants":2`},
		"metrics":  {string(metrics), `endivechute_tenant_requests_total{answer="refused",tenant="secret"} 1`},
		"followed": {specs.String(), "key_digests"},
	} {
		if strings.Contains(text[0], keyText) || !strings.Contains(text[0], text[1]) {
			t.Errorf("%s: want %s and no key in %s", where, text[1], text[0])
		}
	}
}
