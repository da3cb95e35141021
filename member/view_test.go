package member_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Longest times that the tests allow for a change to reach all of up to 30 members.
const (
	joinBound   = 15 * time.Second
	deathBound  = 15 * time.Second
	refuseBound = 8 * time.Second
	leaveBound  = 8 * time.Second
	rejoinBound = 40 * time.Second
)

func TestEvents(t *testing.T) {
	alive, dead, leaving := member.StateAlive, member.StateDead, member.StateLeaving
	tests := map[string]struct {
		act    func(n *network)
		bound  time.Duration
		wanted []member.State
	}{
		"killed":             {func(n *network) { n.kill(1) }, deathBound, []member.State{dead}},
		"killed and refused": {func(n *network) { n.refusesConnections = true; n.kill(1) }, refuseBound, []member.State{dead}},
		"replaced":           {func(n *network) { n.kill(1); n.start(1) }, joinBound, []member.State{alive}},
		"leaves":             {func(n *network) { n.nodes[1].view.Leave() }, leaveBound, []member.State{leaving}},
		"departs": {func(n *network) {
			for _, out := range n.nodes[1].view.FinalHeartbeats() {
				n.call(n.nodes[1], out)
			}
			n.kill(1)
		}, leaveBound, []member.State{dead}},
		"paused long and back": {func(n *network) {
			n.pause(1, 20*time.Second)
			n.run(20*time.Second, func() {})
		}, rejoinBound, []member.State{alive}},
		"cut off and back": {func(n *network) {
			n.nodes[1].partition = 1
			n.run(30*time.Second, func() {})
			n.nodes[1].partition = 0
		}, rejoinBound, []member.State{alive}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, members := range []int{3, 30} {
				for seed := range uint64(5) {
					n := newNetwork(seed, members)
					n.run(joinBound, func() {})
					if !n.allSee(1, alive) {
						t.Fatalf("%d members, seed %d: not all members see the second as alive after %s", members, seed, joinBound)
					}
					test.act(n)
					if took, ok := n.runUntilAgreed(1, test.bound, test.wanted...); !ok {
						t.Errorf("%d members, seed %d: not all members know after %s", members, seed, took)
					}
				}
			}
		})
	}
}

func TestShortPauseIsNoDeath(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(seed, 30)
		n.run(joinBound, func() {})
		before := n.nodes[1].view.AwakeSince()
		n.pause(1, 4*time.Second)
		n.run(15*time.Second, func() {
			for _, o := range n.nodes {
				if n.state(o, 1) == member.StateDead {
					t.Fatalf("seed %d: a member counts as dead in a pause of 4 s", seed)
				}
			}
		})
		if !n.nodes[1].view.AwakeSince().After(before) {
			t.Errorf("seed %d: the paused process did not detect its pause", seed)
		}
	}
}

// TestReturnOfOneCutOff guards against the spread of false deaths: an entry that was
// partitioned counts all others as dead and says so when it reconnects. No other
// member may count another as dead because of it, nor may one that starts just then.
func TestReturnOfOneCutOff(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(seed, 14)
		n.run(joinBound, func() {})
		n.nodes[0].partition = 1
		n.run(25*time.Second, func() {})
		n.start(7)
		n.nodes[0].partition = 0
		n.run(rejoinBound, func() {
			for i, o := range n.nodes[1:] {
				for j := 1; j < len(n.nodes); j++ {
					if n.state(o, j) == member.StateDead {
						t.Fatalf("seed %d: entry %d sees entry %d as dead", seed, i+1, j)
					}
				}
			}
		})
	}
}

func TestZoneSums(t *testing.T) {
	n := newNetwork(1, 13, 13, 13, 13)
	n.run(60*time.Second, func() {})
	for _, o := range n.nodes {
		zones := o.view.Zones()
		if len(zones) != 4 {
			t.Fatalf("%s knows %d zones, want 4", o.instance, len(zones))
		}
		for _, z := range zones {
			all, _ := z.Members()
			if age := n.now.Sub(z.ReceivedAt()); all != 13 || z.Load().Slots != 4*13 || age > 30*time.Second {
				t.Errorf("%s knows a sum of %d members and %d slots for %s, received %s ago", o.instance, all, z.Load().Slots, z.Zone(), age)
			}
		}
	}
}

