package main

import (
	"fmt"
	"strings"
)

// host is the host of the routes that clients use.
const host = "h.example"

// sixZones are the zones of the site bonoseguro-gslb.
var sixZones = []place{
	{"bog-a", "andina-centro"}, {"baq-a", "caribe-norte"}, {"clo-a", "pacifico-sur"},
	{"bog-b", "andina-centro"}, {"baq-b", "caribe-norte"}, {"clo-b", "pacifico-sur"},
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs                   int
}

func (r route) encode() string {
	return fmt.Sprintf(`{"name":%q,"path_prefix":%q,"type":%q,"timeout_ms":%d,"target_latency_ms":600,"priority":2,"service":%q,"max_attempts":2,"session_affinity":false,"allowed_regions":[]}`,
		r.name, r.prefix, r.kind, r.timeoutMs, r.service)
}

// config is a configuration: the routes that clients use, and as many more as were added.
type config struct {
	version int
	routes  []route
	added   int
}

func (c config) encode() []byte {
	var services, paths, hosts []string
	known := map[string]bool{}
	for _, r := range c.routes {
		paths = append(paths, r.encode())
		if !known[r.service] {
			known[r.service] = true
			services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":660,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}`, r.service))
		}
	}
	hosts = append(hosts, fmt.Sprintf(`{"host":%q,"paths":[%s]}`, host, strings.Join(paths, ",")))
	const perHost = 20
	for first := 0; first < c.added; first += perHost {
		var more []string
		for i := first; i < min(first+perHost, c.added); i++ {
			more = append(more, route{fmt.Sprintf("r-%06d", i), fmt.Sprintf("/added%06d/", i), "idempotent", c.routes[0].service, 4000}.encode())
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":"h%d.example","paths":[%s]}`, first/perHost, strings.Join(more, ",")))
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[%s]}`,
		c.version, strings.Join(services, ","), strings.Join(hosts, ","))
}
