package front

import (
	"net/http"

	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/pipe"
	"github.com/endivechute/endivechute/route"
)

// headerBytesDefault is the length up to which a head starts early if the configuration
// sets no limit for heads.
const headerBytesDefault = 16 << 10

// pipelined returns the handler of the clients' port, which starts pipelined requests early.
func (s *Server) pipelined(limits route.Limits) *pipe.Server {
	headerBytes := limits.HeaderBytes
	if headerBytes <= 0 {
		headerBytes = headerBytesDefault
	}
	return pipe.New(s, earlyPolicy{s}, headerBytes)
}

// earlyPolicy implements pipe.Policy.
type earlyPolicy struct{ server *Server }

// MayStart reports whether the request's route is known and idempotent. Any other request
// waits its turn, because it could take effect before those in front of it.
func (p earlyPolicy) MayStart(r *http.Request) bool {
	table := p.server.feed.Table()
	if table == nil || p.server.shuttingDown() {
		return false
	}
	found, known := table.Find(r.Host, pathOf(r))
	return known && found.Idempotent() && !found.Unusable()
}

// Closing reports whether the process is about to stop.
func (p earlyPolicy) Closing() bool { return p.server.shuttingDown() }

// Share returns a share of the memory for bodies.
func (p earlyPolicy) Share() *hold.Share { return p.server.held.Share() }

// Started counts a request that was started early.
func (p earlyPolicy) Started() { p.server.stats.early.Inc() }

// Canceled counts a request that was started early and canceled before its turn.
func (p earlyPolicy) Canceled() { p.server.stats.earlyCanceled.Inc() }
