package front

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/pipe"
	"github.com/endivechute/endivechute/route"
)

// headerBytesDefault is the length up to which a head starts early if the configuration
// sets no limit for heads.
const headerBytesDefault = 16 << 10

// pipelined returns the handler of the clients' port, which starts pipelined requests
// early. It is called once.
func (s *Server) pipelined(limits route.Limits) *pipe.Server {
	headerBytes := limits.HeaderBytes
	if headerBytes <= 0 {
		headerBytes = headerBytesDefault
	}
	policy := earlyPolicy{
		server: s,
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "endivechute_early_requests_total", Help: "Pipelined requests that were started before earlier ones had been answered.",
		}),
		canceled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "endivechute_early_requests_canceled_total", Help: "Requests started early that were canceled before their turn, because the client disconnected or an answer closed the connection.",
		}),
	}
	s.stats.registry.MustRegister(policy.started, policy.canceled)
	return pipe.New(s, policy, headerBytes)
}

// earlyPolicy implements pipe.Policy.
type earlyPolicy struct {
	server            *Server
	started, canceled prometheus.Counter
}

// MayStart reports whether the request's route is known and idempotent. Any other request
// waits its turn, because it could take effect before those in front of it.
func (p earlyPolicy) MayStart(r *http.Request) bool {
	table := p.server.feed.Table()
	if table == nil || p.server.shuttingDown() {
		return false
	}
	path, _, _ := strings.Cut(r.URL.RequestURI(), "?")
	found, known := table.Find(r.Host, path)
	return known && found.Idempotent() && !found.Unusable()
}

// Closing reports whether the process is about to stop.
func (p earlyPolicy) Closing() bool { return p.server.shuttingDown() }

// Share returns a share of the memory for bodies.
func (p earlyPolicy) Share() *hold.Share { return p.server.held.Share() }

// Started counts a request that was started early.
func (p earlyPolicy) Started() { p.started.Inc() }

// Canceled counts a request that was started early and canceled before its turn.
func (p earlyPolicy) Canceled() { p.canceled.Inc() }
