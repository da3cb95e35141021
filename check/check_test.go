package check_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/check"
	"github.com/endivechute/endivechute/tenant"
)

// sound returns a configuration without findings.
func sound() *check.Config {
	return &check.Config{
		Version: 2, Services: []check.Service{{Name: "a"}, {Name: "b"}},
		Hosts: []check.Host{{Name: "h", Routes: []check.Route{{
			Name: "r", Prefix: "/r/", Type: "t", TypeKnown: true, Timeout: time.Second, Aim: time.Second, Attempts: 1, Service: "a", Regions: []string{"x", "y"},
		}}}},
		Tenants: []check.Tenant{
			{Name: "one", Keys: []tenant.Digest{tenant.DigestOf("k1"), tenant.DigestOf("k2")}, PerSecond: 1, Burst: 1, Regions: []string{"y"}},
			{Name: "two", Keys: []tenant.Digest{tenant.DigestOf("k3")}},
		},
	}
}

// part returns a part of a split with a weight.
func part(service string, weight float64) check.Part {
	return check.Part{Service: service, Weight: &weight}
}

// TestFindings guards against faults that the check passes over, and against findings about
// what is sound.
func TestFindings(t *testing.T) {
	const at = `host h, prefix /r/, route "r": `
	negative := -1
	for name, c := range map[string]struct {
		change func(c *check.Config, r *check.Route)
		want   []string
	}{
		"sound":      {func(*check.Config, *check.Route) {}, nil},
		"unreadable": {func(c *check.Config, _ *check.Route) { c.Unreadable = []check.Unreadable{{"host 1", "w"}} }, []string{"error: host 1: can't be read: w"}},
		"no version": {func(c *check.Config, _ *check.Route) { c.Version = 0 }, []string{"error: configuration: no version is given"}},
		"no hosts":   {func(c *check.Config, _ *check.Route) { c.Hosts = nil }, []string{"error: configuration: no host is given"}},
		"no host":    {func(c *check.Config, _ *check.Route) { c.Hosts[0].Name = "" }, []string{"error: host 0 of the list: no host is given"}},
		"nameless service": {func(c *check.Config, _ *check.Route) { c.Services = append(c.Services, check.Service{}) }, []string{
			"error: service 2 of the list: no name is given",
		}},
		"unknown type":    {func(_ *check.Config, r *check.Route) { r.TypeKnown = false }, []string{"error: " + at + `type "t" is unknown; its requests would run at most once`}},
		"no time-out":     {func(_ *check.Config, r *check.Route) { r.Timeout = 0 }, []string{"error: " + at + "no time-out is given"}},
		"aim":             {func(_ *check.Config, r *check.Route) { r.Aim++ }, []string{"error: " + at + "the aim of 1.000000001s is over the time-out of 1s"}},
		"long time-out":   {func(_ *check.Config, r *check.Route) { r.Timeout = 6 * time.Second }, []string{"contradiction: " + at + "the time-out of 6s is over the longest deadline, 5s"}},
		"no attempts":     {func(_ *check.Config, r *check.Route) { r.Attempts = 0 }, []string{"error: " + at + "no attempts are given"}},
		"no service":      {func(_ *check.Config, r *check.Route) { r.Service = "" }, []string{"error: " + at + "no service is given"}},
		"unknown service": {func(_ *check.Config, r *check.Route) { r.Service = "c" }, []string{"error: " + at + `service "c" is unknown`}},
		"prefix": {func(_ *check.Config, r *check.Route) { r.Prefix = "r" }, []string{
			`error: host h, prefix r, route "r": the prefix doesn't begin and end with a slash`,
		}},
		"split": {func(_ *check.Config, r *check.Route) {
			r.Split = []check.Part{part("a", 1), part("b", 0), {Service: "a"}, part("c", -1), part("", 1)}
		}, []string{
			"error: " + at + `no weight is given for service "a"`, "error: " + at + "part 4 of the split has no service",
			"error: " + at + `service "c" is unknown`, "error: " + at + `the weight of service "c" is negative`,
			"never matches: " + at + `service "b" has the weight 0`,
		}},
		"no weight at all": {func(_ *check.Config, r *check.Route) { r.Service, r.Split = "", []check.Part{part("a", 0)} }, []string{
			"error: " + at + "no service has a weight", "never matches: " + at + `service "a" has the weight 0`,
		}},
		"repeated prefix, host in another case": {func(c *check.Config, r *check.Route) {
			again := *r
			again.Name = "again"
			c.Hosts = append(c.Hosts, check.Host{Name: "H", Routes: []check.Route{again}})
		}, []string{"never matches: " + at + `route "again" has the same host and prefix and comes later`}},
		"key of two": {func(c *check.Config, _ *check.Route) { c.Tenants[1].Keys = c.Tenants[0].Keys[:1] }, []string{
			`error: tenant "two": tenant "one" has the same key, ` + tenant.DigestOf("k1").String()[:8],
		}},
		"key repeated by one": {func(c *check.Config, _ *check.Route) { c.Tenants[0].Keys[1] = c.Tenants[0].Keys[0] }, nil},
		"tenants": {func(c *check.Config, _ *check.Route) {
			c.Tenants[1] = check.Tenant{Name: "one", Priority: &negative}
			c.Tenants = append(c.Tenants, check.Tenant{Keys: []tenant.Digest{tenant.DigestOf("k4")}})
		}, []string{
			`error: tenant "one": another tenant has the same name`, `error: tenant "one": the priority, the rate or the burst is negative`,
			"error: tenant 2 of the list: no name is given", `never matches: tenant "one": the tenant has no key`,
		}},
		"burst": {func(c *check.Config, _ *check.Route) { c.Tenants[0].Burst = 0.5 }, []string{
			`contradiction: tenant "one": the rate is 1 requests a second, and the burst of 0.5 is below one request`,
		}},
		"regions": {func(c *check.Config, _ *check.Route) { c.Tenants[0].Regions = []string{"z"} }, []string{
			`contradiction: tenant "one": it has no allowed region in common with host h, prefix /r/, route "r"`,
		}},
		"regions of a public route": {func(c *check.Config, r *check.Route) { c.Tenants[0].Regions, r.Public = []string{"z"}, true }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			config := sound()
			c.change(config, &config.Hosts[0].Routes[0])
			expect(t, check.Run(config, nil, 5*time.Second), c.want)
		})
	}
}

