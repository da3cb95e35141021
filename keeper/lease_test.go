package keeper_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "2000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	testSlots   = 3
	testLongest = 1500 * time.Millisecond
	timeStep    = 10 * time.Millisecond
)

var testTarget = keeper.TargetResource("search-1")

// zone simulates the entries of a zone on a network that loses, delays and
// reorders messages, and one target that counts the requests it runs. The test
// fails if that count exceeds the target's slots.
type zone struct {
	t          *rapid.T
	now        time.Duration
	processes  map[place.Instance]*process
	names      []place.Instance
	messages   []message
	running    map[int]work
	dispatches int
	lossy      bool
	maxRunning int
	liveView   []place.Instance
	lastChange time.Duration
}

type process struct {
	zone       *zone
	name       place.Instance
	offset     time.Duration
	clockRate  int // speed of the clock, in thousandths of real time
	epoch      time.Duration
	alive      bool
	paused     bool
	leases     *keeper.Leases
	limiter    *keeper.Limiter
	ticked     time.Duration
	handedOver map[int]handover // this entry's requests whose end is sent to the next keeper
}

type handover struct {
	to    place.Instance
	asked time.Duration
}

type message struct {
	to  place.Instance
	due time.Duration
	run func(p *process)
}

type work struct {
	owner  *process
	ends   time.Duration
	permit *keeper.Permit
}

func (p *process) clock() time.Duration {
	return p.offset + (p.zone.now-p.epoch)*time.Duration(p.clockRate)/1000
}

func (z *zone) start(name place.Instance, incarnation uint64, view []place.Instance) {
	p := &process{zone: z, name: name, epoch: z.now, alive: true, handedOver: map[int]handover{}}
	p.offset = time.Duration(rapid.IntRange(1, 100).Draw(z.t, "offset")) * time.Second
	p.clockRate = rapid.IntRange(995, 1005).Draw(z.t, "speed")
	p.leases = keeper.NewLeases(name, incarnation, p.clock())
	p.leases.Update(view, []keeper.Resource{testTarget}, p.clock())
	limits := keeper.NewLimits(testSlots, 100, testLongest)
	p.limiter = keeper.NewLimiter("search-1", p.leases.Lease(testTarget), limits, p.clock)
	z.processes[name] = p
	if !slices.Contains(z.names, name) {
		z.names = append(z.names, name)
	}
}

func (z *zone) send(to place.Instance, run func(p *process)) {
	delay := rapid.IntRange(0, 3).Draw(z.t, "delay") * 5
	if z.lossy {
		switch rapid.IntRange(0, 5).Draw(z.t, "fate") {
		case 0:
			return
		case 1:
			delay = rapid.IntRange(0, 3000).Draw(z.t, "late")
		}
	}
	due := z.now + time.Duration(delay)*time.Millisecond
	z.messages = append(z.messages, message{to: to, due: due, run: run})
}

func (p *process) tick() {
	p.ticked = p.zone.now
	for _, e := range p.leases.Tick(p.clock()) {
		p.sendHeartbeat(e)
	}
	p.limiter.Tick()
	p.report()
}

func (p *process) sendHeartbeat(e keeper.AddressedHeartbeat) {
	from := p.name
	p.zone.send(e.To, func(q *process) {
		ack, transfers := q.leases.HandleHeartbeat(from, e.Heartbeat, q.clock())
		q.zone.send(from, func(p *process) { p.leases.HandleAck(q.name, ack, p.clock()) })
		for _, t := range transfers {
			q.handOver(t)
		}
	})
}

func (p *process) handOver(t keeper.Transfer) {
	left := p.limiter.Release()
	for id, w := range p.zone.running {
		if w.owner == p {
			p.handedOver[id] = handover{to: t.To, asked: t.Asked}
		}
	}
	p.zone.send(t.To, func(q *process) { q.limiter.Inherit(t.Asked, left) })
}

// report asks the target how many requests it runs. The answer is the number at
// the time when the query arrives.
func (p *process) report() {
	asked := p.clock()
	z := p.zone
	z.send(p.name, func(p *process) {
		count := len(z.running)
		z.send(p.name, func(p *process) { p.limiter.Report(count, asked) })
	})
}

func (p *process) arrive(d time.Duration) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	permit, err := p.limiter.Acquire(canceled, p.clock()+testLongest)
	if err != nil {
		return
	}
	if !permit.Held() {
		permit.Done(keeper.OutcomeUnused)
		return
	}
	z := p.zone
	z.dispatches++
	z.running[z.dispatches] = work{owner: p, ends: z.now + d, permit: permit}
	z.maxRunning = max(z.maxRunning, len(z.running))
	if len(z.running) > testSlots {
		z.t.Fatalf("at %v the target runs %d requests on %d slots; dispatched by %s", z.now, len(z.running), testSlots, p.name)
	}
}

func (z *zone) advance(d time.Duration) {
	for end := z.now + d; z.now < end; {
		z.now += timeStep
		z.deliver()
		z.finish()
		for _, name := range z.names {
			p := z.processes[name]
			if p.alive && !p.paused && z.now-p.ticked >= keeper.HeartbeatInterval {
				p.tick()
			}
		}
		z.check()
	}
}

func (z *zone) deliver() {
	var due, later []message
	for _, m := range z.messages {
		p := z.processes[m.to]
		switch {
		case p == nil || !p.alive:
		case m.due <= z.now && !p.paused:
			due = append(due, m)
		default:
			later = append(later, m)
		}
	}
	z.messages = later
	for _, m := range due {
		m.run(z.processes[m.to])
	}
}

