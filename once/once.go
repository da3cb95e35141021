// Package once runs each non-idempotent request at most once. It does the
// network calls for package ticket, which makes the decisions.
//
// Every entry process has a Keys with three roles. It is the home of the keys
// that it issued and the witness of keys of other homes. As the entry of a
// request, it forwards the request to the home of its key, or asks the witness
// if the home is gone.
package once

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

// Timeouts and intervals of the calls between processes.
const (
	// RecordTimeout bounds the time that a home waits for the witness to
	// acknowledge a key, or for the reply to another message about keys.
	RecordTimeout = 500 * time.Millisecond
	// SealTimeout bounds the time that an entry waits for the witness to reply
	// about a key whose home is gone.
	SealTimeout = time.Second
	// SendTimeMax is the maximum time after the arrival of a request at its home
	// within which the home may send it to a target.
	SendTimeMax = 30 * time.Second
	// SweepInterval is the time between two sweeps for expired keys.
	SweepInterval = 5 * time.Second
	// retryDelay is the delay that a caller is asked to wait before a repeat with
	// the same key, if the repeat may give a definite outcome.
	retryDelay = 500 * time.Millisecond
	// sealTimeDivisor sets the part of a request's remaining time that is reserved
	// for asking the witness: 1/sealTimeDivisor, at most SealTimeout.
	sealTimeDivisor = 4
	// suspectTime is the time for which new prefixes do not name a witness that
	// gave no acknowledgement. It is longer than heartbeats take to detect a
	// failure.
	suspectTime = 3 * time.Second
	// callAttempts is the maximum number of times that an idempotent message is
	// sent.
	callAttempts = 2
)

// Network sends messages to other entry processes.
type Network interface {
	// Call sends a message and returns the reply. The error wraps wire.ErrNotSent
	// if nothing was sent.
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
	// Reachable reports whether the instance sent a sign of life recently. The
	// result may be out of date.
	Reachable(instance place.Instance) bool
}

// Runner sends a request to a target. The error wraps an *errs.Refusal, which
// says whether the request may have run. ctx does not end when the caller gives
// up, since a repeat of the request may still need the answer.
type Runner interface {
	RunOnce(ctx context.Context, request *wire.Forward) (*wire.Answer, error)
}

// Request is a request with an idempotency key.
type Request struct {
	key     ticket.Key
	digest  ticket.Digest
	forward *wire.Forward
}

// NewRequest parses the key of a request. The error is a refusal that describes
// the defect of the key.
func NewRequest(forward *wire.Forward) (*Request, error) {
	if strings.HasPrefix(forward.Key, ".") {
		return nil, errs.NotRun(errs.ReasonNoWitness, retryDelay, "the key %q has no prefix: a look-up returns none while no witness can be reached; look up again", forward.Key)
	}
	key, err := ticket.ParseKey(forward.Key)
	if err != nil {
		return nil, errs.NotRun(errs.ReasonKeyInvalid, 0, "%v", err)
	}
	digest := ticket.NewDigest(string(forward.Service), forward.Method, forward.Path, forward.Body)
	return &Request{key: key, digest: digest, forward: forward}, nil
}

// Keys implements the roles of a process: home, witness and entry.
type Keys struct {
	home    *home
	witness *witness
	network Network
	log     *logrus.Logger
	chosen  atomic.Pointer[witnessChoice]
	// lastFailures maps the instance of each witness to the time at which it last
	// failed to acknowledge a key of this home.
	lastFailures sync.Map
}

// witnessChoice is the witness that new prefixes name, with its availability
// zone.
type witnessChoice struct {
	witness ticket.ID
	zone    place.Zone
}

// New returns the Keys of the process self. now must be monotonic; time.Now is.
func New(self ticket.ID, limits ticket.Limits, network Network, runner Runner, now func() time.Time, log *logrus.Logger) *Keys {
	k := &Keys{witness: newWitness(self, limits, now), network: network, log: log}
	k.home = newHome(self, limits, network, runner, now, log)
	k.home.onNoReply = k.suspect
	return k
}

// SetWitness sets the witness that new prefixes name, and its availability zone.
func (k *Keys) SetWitness(witness ticket.ID, zone place.Zone) {
	k.chosen.Store(&witnessChoice{witness: witness, zone: zone})
}

// ClearWitness removes the witness, since none can be reached. No prefixes are
// issued until SetWitness is called.
func (k *Keys) ClearWitness() { k.chosen.Store(nil) }

// suspect removes a witness that gave no acknowledgement in time from new
// prefixes.
func (k *Keys) suspect(witness ticket.ID) {
	k.lastFailures.Store(witness.Instance(), k.home.now())
	if chosen := k.chosen.Load(); chosen != nil && chosen.witness == witness {
		k.chosen.CompareAndSwap(chosen, nil)
	}
}

// Suspected reports whether the instance recently gave no acknowledgement in
// time, so that another instance should be the witness, if there is one.
func (k *Keys) Suspected(instance place.Instance) bool {
	at, known := k.lastFailures.Load(instance)
	if !known {
		return false
	}
	when, ok := at.(time.Time)
	return ok && k.home.now().Sub(when) < suspectTime
}

// Prefix returns a new key prefix for one look-up. It returns false if no
// witness can be reached or the process is stopping.
func (k *Keys) Prefix() (string, bool) {
	chosen := k.chosen.Load()
	if chosen == nil {
		return "", false
	}
	prefix, ok := k.home.issue(chosen.witness, chosen.zone)
	if !ok {
		return "", false
	}
	return prefix.String(), true
}

