package front

import (
	"net/http"
	"net/netip"

	"github.com/endivechute/endivechute/direct"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/platform"
)

// Kinds of weight by which a look-up chooses instances, in the metrics.
const (
	weightCPU       = "cpu_share"
	weightBandwidth = "bandwidth"
)

// underPressure reports whether clients compete for too little room, so that look-ups
// are weighted by capacity and requests are admitted by priority.
func (s *Server) underPressure() bool {
	return s.settings().HasContract(platform.ContractPressure)
}

// ownCapacity returns the capacity that this instance registers, unknown where the
// contract is not in force.
func (s *Server) ownCapacity() platform.Capacity {
	if !s.underPressure() {
		return platform.Capacity{}
	}
	return s.settings().Capacity()
}

// named returns the addresses of the instances that a look-up names: all, or under
// the contract those that are chosen for the client by capacity. Where answers are
// large, the links of the instances are the bottleneck.
func (s *Server) named(r *http.Request, entrances []peers.Entrance) []string {
	if !s.underPressure() {
		addresses := make([]string, 0, len(entrances))
		for _, e := range entrances {
			addresses = append(addresses, e.Address)
		}
		return addresses[:min(len(addresses), addressesMax)]
	}
	table, kind := s.feed.Table(), weightCPU
	if table != nil && table.HasDownloads(platform.ReadLookup(r).Host()) {
		kind = weightBandwidth
	}
	s.stats.weightedLookups.WithLabelValues(kind).Inc()
	instances := make([]direct.Instance, 0, len(entrances))
	for _, e := range entrances {
		weight := e.Capacity.CPUShare
		if kind == weightBandwidth {
			weight = e.Capacity.Mbps
		}
		instances = append(instances, direct.Instance{Address: e.Address, Weight: weight})
	}
	return direct.Choose(clientIP(r), instances, addressesMax)
}

// clientIP returns the IP address of a client, without the port, which differs from
// one connection to the next.
func clientIP(r *http.Request) string {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return address.Addr().Unmap().String()
}

// knownCapacities returns how many live instances of the availability zone, this one
// included, have a known capacity.
func (s *Server) knownCapacities() int {
	known := 0
	if s.ownCapacity().IsKnown() {
		known++
	}
	inReach, outOfReach := s.instances.Entrances()
	for _, e := range append(inReach, outOfReach...) {
		if e.Capacity.IsKnown() {
			known++
		}
	}
	return known
}
