package front

import (
	"net/http"
	"slices"
	"time"

	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/platform"
)

const (
	// addressesMax limits the addresses in the answer to a look-up.
	addressesMax = 64
	// lookupTTLMax limits the TTL of a look-up answer. Some clients use an
	// answer for three times its TTL, and a process that is about to stop must
	// keep its port open for that time. The platform excuses it for canceling what was
	// sent within 3 s of SIGTERM.
	lookupTTLMax = time.Second
	// ttlOverrunFactor is how many times the TTL some clients use an answer.
	ttlOverrunFactor = 3
)

// lookupTTL returns the TTL of a look-up answer. All answers that name this
// process expire within half of the grace period, also at clients that exceed
// the TTL.
func (s *Server) lookupTTL() time.Duration {
	return min(lookupTTLMax, s.settings().Bounds().LookupTTLMax(), s.settings().Bounds().GracePeriod()/(2*ttlOverrunFactor))
}

// serveLookup answers a client's question where to connect with the live
// instances of this availability zone. A client asks the nearest zone that
// answers, and that zone has the most recent data on its own instances. Those that
// reach no target are left out if at least as many others remain.
func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathLookup {
		http.NotFound(w, r)
		return
	}
	s.stats.lookups.Inc()
	entrances, outOfReach := s.instances.Entrances()
	own := peers.Entrance{Address: s.settings().Addresses().Clients(), Capacity: s.ownCapacity()}
	isOwn := func(e peers.Entrance) bool { return e.Address == own.Address }
	switch {
	case slices.ContainsFunc(entrances, isOwn) || slices.ContainsFunc(outOfReach, isOwn):
	case s.Ready() && s.links.LostAll():
		outOfReach = append(outOfReach, own)
	case s.Ready() || len(entrances)+len(outOfReach) == 0:
		entrances = append(entrances, own)
	}
	if len(entrances) < len(outOfReach) {
		entrances = append(entrances, outOfReach...)
	}
	if err := platform.WriteLookup(w, s.named(r, entrances), s.lookupTTL()); err != nil {
		s.log.WithError(err).Debug("Writing the answer to a look-up failed.")
	}
}

func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
