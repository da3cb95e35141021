package front

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/socket"
)

const (
	// askedMax is how many instances are asked to take an attempt. They and this one
	// sent nothing of it to a target, so they don't count as attempts.
	askedMax = 5
	// detourConnectionsMax limits the connections to one other instance, and detoursMax
	// the requests of others that this instance serves at once.
	detourConnectionsMax = 64
	detoursMax           = 256
	// detourIdleTimeout is longer than the senders keep idle connections.
	detourIdleTimeout = time.Minute
	// outOfReachRetryAfter is when a client should try again if no instance reaches the
	// targets. By then this one has probed them again.
	outOfReachRetryAfter = 400 * time.Millisecond
)

// detourClients holds one HTTP client for each instance that requests were passed on
// to. It is safe for concurrent use.
type detourClients struct {
	mu     sync.Mutex
	byName map[place.Instance]*sender.Client
}

// get returns the client of the instance at the address.
func (c *detourClients) get(name place.Instance, address string) *sender.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, found := c.byName[name]
	if found && client.Address() == address {
		return client
	}
	if found {
		client.Close()
	}
	client = sender.New(place.Target(name), address, detourConnectionsMax, sender.DialTCP)
	c.byName[name] = client
	return client
}

// close closes the idle connections.
func (c *detourClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byName {
		client.Close()
	}
}

// needsDetour reports whether the next attempt has to go through another instance.
func (s *Server) needsDetour(t *retryState) bool {
	return t.mayDetour && (t.unreachable >= unreachableMax || s.links.Lost(t.request.scope))
}

// detour passes the request on to another instance, which sends it to one target. It
// asks one instance after the other until a target was reached, and finishes the
// request if none of them reaches one.
func (s *Server) detour(ctx context.Context, w http.ResponseWriter, q *request, service place.Service, t *retryState) (sender.Answer, error) {
	var lastErr error = errs.NotRun(errs.ReasonTargetFailed, outOfReachRetryAfter, "service %s: its targets are out of reach of this instance and of those that could be asked", service)
	var asked []place.Instance
	for len(asked) < askedMax {
		now := s.now()
		if !now.Before(q.deadline) {
			lastErr = errs.NotRun(errs.ReasonDeadline, q.route.Aim(), "the deadline of the request has passed")
			break
		}
		peer, found := s.detours.Choose(s.instances.Detours(), service, q.allowedIn, asked, now)
		if !found {
			break
		}
		asked = append(asked, peer)
		result, err := s.sendDetour(ctx, w, q, service, t, peer)
		if result.Answer.Streamed() {
			return result.Answer, err
		}
		if isUnable(result, err) {
			s.detours.Refused(peer, service, s.now())
			continue
		}
		s.detours.Took(peer, service, s.now())
		t.record(result.Reached, result.Answer, err)
		if result.Reached == "" && errs.VerdictOf(err) == errs.VerdictNotRun {
			// The other instance found no target with room, or the request may go to none.
			t.done = true
		}
		return result.Answer, err
	}
	t.done, t.lastErr = true, lastErr
	return sender.Answer{}, lastErr
}

// isUnable reports whether an instance didn't take a request and another one may. It
// couldn't be reached, has no room, is about to stop or reaches no target itself.
func isUnable(result platform.DetourAnswer, err error) bool {
	if err == nil || result.Reached != "" || errs.VerdictOf(err) != errs.VerdictNotRun {
		return false
	}
	reason := errs.AsRefusal(err).Reason()
	if result.Refusal == nil && reason == errs.ReasonTargetBusy {
		// All connections to it are in use.
		return true
	}
	switch reason {
	case errs.ReasonTargetFailed, errs.ReasonTargetSilent, errs.ReasonNotReady, errs.ReasonStopping, errs.ReasonPeerFailed:
		return true
	default:
		return false
	}
}

// sendDetour sends the request to another instance and returns what that says.
func (s *Server) sendDetour(ctx context.Context, w http.ResponseWriter, q *request, service place.Service, t *retryState, peer place.Instance) (platform.DetourAnswer, error) {
	if !q.route.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.sendContext, cancel)()
	began := s.now()
	description := platform.Detour{Service: service, Route: q.route.Spec(), Left: s.timeLeft(q.deadline, began), Tried: t.tried}
	q.setDetour(&description)
	request, err := platform.NewDetourRequest(q.http, q.body, q.head.ID(), description, q.answerDeadline, answerBytesMax)
	if err != nil {
		return platform.DetourAnswer{}, errs.NotRun(errs.ReasonBadRequest, 0, "%v", err)
	}
	request = request.WithOverflow(s.answerShare(q), func(head sender.Answer) (io.Writer, error) {
		return s.startStream(w, q, platform.ReadDetourAnswer(head).Answer)
	})
	if !q.route.Idempotent() {
		request = request.WithAwaitSilent()
	}
	answer, err := s.detourClients.get(peer, s.instances.DetourAddress(peer)).Do(ctx, request)
	result := platform.ReadDetourAnswer(answer)
	err = detourError(result, peer, err)
	now := s.now()
	if m, found := s.feed.View().Member(result.Reached); found && result.Refusal == nil {
		s.observeTarget(m, result.Answer, began, now)
	}
	s.recordDetour(q, peer, result, err, began, now)
	return result, err
}

