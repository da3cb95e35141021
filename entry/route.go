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

// ComeBack is the time after which a caller that was refused for lack of room
// should come back.
const ComeBack = 200 * time.Millisecond

// forwardTries is how many entries of an availability zone a request is offered
// to, as long as each cannot be reached.
const forwardTries = 3

// Serve leads one request of a caller to a target and returns the whole answer.
// An error holds an *errs.Refusal, which says whether the request may have run.
func (e *Entry) Serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	begun := e.now()
	answer, err := e.serve(ctx, r)
	e.stats.done(r.service, err, e.now().Sub(begun))
	return answer, err
}

func (e *Entry) serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	if r.key != "" {
		return e.serveOnce(ctx, r)
	}
	return e.admitted(ctx, r, func(ctx context.Context, policy *config.Policy) (*wire.Answer, error) {
		e.limits.arrive(r.service, policy)
		if policy.NonIdempotent(r.method, r.plainPath()) {
			return nil, e.keyMissing(r)
		}
		return e.route(ctx, e.view.Load(), policy, r)
	})
}

// admitted admits a request and serves it within its deadline.
func (e *Entry) admitted(ctx context.Context, r *Request, serve func(ctx context.Context, policy *config.Policy) (*wire.Answer, error)) (*wire.Answer, error) {
	policy, err := e.admit(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return serve(ctx, policy)
}

// admit checks a request and gives it the deadline of its service's policy if
// it has none or a later one.
func (e *Entry) admit(r *Request) (*config.Policy, error) {
	if !e.informed() {
		return nil, errs.NotRun(errs.ReasonNotReady, ComeBack, "instance %s has not read the settings yet", e.self.Instance)
	}
	policy, found := e.relay.Tables().Policy(r.service)
	if !found {
		return nil, errs.NotRun(errs.ReasonNoService, 0, "there is no policy for service %q", r.service)
	}
	latest := e.now().Add(policy.Deadline())
	if r.deadline.IsZero() || r.deadline.After(latest) {
		r.deadline = latest
	}
	return policy, nil
}

// forwardable returns the entries that a request may be handed to, at most
// forwardTries. One that leaves still serves: it comes last.
func (e *Entry) forwardable(entries []store.Entry) []store.Entry {
	now := e.now()
	found := e.pick(entries, forwardTries)
	return append(found, pick(entries, forwardTries-len(found), func(entry store.Entry) bool {
		health := e.heart.Health(entry.Instance)
		leaving := entry.State == store.StateLeaving || health.Leaving()
		return leaving && health.Reachable(now) && entry.Instance != e.self.Instance
	})...)
}

// pick returns at most count entries that can be reached and don't leave, in
// random order.
func (e *Entry) pick(entries []store.Entry, count int) []store.Entry {
	now := e.now()
	return pick(entries, count, func(entry store.Entry) bool {
		if entry.Instance == e.self.Instance || entry.State == store.StateLeaving {
			return false
		}
		health := e.heart.Health(entry.Instance)
		return health.Reachable(now) && !health.Leaving()
	})
}

// pick returns at most count entries that fit, in random order. It looks at no
// more of them than it needs, because it stands on the path of every request
// and a zone may have a hundred.
func pick(entries []store.Entry, count int, fits func(store.Entry) bool) []store.Entry {
	if len(entries) == 0 || count <= 0 {
		return nil
	}
	picked := make([]store.Entry, 0, min(count, len(entries)))
	at, stride := rand.IntN(len(entries)), randomStride(len(entries))
	for range entries {
		if fits(entries[at]) {
			picked = append(picked, entries[at])
		}
		if len(picked) == count {
			break
		}
		at = (at + stride) % len(entries)
	}
	return picked
}

// randomStride returns a step that leads once through all places of a list.
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

// forward hands a request to another entry and waits for its answer.
func (e *Entry) forward(ctx context.Context, instance place.Instance, message *wire.Forward) (*wire.Answer, error) {
	answer, err := e.pool.Call(ctx, instance, message)
	if err != nil {
		return nil, forwardFailed(err)
	}
	switch a := answer.(type) {
	case *wire.Answer:
		e.limits.learnNear(instance, a.Keeper)
		return a, nil
	case *wire.Refused:
		e.limits.learnNear(instance, a.Keeper)
		return nil, refusalFromWire(a)
	}
	return nil, errs.MayHaveRun(errs.ReasonPeerFailed, "instance %s gave an answer of the wrong kind", instance)
}

func forwardFailed(err error) error {
	switch {
	case errors.Is(err, wire.ErrNotSent):
		return errs.NotRun(errs.ReasonPeerFailed, ComeBack, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return errs.MayHaveRun(errs.ReasonDeadline, "%v", err)
	}
	return errs.MayHaveRun(errs.ReasonPeerFailed, "%v", err)
}

func (e *Entry) handleForward(ctx context.Context, peer wire.Hello, f *wire.Forward) wire.Message {
	r := requestFromWire(f, e.now())
	r.admitted = peer.Zone.Region() == e.self.Zone.Region() && f.Scope != wire.ScopeHome
	if r.hops > HopsMax {
		return refusalToWire(errs.NotRun(errs.ReasonPeerFailed, ComeBack, "the request was handed on %d times already", r.hops))
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	settle, err := e.reserveAnswer(peer.Zone.Region())
	if err != nil {
		return refusalToWire(err)
	}
	answer, err := e.serveForward(ctx, f, r)
	if err != nil {
		settle(0)
		refused := refusalToWire(err)
		refused.Keeper = e.limits.tell(f.Target)
		return refused
	}
	settle(answerBytes(answer))
	told := *answer // another call may share the answer
	told.Keeper = e.limits.tell(answer.Target)
	return &told
}

// reserveAnswer takes room for the answer on the link to the region that the
// request came from.
func (e *Entry) reserveAnswer(from place.Region) (func(size int64), error) {
	if from == e.self.Zone.Region() {
		return func(int64) {}, nil
	}
	return e.limits.links.reserve(from, e.limits.clock)
}

func (e *Entry) serveForward(ctx context.Context, f *wire.Forward, r *Request) (*wire.Answer, error) {
	return e.admitted(ctx, r, func(ctx context.Context, policy *config.Policy) (*wire.Answer, error) {
		v := e.view.Load()
		if f.Scope == wire.ScopeTarget {
			return e.sendKept(ctx, v, policy, r, f.Target)
		}
		return e.route(ctx, v, policy, r)
	})
}
