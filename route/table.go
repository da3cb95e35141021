// Package route holds the routes of a configuration: which service handles a
// request, whether it may be retried, and how long it may take. A Table is
// immutable, so that requests read it without a lock.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/tenant"
)

// WeightedService is one part of a route's traffic split: a service and its
// weight.
type WeightedService struct {
	service place.Service
	weight  float64
}

// NewWeightedService returns the part of a service. Its share of the requests
// is weight divided by the sum of the weights of the route's parts.
func NewWeightedService(service place.Service, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the service that gets this part.
func (p WeightedService) Service() place.Service { return p.service }

// Spec holds the settings of a Route.
type Spec struct {
	Name, Host, Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Aim is the time within which an answer is worth its full credit.
	Aim time.Duration
	// Priority is the priority: 0 is the highest.
	Priority int
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Affinity is true if targets cache objects, and so answer faster for objects
	// that they handled recently.
	Affinity bool
	// AllowedRegions are the only regions that may serve the route. If empty,
	// all may.
	AllowedRegions []place.Region
	Services       []WeightedService
	// Public is true if requests need no key of a tenant.
	Public bool
	// Download is true if the answers are large.
	Download bool
	// Unusable is true if the configuration of the route is invalid, so that its
	// requests can't be served.
	Unusable bool
}

// Route holds the settings for the requests with one host and path prefix, and
// splits them among services.
type Route struct {
	spec        Spec
	totalWeight float64
	sequence    atomic.Uint64
}

// NewRoute returns a route that belongs to no table.
func NewRoute(spec Spec) *Route {
	r := &Route{spec: spec}
	for _, p := range spec.Services {
		r.totalWeight += p.weight
	}
	r.sequence.Store(rand.Uint64())
	return r
}

// Spec returns the settings of the route. The caller must not change its slices.
func (r *Route) Spec() Spec { return r.spec }

// Name returns the name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout returns the longest time that a request may take.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Aim returns the time within which an answer is worth its full credit.
func (r *Route) Aim() time.Duration { return r.spec.Aim }

// Priority returns the priority: 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// Attempts returns the number of targets that one request may be sent to.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Affinity reports whether targets cache objects, and so answer faster for
// objects that they handled recently.
func (r *Route) Affinity() bool { return r.spec.Affinity }

// Unusable reports whether the configuration of the route is invalid, so that
// its requests can't be served.
func (r *Route) Unusable() bool { return r.spec.Unusable }

// Public reports whether requests need no key of a tenant.
func (r *Route) Public() bool { return r.spec.Public }

// Download reports whether the answers are large.
func (r *Route) Download() bool { return r.spec.Download }

// AllowedIn reports whether targets of the region may serve the route.
func (r *Route) AllowedIn(region place.Region) bool {
	return len(r.spec.AllowedRegions) == 0 || slices.Contains(r.spec.AllowedRegions, region)
}

// sequenceStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64
// are spread evenly, so that each part gets its share even in a short run of
// requests.
const sequenceStep = 0x9E3779B97F4A7C15

// Next returns the service for the next request, according to the weights of the
// parts.
func (r *Route) Next() place.Service {
	if len(r.spec.Services) == 1 {
		return r.spec.Services[0].service
	}
	position := float64(r.sequence.Add(sequenceStep)) / float64(math.MaxUint64) * r.totalWeight
	for _, p := range r.spec.Services {
		if position < p.weight {
			return p.service
		}
		position -= p.weight
	}
	return r.spec.Services[len(r.spec.Services)-1].service
}

// Service holds the settings of a service.
type Service struct {
	name        place.Service
	healthPath  string
	connections int
	coldTime    time.Duration
	coldRate    float64
}

// NewService returns a Service. connections is the number of connections that a
// target accepts from all callers together. A target is cold for coldTime after
// its start and tolerates coldRate requests per second in that time.
func NewService(name place.Service, healthPath string, connections int, coldTime time.Duration, coldRate float64) Service {
	return Service{name: name, healthPath: healthPath, connections: connections, coldTime: coldTime, coldRate: coldRate}
}

// Name returns the name of the service.
func (s Service) Name() place.Service { return s.name }

// HealthPath returns the path of the targets' health check.
func (s Service) HealthPath() string { return s.healthPath }

// Connections returns how many connections a target accepts from all callers
// together.
func (s Service) Connections() int { return s.connections }

// ColdTime returns how long a target is cold after its start.
func (s Service) ColdTime() time.Duration { return s.coldTime }

// ColdRate returns the requests per second that a cold target tolerates.
func (s Service) ColdRate() float64 { return s.coldRate }

// Limits holds the limits on clients' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and
	// body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a client may take to send the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Table holds the routes, services and limits of one version of the
// configuration.
type Table struct {
	version  uint64
	hosts    map[string]map[string]*Route
	services map[place.Service]Service
	limits   Limits
	tenants  *tenant.Table
	// incomplete is true if the configuration has routes that are not in the
	// table.
	incomplete bool
}

// New returns the table for a version of the configuration. Host names are
// compared without regard to case.
func New(version uint64, specs []Spec, services []Service, limits Limits) *Table {
	t := &Table{
		version: version, limits: limits,
		hosts:    map[string]map[string]*Route{},
		services: make(map[place.Service]Service, len(services)),
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	for _, spec := range specs {
		host := strings.ToLower(spec.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][spec.Prefix] = NewRoute(spec)
	}
	return t
}

// WithoutSomeRoutes marks the table as incomplete: the configuration has routes
// whose host or prefix is invalid, so that they can't be in the table.
func (t *Table) WithoutSomeRoutes() *Table {
	t.incomplete = true
	return t
}

// Incomplete reports whether the configuration has routes that are not in the
// table. A request without a route may then be meant for one of them.
func (t *Table) Incomplete() bool { return t.incomplete }

// WithTenants adds the tenants of the configuration.
func (t *Table) WithTenants(tenants *tenant.Table) *Table {
	t.tenants = tenants
	return t
}

// Tenants returns the tenants of the configuration, nil if it has none.
func (t *Table) Tenants() *tenant.Table { return t.tenants }

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Service returns the settings of the service.
func (t *Table) Service(name place.Service) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// Limits returns the limits on clients' requests and connections.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	total := 0
	for _, prefixes := range t.hosts {
		total += len(prefixes)
	}
	return total
}

// Find returns the route of a request: of the host's routes, the one whose prefix
// is the longest that matches the path. Prefixes end with a slash, so only those
// leading parts of the path that end with a slash are looked up.
func (t *Table) Find(host, path string) (*Route, bool) {
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		prefixes = t.hosts[withoutPort(host)]
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, found := prefixes[path[:slash+1]]; found {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// HasDownloads reports whether a host has routes whose answers are large.
func (t *Table) HasDownloads(host string) bool {
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		prefixes = t.hosts[withoutPort(host)]
	}
	for _, r := range prefixes {
		if r.Download() {
			return true
		}
	}
	return false
}

func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
