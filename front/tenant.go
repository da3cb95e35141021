package front

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/tenant"
)

// fieldTenant is the log field and the label of metrics for a tenant's name.
const fieldTenant = "tenant"

// admitTenant finds the tenant whose key the request has, if it needs one, and the
// regions that may serve the request. It reports whether that succeeded; if not, it has
// answered the request.
func (s *Server) admitTenant(w http.ResponseWriter, q *request) bool {
	err := s.authenticate(q, q.route.Public())
	if err == nil {
		err = q.setRegions()
	}
	switch {
	case err == nil:
		return true
	case errs.AsRefusal(err).Reason() == errs.ReasonUnauthorized:
		s.recordRefusal(q, answerDenied, err)
		platform.WriteRefusal(w, q.head.ID(), http.StatusUnauthorized, 0)
	default:
		s.writeRefusal(w, q, err)
	}
	return false
}

// authenticate finds the tenant whose key the request has. It replaces the key by the
// tenant's name for the target. Without tenants in force it leaves the request as it is.
func (s *Server) authenticate(q *request, public bool) error {
	tenants := q.table.Tenants()
	if !tenants.InForce() {
		return nil
	}
	if public {
		platform.SetTenant(q.http, "")
		return nil
	}
	key, given := platform.ReadKey(q.http)
	found, err := findTenant(tenants, key, given, s.feed.Age)
	q.tenant = found
	if err != nil {
		return err
	}
	q.head = q.head.WithKey(key)
	platform.SetTenant(q.http, found.Name())
	return nil
}

// findTenant returns the tenant that has a key, or a refusal. Its reason is
// errs.ReasonUnauthorized only if the key is certainly no tenant's, according to a
// configuration of the given age.
func findTenant(tenants *tenant.Table, key tenant.Digest, given bool, age func() time.Duration) (*tenant.Tenant, error) {
	found, known := tenants.Find(key)
	switch {
	case tenants.Invalid():
		return nil, errs.NotRun(errs.ReasonNoService, notReadyRetryAfter, "the tenants of the configuration can't be read")
	case given && known && found.Unusable():
		return found, errs.NotRun(errs.ReasonNoService, notReadyRetryAfter, "the configuration of the tenant is invalid")
	case given && known:
		return found, nil
	case age() > configAgeMax:
		return nil, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "the request has no key of a tenant, but the configuration is outdated")
	case given && tenants.Incomplete():
		return nil, errs.NotRun(errs.ReasonNoService, notReadyRetryAfter, "the key is unknown, but some keys of the configuration can't be read")
	case given:
		return nil, errs.NotRun(errs.ReasonUnauthorized, 0, "the key is unknown")
	}
	return nil, errs.NotRun(errs.ReasonUnauthorized, 0, "the request has no key, or several")
}

// setRegions sets the regions that both the route and the tenant allow. It returns a
// refusal if there is none.
func (q *request) setRegions() error {
	q.regions = q.route.Spec().AllowedRegions
	if q.tenant == nil || len(q.tenant.AllowedRegions()) == 0 {
		return nil
	}
	if len(q.regions) == 0 {
		q.regions = q.tenant.AllowedRegions()
		return nil
	}
	q.regions = slices.DeleteFunc(slices.Clone(q.regions), func(region place.Region) bool { return !q.tenant.AllowedIn(region) })
	if len(q.regions) == 0 {
		return errs.NotRun(errs.ReasonNoTarget, notReadyRetryAfter, "route %s and tenant %s have no allowed region in common", q.route.Name(), q.tenant.Name())
	}
	return nil
}

// allowedIn reports whether targets of the region may serve the request.
func (q *request) allowedIn(region place.Region) bool {
	return len(q.regions) == 0 || slices.Contains(q.regions, region)
}

// priority returns the priority of the request: 0 is the highest.
func (q *request) priority() int {
	if q.tenant == nil {
		return q.route.Priority()
	}
	return q.tenant.Priority(q.route.Priority())
}

// setDetour says in a description for another instance which tenant the request is from.
func (q *request) setDetour(d *platform.Detour) {
	d.Route.AllowedRegions = q.regions
	d.KeyChecked = q.table.Tenants().InForce()
	if q.tenant != nil {
		d.Tenant, d.Key = q.tenant.Name(), q.head.Key()
	}
}

// admitDetourTenant takes in what another instance says about the tenant of a request.
// One that hasn't checked the key has no tenants in its configuration, or is of the
// previous release; the key is then checked here, if there are tenants.
func (s *Server) admitDetourTenant(q *request, d platform.Detour) error {
	if d.KeyChecked {
		if d.Tenant != "" {
			q.tenant = tenant.New(tenant.Spec{Name: d.Tenant})
			q.head = q.head.WithKey(d.Key)
		}
		platform.SetTenant(q.http, d.Tenant)
		return q.setRegions()
	}
	// The description doesn't say whether the route is public.
	own, found := q.table.Find(q.http.Host, q.path())
	if err := s.authenticate(q, found && own.Public()); err != nil {
		return err
	}
	return q.setRegions()
}

const (
	// tenantLabelsMax limits the tenants that metrics tell apart. The rest are counted
	// under tenantLabelOther.
	tenantLabelsMax  = 1000
	tenantLabelOther = "other"
)

// tenantLabels holds the names of the tenants that metrics tell apart: those that sent
// the first requests. It is safe for concurrent use.
type tenantLabels struct {
	mu    sync.RWMutex
	names map[place.Tenant]struct{}
}

// label returns the label for a tenant.
func (l *tenantLabels) label(name place.Tenant) string {
	l.mu.RLock()
	_, found := l.names[name]
	full := len(l.names) >= tenantLabelsMax
	l.mu.RUnlock()
	switch {
	case found:
		return string(name)
	case full || name == "":
		return tenantLabelOther
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.names) >= tenantLabelsMax {
		return tenantLabelOther
	}
	l.names[name] = struct{}{}
	return string(name)
}