// detourError returns the error of an attempt through another instance, nil if a
// target's answer came back whole.
func detourError(result platform.DetourAnswer, peer place.Instance, err error) error {
	switch {
	case result.Refusal != nil:
		return result.Refusal
	case err != nil:
		return err
	}
	if problem := platform.CheckResponse(result.Answer); problem != nil {
		return errs.MayHaveRun(errs.ReasonCutAnswer, "instance %s: %v", peer, problem)
	}
	return nil
}

// recordDetour logs and counts an attempt through another instance.
func (s *Server) recordDetour(q *request, peer place.Instance, result platform.DetourAnswer, err error, began, now time.Time) {
	outcome, class := "answered", logs.ClassDone
	switch {
	case err == nil && result.Answer.Status() >= http.StatusInternalServerError:
		outcome, class = "failed", logs.ClassFailed
	case err == nil:
	case errs.VerdictOf(err) == errs.VerdictNotRun:
		outcome, class = "refused", logs.ClassRefused
	default:
		outcome, class = "broken", logs.ClassFailed
	}
	s.stats.detours.WithLabelValues(outcome).Inc()
	if !s.logQuota.Allow(class, now) {
		return
	}
	fields := s.logFields(q, now)
	fields[fieldPeer], fields[fieldTarget], fields[fieldOutcome] = peer, result.Reached, outcome
	fields["sent_for_ms"] = milliseconds(now.Sub(began))
	if err != nil {
		fields["why"] = errs.AsRefusal(err).Message()
		fields[fieldReason] = errs.AsRefusal(err).Reason()
	}
	s.log.WithFields(fields).Info("A request was passed on to another instance.")
}

// startDetours serves the requests of other instances at the address. found is false if
// there is none. They are refused once this instance is about to stop.
func (s *Server) startDetours(address string) (opened drainedPort, found bool, err error) {
	if address == "" {
		return drainedPort{}, false, nil
	}
	p := port{"requests of other instances", address, http.HandlerFunc(s.serveDetour)}
	tcp, err := listen(p)
	if err != nil {
		return drainedPort{}, false, err
	}
	listener := socket.NewDrainListener(tcp)
	server := s.startServer(listener, p, route.Limits{HeaderTimeout: auxiliaryTimeout, IdleTimeout: detourIdleTimeout}, socket.TrackState)
	return drainedPort{server, listener}, true, nil
}

// serveDetour serves a request that another instance passes on, because it doesn't
// reach the targets. It sends it to one target and never passes it on itself. The other
// instance counts the attempts and spends the budget of retries.
func (s *Server) serveDetour(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	q := &request{http: r, head: platform.ReadRequestHead(r), arrived: s.now(), share: s.held.Share(), detoured: true}
	defer q.share.Release()
	defer s.recoverPanic(w, q)
	defer s.servingDetours.Add(-1)
	if s.servingDetours.Add(1) > detoursMax {
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonNotReady, retryAfterMin, "this instance serves %d requests of others already", detoursMax))
		return
	}
	if s.shuttingDown() {
		w.Header().Set("Connection", "close")
		s.writeRefusal(w, q, errs.NotRun(errs.ReasonStopping, retryAfterMin, "this instance is about to stop"))
		return
	}
	detour, err := s.admitDetour(w, q)
	if err != nil {
		s.writeRefusal(w, q, err)
		return
	}
	if q.body == nil {
		return
	}
	answer, err := s.forwardDetour(r.Context(), w, q, detour)
	s.finish(w, q, answer, err)
}

// admitDetour reads the request. If it has answered the request already, because its
// body can't be read, the body is nil.
func (s *Server) admitDetour(w http.ResponseWriter, q *request) (platform.Detour, error) {
	if q.table = s.feed.Table(); q.table == nil || !s.feed.Ready() {
		return platform.Detour{}, errs.NotRun(errs.ReasonNotReady, notReadyRetryAfter, "the configuration, targets or instances are not loaded yet")
	}
	detour, err := platform.ReadDetour(q.http)
	if err != nil {
		return detour, errs.NotRun(errs.ReasonBadRequest, 0, "%v", err)
	}
	q.route = route.NewRoute(detour.Route)
	q.deadline = q.arrived.Add(detour.Left)
	q.answerDeadline = q.arrived.Add(max(q.head.Deadline(), detour.Left))
	if err := s.admitDetourTenant(q, detour); err != nil {
		return detour, err
	}
	q.scope = reach.NewScope(detour.Service, q.regions)
	if s.links.Lost(q.scope) {
		return detour, errs.NotRun(errs.ReasonTargetFailed, outOfReachRetryAfter, "service %s: its targets are out of reach of this instance too", detour.Service)
	}
	if s.readBody(w, q) && q.body == nil {
		q.body = []byte{}
	}
	return detour, nil
}

// forwardDetour sends the request of another instance to one target. It tries another
// one only if nothing was sent.
func (s *Server) forwardDetour(ctx context.Context, w http.ResponseWriter, q *request, detour platform.Detour) (sender.Answer, error) {
	state := &retryState{request: q, tried: detour.Tried}
	defer s.endTrial(q, state)
	for {
		if err := s.checkAttempt(state, s.now()); err != nil {
			return state.result(err)
		}
		attempt, err := s.choose(detour.Service, q, state)
		if err != nil {
			return state.result(err)
		}
		platform.SetReached(w, attempt.Member().Target())
		answer, err := s.send(ctx, w, q, attempt)
		state.record(attempt.Member().Target(), answer, err)
		if answer.Streamed() {
			return answer, err
		}
		if state.reached > 0 || ctx.Err() != nil {
			return state.result(err)
		}
		platform.SetReached(w, "")
		if state.finished() {
			return state.result(err)
		}
	}
}
