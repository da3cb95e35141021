package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/quota"
)

// Dump is the state of a process that /dump shows to operators.
type Dump struct {
	Instance       place.Instance   `json:"instance"`
	Zone           place.Zone       `json:"zone"`
	Ready          bool             `json:"ready"`
	Leaving        bool             `json:"leaving"`
	Running        int64            `json:"running"`
	Source         string           `json:"source"`
	KnowledgeAge   string           `json:"knowledge_age"`
	StoreEra       uint64           `json:"store_era"`
	LeavingTargets int              `json:"leaving_targets"`
	LimitedTargets int              `json:"limited_targets"`
	Version        uint64           `json:"version"`
	Routes         int              `json:"routes"`
	Tenants        int              `json:"tenants"`
	EvacuatedZones []place.Zone     `json:"evacuated_zones"`
	LiveInstances  []place.Instance `json:"live_instances"`
	Registered     int              `json:"registered_instances"`
	HeldBytes      int64            `json:"held_bytes"`
	HeldBytesMax   int64            `json:"held_bytes_max"`
	Quarantined    []poison.State   `json:"quarantined"`
	// CPUShare and Mbps are the capacity of this instance, a share of a core and
	// Mbit/s, and KnownCapacities is the number of live instances whose capacity is
	// known. They are left out where look-ups don't depend on the capacity.
	CPUShare        float64 `json:"cpu_share,omitempty"`
	Mbps            float64 `json:"mbps,omitempty"`
	KnownCapacities int     `json:"known_capacities,omitempty"`
	// OutOfReach lists the services whose targets this instance doesn't reach.
	OutOfReach []place.Service    `json:"out_of_reach"`
	Targets    []pick.TargetState `json:"targets"`
	Quotas     []quota.State      `json:"quotas"`
	// Replicated lists the services whose objects are kept on several targets.
	Replicated []place.Service `json:"replicated_services"`
}

// Dump returns the current state of the process.
func (s *Server) Dump() Dump {
	view, now := s.feed.View(), s.now()
	d := Dump{
		Instance: s.self.Instance, Zone: s.self.Zone, Ready: s.Ready(), Leaving: s.shuttingDown(), Running: s.activeRequests.Load(),
		StoreEra: s.feed.Era(), LeavingTargets: s.feed.Leaving(), LimitedTargets: s.rateLimiter.Size(), Source: s.feed.Source(), KnowledgeAge: s.feed.Age().Round(time.Millisecond).String(),
		EvacuatedZones: view.Evacuated(), LiveInstances: s.instances.Live(), Registered: s.instances.Size(),
		HeldBytes: s.held.Used(), HeldBytesMax: s.held.Limit(),
		Quarantined: s.guard.States(now), OutOfReach: s.outOfReach(), Targets: s.chooser.States(view, now), Replicated: s.replicatedServices(now),
		Quotas: s.limiter.States(now),
	}
	if s.underPressure() {
		own := s.ownCapacity()
		d.CPUShare, d.Mbps, d.KnownCapacities = own.CPUShare, own.Mbps, s.knownCapacities()
	}
	if table := s.feed.Table(); table != nil {
		d.Version, d.Routes, d.Tenants = table.Version(), table.Routes(), len(table.Tenants().Tenants())
	}
	return d
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Dump()); err != nil {
		s.log.WithError(err).Debug("Writing the dump failed.")
	}
}
