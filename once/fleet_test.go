package once_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

// delivery is what the network does with a message and its reply.
type delivery int

const (
	delivered delivery = iota
	requestLost
	replyLost
	duplicated
)

// fleet is a set of entry processes on a network in memory. ran counts the runs
// of each key; clockOffset is added to the clock of all processes, in
// nanoseconds.
type fleet struct {
	mu              sync.Mutex
	members         map[place.Instance]*member
	deliver         func(from, to place.Instance, message wire.Message) delivery
	run             func(key string) (*wire.Answer, error)
	ran             map[string]int
	clockOffset     atomic.Int64
	lastIncarnation uint64
}

// member is one process of a fleet. A dead one sends and receives nothing.
type member struct {
	fleet *fleet
	hello wire.Hello
	keys  *once.Keys
	dead  atomic.Bool
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{members: map[place.Instance]*member{}, ran: map[string]int{}}
	f.deliver = func(place.Instance, place.Instance, wire.Message) delivery { return delivered }
	f.run = answer
	for _, name := range []place.Instance{"a", "b", "c"} {
		f.start(name)
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.keys.Close()
		}
	})
	return f
}

func answer(key string) (*wire.Answer, error) {
	return &wire.Answer{Target: "t", Status: 200, Body: []byte("answer to " + key)}, nil
}

// start starts a process. A running process of the same name is killed first.
func (f *fleet) start(name place.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastIncarnation++
	m := &member{fleet: f, hello: wire.Hello{Instance: name, Incarnation: f.lastIncarnation}}
	m.keys = once.New(ticket.NewID(name, f.lastIncarnation), ticket.DefaultLimits(), m, m, func() time.Time {
		return time.Now().Add(time.Duration(f.clockOffset.Load()))
	}, logs.Discard())
	if old := f.members[name]; old != nil {
		old.dead.Store(true)
	}
	f.members[name] = m
}

func (f *fleet) member(name place.Instance) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[name]
}

// prefix returns a key prefix with home a and witness b.
func (f *fleet) prefix(t testing.TB) string {
	b := f.member("b").hello
	f.member("a").keys.SetWitness(ticket.NewID(b.Instance, b.Incarnation), "kigali/b")
	prefix, ok := f.member("a").keys.Prefix()
	if !ok {
		t.Fatal("home a issued no prefix")
	}
	return prefix
}

// Reachable implements once.Network.
func (m *member) Reachable(place.Instance) bool { return true }

// Call implements once.Network.
func (m *member) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	m.fleet.mu.Lock()
	to, deliver := m.fleet.members[instance], m.fleet.deliver
	m.fleet.mu.Unlock()
	if to.dead.Load() || m.dead.Load() {
		return nil, errors.Mark(errors.New("no connection"), wire.ErrNotSent)
	}
	result := deliver(m.hello.Instance, instance, message)
	if result == requestLost || m.dead.Load() {
		return nil, errors.New("the connection was closed")
	}
	if result == duplicated {
		_ = to.keys.Handle(ctx, m.hello, message)
	}
	reply := to.keys.Handle(ctx, m.hello, message)
	if result == replyLost || to.dead.Load() || m.dead.Load() {
		return nil, errors.New("the connection was closed")
	}
	return reply, nil
}

// RunOnce implements once.Runner. It acts as the target and counts the runs of
// each key.
func (m *member) RunOnce(_ context.Context, request *wire.Forward) (*wire.Answer, error) {
	if m.dead.Load() {
		return nil, errs.MayHaveRun(errs.ReasonPeerFailed, "the process is dead")
	}
	result, err := m.fleet.run(request.Key)
	if errs.VerdictOf(err) != errs.VerdictNotRun || err == nil {
		m.fleet.mu.Lock()
		m.fleet.ran[request.Key]++
		m.fleet.mu.Unlock()
	}
	return result, err
}

func (f *fleet) runs(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[key]
}

const sendTimeout = 4 * time.Second

// send sends a request to an entry and returns the body of the answer, or the
// verdict and the reason. The word "again" follows if the caller may repeat the
// request.
func (f *fleet) send(entry place.Instance, key string) string {
	return f.sendWithin(sendTimeout, entry, key)
}

func (f *fleet) sendWithin(deadline time.Duration, entry place.Instance, key string) string {
	r, err := once.NewRequest(&wire.Forward{Service: "library/loan-ledger", Method: "POST", Path: "/loans", Body: []byte("x"), Key: key})
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	result, err := f.member(entry).keys.Serve(ctx, r)
	if err == nil {
		return string(result.Body)
	}
	refusal := errs.AsRefusal(err)
	text := refusal.Verdict().String() + " " + string(refusal.Reason())
	if refusal.RetryAfter() > 0 {
		text += " again"
	}
	return text
}

// expect sends a request and checks the result of send.
func (f *fleet) expect(t *testing.T, entry place.Instance, key, want string) {
	t.Helper()
	if got := f.send(entry, key); got != want {
		t.Errorf("entry %s returned %q, want %q", entry, got, want)
	}
}

func isKind[T wire.Message](message wire.Message) bool {
	_, ok := message.(T)
	return ok
}

func (f *fleet) setDelivery(deliver func(from, to place.Instance, message wire.Message) delivery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver = deliver
}

func isAnswer(got, key string) bool { return strings.HasPrefix(got, "answer to "+key) }
