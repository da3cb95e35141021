// Package once runs each non-idempotent request at most once. It puts the
// network around package ticket, which decides.
//
// Every entry process has a Keys, which is three things: the home of the keys
// that it gave out, the witness of other homes' keys, and the front that leads
// a request to the home of its key or, when that is gone, asks the witness.
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

// Times of the exchanges between processes.
const (
	// RecordTimeout bounds how long the home waits for the acknowledgement of
	// the witness, or for the answer to another message about keys.
	RecordTimeout = 500 * time.Millisecond
	// SealTimeout bounds how long an entry waits for the witness's word.
	SealTimeout = time.Second
	// BoundMax is the longest time after its arrival in which a request may be
	// handed on.
	BoundMax = 30 * time.Second
	// SweepInterval is the time between two searches for keys to forget.
	SweepInterval = 5 * time.Second
	// askAgain is the pause that a caller is asked for when the same key may
	// get a better answer later.
	askAgain = 500 * time.Millisecond
	// sealShare is the part of a request's time that is kept back for asking
	// the witness: 1/sealShare, at most SealTimeout.
	sealShare = 4
	// suspectTime is how long a silent witness is not named in new prefixes. It
	// is longer than the heartbeats need to tell.
	suspectTime = 3 * time.Second
	// callTries is how often a message that may be repeated is sent.
	callTries = 2
)

// Network reaches other entry processes.
type Network interface {
	// Call sends a message and returns the answer. An error holds
	// wire.ErrNotSent in its chain if nothing was sent.
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
	// Reachable tells whether the instance was heard of late. It may be wrong.
	Reachable(instance place.Instance) bool
}

// Runner hands a request on to a target. An error holds an *errs.Refusal,
// which says whether the request may have run. ctx does not end when a caller
// gives up, since a repeat may come.
type Runner interface {
	RunOnce(ctx context.Context, request *wire.Forward) (*wire.Answer, error)
}

// Request is a request that bears a key.
type Request struct {
	key     ticket.Key
	digest  ticket.Digest
	forward *wire.Forward
}

// NewRequest reads the key of a request. The error is a refusal that says what
// is wrong with the key.
func NewRequest(forward *wire.Forward) (*Request, error) {
	if strings.HasPrefix(forward.Key, ".") {
		return nil, errs.NotRun(errs.ReasonNoWitness, askAgain, "the key %q has no prefix: a look-up gives none while no witness can be reached; look up again", forward.Key)
	}
	key, err := ticket.ParseKey(forward.Key)
	if err != nil {
		return nil, errs.NotRun(errs.ReasonKeyInvalid, 0, "%v", err)
	}
	digest := ticket.NewDigest(string(forward.Service), forward.Method, forward.Path, forward.Body)
	return &Request{key: key, digest: digest, forward: forward}, nil
}

// Keys is what a process does for keys: home, witness and front.
type Keys struct {
	home    *home
	witness *witness
	network Network
	log     *logrus.Logger
	choice  atomic.Pointer[choice]
	// silent has the time at which each witness last left a home without an
	// acknowledgement.
	silent sync.Map
}

// choice is the witness that new prefixes name.
type choice struct {
	witness ticket.ID
	zone    place.Zone
}

// New makes the Keys of the process self. now must not go back; the time of
// time.Now, which counts monotonically, does.
func New(self ticket.ID, limits ticket.Limits, network Network, runner Runner, now func() time.Time, log *logrus.Logger) *Keys {
	k := &Keys{witness: newWitness(self, limits, now), network: network, log: log}
	k.home = newHome(self, limits, network, runner, now, log)
	k.home.silent = k.suspect
	return k
}

// SetWitness names the witness of new prefixes and its availability zone.
func (k *Keys) SetWitness(witness ticket.ID, zone place.Zone) {
	k.choice.Store(&choice{witness: witness, zone: zone})
}

// ClearWitness tells that no witness can be reached, so that no prefixes are
// given out.
func (k *Keys) ClearWitness() { k.choice.Store(nil) }

// suspect stops the naming of a witness that gave no acknowledgement in time.
func (k *Keys) suspect(witness ticket.ID) {
	k.silent.Store(witness.Instance(), k.home.now())
	if chosen := k.choice.Load(); chosen != nil && chosen.witness == witness {
		k.choice.CompareAndSwap(chosen, nil)
	}
}

// Suspected tells whether the instance lately gave no acknowledgement in time,
// so that another should be the witness, if there is one.
func (k *Keys) Suspected(instance place.Instance) bool {
	at, known := k.silent.Load(instance)
	if !known {
		return false
	}
	when, ok := at.(time.Time)
	return ok && k.home.now().Sub(when) < suspectTime
}

