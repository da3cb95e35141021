package front

import (
	"net/http"
	"slices"
	"time"

	"github.com/endivechute/endivechute/platform"
)

const (
	// addressesMax is how many addresses count in the answer to a look-up.
	addressesMax = 64
	// lookupTTLMax is how long an answer to a look-up may be used. Some clients
	// use it three times as long; by then a process that is about to stop must
	// not have closed its port.
	lookupTTLMax = 1500 * time.Millisecond
	// staleFactor is how many times the given time some clients use an answer.
	staleFactor = 3
)

// lookupTTL returns how long an answer to a look-up may be used.
func (s *Server) lookupTTL() time.Duration {
	return min(lookupTTLMax, s.settings().Bounds().LookupTTLMax(), s.settings().Bounds().GracePeriod()/(2*staleFactor))
}

// serveLookup tells a client where to connect: to the instances of this
// availability zone. A client asks the nearest zone that answers, so that this
// is the right one, and which instances live here is known here best.
func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathLookup {
		http.NotFound(w, r)
		return
	}
	s.stats.lookups.Inc()
	addresses := s.mates.Addresses()
	if (s.Ready() || len(addresses) == 0) && !slices.Contains(addresses, s.settings().Addresses().Clients()) {
		addresses = append(addresses, s.settings().Addresses().Clients())
	}
	addresses = addresses[:min(len(addresses), addressesMax)]
	if err := platform.WriteLookup(w, addresses, s.lookupTTL()); err != nil {
		s.log.WithError(err).Debug("A client left before its look-up was answered.")
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
