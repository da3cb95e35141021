package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// keptAnswers holds the outcome of each non-idempotent request that this
// process handed on, by key.
type keptAnswers struct {
	mu    sync.Mutex
	calls map[string]*keptCall
}

type keptCall struct {
	done   chan struct{}
	answer *wire.Answer
	err    error
}

func newKeptAnswers() *keptAnswers { return &keptAnswers{calls: map[string]*keptCall{}} }

// begin returns the call of the key, and whether it is new.
func (k *keptAnswers) begin(key string) (*keptCall, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if call, known := k.calls[key]; known {
		return call, false
	}
	call := &keptCall{done: make(chan struct{})}
	k.calls[key] = call
	return call, true
}

// keyPrefix returns what the keys begin with that this process is the home of.
func (e *Entry) keyPrefix() string {
	return fmt.Sprintf("%s~%x", e.self.Instance, e.self.Incarnation)
}

// serveOnce runs a non-idempotent request at its home, and leads it there from
// any other entry.
func (e *Entry) serveOnce(ctx context.Context, v *view, policy *config.Policy, r *Request) (*wire.Answer, error) {
	if r.key == "" {
		return nil, errs.NotRun(errs.ReasonKeyMissing, 0,
			"%s %s is non-idempotent and needs the header Endivechute-Key: take key_prefix from GET /v1/lookup?service=%s and append a dot and a number of your own",
			r.method, r.plainPath(), r.service)
	}
	prefix, _, found := strings.Cut(r.key, ".")
	home, _, split := strings.Cut(prefix, "~")
	if !found || !split {
		return nil, errs.NotRun(errs.ReasonKeyInvalid, 0, "the key %q doesn't begin with a key_prefix from a look-up", r.key)
	}
	if home != string(e.self.Instance) {
		if r.hops > 0 {
			return nil, errs.NotRun(errs.ReasonLostHome, 0, "instance %s is not the home of the key", e.self.Instance)
		}
		return e.forward(ctx, place.Instance(home), r.toWire(wire.ScopeHome, e.now()))
	}
	if prefix != e.keyPrefix() {
		return nil, errs.MayHaveRun(errs.ReasonLostHome, "the process that was the home of the key is gone")
	}
	return e.runOnce(ctx, v, policy, r)
}

func (e *Entry) runOnce(ctx context.Context, v *view, policy *config.Policy, r *Request) (*wire.Answer, error) {
	call, first := e.once.begin(r.key)
	if first {
		r.hops = 0
		call.answer, call.err = e.route(ctx, v, policy, r)
		close(call.done)
	}
	select {
	case <-call.done:
		return call.answer, call.err
	case <-ctx.Done():
		return nil, errs.MayHaveRun(errs.ReasonDeadline, "the first request with this key is still running")
	}
}