// Prefix returns a new key prefix for one look-up. It returns false if no
// witness can be reached or the process stops.
func (k *Keys) Prefix() (string, bool) {
	chosen := k.choice.Load()
	if chosen == nil {
		return "", false
	}
	prefix, ok := k.home.issue(chosen.witness, chosen.zone)
	if !ok {
		return "", false
	}
	return prefix.String(), true
}

// Serve leads a request to the home of its key and returns the whole answer.
// Every repeat of the request may be given to it, in any process; the request
// runs at most once. An error holds an *errs.Refusal. One with the verdict
// errs.VerdictMayHaveRun and a time to come back may be followed by a repeat
// with the same key.
func (k *Keys) Serve(ctx context.Context, r *Request) (*wire.Answer, error) {
	answer, err := k.askHome(ctx, r)
	if !errors.Is(err, errAway) {
		return answer, err
	}
	return k.askWitness(ctx, r, err)
}

// errAway is in the chain of an error when the home of a key can't be asked.
var errAway = errors.New("the home of the key is gone")

// askHome returns an error with errAway in its chain if the home is gone, is
// silent or has handed over.
func (k *Keys) askHome(ctx context.Context, r *Request) (*wire.Answer, error) {
	to := r.key.Prefix().Home()
	if to == k.home.self {
		return k.home.serve(ctx, r)
	}
	if !k.network.Reachable(to.Instance()) {
		return nil, errors.Wrapf(errAway, "instance %s is silent", to.Instance())
	}
	reserved, cancel := reserve(ctx)
	defer cancel()
	return k.lead(reserved, to, r)
}

// reserve shortens the deadline of ctx, so that time is left to ask the
// witness.
func reserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, BoundMax)
	}
	kept := min(SealTimeout, time.Until(deadline)/sealShare)
	return context.WithDeadline(ctx, deadline.Add(-kept))
}

// lead sends the request to the process that is the home of its key or acts as
// the home. It may be repeated, since the home joins repeats.
func (k *Keys) lead(ctx context.Context, to ticket.ID, r *Request) (*wire.Answer, error) {
	forward := *r.forward
	forward.Scope = wire.ScopeHome
	reply, err := call(ctx, k.network, to, func() wire.Message {
		forward.DeadlineMillis = millisLeft(ctx)
		return &forward
	})
	if err != nil {
		return nil, errors.Mark(err, errAway)
	}
	switch m := reply.(type) {
	case *wire.Answer:
		return m, nil
	case *wire.Refused:
		return nil, refusalFromWire(m)
	case *wire.KeyAway:
		return nil, errors.Wrapf(errAway, "instance %s", to.Instance())
	}
	return nil, errors.Mark(errors.Newf("instance %s gave an answer of the wrong kind", to.Instance()), errAway)
}

// askWitness asks for what is known of a key whose home is gone. cause is why
// the home could not be asked.
func (k *Keys) askWitness(ctx context.Context, r *Request, cause error) (*wire.Answer, error) {
	sealed, err := k.seal(ctx, r)
	if err != nil {
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, askAgain,
			"neither the home nor the witness of the key can be asked: %v; %v", cause, err)
	}
	switch s := sealed.(type) {
	case ticket.SealNotRun:
		return nil, errs.NotRun(errs.ReasonLostHome, 0, "the home of the key is gone and had not begun the request; look up again for a new key")
	case ticket.SealKnown:
		return unpackOutcome(s.Outcome())
	case ticket.SealUnknown:
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, s.After(), "%s", s.Why())
	case ticket.SealActing:
		return k.askSuccessor(ctx, r)
	}
	return nil, errs.MayHaveRun(errs.ReasonLostHome, "the witness gave an unknown answer")
}

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
		return nil, errors.Newf("instance %s gave an answer of the wrong kind", to.Instance())
	}
	return sealFromWire(sealed), nil
}

// askSuccessor leads the request to the witness, which took over from the
// home.
func (k *Keys) askSuccessor(ctx context.Context, r *Request) (*wire.Answer, error) {
	to := r.key.Prefix().Witness()
	var answer *wire.Answer
	var err error
	if to == k.home.self {
		answer, err = k.home.serve(ctx, r)
	} else {
		answer, err = k.lead(ctx, to, r)
	}
	if errors.Is(err, errAway) {
		return nil, errs.New(errs.VerdictMayHaveRun, errs.ReasonLostHome, askAgain, "the home of the key stopped, and its successor can't be asked: %v", err)
	}
	return answer, err
}

// call sends a message that may be repeated and returns the answer.
// newMessage is called for each try.
func call(ctx context.Context, network Network, to ticket.ID, newMessage func() wire.Message) (wire.Message, error) {
	var reply wire.Message
	var err error
	for range callTries {
		reply, err = network.Call(ctx, to.Instance(), newMessage())
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return reply, errors.Wrapf(err, "call instance %s", to.Instance())
}

// millisLeft returns the time that ctx leaves, at least 1 ms.
func millisLeft(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return BoundMax.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
