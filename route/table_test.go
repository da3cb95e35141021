package route_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/route"
)

func table(prefixes ...string) *route.Table {
	specs := make([]route.Spec, 0, len(prefixes))
	for _, prefix := range prefixes {
		specs = append(specs, route.Spec{
			Name: prefix, Host: "H.example", Prefix: prefix, Timeout: time.Second, Services: []route.WeightedService{route.NewWeightedService("s", 1)},
		})
	}
	return route.New(1, specs, nil, route.Limits{})
}

func TestFind(t *testing.T) {
	routes := table("/a/", "/a/b/", "/c/")
	tests := map[string]struct{ host, path, want string }{
		"longest":             {"h.example", "/a/b/x", "/a/b/"},
		"shorter":             {"h.example", "/a/bb/x", "/a/"},
		"just the prefix":     {"h.example", "/a/", "/a/"},
		"without its slash":   {"h.example", "/a", ""},
		"another host":        {"x.example", "/a/", ""},
		"host with a port":    {"h.example:80", "/c/x", "/c/"},
		"host in capitals":    {"H.EXAMPLE", "/c/x", "/c/"},
		"no path":             {"h.example", "", ""},
		"prefix further down": {"h.example", "/x/a/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r, found := routes.Find(test.host, test.path); found {
				got = r.Name()
			}
			if got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

// TestNext checks that in a run of 300 requests each part gets its share within
// 10 %, as the platform requires.
func TestNext(t *testing.T) {
	routes := route.New(1, []route.Spec{{Host: "h", Prefix: "/", Services: []route.WeightedService{route.NewWeightedService("a", 90), route.NewWeightedService("b", 8), route.NewWeightedService("c", 2)}}}, nil, route.Limits{})
	r, _ := routes.Find("h", "/")
	counts := map[place.Service]int{}
	const requests = 300
	for range requests {
		counts[r.Next()]++
	}
	for service, want := range map[place.Service]float64{"a": .9, "b": .08, "c": .02} {
		if got := float64(counts[service]) / requests; math.Abs(got-want) > 0.1*want+1.0/requests {
			t.Errorf("service %s has %.3f of the requests, want %.3f", service, got, want)
		}
	}
}

func ExampleTable_Find() {
	routes := table("/loans/", "/loans/old/")
	r, found := routes.Find("h.example", "/loans/old/7")
	fmt.Println(r.Name(), found)
	// Output: /loans/old/ true
}

// TestSplitOverFleet splits the requests of fleets in which each instance sees only
// a few, and has a table of its own. In each window of some seconds the shares of a
// whole fleet must be those of the weights within the platform's bound, and in
// nine of ten windows within a tenth of the weight. The instances begin at random
// points, so that a few windows may deviate by more than that.
func TestSplitOverFleet(t *testing.T) {
	const (
		fleets     = 20
		instances  = 200
		perSecond  = 2
		windows    = 5
		window     = 4   // seconds
		bound      = 0.1 // of all requests
		slack      = 0.1 // of the weight
		closeShare = 0.9 // of the windows
	)
	weights := map[place.Service]float64{"a": 0.7, "b": 0.2, "c": 0.1}
	newTable := func() *route.Route {
		services := make([]route.WeightedService, 0, len(weights))
		for _, name := range []place.Service{"a", "b", "c"} {
			services = append(services, route.NewWeightedService(name, 10*weights[name]))
		}
		spec := route.Spec{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Services: services}
		r, found := route.New(1, []route.Spec{spec}, nil, route.Limits{}).Find("h", "/x")
		if !found {
			t.Fatal("the route is missing")
		}
		return r
	}
	near := map[place.Service]int{}
	for range fleets {
		routes := make([]*route.Route, instances)
		for i := range routes {
			routes[i] = newTable()
		}
		for range windows {
			counts, total := map[place.Service]int{}, 0
			for range window * perSecond {
				for _, r := range routes {
					counts[r.Next()]++
					total++
				}
			}
			for service, weight := range weights {
				deviation := math.Abs(float64(counts[service])/float64(total) - weight)
				if deviation > bound {
					t.Errorf("service %s got %d of %d requests, want %.3f of them", service, counts[service], total, weight)
				}
				if deviation <= slack*weight {
					near[service]++
				}
			}
		}
	}
	for service := range weights {
		if share := float64(near[service]) / (fleets * windows); share < closeShare {
			t.Errorf("service %s got its share within %.0f %% in %.2f of the windows, want %.2f", service, 100*slack, share, closeShare)
		}
	}
}

// TestHasDownloads guards against look-ups whose weights don't fit the host.
func TestHasDownloads(t *testing.T) {
	routes := route.New(1, []route.Spec{{Host: "Files.example", Prefix: "/a/"}, {Host: "files.example", Prefix: "/b/", Download: true}, {Host: "other.example", Prefix: "/b/"}}, nil, route.Limits{})
	for host, want := range map[string]bool{"files.example": true, "FILES.example:80": true, "other.example": false, "unknown.example": false, "": false} {
		if got := routes.HasDownloads(host); got != want {
			t.Errorf("host %q has downloads: %v, want %v", host, got, want)
		}
	}
}
