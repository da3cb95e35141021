package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// Times of the heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time since a peer's last reply after which the peer
	// counts as unreachable.
	HeartbeatTimeout = 2 * time.Second
)

// Caller makes calls to peers.
type Caller interface {
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
}

// Health is the state of a peer as known from its last heartbeat.
type Health struct {
	incarnation uint64
	leaving     bool
	refused     bool
	outOfReach  bool
	lastReply   time.Time
}

// Leaving reports whether the peer said that it is about to stop.
func (h Health) Leaving() bool { return h.leaving }

// Refused reports whether the last connection to the peer's address was refused,
// which means that its process has ended.
func (h Health) Refused() bool { return h.refused }

// OutOfReach reports whether the peer said that it reaches no target.
func (h Health) OutOfReach() bool { return h.outOfReach }

// heard reports whether anything is known of the peer.
func (h Health) heard() bool { return h.refused || !h.lastReply.IsZero() }

// Incarnation returns the number of the peer's process, which changes when it
// restarts. It is 0 if the peer never replied, or if its address refused the last
// connection.
func (h Health) Incarnation() uint64 { return h.incarnation }

// Reachable reports whether the peer replied within HeartbeatTimeout before now.
func (h Health) Reachable(now time.Time) bool { return now.Sub(h.lastReply) <= HeartbeatTimeout }

// Heartbeats sends heartbeats to every peer and keeps the health of each.
type Heartbeats struct {
	self    wire.Hello
	caller  Caller
	now     func() time.Time
	leaving atomic.Bool
	// wake starts the next round of heartbeats early.
	wake chan struct{}
	// announced holds, by name, the incarnations of peers whose own heartbeats said that
	// they are about to stop.
	announced sync.Map
	peers     atomic.Pointer[[]place.Instance]
	health    atomic.Pointer[map[place.Instance]Health]
	// addNotices, if set, adds to a round of heartbeats what it tells of targets.
	addNotices func(*wire.Heartbeat)
}

// NewHeartbeats returns Heartbeats without peers.
func NewHeartbeats(self wire.Hello, caller Caller, now func() time.Time) *Heartbeats {
	h := &Heartbeats{self: self, caller: caller, now: now, wake: make(chan struct{}, 1)}
	h.peers.Store(&[]place.Instance{})
	h.health.Store(&map[place.Instance]Health{})
	return h
}

// SetPeers replaces the peers that get heartbeats.
func (h *Heartbeats) SetPeers(peers []place.Instance) { h.peers.Store(&peers) }

// SetLeaving makes all further heartbeats say that this process is about to stop, and
// sends the next ones at once.
func (h *Heartbeats) SetLeaving() {
	h.leaving.Store(true)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Hear takes what a heartbeat of a peer says about the peer itself.
func (h *Heartbeats) Hear(from wire.Hello, heartbeat *wire.Heartbeat) {
	if heartbeat.Leaving {
		h.announced.Store(from.Instance, from.Incarnation)
	}
}

// SetNotices sets the function that adds what each round of heartbeats tells of
// targets. It must be called before Run.
func (h *Heartbeats) SetNotices(add func(*wire.Heartbeat)) { h.addNotices = add }

// Health returns the health of a peer, the zero value if it is unknown.
func (h *Heartbeats) Health(instance place.Instance) Health {
	health := (*h.health.Load())[instance]
	if announced, found := h.announced.Load(instance); found && announced == health.incarnation {
		health.leaving = true
	}
	return health
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeats) Run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		h.SendAll(ctx)
		select {
		case <-ticker.C:
		case <-h.wake:
		case <-ctx.Done():
			return
		}
	}
}

// SendAll sends one heartbeat to every peer and updates the health of those that
// reply or refuse the connection within HeartbeatInterval.
func (h *Heartbeats) SendAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatInterval)
	defer cancel()
	peers := *h.peers.Load()
	results := make([]*Health, len(peers))
	heartbeat := &wire.Heartbeat{Instance: h.self.Instance, Incarnation: h.self.Incarnation, Leaving: h.leaving.Load()}
	if h.addNotices != nil {
		h.addNotices(heartbeat)
	}
	var tasks conc.WaitGroup
	for i, peer := range peers {
		tasks.Go(func() { results[i] = h.send(ctx, peer, heartbeat) })
	}
	tasks.Wait()
	h.update(peers, results)
}

func (h *Heartbeats) send(ctx context.Context, peer place.Instance, heartbeat *wire.Heartbeat) *Health {
	answer, err := h.caller.Call(ctx, peer, heartbeat)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &Health{refused: true}
	}
	if err != nil {
		return nil
	}
	ack, ok := answer.(*wire.HeartbeatAck)
	if !ok {
		return nil
	}
	return &Health{incarnation: ack.Incarnation, leaving: ack.Leaving, outOfReach: ack.OutOfReach, lastReply: h.now()}
}

func (h *Heartbeats) update(peers []place.Instance, results []*Health) {
	before := *h.health.Load()
	after := make(map[place.Instance]Health, len(peers))
	for i, peer := range peers {
		if results[i] != nil {
			after[peer] = *results[i]
		} else if known, ok := before[peer]; ok {
			after[peer] = known
		}
	}
	h.health.Store(&after)
}

// Ack returns the reply to a peer's heartbeat.
func (h *Heartbeats) Ack() *wire.HeartbeatAck {
	return &wire.HeartbeatAck{Incarnation: h.self.Incarnation, Leaving: h.leaving.Load()}
}