func (z *zone) finish() {
	for id := 1; id <= z.dispatches; id++ {
		w, found := z.running[id]
		if !found || w.ends > z.now {
			continue
		}
		delete(z.running, id)
		if !w.owner.alive {
			continue
		}
		if w.owner.paused {
			w.owner.afterResume(func() { z.reportDone(id, w) })
			continue
		}
		z.reportDone(id, w)
	}
}

func (p *process) afterResume(run func()) {
	p.zone.messages = append(p.zone.messages, message{to: p.name, due: p.zone.now, run: func(*process) { run() }})
}

func (z *zone) reportDone(id int, w work) {
	w.permit.Done(keeper.OutcomeRan)
	if h, found := w.owner.handedOver[id]; found {
		z.send(h.to, func(q *process) { q.limiter.FinishInherited(h.asked) })
	}
}

// check fails the test if two running processes hold the lease at once.
func (z *zone) check() {
	var holders []string
	for _, name := range z.names {
		p := z.processes[name]
		if p.alive && !p.paused && p.leases.Lease(testTarget).Held(p.clock()) {
			holders = append(holders, string(name))
		}
	}
	if len(holders) > 1 {
		z.t.Fatalf("at %v there are several keepers at once: %s", z.now, strings.Join(holders, ", "))
	}
}

// changeMembers gives every live process a new list of members within
// ViewPropagationMax.
func (z *zone) changeMembers(view []place.Instance) {
	z.liveView = view
	z.lastChange = z.now
	for _, name := range z.names {
		p := z.processes[name]
		if !p.alive {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 950).Draw(z.t, "spread")) * time.Millisecond
		apply := func(p *process) { p.leases.Update(view, []keeper.Resource{testTarget}, p.clock()) }
		z.messages = append(z.messages, message{to: name, due: z.now + delay, run: apply})
	}
}

func (z *zone) randomProcess(accept func(p *process) bool) *process {
	var matching []*process
	for _, name := range z.names {
		if p := z.processes[name]; accept(p) {
			matching = append(matching, p)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(z.t, "process")]
}

func newZone(t *rapid.T, entries int) *zone {
	z := &zone{t: t, processes: map[place.Instance]*process{}, running: map[int]work{}, lossy: true}
	for i := range entries {
		z.liveView = append(z.liveView, place.Instance(fmt.Sprintf("e%d", i)))
	}
	for _, name := range z.liveView {
		z.start(name, 1, z.liveView)
	}
	return z
}

func alive(p *process) bool   { return p.alive }
func active(p *process) bool  { return p.alive && !p.paused }
func paused(p *process) bool  { return p.alive && p.paused }
func stopped(p *process) bool { return !p.alive }

func (z *zone) actions() map[string]func(*rapid.T) {
	arrivals := func(t *rapid.T) {
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "arrivals") {
				if p := z.randomProcess(active); p != nil {
					p.arrive(time.Duration(rapid.IntRange(1, 1500).Draw(t, "service")) * time.Millisecond)
				}
			}
			z.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "time")) * timeStep)
		}
	}
	wait := func(t *rapid.T) { z.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "time")) * timeStep) }
	return map[string]func(*rapid.T){
		"arrivals": arrivals, "arrivals2": arrivals, "arrivals3": arrivals, "arrivals4": arrivals,
		"wait": wait, "wait2": wait,
		"network": func(*rapid.T) { z.lossy = !z.lossy },
		"pause": func(*rapid.T) {
			if p := z.randomProcess(active); p != nil {
				p.paused = true
			}
		},
		"resume": func(*rapid.T) {
			if p := z.randomProcess(paused); p != nil {
				p.paused = false
			}
		},
		"kill": func(*rapid.T) {
			p := z.randomProcess(alive)
			if p == nil {
				return
			}
			p.alive = false
			for _, name := range z.names {
				z.send(name, func(q *process) { q.leases.ProcessEnded(p.name, q.clock()) })
			}
		},
		"restart": func(*rapid.T) {
			p := z.randomProcess(stopped)
			if p == nil || !slices.Contains(z.liveView, p.name) || z.now-z.lastChange < keeper.ViewPropagationMax {
				return
			}
			z.dropFor(p.name)
			z.start(p.name, uint64(z.now), z.liveView)
		},
		"leave": func(*rapid.T) {
			if p := z.randomProcess(active); p != nil {
				p.leases.Leave(p.clock())
				p.tick()
			}
		},
	}
}

// dropFor waits until every delayed message has arrived, and then discards
// those to a process that has ended. A late message that it is gone would be
// wrong about the process that is started in its place.
func (z *zone) dropFor(name place.Instance) {
	z.advance(4 * time.Second)
	z.messages = slices.DeleteFunc(z.messages, func(m message) bool { return m.to == name })
}

func TestTargetNeverOverItsSlots(t *testing.T) {
	dispatches := 0
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "entries"))
		z.advance(5 * time.Second)
		t.Repeat(z.actions())
		dispatches += z.dispatches
	})
	t.Logf("%d requests dispatched", dispatches)
	if dispatches == 0 {
		t.Error("nothing was dispatched, so nothing was tested")
	}
}

func TestViewsChangeWithinSpread(t *testing.T) {
	dispatches := 0
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(t, rapid.IntRange(2, 4).Draw(t, "entries"))
		z.advance(5 * time.Second)
		actions := z.actions()
		delete(actions, "restart")
		actions["replace"] = func(t *rapid.T) {
			if z.now-z.lastChange < keeper.ViewPropagationMax {
				return
			}
			gone := rapid.IntRange(0, len(z.liveView)-1).Draw(t, "gone")
			joined := place.Instance(fmt.Sprintf("n%d", len(z.names)))
			view := slices.Clone(z.liveView)
			view[gone] = joined
			z.start(joined, 1, view)
			z.changeMembers(view)
		}
		t.Repeat(actions)
		dispatches += z.dispatches
	})
	t.Logf("%d requests dispatched", dispatches)
}