func TestRelays(t *testing.T) {
	n := newNetwork(1, 30)
	n.run(joinBound, func() {})
	relays := n.nodes[0].view.Relays()
	for _, o := range n.nodes {
		if got := o.view.Relays(); len(got) != 2 || got[0] != relays[0] || got[1] != relays[1] {
			t.Fatalf("%s sees the relays %v, the first node sees %v", o.instance, got, relays)
		}
	}
	n.find(relays[0]).view.Leave()
	n.run(leaveBound, func() {})
	if got := n.nodes[0].view.Relays(); got[0] != relays[1] {
		t.Errorf("after %s has left, the relays are %v, want %s first", relays[0], got, relays[1])
	}
}

// TestAgainstOracle injects random faults into a zone and checks three properties: a
// process that is leaving never becomes alive again; two processes that have been
// running, not paused and connected for rejoinBound never see each other as dead,
// whatever happens to others; and some time after the last fault every view matches
// the actual state of the processes.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SampledFrom([]int{2, 3, 8, 14}).Draw(t, "members")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), members)
		left := map[observation]uint64{}
		healthySince := make([]time.Time, members)
		check := func() { checkStep(t, n, left, healthySince) }
		n.run(joinBound, check)
		for range rapid.IntRange(1, 10).Draw(t, "harms") {
			injectFault(t, n, rapid.IntRange(0, members-1).Draw(t, "node"))
			n.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "steps"))*step, check)
		}
		n.lossRate = 0
		for _, o := range n.nodes {
			o.partition, o.pausedUntil = 0, n.now
		}
		n.run(rejoinBound+deathBound, check)
		for i, o := range n.nodes {
			checkConverged(t, n, i, o)
		}
	})
}

// injectFault draws a fault and applies it to the node with the index i.
func injectFault(t *rapid.T, n *network, i int) {
	o := n.nodes[i]
	switch rapid.SampledFrom([]string{"kill", "start", "pause", "leave", "cut", "heal", "loss", "refuse"}).Draw(t, "harm") {
	case "kill":
		n.kill(i)
	case "start":
		n.run(step, func() {})
		n.start(i)
	case "pause":
		n.pause(i, time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*step)
	case "leave":
		if o.running {
			o.leaving = true
			o.view.Leave()
		}
	case "cut":
		o.partition = 1
	case "heal":
		for _, o := range n.nodes {
			o.partition = 0
		}
	case "loss":
		n.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
	case "refuse":
		n.refusesConnections = !n.refusesConnections
	}
}

// observation identifies an instance as one process sees it.
type observation struct {
	observer    int
	incarnation uint64
	subject     int
}

// checkStep checks the properties that hold after each step.
func checkStep(t *rapid.T, n *network, left map[observation]uint64, healthySince []time.Time) {
	for i, o := range n.nodes {
		if !o.running || !n.awake(o) || o.partition != 0 || n.lossRate > 0 || healthySince[i].IsZero() {
			healthySince[i] = n.now
		}
	}
	for i, o := range n.nodes {
		if !o.running {
			continue
		}
		for j, p := range n.nodes {
			state, pair := n.state(o, j), observation{i, o.incarnation, j}
			if state == member.StateLeaving {
				left[pair] = p.incarnation
			}
			if state == member.StateAlive && left[pair] == p.incarnation {
				t.Fatalf("%s sees %s as alive after it was leaving", o.instance, p.instance)
			}
			healthy := min(n.now.Sub(healthySince[i]), n.now.Sub(healthySince[j]))
			if state == member.StateDead && healthy > rejoinBound {
				t.Fatalf("%s sees %s as dead, though both have been running and connected for %s", o.instance, p.instance, healthy)
			}
		}
	}
}

// checkConverged checks that the view of a running node matches the actual state.
func checkConverged(t *rapid.T, n *network, i int, o *node) {
	if !o.running {
		return
	}
	for j, p := range n.nodes {
		m, known := o.view.Member(p.instance)
		switch state := m.State(); {
		case !known && p.running, p.running && m.Incarnation() != p.incarnation:
			t.Fatalf("%s does not know the running process of %s", o.instance, p.instance)
		case p.running && p.leaving && state != member.StateLeaving:
			t.Fatalf("%s sees the leaving %s as %s", o.instance, p.instance, state)
		case p.running && !p.leaving && state != member.StateAlive:
			t.Fatalf("%s sees the running %s as %s", o.instance, p.instance, state)
		case !p.running && state != member.StateDead && state != member.StateListed && known:
			t.Fatalf("%s sees the stopped %s as %s (nodes %d and %d)", o.instance, p.instance, state, i, j)
		}
	}
}
