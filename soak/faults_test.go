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
	// strikeTime is how long faults begin, in series that overlap.
	strikeTime  = 8 * time.Second
	strikesMost = 14
	kindsMost   = 5
	faultLeast  = 200 * time.Millisecond
	faultMost   = 3 * time.Second
	// drainTimeout is the bound after which a leaving target gets nothing more.
	drainTimeout = 2 * time.Second
	// slowWork is the work of a slow target: it can be done within the routes'
	// time-out, and lasts longer than a target may go on for nobody.
	slowWork = 900 * time.Millisecond
	// lingerTime is how long a leaving target goes on after that.
	lingerTime = time.Second
)

// theStore is the name of the store among the troubles.
const theStore = "the store"

// strikes are the kinds of faults and of planned work. Each lasts as long as it
// is told and then heals.
var strikes = map[string]func(w *world, random *rand.Rand, lasts time.Duration){
	"kill": func(w *world, random *rand.Rand, _ time.Duration) { w.kill(w.any(random)) },
	"herd": func(w *world, _ *rand.Rand, _ time.Duration) {
		var all sync.WaitGroup
		for _, n := range w.nodes {
			all.Go(func() { w.kill(n) })
		}
		all.Wait()
	},
	"stop": func(w *world, random *rand.Rand, _ time.Duration) {
		n := w.any(random)
		defer w.record.trouble(n.Name+" stop", "SIGTERM")()
		n.stop()
		n.awaitReady(readyTime)
	},
	"pause": func(w *world, random *rand.Rand, lasts time.Duration) {
		n := w.any(random)
		defer w.record.trouble(n.Name, "SIGSTOP")()
		n.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		n.signal(syscall.SIGCONT)
	},
	"reload": func(w *world, random *rand.Rand, _ time.Duration) {
		n := w.any(random)
		n.hangups++
		changed := n.Node
		changed.RetrySlack = retrySlack + n.hangups
		if os.WriteFile(n.path("conf"), []byte(changed.Lines()), 0o644) == nil && random.IntN(2) == 0 {
			n.signal(syscall.SIGHUP)
		}
	},
	"way to the store": func(w *world, random *rand.Rand, lasts time.Duration) {
		n := w.any(random)
		disturb(w.record, n.Name, n.store, random, lasts)
	},
	"way to an instance": func(w *world, random *rand.Rand, lasts time.Duration) {
		n := w.any(random)
		disturb(w.record, n.Name, n.peers, random, lasts)
	},
	"way of clients": func(w *world, random *rand.Rand, lasts time.Duration) {
		n := w.any(random)
		disturb(w.record, n.Name, n.clients, random, lasts)
	},
	"way to a target": func(w *world, random *rand.Rand, lasts time.Duration) {
		if t := w.pick(random, false); t != nil {
			disturb(w.record, t.name, t.link, random, lasts)
		}
	},
	"store": func(w *world, random *rand.Rand, lasts time.Duration) { w.troubleStore(random, lasts) },
	"compaction": func(w *world, random *rand.Rand, _ time.Duration) {
		defer w.record.trouble(theStore, "history discarded")()
		deaf := []string{platform.KindTargets, platform.KindConfig, platform.KindInstances}
		deaf = deaf[:random.IntN(len(deaf)+1)]
		w.store.Discard(deaf, func(put func(kind, name, spec string), _ func(kind, name string)) { w.configureBy(put) })
	},
	"conduct": func(w *world, random *rand.Rand, lasts time.Duration) {
		conducts := []conduct{
			{work: slowWork}, {work: targetWork, fail: 0.5}, {work: targetWork, lose: 0.3},
			{work: targetWork, spoil: 0.3}, {work: targetWork, double: 0.5},
		}
		drawn := &conducts[random.IntN(len(conducts))]
		var all sync.WaitGroup
		for range 1 + random.IntN(len(w.targets)) {
			if t := w.pick(random, false); t != nil {
				all.Go(func() {
					who := t.name
					if drawn.work == slowWork {
						// It answers all the same, so that this excuses nothing.
						who += " slow"
					}
					defer w.record.trouble(who, fmt.Sprintf("conduct %+v", *drawn))()
					t.conduct.Store(drawn)
					time.Sleep(lasts)
					t.conduct.Store(&conduct{work: targetWork})
				})
			}
		}
		all.Wait()
	},
	"crash": func(w *world, random *rand.Rand, lasts time.Duration) {
		t := w.pick(random, true)
		if t == nil {
			return
		}
		defer w.record.trouble(t.name, "crash")()
		t.link.set(fault{refuse: true})
		t.link.reset()
		time.Sleep(lasts)
		// Its address goes to a target of another service.
		w.store.Delete(platform.KindTargets, t.name)
		next := w.add(services[random.IntN(len(services))], t.zone)
		t.link.lead(next.fake.Address())
		t.link.set(fault{})
	},
	"drain": func(w *world, random *rand.Rand, _ time.Duration) {
		if t := w.pick(random, true); t != nil {
			w.drain(t)
		}
	},
	"configure": func(w *world, _ *rand.Rand, _ time.Duration) { w.configure() },
}

