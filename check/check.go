package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivechute/endivechute/tenant"
)

// Class is the kind of a finding.
type Class int

// The classes in the order in which findings are listed.
const (
	// Error is for what can't be served, or not as it was meant.
	Error Class = iota
	// NeverMatches is for entries without any effect.
	NeverMatches
	// Contradiction is for limits of which one makes another pointless.
	Contradiction
	// Changed is for differences from the version in force.
	Changed
)

// String returns the class as it begins the line of a finding.
func (c Class) String() string {
	return [...]string{"error", "never matches", "contradiction", "changed"}[c]
}

// Finding is one thing that the check has found.
type Finding struct {
	class Class
	where string
	text  string
}

// Class returns the kind of the finding.
func (f Finding) Class() Class { return f.class }

// String returns the finding as one line.
func (f Finding) String() string { return f.class.String() + ": " + f.where + ": " + f.text }

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.class == Error })
}

// Run checks a configuration and returns the findings, sorted. inForce is the version in
// force, nil if it isn't known. longestDeadline is the longest time that clients wait.
func Run(config, inForce *Config, longestDeadline time.Duration) []Finding {
	c := checker{config: config, longestDeadline: longestDeadline}
	for _, part := range config.Unreadable {
		c.add(Error, part.Where, "can't be read: %s", part.Why)
	}
	c.checkVersion(inForce)
	c.checkHosts()
	c.checkTenants()
	if inForce != nil {
		c.compare(inForce)
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.where, b.where), cmp.Compare(a.text, b.text))
	})
	return slices.Compact(c.findings)
}

type checker struct {
	config          *Config
	longestDeadline time.Duration
	findings        []Finding
}

func (c *checker) add(class Class, where, format string, values ...any) {
	c.findings = append(c.findings, Finding{class, where, fmt.Sprintf(format, values...)})
}

// wholeConfig is the place of findings that are not about one part.
const wholeConfig = "configuration"

func (c *checker) checkVersion(inForce *Config) {
	switch {
	case c.config.Version == 0:
		c.add(Error, wholeConfig, "no version is given")
	case inForce != nil && c.config.Version <= inForce.Version:
		c.add(Error, wholeConfig, "version %d isn't newer than version %d, which is in force", c.config.Version, inForce.Version)
	}
}

func (c *checker) checkHosts() {
	services := map[string]bool{}
	for i, s := range c.config.Services {
		if s.Name == "" {
			c.add(Error, fmt.Sprintf("service %d of the list", i), "no name is given")
		}
		services[s.Name] = true
	}
	if len(c.config.Hosts) == 0 {
		c.add(Error, wholeConfig, "no host is given")
	}
	// Of routes with the same prefix, the last one counts.
	type place struct{ host, prefix string }
	latest := map[place]string{}
	for i, host := range c.config.Hosts {
		if host.Name == "" {
			c.add(Error, fmt.Sprintf("host %d of the list", i), "no host is given")
			continue
		}
		for _, r := range host.Routes {
			where := routeAt(host, r)
			at := place{strings.ToLower(host.Name), r.Prefix}
			if earlier, repeated := latest[at]; repeated {
				c.add(NeverMatches, earlier, "route %q has the same host and prefix and comes later", r.Name)
			}
			latest[at] = where
			c.checkRoute(where, r)
			c.checkServices(where, r, services)
		}
	}
}

// routeAt names a route by its host, its prefix and its name.
func routeAt(host Host, r Route) string {
	return fmt.Sprintf("host %s, prefix %s, route %q", host.Name, r.Prefix, r.Name)
}

func (c *checker) checkRoute(where string, r Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, where, "the prefix doesn't begin and end with a slash")
	}
	if !r.TypeKnown {
		c.add(Error, where, "type %q is unknown; its requests would run at most once", r.Type)
	}
	switch {
	case r.Timeout <= 0:
		c.add(Error, where, "no time-out is given")
	case r.Aim > r.Timeout:
		c.add(Error, where, "the aim of %v is over the time-out of %v", r.Aim, r.Timeout)
	case r.Timeout > c.longestDeadline:
		c.add(Contradiction, where, "the time-out of %v is over the longest deadline, %v", r.Timeout, c.longestDeadline)
	}
	if r.Attempts < 1 {
		c.add(Error, where, "no attempts are given")
	}
}

// checkServices checks where a route leads.
func (c *checker) checkServices(where string, r Route, known map[string]bool) {
	named := make([]string, 0, len(r.Split)+1)
	weighted := false
	for i, part := range r.Split {
		switch {
		case part.Service == "":
			c.add(Error, where, "part %d of the split has no service", i)
		case part.Weight == nil:
			c.add(Error, where, "no weight is given for service %q", part.Service)
		case *part.Weight < 0:
			c.add(Error, where, "the weight of service %q is negative", part.Service)
		case *part.Weight == 0:
			c.add(NeverMatches, where, "service %q has the weight 0", part.Service)
		default:
			weighted = true
		}
		named = append(named, part.Service)
	}
	switch {
	case r.Service != "":
		named = append(named, r.Service)
	case len(r.Split) == 0:
		c.add(Error, where, "no service is given")
	case !weighted:
		c.add(Error, where, "no service has a weight")
	}
	for _, name := range named {
		if name != "" && !known[name] {
			c.add(Error, where, "service %q is unknown", name)
		}
	}
}

func (c *checker) checkTenants() {
	names, owners := map[string]bool{}, map[tenant.Digest]string{}
	for i, t := range c.config.Tenants {
		where := tenantAt(i, t)
		if t.Name == "" {
			c.add(Error, where, "no name is given")
		} else if names[t.Name] {
			c.add(Error, where, "another tenant has the same name")
		}
		names[t.Name] = true
		if len(t.Keys) == 0 {
			c.add(NeverMatches, where, "the tenant has no key")
		}
		for _, key := range t.Keys {
			if owner, shared := owners[key]; shared && owner != where {
				c.add(Error, where, "%s has the same key, %s", owner, short(key))
			}
			owners[key] = where
		}
		if t.Priority != nil && *t.Priority < 0 || t.PerSecond < 0 || t.Burst < 0 {
			c.add(Error, where, "the priority, the rate or the burst is negative")
		}
		if t.PerSecond > 0 && t.Burst >= 0 && t.Burst < 1 {
			c.add(Contradiction, where, "the rate is %v requests a second, and the burst of %v is below one request", t.PerSecond, t.Burst)
		}
		c.checkRegions(where, t)
	}
}

// tenantAt names a tenant.
func tenantAt(position int, t Tenant) string {
	if t.Name == "" {
		return fmt.Sprintf("tenant %d of the list", position)
	}
	return fmt.Sprintf("tenant %q", t.Name)
}

// shortDigits is how much of a key's digest is printed, enough to tell keys apart.
const shortDigits = 8

func short(key tenant.Digest) string { return key.String()[:shortDigits] }

// checkRegions looks for routes that no region may serve for the tenant.
func (c *checker) checkRegions(where string, t Tenant) {
	for _, host := range c.config.Hosts {
		for _, r := range host.Routes {
			common := len(t.Regions) == 0 || len(r.Regions) == 0 || slices.ContainsFunc(t.Regions, func(region string) bool { return slices.Contains(r.Regions, region) })
			if !common && !r.Public {
				c.add(Contradiction, where, "it has no allowed region in common with %s", routeAt(host, r))
			}
		}
	}
}
