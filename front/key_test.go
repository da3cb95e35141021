package front

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/tenant"
)

// TestFindTenant guards against a key that is denied although it may be a tenant's, and
// against one that is taken for a tenant's although it isn't.
func TestFindTenant(t *testing.T) {
	newTable := func() *tenant.Table {
		table, _ := tenant.NewTable([]tenant.Spec{
			{Name: "x", Keys: []tenant.Digest{tenant.DigestOf("kx")}},
			{Name: "y", Keys: []tenant.Digest{tenant.DigestOf("ky")}, Unusable: true},
			{Name: "z", Keys: []tenant.Digest{tenant.DigestOf("")}},
		})
		return table
	}
	tests := map[string]struct {
		table *tenant.Table
		key   string
		age   time.Duration
		// reason is that of the refusal, "" if the tenant x is found.
		reason errs.Reason
	}{
		"known":               {newTable(), "kx", 0, ""},
		"known, outdated":     {newTable(), "kx", time.Minute, ""},
		"known, incomplete":   {newTable().WithoutSomeKeys(), "kx", 0, ""},
		"unknown":             {newTable(), "ku", configAgeMax, errs.ReasonUnauthorized},
		"unknown, outdated":   {newTable(), "ku", configAgeMax + 1, errs.ReasonNotReady},
		"unknown, incomplete": {newTable().WithoutSomeKeys(), "ku", 0, errs.ReasonNoService},
		"missing":             {newTable(), "", 0, errs.ReasonUnauthorized},
		"missing, outdated":   {newTable(), "", configAgeMax + 1, errs.ReasonNotReady},
		"missing, incomplete": {newTable().WithoutSomeKeys(), "", 0, errs.ReasonUnauthorized},
		"of an invalid entry": {newTable(), "ky", 0, errs.ReasonNoService},
		"invalid list":        {tenant.NewInvalidTable(), "kx", 0, errs.ReasonNoService},
		"missing, invalid":    {tenant.NewInvalidTable(), "", 0, errs.ReasonNoService},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found, err := findTenant(test.table, tenant.DigestOf(test.key), test.key != "", func() time.Duration { return test.age })
			if test.reason == "" {
				if err != nil || found.Name() != "x" {
					t.Errorf("error %v, want the tenant", err)
				}
				return
			}
			if err == nil || errs.AsRefusal(err).Reason() != test.reason || errs.VerdictOf(err) != errs.VerdictNotRun {
				t.Errorf("error %v, want the reason %s", err, test.reason)
			}
		})
	}
}

// TestRegionsOfRequest guards against a request that goes to a region that only its
// route or only its tenant allows.
func TestRegionsOfRequest(t *testing.T) {
	type regions = []place.Region
	tests := map[string]struct {
		ofRoute, ofTenant, want regions
		fails                   bool
	}{
		"all":               {nil, nil, nil, false},
		"of the route":      {regions{"a", "b"}, nil, regions{"a", "b"}, false},
		"of the tenant":     {nil, regions{"a"}, regions{"a"}, false},
		"both":              {regions{"a", "b"}, regions{"b", "c"}, regions{"b"}, false},
		"nothing in common": {regions{"a"}, regions{"b"}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := &request{route: route.NewRoute(route.Spec{AllowedRegions: test.ofRoute}), tenant: tenant.New(tenant.Spec{AllowedRegions: test.ofTenant})}
			err := q.setRegions()
			if (err != nil) != test.fails || !slices.Equal(q.regions, test.want) {
				t.Errorf("regions %v, error %v; want %v", q.regions, err, test.want)
			}
			for _, region := range (regions{"a", "b", "c"}) {
				if want := len(test.want) == 0 || slices.Contains(test.want, region); !test.fails && q.allowedIn(region) != want {
					t.Errorf("region %s is allowed: %v, want %v", region, !want, want)
				}
			}
		})
	}
}

// TestPriorityOfRequest guards against the highest priority, 0, being taken for none.
func TestPriorityOfRequest(t *testing.T) {
	q := &request{route: route.NewRoute(route.Spec{Priority: 2})}
	if q.priority() != 2 {
		t.Errorf("priority %d without a tenant, want the route's", q.priority())
	}
	highest := 0
	for priority, want := range map[*int]int{nil: 2, &highest: 0} {
		if q.tenant = tenant.New(tenant.Spec{Priority: priority}); q.priority() != want {
			t.Errorf("priority %d, want %d", q.priority(), want)
		}
	}
}

// TestTenantLabels guards against metrics without a bound on their number.
func TestTenantLabels(t *testing.T) {
	labels := &tenantLabels{names: map[place.Tenant]struct{}{}}
	if got := labels.label(""); got != tenantLabelOther {
		t.Errorf("the label of a tenant without a name is %q", got)
	}
	for range 2 {
		for n := range tenantLabelsMax + 5 {
			name := fmt.Sprintf("t%d", n)
			want := name
			if n >= tenantLabelsMax {
				want = tenantLabelOther
			}
			if got := labels.label(place.Tenant(name)); got != want {
				t.Fatalf("the label of %s is %q, want %q", name, got, want)
			}
		}
	}
}
