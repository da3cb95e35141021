package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	// faultWindow is the time within which faults begin; they may overlap.
	faultWindow      = 8 * time.Second
	maxFaults        = 14
	maxFaultKinds    = 5
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// drainTimeout is the time after which a draining target gets no more requests.
	drainTimeout = 2 * time.Second
	// slowServiceTime is the service time of a slow target. It is below
	// routeTimeout, so that requests still succeed, and above cancelTolerance, so
	// that a target that goes on after its client canceled is noticed.
	slowServiceTime = 900 * time.Millisecond
	// minPause is the shortest pause that a target asks for.
	minPause = time.Second
	// limitTime is for how long, at least, a target names a limit. The platform's
	// rule counts windows of limitWindow from stabilityWindow after the first time.
	limitTime = stabilityWindow + limitWindow + time.Second
	// rewriteTime is how long after the store was restored the operator and the
	// targets have written again what it lacks. The platform allows two seconds.
	rewriteTime = time.Second
	// lingerTime is how long a draining target keeps running after drainTimeout.
	lingerTime = time.Second
)

// storeName is the name under which the record keeps disturbances of the store.
const storeName = "the store"

// faultKinds are the faults and the planned operations by name. Each function
// causes one, waits for the given duration and reverts it. The names are sorted
// before kinds are drawn, so a new name changes what every seed draws.
var faultKinds = map[string]func(w *testbed, random *rand.Rand, lasts time.Duration){
	"kill": func(w *testbed, random *rand.Rand, _ time.Duration) { w.kill(w.randomNode(random)) },
	"herd": func(w *testbed, _ *rand.Rand, _ time.Duration) {
		var all sync.WaitGroup
		for _, n := range w.nodes {
			all.Go(func() { w.kill(n) })
		}
		all.Wait()
	},
	"stop": func(w *testbed, random *rand.Rand, _ time.Duration) {
		n := w.randomNode(random)
		defer w.record.beginDisturbance(n.Name+" stop", "SIGTERM")()
		n.stop()
		n.awaitReady(readyTimeout)
	},
	"pause": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		n := w.randomNode(random)
		defer w.record.beginDisturbance(n.Name, "SIGSTOP")()
		n.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		n.signal(syscall.SIGCONT)
	},
	"reload": func(w *testbed, random *rand.Rand, _ time.Duration) {
		n := w.randomNode(random)
		n.reloads++
		changed := n.NodeSettings
		changed.RetrySlack = retrySlack + n.reloads
		if os.WriteFile(n.path("conf"), []byte(changed.Lines()), 0o644) == nil && random.IntN(2) == 0 {
			n.signal(syscall.SIGHUP)
		}
	},
	"way to the store": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		n := w.randomNode(random)
		injectLinkFault(w.record, n.Name, n.store, random, lasts)
	},
	"way to an instance": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		n := w.randomNode(random)
		way := []*link{n.peers, n.detours}[random.IntN(2)]
		injectLinkFault(w.record, n.Name, way, random, lasts)
	},
	"way of clients": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		n := w.randomNode(random)
		injectLinkFault(w.record, n.Name, n.clients, random, lasts)
	},
	"way to a target": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		if t := w.pickTarget(random, false); t != nil {
			injectLinkFault(w.record, t.name, t.link, random, lasts)
		}
	},
	"store": func(w *testbed, random *rand.Rand, lasts time.Duration) { w.injectStoreFault(random, lasts) },
	"compaction": func(w *testbed, random *rand.Rand, _ time.Duration) {
		defer w.record.beginDisturbance(storeName, "history discarded")()
		// The watches of a random number of these kinds are not told of the change.
		unnotified := []string{platform.KindTargets, platform.KindConfig, platform.KindInstances}
		unnotified = unnotified[:random.IntN(len(unnotified)+1)]
		w.store.DiscardHistory(unnotified, func(put func(kind, name, spec string), _ func(kind, name string)) { w.configureWith(put) })
	},
	"conduct": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		behaviors := []behavior{
			{serviceTime: slowServiceTime}, {serviceTime: targetServiceTime, failShare: 0.5}, {serviceTime: targetServiceTime, dropShare: 0.3},
			{serviceTime: targetServiceTime, truncateShare: 0.3}, {serviceTime: targetServiceTime, duplicateShare: 0.5},
			{serviceTime: targetServiceTime, malformedShare: 0.3},
		}
		drawn := &behaviors[random.IntN(len(behaviors))]
		var all sync.WaitGroup
		for range 1 + random.IntN(len(w.targets)) {
			if t := w.pickTarget(random, false); t != nil {
				all.Go(func() {
					who := t.name
					if drawn.serviceTime == slowServiceTime {
						// A slow target still answers in time. Under a name of its own
						// the disturbance exempts the target from no check.
						who += " slow"
					}
					defer w.record.beginDisturbance(who, fmt.Sprintf("conduct %+v", *drawn))()
					t.behavior.Store(drawn)
					time.Sleep(lasts)
					t.behavior.Store(&behavior{serviceTime: targetServiceTime})
				})
			}
		}
		all.Wait()
	},
	"crash": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		t := w.pickTarget(random, true)
		if t == nil {
			return
		}
		defer w.record.beginDisturbance(t.name, "crash")()
		t.link.setFault(fault{refuse: true})
		t.link.reset()
		time.Sleep(lasts)
		// Another target, of a randomly chosen service, takes over the address.
		w.remove(t)
		next := w.add(services[random.IntN(len(services))], t.zone)
		t.link.redirect(next.fake.Address())
		t.link.setFault(fault{})
	},
	"drain": func(w *testbed, random *rand.Rand, _ time.Duration) {
		if t := w.pickTarget(random, true); t != nil {
			w.drain(t)
		}
	},
	"announce": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		if t := w.pickTarget(random, true); t != nil {
			t.behavior.Store(&behavior{serviceTime: targetServiceTime, announces: true})
			time.Sleep(lasts)
			w.drain(t)
		}
	},
	"shed": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		t := w.pickTarget(random, false)
		if t == nil {
			return
		}
		defer w.record.beginDisturbance(t.name, "rejects and asks for a pause")()
		t.behavior.Store(&behavior{serviceTime: targetServiceTime, pause: minPause + time.Duration(random.Int64N(int64(lasts)))})
		time.Sleep(lasts)
		t.behavior.Store(&behavior{serviceTime: targetServiceTime})
	},
	"limit": func(w *testbed, random *rand.Rand, lasts time.Duration) {
		t := w.pickTarget(random, false)
		if t == nil {
			return
		}
		// The limit is lowered midway.
		limit := 2 + 18*random.Float64()
		for _, part := range []float64{1, 0.5} {
			t.behavior.Store(&behavior{serviceTime: targetServiceTime, limit: limit * part})
			time.Sleep((limitTime + lasts) / 2)
		}
		t.behavior.Store(&behavior{serviceTime: targetServiceTime})
	},
	"cut from targets": func(w *testbed, random *rand.Rand, lasts time.Duration) { w.cutFromTargets(random, lasts) },
	"lost together":    func(w *testbed, random *rand.Rand, lasts time.Duration) { w.loseTogether(random, lasts) },
	"poison":           func(w *testbed, random *rand.Rand, lasts time.Duration) { w.sendPoison(random, lasts) },
	"restore":          func(w *testbed, _ *rand.Rand, lasts time.Duration) { w.restore(lasts) },
	"configure":        func(w *testbed, _ *rand.Rand, _ time.Duration) { w.configure() },
}

