package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/member"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

const (
	step       = 100 * time.Millisecond
	frameBytes = 14 // frame header before the msgpack message
)

// node is an entry of the simulated network and its current process.
type node struct {
	view        *member.View
	instance    place.Instance
	zone        place.Zone
	incarnation uint64
	next        time.Time // when the next tick is due
	running     bool
	leaving     bool
	pausedUntil time.Time
	partition   int      // nodes in different partitions can't reach each other
	inbox       []func() // messages that arrived during a pause
	calls       int
	bytes       int
}

// network simulates a network of views in steps of time. A call and its answer
// arrive within the step; a paused node receives its messages after the pause.
type network struct {
	now                time.Time
	random             *rand.Rand
	nodes              []*node
	byName             map[place.Instance]*node
	roster             []store.Entry
	lossRate           float64 // probability that a call or an answer is lost
	refusesConnections bool    // whether stopped nodes refuse connections instead of timing out
	countsBytes        bool    // whether to count messages and their bytes
}

// newNetwork returns a network with one zone for each given number of members.
func newNetwork(seed uint64, zones ...int) *network {
	n := &network{
		now:    time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 7)),
		byName: map[place.Instance]*node{},
	}
	for z, members := range zones {
		for m := range members {
			zone := place.Zone(fmt.Sprintf("region-%d/zone-%d", z%16, z))
			o := &node{instance: place.Instance(fmt.Sprintf("entry-%02d-%03d", z, m)), zone: zone}
			n.nodes = append(n.nodes, o)
			n.byName[o.instance] = o
			n.roster = append(n.roster, store.Entry{
				Instance: o.instance, Zone: zone, PeerAddress: "10.100.200.100:7001", State: store.StateLive,
			})
		}
	}
	for i := range n.nodes {
		n.start(i)
	}
	return n
}

// start starts a new process of the instance.
func (n *network) start(i int) {
	o := n.nodes[i]
	o.incarnation = uint64(n.now.UnixNano()) + 1
	self := member.Self{Instance: o.instance, Zone: o.zone, PeerAddress: n.roster[i].PeerAddress, Incarnation: o.incarnation}
	o.view = member.New(self, n.random.Uint64(), n.now)
	o.view.SetRoster(n.roster, n.now)
	o.view.SetLoad(member.Load{Slots: 4, Running: 1})
	o.running, o.leaving, o.inbox, o.pausedUntil = true, false, nil, time.Time{}
	o.next = n.now.Add(time.Duration(n.random.IntN(10)) * step)
}

func (n *network) kill(i int) { n.nodes[i].running, n.nodes[i].inbox = false, nil }

func (n *network) pause(i int, length time.Duration) { n.nodes[i].pausedUntil = n.now.Add(length) }

func (n *network) awake(o *node) bool { return !n.now.Before(o.pausedUntil) }

// run advances the time by length and calls check after each step.
func (n *network) run(length time.Duration, check func()) {
	for end := n.now.Add(length); n.now.Before(end); {
		n.now = n.now.Add(step)
		for _, o := range n.nodes {
			n.stepNode(o)
		}
		check()
	}
}

// stepNode delivers the messages of a pause and runs the node's tick if it is due.
func (n *network) stepNode(o *node) {
	if !o.running || !n.awake(o) {
		return
	}
	inbox := o.inbox
	o.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
	if n.now.Before(o.next) {
		return
	}
	o.next = n.now.Add(member.Interval)
	for _, out := range o.view.Tick(n.now) {
		n.call(o, out)
	}
}

// call delivers a heartbeat and its answer unless one is lost or can't be delivered.
func (n *network) call(from *node, out member.Outgoing) {
	to := n.find(out.To.Instance())
	n.count(from, out.Heartbeat)
	if to == nil || to.partition != from.partition || n.losesMessage() {
		return
	}
	if !to.running {
		if n.refusesConnections {
			from.view.HandleFailure(to.instance, member.FailureRefused, n.now)
		}
		return
	}
	process := to.view
	n.deliver(to, func() {
		if to.view != process {
			return
		}
		n.count(to, out.Heartbeat)
		answer := to.view.Receive(out.Heartbeat, n.now)
		n.count(to, answer)
		if n.losesMessage() || to.partition != from.partition {
			return
		}
		n.deliver(from, func() {
			n.count(from, answer)
			from.view.HandleAnswer(answer, n.now)
		})
	})
}

// deliver runs a node's handler of a message, after the pause if it is paused.
func (n *network) deliver(to *node, handle func()) {
	switch {
	case !to.running:
	case n.awake(to):
		handle()
	default:
		to.inbox = append(to.inbox, handle)
	}
}

func (n *network) losesMessage() bool { return n.lossRate > 0 && n.random.Float64() < n.lossRate }

func (n *network) find(instance place.Instance) *node { return n.byName[instance] }

// count counts a message that the node sends or receives, and its bytes.
func (n *network) count(o *node, heartbeat *wire.MemberHeartbeat) {
	if !n.countsBytes {
		return
	}
	packed, err := msgpack.Marshal(heartbeat)
	if err != nil {
		panic(err)
	}
	o.calls++
	o.bytes += len(packed) + frameBytes
}

// state returns how one node sees the current process of another: StateListed if it
// does not know that process.
func (n *network) state(o *node, of int) member.State {
	m, known := o.view.Member(n.nodes[of].instance)
	if !known || m.Incarnation() != n.nodes[of].incarnation {
		return member.StateListed
	}
	return m.State()
}

// runUntilAgreed runs the network until the other running nodes of the zone see the
// given one in one of the wanted states. It returns how long that took and reports
// whether it was within the limit.
func (n *network) runUntilAgreed(of int, limit time.Duration, wanted ...member.State) (time.Duration, bool) {
	from := n.now
	for n.now.Sub(from) < limit {
		n.run(step, func() {})
		if n.allSee(of, wanted...) {
			return n.now.Sub(from), true
		}
	}
	return limit, false
}

// allSee reports whether the other running nodes of the zone see the given one in one
// of the wanted states.
func (n *network) allSee(of int, wanted ...member.State) bool {
	for i, o := range n.nodes {
		if i == of || !o.running || o.zone != n.nodes[of].zone {
			continue
		}
		found := false
		for _, state := range wanted {
			found = found || n.state(o, of) == state
		}
		if !found {
			return false
		}
	}
	return true
}
