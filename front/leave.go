package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/socket"
)

// shutdownMargin is how long before the end of the grace period the process
// cancels the requests that are still running, so that clients get their
// answers.
const shutdownMargin = 300 * time.Millisecond

// shutDown closes the clients' port gracefully. Requests are served as before
// until all look-up answers that name this process have expired. Then the port
// closes, and the requests that are running may finish until shutdownMargin
// before the end of the grace period. It returns an error if the port can't be
// closed.
func (s *Server) shutDown(clientServer *http.Server, listener *socket.DrainListener) error {
	began := s.now()
	s.log.WithField("running", s.activeRequests.Load()).Info("Shutting down.")
	s.shuttingDown.Store(true)
	s.heartbeats.SetLeaving()
	time.Sleep(ttlOverrunFactor * s.lookupTTL())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.settings().Bounds().GracePeriod()-shutdownMargin))
	defer cancel()
	// net/http's Shutdown would drop requests that it has just read.
	err := listener.Drain(ctx)
	if errors.Is(err, context.DeadlineExceeded) || !listener.CloseIdle(ctx) {
		s.log.WithField("running", s.activeRequests.Load()).Warn("Requests are still running at the end of the grace period.")
		s.cancelSends()
		time.Sleep(shutdownMargin / 2)
		err = nil
	}
	return errors.Wrap(errors.CombineErrors(err, clientServer.Close()), "close the clients' port")
}
