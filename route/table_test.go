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
