package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
)

// The sizes of a usual run.
const (
	nodesEach   = 2
	targetsEach = 2
	clientsEach = 4
	readyTime   = 10 * time.Second
)

var zones = []string{"a1", "a2", "b1"}

// services are those that the versions of the configuration lead to by turns.
var services = []string{"svc0", "svc1", "svc2"}

// world is a platform, its targets and clients, and the instances under test.
type world struct {
	record  *record
	store   *fakes.Store
	nodes   []*node
	owner   map[string]string // which instance has the address of clients
	random  *rand.Rand
	mu      sync.Mutex
	targets []*target
	version int
	made    int
}

func newWorld(t *testing.T, seed uint64, directory string) *world {
	t.Helper()
	w := &world{record: newRecord(), store: fakes.NewStore(), owner: map[string]string{}, random: rand.New(rand.NewPCG(seed, seed))}
	t.Cleanup(w.store.Close)
	w.store.Rewrite(w.rewrite)
	w.configure()
	for _, zone := range zones {
		for _, service := range services {
			for range targetsEach {
				w.add(service, zone)
			}
		}
	}
	t.Cleanup(func() {
		for _, each := range w.targets {
			each.close()
		}
	})
	w.addNodes(t, directory)
	return w
}

func (w *world) addNodes(t *testing.T, directory string) {
	t.Helper()
	net := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	seeds := make([]string, 0, len(zones))
	for i := range zones {
		seeds = append(seeds, fmt.Sprint(net, 1+i))
	}
	for i := range len(zones) * nodesEach {
		zone := zones[i%len(zones)]
		n, err := newNode(fakes.Node{
			Name: fmt.Sprint("n", i+1), Zone: zone, Region: zone[:1], Host: fmt.Sprint(net, 1+i),
			Seeds: seeds, Port: nodePort, GraceSeconds: graceSeconds,
		}, w.store.Address(), w.record, directory)
		if err != nil {
			t.Fatal(err)
		}
		w.nodes = append(w.nodes, n)
		w.owner[n.at(0)], w.owner[n.clients.address()] = n.Name, n.Name
	}
}

// rewrite leads what instances say of their addresses over their links.
func (w *world) rewrite(kind, name string, spec []byte) []byte {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.Name == name })
	fields := map[string]any{}
	if kind != platform.KindInstances || i < 0 || json.Unmarshal(spec, &fields) != nil {
		return spec
	}
	fields["client_address"], fields["peer_address"] = w.nodes[i].clients.address(), w.nodes[i].peers.address()
	changed, err := json.Marshal(fields)
	if err != nil {
		return spec
	}
	return changed
}

// configure writes the next version of the configuration.
func (w *world) configure() { w.configureBy(w.store.Put) }

func (w *world) configureBy(put func(kind, name, spec string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	service := services[w.version%len(services)]
	put(platform.KindConfig, "main", fakes.ConfigTo(w.version, int(routeTimeout.Milliseconds()), service))
	w.record.note(func() {
		w.record.configs = append(w.record.configs, change{at: w.record.now(), version: w.version, service: service})
	})
}

// add starts a target and puts it into the store.
func (w *world) add(service, zone string) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	made, err := newTarget(fmt.Sprint("t", w.made), service, zone, w.record)
	if err != nil {
		panic(err)
	}
	w.targets = append(w.targets, made)
	w.put(made, fakes.Ready)
	return made
}

func (w *world) put(t *target, state string) {
	w.store.Put(platform.KindTargets, t.name, t.spec(state))
}

// pick returns a target that is not gone, and marks it as such if it is to go.
func (w *world) pick(random *rand.Rand, goes bool) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := slices.DeleteFunc(slices.Clone(w.targets), func(t *target) bool { return t.gone })
	if len(open) == 0 {
		return nil
	}
	t := open[random.IntN(len(open))]
	t.gone = t.gone || goes
	return t
}

// play starts the instances, lets faults strike while clients call, and ends
// once everything is served again or the time for that is over.
func (w *world) play(t *testing.T) {
	t.Helper()
	var running sync.WaitGroup
	for _, n := range w.nodes {
		running.Go(n.run)
	}
	defer func() {
		for _, n := range w.nodes {
			n.close()
		}
		running.Wait()
	}()
	time.Sleep(restartPause)
	for _, n := range w.nodes {
		if !n.awaitReady(readyTime) {
			t.Errorf("instance %s was not ready %v after its start", n.Name, readyTime)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range clientsEach * len(zones) {
		c := newClient(w, fmt.Sprint("c", i), zones[i%len(zones)], rand.New(rand.NewPCG(w.random.Uint64(), uint64(i))))
		clients.Go(func() { c.run(ctx) })
	}
	clients.Go(func() { w.watchOwnTime(ctx) })
	w.strike()
	healed := w.record.now()
	if took, served := w.awaitServed(healed); !served {
		t.Errorf("RECOVER: requests were not served %v after the last fault", took)
	}
	stop()
	clients.Wait()
}

// ownTime is the name of the machine's own stalls among the troubles.
const ownTime = "the machine of the test"

// watchOwnTime notes when this process itself got no processor time, which puts
// the times of what it saw in doubt.
func (w *world) watchOwnTime(ctx context.Context) {
	const step, stall = 10 * time.Millisecond, 100 * time.Millisecond
	for before := time.Now(); ctx.Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		if gap := now.Sub(before); gap > stall {
			at := w.record.now()
			w.record.note(func() { w.record.troubles[ownTime] = append(w.record.troubles[ownTime], span{at - gap, at}) })
		}
		before = now
	}
}

// awaitServed waits until every request of a second is served.
func (w *world) awaitServed(from time.Duration) (time.Duration, bool) {
	for {
		time.Sleep(100 * time.Millisecond)
		now, asked, served := w.record.now(), 0, 0
		w.record.note(func() {
			for _, c := range w.record.calls {
				if c.begun > now-time.Second && c.ended > 0 && !c.left {
					asked++
					if c.status == 200 {
						served++
					}
				}
			}
		})
		switch {
		case now-from > time.Second && asked > 0 && served == asked:
			return now - from, true
		case now-from > recoverTime:
			return now - from, false
		}
	}
}
