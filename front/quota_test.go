package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/quota"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/tenant"
	"github.com/endivechute/endivechute/wait"
)

// TestQuotaRefusal guards against requests beyond a quota that are admitted, and
// against others that are refused or counted.
func TestQuotaRefusal(t *testing.T) {
	limited := tenant.New(tenant.Spec{Name: "t", Quota: quota.New(1, 1)})
	tests := map[string]struct {
		tenant *tenant.Tenant
		// err is the end of the first request.
		err           error
		second, third int
	}{
		"no tenant":         {nil, nil, 200, 200},
		"no quota":          {tenant.New(tenant.Spec{Name: "t"}), nil, 200, 200},
		"beyond the quota":  {limited, nil, 429, 429},
		"first may run":     {limited, errs.MayHaveRun(errs.ReasonCutAnswer, "cut"), 429, 429},
		"first ran nowhere": {limited, errs.NotRun(errs.ReasonTargetBusy, 0, "busy"), 200, 429},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := New(&platform.Settings{}, "", sender.DialTCP, func() time.Time { return now }, logs.Discard())
			check := func() (*httptest.ResponseRecorder, *request) {
				w := httptest.NewRecorder()
				q := &request{http: httptest.NewRequest(http.MethodGet, "/", http.NoBody), arrived: now, tenant: test.tenant}
				if admitted := s.checkQuota(w, q); admitted != (w.Code == http.StatusOK) {
					t.Errorf("admitted: %v, status %d", admitted, w.Code)
				}
				return w, q
			}
			first, q := check()
			s.returnQuota(q, test.err)
			second, _ := check()
			third, _ := check()
			if first.Code != http.StatusOK || second.Code != test.second || third.Code != test.third {
				t.Errorf("statuses %d, %d, %d; want 200, %d, %d", first.Code, second.Code, third.Code, test.second, test.third)
			}
			retryAfter, err := strconv.ParseFloat(third.Header().Get("Retry-After"), 64)
			if third.Code == http.StatusTooManyRequests && (err != nil || retryAfter <= 0 || retryAfter > 10) {
				t.Errorf("Retry-After is %q, want a time of up to 10 s", third.Header().Get("Retry-After"))
			}
		})
	}
}

// quotaServer is a running instance with the quotas of a test.
type quotaServer struct {
	*Server
	stop func()
}

func startQuotaServer(t *testing.T, store *fakes.Store, name, zone string, quotas map[place.Tenant]quota.Quota) quotaServer {
	t.Helper()
	// Each instance has an address of its own, so that all can have the same ports.
	host := fmt.Sprintf("127.9.%d.%s", time.Now().UnixNano()%200, name[1:])
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	port := min(listener.Addr().(*net.TCPAddr).Port, 60000)
	_ = listener.Close()
	lines := fakes.NodeSettings{Name: name, Zone: zone, Region: zone[:1], Host: host, Store: store.Address(), Port: port}.Lines()
	settings, err := platform.ReadSettings(strings.NewReader(lines + fakes.QuotaSlack(200)))
	if err != nil {
		t.Fatal(err)
	}
	s := quotaServer{Server: New(settings, "", sender.DialTCP, time.Now, logs.Discard())}
	s.quotas = func() map[place.Tenant]quota.Quota { return quotas }
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	s.stop = func() { cancel(); running.Wait() }
	t.Cleanup(s.stop)
	return s
}

// TestQuotaAcrossZones guards against instances that don't know what those of other
// zones admitted, also after a collector has stopped.
func TestQuotaAcrossZones(t *testing.T) {
	const perSecond = 20
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", fakes.Config(1, 1000))
	quotas := map[place.Tenant]quota.Quota{"t": quota.New(perSecond, 100)}
	var servers []quotaServer
	for i, zone := range []string{"a1", "a1", "a1", "a2", "b1"} {
		servers = append(servers, startQuotaServer(t, store, fmt.Sprint("i", i+1), zone, quotas))
	}
	waitFor := func(what string, condition func(s quotaServer) bool) {
		t.Helper()
		for _, s := range servers {
			for end := time.Now().Add(5 * time.Second); !condition(s); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s: not within 5 s at %s; %+v", what, s.self.Instance, s.Dump().Quotas)
				}
			}
		}
	}
	heardAll := func(s quotaServer) bool {
		states := s.Dump().Quotas
		return s.Ready() && s.instances.Size() == 5 && len(states) == 1 && !states[0].CutOff && states[0].AgeMillis < 500
	}
	// use sends requests to an instance until all know of them.
	use := func(s quotaServer) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		var running conc.WaitGroup
		running.Go(func() {
			for wait.Sleep(ctx, time.Second/perSecond) {
				s.limiter.Admit("t", quotas["t"], s.now())
			}
		})
		waitFor("demand elsewhere", func(other quotaServer) bool { return other.Dump().Quotas[0].Demand > 1 })
		cancel()
		running.Wait()
	}
	waitFor("replies", heardAll)
	use(servers[0])
	gone := servers[0].chooseCollector(servers[0].instances.Live())
	var left []quotaServer
	for _, s := range servers {
		if s.self.Instance == gone {
			s.stop()
		} else {
			left = append(left, s)
		}
	}
	servers = left
	waitFor("replies of the next collector", heardAll)
	use(servers[len(servers)-1])
}