// TestInForce guards against a version that instances would not take, and against changes
// that the check doesn't show.
func TestInForce(t *testing.T) {
	const at = "changed: host h, prefix /r/: "
	for name, c := range map[string]struct {
		change func(c *check.Config, r *check.Route)
		want   []string
	}{
		"same version": {func(c *check.Config, _ *check.Route) { c.Version-- }, []string{"error: configuration: version 1 isn't newer than version 1, which is in force"}},
		"only newer":   {func(*check.Config, *check.Route) {}, nil},
		"order": {func(c *check.Config, r *check.Route) {
			slices.Reverse(r.Regions)
			slices.Reverse(c.Services)
			slices.Reverse(c.Tenants)
		}, nil},
		"route":               {func(_ *check.Config, r *check.Route) { r.Timeout, r.Priority = 2*time.Second, 1 }, []string{at + "priority 0 -> 1", at + "time-out 1s -> 2s"}},
		"split":               {func(_ *check.Config, r *check.Route) { r.Split = []check.Part{part("b", 3), part("a", 1)} }, []string{at + "services [a] -> [a 1, b 3]"}},
		"the same as a split": {func(_ *check.Config, r *check.Route) { r.Split = []check.Part{part("a", 7)} }, nil},
		"added and removed": {func(c *check.Config, r *check.Route) {
			r.Prefix = "/s/"
			c.Services[1].Name = "c"
			c.Limits.BodyBytes = 5
		}, []string{
			"changed: host h, prefix /r/: removed", "changed: host h, prefix /s/: added", "changed: limits: body bytes 0 -> 5",
			`changed: service "b": removed`, `changed: service "c": added`,
		}},
		"key": {func(c *check.Config, _ *check.Route) { c.Tenants[1].Keys[0] = tenant.DigestOf("secret") }, []string{
			`changed: tenant "two": keys [` + tenant.DigestOf("k3").String()[:8] + "] -> [" + tenant.DigestOf("secret").String()[:8] + "]",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			config, inForce := sound(), sound()
			inForce.Version--
			c.change(config, &config.Hosts[0].Routes[0])
			expect(t, check.Run(config, inForce, 5*time.Second), c.want)
		})
	}
}

func expect(t *testing.T, findings []check.Finding, want []string) {
	t.Helper()
	got := make([]string, 0, len(findings))
	for _, f := range findings {
		got = append(got, f.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("findings:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	hasError := slices.ContainsFunc(want, func(line string) bool { return strings.HasPrefix(line, "error") })
	if check.HasErrors(findings) != hasError {
		t.Errorf("errors: %v, want %v", !hasError, hasError)
	}
}