func (w *testbed) randomNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

func (w *testbed) kill(n *node) {
	defer w.record.beginDisturbance(n.Name, "SIGKILL")()
	<-n.signal(syscall.SIGKILL)
	time.Sleep(restartPause)
	n.awaitReady(readyTimeout)
}

// drain starts another target of the same service, drains t and then ends it.
func (w *testbed) drain(t *target) {
	w.add(t.service, t.zone)
	w.put(t, fakes.Draining)
	w.record.update(func() { w.record.drains = append(w.record.drains, change{at: w.record.now(), target: t.name}) })
	time.Sleep(drainTimeout + lingerTime)
	w.remove(t)
	defer w.record.beginDisturbance(t.name, "end")()
	t.link.setFault(fault{refuse: true})
	t.link.reset()
}

// restore has the store lose what was written in the given time. The operator and
// the targets write it again.
func (w *testbed) restore(lost time.Duration) {
	older := w.store.Copy()
	time.Sleep(lost)
	defer w.record.beginDisturbance(storeName, "restored from a copy")()
	w.mu.Lock()
	w.era++
	w.store.Restore(older, fmt.Sprint(w.era))
	w.mu.Unlock()
	time.Sleep(rewriteTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfig(w.store.Put)
	for _, t := range w.targets {
		if t.state == "" {
			w.store.Delete(platform.KindTargets, t.name)
		} else {
			w.store.Put(platform.KindTargets, t.name, t.spec(t.state))
		}
	}
}

// injectLinkFault draws a fault, applies it to the link for the given duration
// and removes it. The faults are drawn from their sorted names.
func injectLinkFault(r *record, who string, l *link, random *rand.Rand, duration time.Duration) {
	const maxDelay = 300 * time.Millisecond
	faults := map[string]fault{
		"partition": {holdIn: true, holdOut: true}, "one-way in": {holdIn: true}, "one-way out": {holdOut: true},
		"refusals": {refuse: true}, "delay": {delay: time.Duration(random.Int64N(int64(maxDelay)))},
		"resets": {}, "connections that fall silent": {},
	}
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[random.IntN(len(names))]
	defer r.beginDisturbance(who, name)()
	l.setFault(faults[name])
	switch name {
	case "resets":
		l.reset()
		return
	case "connections that fall silent":
		l.silence()
		return
	}
	time.Sleep(duration)
	l.setFault(fault{})
}

func (w *testbed) injectStoreFault(random *rand.Rand, duration time.Duration) {
	kinds := []struct {
		name  string
		begin func()
	}{
		{"silent", w.store.Hang},
		{"busy", func() { w.store.RejectCalls(http.StatusServiceUnavailable) }},
		{"over its rate", func() { w.store.RejectCalls(http.StatusTooManyRequests) }},
		{"slow", func() { w.store.SetDelay(300 * time.Millisecond) }},
		{"loses answers", func() { w.store.LoseReplies(true) }},
	}
	kind := kinds[random.IntN(len(kinds))]
	defer w.record.beginDisturbance(storeName, kind.name)()
	kind.begin()
	time.Sleep(duration)
	w.store.Recover()
	w.store.SetDelay(0)
	w.store.LoseReplies(false)
}

// injectFaults draws a few kinds of faults, injects faults of these kinds at
// times that overlap and returns once the last one has been reverted.
func (w *testbed) injectFaults() {
	kinds := make([]string, 0, len(faultKinds))
	for kind := range faultKinds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	w.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:1+w.random.IntN(maxFaultKinds)]
	var striking sync.WaitGroup
	for range 1 + w.random.IntN(maxFaults) {
		kind := kinds[w.random.IntN(len(kinds))]
		delay := time.Duration(w.random.Int64N(int64(faultWindow)))
		lasts := minFaultDuration + time.Duration(w.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		random := rand.New(rand.NewPCG(w.random.Uint64(), 0))
		striking.Go(func() {
			time.Sleep(delay)
			faultKinds[kind](w, random, lasts)
		})
	}
	striking.Wait()
}