// Serve forwards a request to the home of its key and returns the complete
// answer. It may be called for every repeat of the request, in any process; the
// request runs at most once. The error wraps an *errs.Refusal. If that has the
// verdict errs.VerdictMayHaveRun and a retry time, the caller may repeat the
// request with the same key.
func (k *Keys) Serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	answer, err := k.askHome(ctx, r)
	if !errors.Is(err, errHomeGone) {
		return answer, err
	}
	return k.askWitness(ctx, r, err)
}

// errHomeGone is wrapped by errors that mean that the home of a key can't be
// asked, or that the process that was asked is not the home.
var errHomeGone = errors.New("the home of the key is gone")

// askHome passes the request to the home of its key. The error wraps errHomeGone
// if the home is gone, unreachable or has handed over its keys.
func (k *Keys) askHome(ctx context.Context, r *Request) (*wire.Answer, error) {
	to := r.key.Prefix().Home()
	if to == k.home.self {
		return k.home.serve(ctx, r)
	}
	if !k.network.Reachable(to.Instance()) {
		return nil, errors.Wrapf(errHomeGone, "instance %s is unreachable", to.Instance())
	}
	reserved, cancel := withSealReserve(ctx)
	defer cancel()
	return k.forwardTo(reserved, to, r)
}

// withSealReserve returns a context with an earlier deadline than ctx, so that
// time is left to ask the witness.
func withSealReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, SendTimeMax)
	}
	kept := min(SealTimeout, time.Until(deadline)/sealTimeDivisor)
	return context.WithDeadline(ctx, deadline.Add(-kept))
}

// forwardTo sends the request to the home of its key or to the witness that took
// over. A repeat is safe, since the home joins repeats of a request.
func (k *Keys) forwardTo(ctx context.Context, to ticket.ID, r *Request) (*wire.Answer, error) {
	forward := *r.forward
	forward.Scope = wire.ScopeHome
	reply, err := call(ctx, k.network, to, func() wire.Message {
		forward.DeadlineMillis = millisLeft(ctx)
		return &forward
	})
	if err != nil {
		return nil, errors.Mark(err, errHomeGone)
	}
	switch m := reply.(type) {
	case *wire.Answer:
		return m, nil
	case *wire.Refused:
		return nil, refusalFromWire(m)
	case *wire.KeyNotHome:
		return nil, errors.Wrapf(errHomeGone, "instance %s", to.Instance())
	}
	return nil, errors.Mark(errors.Newf("instance %s sent a reply of an unexpected type", to.Instance()), errHomeGone)
}

// askWitness asks the witness about a key whose home is gone. cause is the
// reason why the home could not be asked.
func (k *Keys) askWitness(ctx context.Context, r *Request, cause error) (*wire.Answer, error) {
	sealed, err := k.seal(ctx, r)
	if err != nil {
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, retryDelay,
			"neither the home nor the witness of the key could be asked: %v; %v", cause, err)
	}
	switch s := sealed.(type) {
	case ticket.SealNotRun:
		return nil, errs.NotRun(errs.ReasonLostHome, 0, "the home of the key is gone and had not started the request; look up again for a new key")
	case ticket.SealKnown:
		return unpackOutcome(s.Outcome())
	case ticket.SealUnknown:
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, s.After(), "%s", s.Why())
	case ticket.SealTakenOver:
		return k.askSuccessor(ctx, r)
	}
	return nil, errs.MayHaveRun(errs.ReasonLostHome, "the witness sent an unknown reply")
}

// seal asks the witness about a key and returns its reply. The witness seals the
// key if it has not recorded it.
func (k *Keys) seal(ctx context.Context, r *Request) (ticket.Seal, error) {
	to := r.key.Prefix().Witness()
	if to == k.witness.self {
		return k.witness.seal(r.key, r.digest), nil
	}
	ctx, cancel := context.WithTimeout(ctx, SealTimeout)
	defer cancel()
	reply, err := call(ctx, k.network, to, func() wire.Message {
		return &wire.KeySeal{Key: r.key.String(), Digest: uint64(r.digest)}
	})
	if err != nil {
		return nil, err
	}
	sealed, ok := reply.(*wire.KeySealed)
	if !ok {
		return nil, errors.Newf("instance %s sent a reply of an unexpected type", to.Instance())
	}
	return sealFromWire(sealed), nil
}

// askSuccessor forwards the request to the witness, which took over from the
// home.
func (k *Keys) askSuccessor(ctx context.Context, r *Request) (*wire.Answer, error) {
	to := r.key.Prefix().Witness()
	var answer *wire.Answer
	var err error
	if to == k.home.self {
		answer, err = k.home.serve(ctx, r)
	} else {
		answer, err = k.forwardTo(ctx, to, r)
	}
	if errors.Is(err, errHomeGone) {
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, retryDelay, "the home of the key stopped, and its successor could not be asked: %v", err)
	}
	return answer, err
}

// call sends an idempotent message, again after a failure, and returns the
// reply. newMessage is called for each attempt.
func call(ctx context.Context, network Network, to ticket.ID, newMessage func() wire.Message) (wire.Message, error) {
	var reply wire.Message
	var err error
	for range callAttempts {
		reply, err = network.Call(ctx, to.Instance(), newMessage())
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return reply, errors.Wrapf(err, "call instance %s", to.Instance())
}

// millisLeft returns the time until the deadline of ctx in milliseconds, at
// least 1, or SendTimeMax if there is no deadline.
func millisLeft(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return SendTimeMax.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
