package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/socket"
)

const (
	// shutdownMargin is how long before the end of the grace period the process
	// cancels the requests that are still running, so that clients get their
	// answers.
	shutdownMargin = 300 * time.Millisecond
	// shutdownMarginFraction limits that to a part of the grace period. The platform
	// blames the process for what it cancels before the last sixth.
	shutdownMarginFraction = 6
	// lateAfter is how long after SIGTERM a request may arrive that could outlast the
	// process. The platform excuses the process for canceling what was sent within 3 s;
	// the rest is for a signal that is noticed late.
	lateAfter = 2500 * time.Millisecond
)

// shutdownTimes are the times of a graceful shutdown.
type shutdownTimes struct {
	// portCloses is when the clients' port closes, because no look-up answer that
	// names the process is in use any more.
	portCloses time.Time
	// late is when requests are no longer taken, or sent to a first target, that may outlast
	// the process.
	late time.Time
	// cancels is when the requests that are still running are canceled.
	cancels time.Time
}

// planShutdown returns the times of a shutdown. lookupTTL is the TTL of the look-up
// answers.
func planShutdown(began time.Time, lookupTTL, gracePeriod time.Duration) shutdownTimes {
	return shutdownTimes{
		portCloses: began.Add(ttlOverrunFactor * lookupTTL),
		late:       began.Add(lateAfter),
		cancels:    began.Add(gracePeriod - min(shutdownMargin, gracePeriod/shutdownMarginFraction)),
	}
}

// admits reports whether a request that may be answered until the given time is taken, or
// sent to a target. Early on it is; whether a target is expected to answer it before the
// process cancels it is known when the target is chosen. Later it must not outlast the
// process whatever a target does.
func (t shutdownTimes) admits(now, answerDeadline time.Time) bool {
	return !now.After(t.late) || !answerDeadline.After(t.cancels)
}

// checkShutdown returns a refusal if the process is about to stop and the request, which is
// taken or sent to a target now, could outlast it.
func (s *Server) checkShutdown(q *request, now time.Time) error {
	if times := s.shutdown.Load(); times != nil && !times.admits(now, q.answerDeadline) {
		return errStopping("the request could outlast it")
	}
	return nil
}

// errStopping refuses a request that would outlast this process. Other instances can
// serve it at once.
func errStopping(why string) error {
	return errs.NotRun(errs.ReasonStopping, retryAfterMin, "this instance is about to stop: %s", why)
}

// drainedPort is a port that is closed without cutting off requests.
type drainedPort struct {
	server   *http.Server
	listener *socket.DrainListener
}

// drain closes the port as its connections become idle, until ctx ends. It reports
// whether no request is left.
func (p drainedPort) drain(ctx context.Context) (bool, error) {
	// net/http's Shutdown would drop requests that it has just read.
	err := p.listener.Drain(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return false, nil
	}
	return p.listener.CloseIdle(ctx), errors.Wrap(err, "drain a port")
}

// shutDown closes the ports for requests gracefully. Requests are served as before
// until all look-up answers that name this process have expired. Then the ports
// close, and the requests that are running may finish until shortly before the end of
// the grace period. It returns an error if a port can't be closed.
func (s *Server) shutDown(ports []drainedPort) error {
	times := planShutdown(s.now(), s.lookupTTL(), s.settings().Bounds().GracePeriod())
	s.log.WithField("running", s.activeRequests.Load()).Info("Shutting down.")
	s.shutdown.Store(&times)
	s.heartbeats.SetLeaving()
	time.Sleep(times.portCloses.Sub(s.now()))
	ctx, cancel := context.WithDeadline(context.Background(), times.cancels)
	defer cancel()
	idle, err := true, error(nil)
	for _, p := range ports {
		portIdle, drainErr := p.drain(ctx)
		idle, err = idle && portIdle, errors.CombineErrors(err, drainErr)
	}
	// Connections may also be left that clients haven't closed yet.
	if running := s.activeRequests.Load(); !idle && running > 0 {
		s.log.WithField("running", running).Warn("Requests are still running at the end of the grace period.")
		s.cancelSends()
		time.Sleep(shutdownMargin / 2)
	}
	for _, p := range ports {
		err = errors.CombineErrors(err, p.server.Close())
	}
	return errors.Wrap(err, "close the ports for requests")
}

// shuttingDown reports whether the process is about to stop.
func (s *Server) shuttingDown() bool { return s.shutdown.Load() != nil }

// timeLeft returns the time until the deadline, or until the process cancels its
// requests if that is earlier.
func (s *Server) timeLeft(deadline, now time.Time) time.Duration {
	if times := s.shutdown.Load(); times != nil {
		deadline = earlier(deadline, times.cancels)
	}
	return deadline.Sub(now)
}