func (w *world) any(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

func (w *world) kill(n *node) {
	defer w.record.trouble(n.Name, "SIGKILL")()
	<-n.signal(syscall.SIGKILL)
	time.Sleep(restartPause)
	n.awaitReady(readyTime)
}

// drain lets a target leave, and another of its service come first.
func (w *world) drain(t *target) {
	w.add(t.service, t.zone)
	w.put(t, fakes.Draining)
	w.record.note(func() { w.record.leaving = append(w.record.leaving, change{at: w.record.now(), target: t.name}) })
	time.Sleep(drainTimeout + lingerTime)
	w.store.Delete(platform.KindTargets, t.name)
	defer w.record.trouble(t.name, "end")()
	t.link.set(fault{refuse: true})
	t.link.reset()
}

// disturb puts a link into a drawn fault and heals it.
func disturb(r *record, who string, l *link, random *rand.Rand, lasts time.Duration) {
	const delayMost = 300 * time.Millisecond
	faults := map[string]fault{
		"partition": {holdIn: true, holdOut: true}, "one-way in": {holdIn: true}, "one-way out": {holdOut: true},
		"refusals": {refuse: true}, "delay": {delay: time.Duration(random.Int64N(int64(delayMost)))},
		"resets": {}, "connections that fall silent": {},
	}
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[random.IntN(len(names))]
	defer r.trouble(who, name)()
	l.set(faults[name])
	switch name {
	case "resets":
		l.reset()
		return
	case "connections that fall silent":
		l.mute()
		return
	}
	time.Sleep(lasts)
	l.set(fault{})
}

func (w *world) troubleStore(random *rand.Rand, lasts time.Duration) {
	kinds := []struct {
		name  string
		begin func()
	}{
		{"silent", w.store.Silence},
		{"busy", func() { w.store.Refuse(http.StatusServiceUnavailable) }},
		{"over its rate", func() { w.store.Refuse(http.StatusTooManyRequests) }},
		{"slow", func() { w.store.Slow(300 * time.Millisecond) }},
		{"loses answers", func() { w.store.Lose(true) }},
	}
	kind := kinds[random.IntN(len(kinds))]
	defer w.record.trouble(theStore, kind.name)()
	kind.begin()
	time.Sleep(lasts)
	w.store.Speak()
	w.store.Slow(0)
	w.store.Lose(false)
}

// strike lets faults of a few kinds strike, in series that overlap, and returns
// when the last has healed.
func (w *world) strike() {
	kinds := make([]string, 0, len(strikes))
	for kind := range strikes {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	w.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:1+w.random.IntN(kindsMost)]
	var striking sync.WaitGroup
	for range 1 + w.random.IntN(strikesMost) {
		kind := kinds[w.random.IntN(len(kinds))]
		after := time.Duration(w.random.Int64N(int64(strikeTime)))
		lasts := faultLeast + time.Duration(w.random.Int64N(int64(faultMost-faultLeast)))
		random := rand.New(rand.NewPCG(w.random.Uint64(), 0))
		striking.Go(func() {
			time.Sleep(after)
			strikes[kind](w, random, lasts)
		})
	}
	striking.Wait()
}
