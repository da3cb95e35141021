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

// Bounds that the tests hold the package to, at up to 30 members.
const (
	joinBound   = 15 * time.Second
	deathBound  = 15 * time.Second
	refuseBound = 8 * time.Second
	leaveBound  = 8 * time.Second
	returnBound = 40 * time.Second
)

func TestEvents(t *testing.T) {
	alive, dead, leaving := member.StateAlive, member.StateDead, member.StateLeaving
	tests := map[string]struct {
		act    func(n *network)
		bound  time.Duration
		wanted []member.State
	}{
		"killed":             {func(n *network) { n.kill(1) }, deathBound, []member.State{dead}},
		"killed and refused": {func(n *network) { n.refuses = true; n.kill(1) }, refuseBound, []member.State{dead}},
		"replaced":           {func(n *network) { n.kill(1); n.start(1) }, joinBound, []member.State{alive}},
		"leaves":             {func(n *network) { n.nodes[1].view.Leave() }, leaveBound, []member.State{leaving}},
		"departs": {func(n *network) {
			for _, out := range n.nodes[1].view.Depart() {
				n.call(n.nodes[1], out)
			}
			n.kill(1)
		}, leaveBound, []member.State{dead}},
		"paused long and back": {func(n *network) {
			n.pause(1, 20*time.Second)
			n.run(20*time.Second, func() {})
		}, returnBound, []member.State{alive}},
		"cut off and back": {func(n *network) {
			n.nodes[1].side = 1
			n.run(30*time.Second, func() {})
			n.nodes[1].side = 0
		}, returnBound, []member.State{alive}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, members := range []int{3, 30} {
				for seed := range uint64(5) {
					n := newNetwork(seed, members)
					n.run(joinBound, func() {})
					if !n.agreed(1, alive) {
						t.Fatalf("%d members, seed %d: not all joined in %s", members, seed, joinBound)
					}
					test.act(n)
					if took, ok := n.until(1, test.bound, test.wanted...); !ok {
						t.Errorf("%d members, seed %d: not known to all after %s", members, seed, took)
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
					t.Fatalf("seed %d: a pause of 4 s counted as death", seed)
				}
			}
		})
		if !n.nodes[1].view.AwakeSince().After(before) {
			t.Errorf("seed %d: the paused process did not notice its pause", seed)
		}
	}
}

// TestReturnOfOneCutOff: an entry that was cut off counts all others as dead.
// On its return nobody believes it, a process that starts just then neither.
func TestReturnOfOneCutOff(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(seed, 14)
		n.run(joinBound, func() {})
		n.nodes[0].side = 1
		n.run(25*time.Second, func() {})
		n.start(7)
		n.nodes[0].side = 0
		n.run(returnBound, func() {
			for i, o := range n.nodes[1:] {
				for j := 1; j < len(n.nodes); j++ {
					if n.state(o, j) == member.StateDead {
						t.Fatalf("seed %d: entry %d counts %d as dead", seed, i+1, j)
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
			if age := n.now.Sub(z.Taken()); all != 13 || z.Load().Slots != 4*13 || age > 30*time.Second {
				t.Errorf("%s counts %d members and %d slots in %s, %s ago", o.instance, all, z.Load().Slots, z.Zone(), age)
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
			t.Fatalf("%s has the relays %v, another one %v", o.instance, got, relays)
		}
	}
	n.find(relays[0]).view.Leave()
	n.run(leaveBound, func() {})
	if got := n.nodes[0].view.Relays(); got[0] != relays[1] {
		t.Errorf("after %s leaves, the relays are %v; want %s first", relays[0], got, relays[1])
	}
}

// TestAgainstOracle does random harm to a zone and holds it to this: a process
// that leaves never counts as alive again; two that have been up, awake and
// connected for returnBound never count each other as dead, whatever happens to
// others; and a while after the harm ends everyone's view is the truth.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SampledFrom([]int{2, 3, 8, 14}).Draw(t, "members")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), members)
		left := map[observed]uint64{}
		wellSince := make([]time.Time, members)
		check := func() { checkStep(t, n, left, wellSince) }
		n.run(joinBound, check)
		for range rapid.IntRange(1, 10).Draw(t, "harms") {
			harm(t, n, rapid.IntRange(0, members-1).Draw(t, "node"))
			n.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "steps"))*step, check)
		}
		n.loss = 0
		for _, o := range n.nodes {
			o.side, o.pausedUntil = 0, n.now
		}
		n.run(returnBound+deathBound, check)
		for i, o := range n.nodes {
			checkTruth(t, n, i, o)
		}
	})
}

func harm(t *rapid.T, n *network, i int) {
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
		if o.up {
			o.leaving = true
			o.view.Leave()
		}
	case "cut":
		o.side = 1
	case "heal":
		for _, o := range n.nodes {
			o.side = 0
		}
	case "loss":
		n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
	case "refuse":
		n.refuses = !n.refuses
	}
}

// observed is a pair of an observing process and an instance.
type observed struct {
	by          int
	incarnation uint64
	of          int
}

func checkStep(t *rapid.T, n *network, left map[observed]uint64, wellSince []time.Time) {
	for i, o := range n.nodes {
		if !o.up || !n.awake(o) || o.side != 0 || n.loss > 0 || wellSince[i].IsZero() {
			wellSince[i] = n.now
		}
	}
	for i, o := range n.nodes {
		if !o.up {
			continue
		}
		for j, p := range n.nodes {
			state, pair := n.state(o, j), observed{i, o.incarnation, j}
			if state == member.StateLeaving {
				left[pair] = p.incarnation
			}
			if state == member.StateAlive && left[pair] == p.incarnation {
				t.Fatalf("%s counts %s as alive after it was leaving", o.instance, p.instance)
			}
			well := min(n.now.Sub(wellSince[i]), n.now.Sub(wellSince[j]))
			if state == member.StateDead && well > returnBound {
				t.Fatalf("%s counts %s as dead, though both were well for %s", o.instance, p.instance, well)
			}
		}
	}
}

func checkTruth(t *rapid.T, n *network, i int, o *node) {
	if !o.up {
		return
	}
	for j, p := range n.nodes {
		m, known := o.view.Member(p.instance)
		switch state := m.State(); {
		case !known && p.up, p.up && m.Incarnation() != p.incarnation:
			t.Fatalf("%s does not know the process of %s", o.instance, p.instance)
		case p.up && p.leaving && state != member.StateLeaving:
			t.Fatalf("%s counts the leaving %s as %s", o.instance, p.instance, state)
		case p.up && !p.leaving && state != member.StateAlive:
			t.Fatalf("%s counts the live %s as %s", o.instance, p.instance, state)
		case !p.up && state != member.StateDead && state != member.StateListed && known:
			t.Fatalf("%s counts the dead %s as %s (of %d, %d)", o.instance, p.instance, state, i, j)
		}
	}
}
