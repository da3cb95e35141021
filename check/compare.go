package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// values holds the settings of one part of a configuration as texts, by their names.
type values map[string]string

// compare reports what differs from the version in force.
func (c *checker) compare(inForce *Config) {
	before, after := inForce.parts(), c.config.parts()
	for where, old := range before {
		now, kept := after[where]
		if !kept {
			c.add(Changed, where, "removed")
			continue
		}
		for name, value := range old {
			if now[name] != value {
				c.add(Changed, where, "%s %s -> %s", name, value, now[name])
			}
		}
	}
	for where := range maps.Keys(after) {
		if _, known := before[where]; !known {
			c.add(Changed, where, "added")
		}
	}
}

// parts returns the settings of all parts. Of parts with the same place, the last one
// counts, as when requests are served.
func (c *Config) parts() map[string]values {
	parts := map[string]values{"limits": {
		"header bytes": fmt.Sprint(c.Limits.HeaderBytes), "body bytes": fmt.Sprint(c.Limits.BodyBytes),
		"header time-out": c.Limits.HeaderTimeout.String(), "idle time-out": c.Limits.IdleTimeout.String(),
	}}
	for _, s := range c.Services {
		parts[fmt.Sprintf("service %q", s.Name)] = values{
			"health path": s.HealthPath, "connections": fmt.Sprint(s.Connections),
			"cold time": s.ColdTime.String(), "cold rate": fmt.Sprint(s.ColdRate),
		}
	}
	for _, host := range c.Hosts {
		for _, r := range host.Routes {
			parts[fmt.Sprintf("host %s, prefix %s", strings.ToLower(host.Name), r.Prefix)] = r.values()
		}
	}
	for i, t := range c.Tenants {
		parts[tenantAt(i, t)] = t.values()
	}
	return parts
}

func (r Route) values() values {
	services := make([]string, 0, len(r.Split)+1)
	for _, part := range r.Split {
		if part.Weight != nil && *part.Weight > 0 {
			services = append(services, fmt.Sprintf("%s %v", part.Service, *part.Weight))
		}
	}
	switch len(services) {
	case 0:
		services = append(services, r.Service)
	case 1:
		// A single service gets all requests, whatever its weight.
		services[0], _, _ = strings.Cut(services[0], " ")
	}
	return values{
		"name": r.Name, "type": r.Type, "time-out": r.Timeout.String(), "aim": r.Aim.String(),
		"priority": fmt.Sprint(r.Priority), "attempts": fmt.Sprint(r.Attempts), "services": list(services),
		"allowed regions": list(r.Regions), "affinity": fmt.Sprint(r.Affinity), "public": fmt.Sprint(r.Public),
	}
}

func (t Tenant) values() values {
	keys := make([]string, 0, len(t.Keys))
	for _, key := range t.Keys {
		keys = append(keys, short(key))
	}
	priority := "none"
	if t.Priority != nil {
		priority = fmt.Sprint(*t.Priority)
	}
	return values{
		"keys": list(keys), "priority": priority, "rate per second": fmt.Sprint(t.PerSecond),
		"burst": fmt.Sprint(t.Burst), "allowed regions": list(t.Regions),
	}
}

// list returns names as one text in an order that doesn't matter to what they mean.
func list(names []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(names)), ", ") + "]"
}
