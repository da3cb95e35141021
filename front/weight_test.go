package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/sender"
)

// capacityLines returns the lines of a settings file with the contract and a capacity.
func capacityLines(share, mbps float64) string {
	return fmt.Sprintf("contracts=pressure\nlimits.cpu_share=%v\nlimits.bandwidth_mbps=%v\n", share, mbps)
}

// startInstances starts instances of one zone with additional lines in their
// settings, and waits until each knows that all are live.
func startInstances(t *testing.T, store *fakes.Store, lines []string) (servers []*front.Server, settings []*platform.Settings) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i, text := range lines {
		read, err := platform.ReadSettings(strings.NewReader(fakes.Settings(fmt.Sprintf("i%d", i+1), "a1", "a", store.Address(), freePorts(t)) + text))
		if err != nil {
			t.Fatal(err)
		}
		server := front.New(read, "", sender.DialTCP, time.Now, logs.Discard())
		running.Go(func() {
			if err := server.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		servers, settings = append(servers, server), append(settings, read)
	}
	for _, server := range servers {
		eventually(t, 10*time.Second, "all live", func() bool { return len(server.Dump().LiveInstances) == len(lines) })
	}
	return servers, settings
}

// lookUpAs returns the addresses that a client with the IP address is given.
func lookUpAs(t *testing.T, at *platform.Settings, client, host string) []string {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(client)}}).DialContext}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.Addresses().Lookups()+platform.PathLookup+"?region=a&zone=a1&name="+host, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer fakes.Lookup
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.Addresses
}

// TestWeightedLookups guards against look-ups that ignore the capacity which instances
// register, or the host, or that differ from one look-up to the next. One instance has
// much bandwidth, another many cores, and one has registered nothing, as one of the
// previous release.
func TestWeightedLookups(t *testing.T) {
	const clients = 12
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	head, host, _ := strings.Cut(strings.TrimSuffix(fakes.Config(1, timeoutMillis), "]}"), `{"host"`)
	download := strings.NewReplacer("h.example", "files.example", `"idempotent"`, `"download"`).Replace(host)
	store.Put("config", "main", head+`{"host"`+host+`,{"host"`+download+"]}")
	small := capacityLines(0.1, 10)
	lines := []string{small, capacityLines(0.1, 200), capacityLines(0.8, 10), "", small, small, small, small}
	servers, settings := startInstances(t, store, lines)
	own := servers[0]
	for _, server := range []*front.Server{own, servers[4]} {
		eventually(t, 5*time.Second, "all registered", func() bool { return server.Dump().KnownCapacities == len(lines)-1 })
	}
	if dump := own.Dump(); dump.CPUShare != 0.1 || dump.Mbps != 10 {
		t.Errorf("the capacity in the dump is %v and %v, want 0.1 and 10", dump.CPUShare, dump.Mbps)
	}
	for host, favored := range map[string]int{"files.example": 1, "h.example": 2, "unknown.example": 2} {
		seen := map[string]bool{}
		for i := range clients {
			client := fmt.Sprintf("127.0.0.%d", i+2)
			given := lookUpAs(t, settings[0], client, host)
			if len(given) != 4 || !slices.Contains(given, settings[favored].Addresses().Clients()) {
				t.Errorf("%s: client %s is given %v; want 4 with instance %d, %s", host, client, given, favored+1, settings[favored].Addresses().Clients())
			}
			if again := lookUpAs(t, settings[4], client, host); !slices.Equal(given, again) {
				t.Errorf("%s: client %s is given %v and %v by another instance", host, client, given, again)
			}
			for _, address := range given {
				seen[address] = true
			}
		}
		if len(seen) < len(lines)-1 {
			t.Errorf("%s: %d of %d instances are named to %d clients", host, len(seen), len(lines), clients)
		}
	}
	if spec := store.Spec(platform.KindInstances, "i4"); strings.Contains(spec, "cpu_share") || strings.Contains(spec, "mbps") {
		t.Errorf("without the contract an instance registered %s", spec)
	}
}
