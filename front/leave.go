package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// lastMargin is how long before the end of the grace period the process gives
// up what is still running, so that its answers get out.
const lastMargin = 300 * time.Millisecond

// leave shuts the clients' port down gracefully. At first requests are served
// as before, until the look-ups that name this process have run out. Then the
// port closes, and what is running ends.
func (s *Server) leave(clients *http.Server) error {
	began := s.now()
	s.log.WithField("running", s.active.Load()).Info("The process leaves.")
	s.leaving.Store(true)
	s.heart.Leave()
	time.Sleep(staleFactor * s.lookupTTL())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.settings().Bounds().GracePeriod()-lastMargin))
	defer cancel()
	err := clients.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		s.log.WithField("running", s.active.Load()).Warn("Requests are still running at the end of the grace period.")
		s.giveUp()
		time.Sleep(lastMargin / 2)
		return nil
	}
	return errors.Wrap(err, "close the clients' port")
}
