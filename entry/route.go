package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// DefaultRetryAfter is the time after which a caller should retry a request
// that was refused for lack of capacity.
const DefaultRetryAfter = 200 * time.Millisecond

// forwardAttemptsMax is the maximum number of entries of an availability zone to
// which a request is forwarded while the connections to them fail.
const forwardAttemptsMax = 3

// Serve routes one request of a caller to a target and returns the complete
// answer. An error has an *errs.Refusal in its chain, which says whether the
// request may have run.
func (e *Entry) Serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	begun := e.now()
	answer, err := e.serve(ctx, r)
	e.stats.observe(r.service, err, e.now().Sub(begun))
	return answer, err
}

func (e *Entry) serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	if r.key != "" {
		return e.serveOnce(ctx, r)
	}
	return e.serveWithPolicy(ctx, r, func(ctx context.Context, policy *config.Policy) (*wire.Answer, error) {
		e.limits.countArrival(r.service, policy)
		if policy.NonIdempotent(r.method, r.pathWithoutQuery()) {
			return nil, e.keyMissingError(r)
		}
		if err := e.refuseLate(r); err != nil {
			return nil, err
		}
		return e.route(ctx, e.view.Load(), policy, r)
	})
}

// serveWithPolicy calls serve with the policy of the request's service and a
// context that ends at the request's deadline.
func (e *Entry) serveWithPolicy(ctx context.Context, r *Request, serve func(ctx context.Context, policy *config.Policy) (*wire.Answer, error)) (*wire.Answer, error) {
	policy, err := e.applyPolicy(r)
	if err != nil {
		return nil, err
	}
	if err := e.checkQuarantine(r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return serve(ctx, policy)
}

// applyPolicy returns the policy of the request's service. It sets the request's
// deadline to the policy's if it has none or a later one.
func (e *Entry) applyPolicy(r *Request) (*config.Policy, error) {
	if !e.synced() {
		return nil, errs.NotRun(errs.ReasonNotReady, DefaultRetryAfter, "instance %s has not loaded its settings yet", e.self.Instance)
	}
	policy, found := e.relay.Tables().Policy(r.service)
	if !found {
		return nil, errs.NotRun(errs.ReasonNoService, 0, "no policy exists for service %q", r.service)
	}
	latest := e.now().Add(policy.Deadline())
	if r.deadline.IsZero() || r.deadline.After(latest) {
		r.deadline = latest
	}
	return policy, nil
}

// forwardCandidates returns at most forwardAttemptsMax reachable entries to
// forward a request to. Leaving entries still serve requests, but come last.
func (e *Entry) forwardCandidates(entries []store.Entry) []store.Entry {
	now := e.now()
	found := e.pick(entries, forwardAttemptsMax)
	return append(found, pick(entries, forwardAttemptsMax-len(found), func(entry store.Entry) bool {
		health := e.heartbeats.Health(entry.Instance)
		leaving := entry.State == store.StateLeaving || health.Leaving()
		return leaving && health.Reachable(now) && entry.Instance != e.self.Instance
	})...)
}

// pick returns at most count other entries that are reachable and not leaving, in
// random order.
func (e *Entry) pick(entries []store.Entry, count int) []store.Entry {
	now := e.now()
	return pick(entries, count, func(entry store.Entry) bool {
		if entry.Instance == e.self.Instance || entry.State == store.StateLeaving {
			return false
		}
		health := e.heartbeats.Health(entry.Instance)
		return health.Reachable(now) && !health.Leaving()
	})
}

// pick returns at most count entries that accept returns true for, in random
// order. It stops once it has count entries, because it runs for every request and
// a zone may have a hundred entries.
func pick(entries []store.Entry, count int, accept func(store.Entry) bool) []store.Entry {
	if len(entries) == 0 || count <= 0 {
		return nil
	}
	picked := make([]store.Entry, 0, min(count, len(entries)))
	index, stride := rand.IntN(len(entries)), randomStride(len(entries))
	for range entries {
		if accept(entries[index]) {
			picked = append(picked, entries[index])
		}
		if len(picked) == count {
			break
		}
		index = (index + stride) % len(entries)
	}
	return picked
}

// randomStride returns a random step that is coprime to the length, so that
// repeated steps modulo the length visit every index once.
func randomStride(length int) int {
	for {
		stride := 1 + rand.IntN(length)
		if gcd(stride, length) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// forward sends a request to another entry and waits for its answer.
func (e *Entry) forward(ctx context.Context, instance place.Instance, message *wire.Forward) (*wire.Answer, error) {
	answer, err := e.pool.Call(ctx, instance, message)
	if err != nil {
		return nil, forwardError(err)
	}
	switch a := answer.(type) {
	case *wire.Answer:
		e.limits.applyZoneView(instance, a.Keeper)
		return a, nil
	case *wire.Refused:
		e.limits.applyZoneView(instance, a.Keeper)
		return nil, refusalFromWire(a)
	}
	return nil, errs.MayHaveRun(errs.ReasonPeerFailed, "instance %s sent an answer of unexpected type %T", instance, answer)
}

// forwardError returns the refusal for a failed call to another entry. The
// request did not run only if the call failed before anything was sent.
func forwardError(err error) error {
	switch {
	case errors.Is(err, wire.ErrNotSent):
		return errs.NotRun(errs.ReasonPeerFailed, DefaultRetryAfter, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return errs.MayHaveRun(errs.ReasonDeadline, "%v", err)
	}
	return errs.MayHaveRun(errs.ReasonPeerFailed, "%v", err)
}

// handleForward serves a request that another entry forwarded. The answer or
// refusal includes this entry's view of the target if it is the target's keeper.
func (e *Entry) handleForward(ctx context.Context, peer wire.Hello, f *wire.Forward) wire.Message {
	r := requestFromWire(f, e.now())
	r.admitted = peer.Zone.Region() == e.self.Zone.Region() && f.Scope != wire.ScopeHome
	if r.hops > HopsMax {
		return refusalToWire(errs.NotRun(errs.ReasonPeerFailed, DefaultRetryAfter, "the request was forwarded %d times, at most %d are allowed", r.hops, HopsMax))
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	settleAnswer, err := e.reserveAnswer(peer.Zone.Region())
	if err != nil {
		return refusalToWire(err)
	}
	answer, err := e.serveForward(ctx, f, r)
	if err != nil {
		settleAnswer(0)
		refused := refusalToWire(err)
		refused.Keeper = e.limits.ownView(f.Target)
		return refused
	}
	settleAnswer(answerBytes(answer))
	reply := *answer // a copy, because other calls may share the answer
	reply.Keeper = e.limits.ownView(answer.Target)
	return &reply
}

// reserveAnswer reserves the expected size of the answer on the link to the
// region that the request came from. The returned function takes the real size,
// in bytes, or 0 if there was no answer.
func (e *Entry) reserveAnswer(from place.Region) (func(size int64), error) {
	if from == e.self.Zone.Region() {
		return func(int64) {}, nil
	}
	return e.limits.links.reserveAnswer(from, e.limits.clock)
}

func (e *Entry) serveForward(ctx context.Context, f *wire.Forward, r *Request) (*wire.Answer, error) {
	return e.serveWithPolicy(ctx, r, func(ctx context.Context, policy *config.Policy) (*wire.Answer, error) {
		v := e.view.Load()
		if f.Scope == wire.ScopeTarget {
			return e.sendToTarget(ctx, v, policy, r, f.Target)
		}
		return e.route(ctx, v, policy, r)
	})
}
