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
	up          bool
	leaving     bool
	pausedUntil time.Time
	side        int      // nodes in different partitions can't reach each other
	inbox       []func() // messages that arrived during a pause
	calls       int
	bytes       int
}

// network simulates a network of views in steps of time. A call and its answer
// arrive within the step; a paused node receives its messages after the pause.
type network struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	byName  map[place.Instance]*node
	roster  []store.Entry
	loss    float64 // probability that a call or an answer is lost
	refuses bool    // whether stopped nodes refuse connections instead of timing out
	counts  bool    // whether to count messages and their bytes
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
	o.view.Roster(n.roster, n.now)
	o.view.SetLoad(member.Load{Slots: 4, Running: 1})
	o.up, o.leaving, o.inbox, o.pausedUntil = true, false, nil, time.Time{}
	o.next = n.now.Add(time.Duration(n.random.IntN(10)) * step)
}

func (n *network) kill(i int) { n.nodes[i].up, n.nodes[i].inbox = false, nil }

func (n *network) pause(i int, length time.Duration) { n.nodes[i].pausedUntil = n.now.Add(length) }

func (n *network) awake(o *node) bool { return !n.now.Before(o.pausedUntil) }

// run advances the time by length and calls check after each step.
func (n *network) run(length time.Duration, check func()) {
	for end := n.now.Add(length); n.now.Before(end); {
		n.now = n.now.Add(step)
		for _, o := range n.nodes {
			n.turn(o)
		}
		check()
	}
}

// stepNode delivers the messages of a pause and runs the node's tick if it is due.
func (n *network) turn(o *node) {
	if !o.up || !n.awake(o) {
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
	n.count(from, out.Beat)
	if to == nil || to.side != from.side || n.lost() {
		return
	}
	if !to.up {
		if n.refuses {
			from.view.Failed(to.instance, member.EvidenceRefused, n.now)
		}
		return
	}
	process := to.view
	n.deliver(to, func() {
		if to.view != process {
			return
		}
		n.count(to, out.Beat)
		answer := to.view.Receive(out.Beat, n.now)
		n.count(to, answer)
		if n.lost() || to.side != from.side {
			return
		}
		n.deliver(from, func() {
			n.count(from, answer)
			from.view.Answered(answer, n.now)
		})
	})
}

// deliver runs a node's handler of a message, after the pause if it is paused.
func (n *network) deliver(to *node, what func()) {
	switch {
	case !to.up:
	case n.awake(to):
		what()
	default:
		to.inbox = append(to.inbox, what)
	}
}

func (n *network) lost() bool { return n.loss > 0 && n.random.Float64() < n.loss }

func (n *network) find(instance place.Instance) *node { return n.byName[instance] }

// count counts a message that the node sends or receives, and its bytes.
func (n *network) count(o *node, beat *wire.MemberBeat) {
	if !n.counts {
		return
	}
	packed, err := msgpack.Marshal(beat)
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

// until runs the network until the other running nodes of the zone see the given one
// in one of the wanted states. It returns how long that took and reports whether it
// was within the limit.
func (n *network) until(of int, limit time.Duration, wanted ...member.State) (time.Duration, bool) {
	from := n.now
	for n.now.Sub(from) < limit {
		n.run(step, func() {})
		if n.agreed(of, wanted...) {
			return n.now.Sub(from), true
		}
	}
	return limit, false
}

// agreed reports whether the other running nodes of the zone see the given one in one
// of the wanted states.
func (n *network) agreed(of int, wanted ...member.State) bool {
	for i, o := range n.nodes {
		if i == of || !o.up || o.zone != n.nodes[of].zone {
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
