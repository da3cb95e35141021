package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Figures of the operator's changes and of the load.
const (
	// idleRoutes makes the configuration nearly value_bytes long.
	idleRoutes = 5050
	valueBytes = 1 << 20
	// Each of the storms changes the configuration every stormGap for stormTime.
	storms     = 18
	stormTime  = 4 * time.Second
	stormGap   = 330 * time.Millisecond
	stormPause = time.Second

	ledgerWork   = 500 * time.Millisecond
	clientsEach  = 12
	clientsPause = 50 * time.Millisecond
	// lostMax is how many requests may be lost.
	lostMax = 3
	// memoryCheck is the time between two looks at the memory of the processes.
	memoryCheck = 100 * time.Millisecond
)

// memoryCase is a run of many changes of a long configuration.
type memoryCase struct {
	record    *record
	fleet     *fleet
	endpoints []*endpoint
	version   int

	mu    sync.Mutex
	calls []call
	// kills counts the processes that exceeded their memory.
	kills int
}

// runMemory changes the configuration, with trouble, in one storm after the other while
// clients send orders over kept connections.
func runMemory(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, smallBounds, "kigali-a", "kigali-a", "kigali-a")
	if err != nil {
		return false, err
	}
	defer f.close()
	m := &memoryCase{record: r, fleet: f, version: 1}
	if err := m.configure(); err != nil {
		return false, err
	}
	m.endpoints, err = f.newEndpoints(3, endpointSpec{service: ledgerService, zone: "kigali-a", slots: 20, work: func(*http.Request) time.Duration { return ledgerWork }})
	defer closeAll(m.endpoints)
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	for _, n := range f.nodes {
		for i := range clientsEach {
			tasks.Go(func() { m.send(ctx, fmt.Sprintf("%s.%d", n.name, i), n.address(portFront)) })
		}
	}
	tasks.Go(func() { m.enforceMemory(ctx) })
	for i := 0; i < storms && err == nil; i++ {
		err = m.storm(trouble)
	}
	stop()
	tasks.Wait()
	return m.judge(), err
}

// storm changes the configuration for stormTime and then waits for stormPause.
func (m *memoryCase) storm(trouble bool) error {
	for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
		if !trouble {
			continue
		}
		if err := m.configure(); err != nil {
			return err
		}
	}
	for _, n := range m.fleet.nodes {
		m.record.line("memory", "instance %s has %d MB at configuration %d", n.name, anonymousMB(n.command.Process.Pid), m.version)
	}
	time.Sleep(stormPause)
	return nil
}

// configure writes the next version of the configuration, which changes the time-outs of
// its idle routes.
func (m *memoryCase) configure() error {
	m.version += 3
	routes := make([]routeSpec, 0, idleRoutes+1)
	routes = append(routes, routeSpec{"loan-placement", pathOrder, kindOnce, ledgerService, orderWait, orderAim})
	for i := range idleRoutes {
		routes = append(routes, routeSpec{fmt.Sprintf("r-%04d", i), fmt.Sprintf("/i%04d/", i), "idempotent", ledgerService, time.Duration(1000+m.version) * time.Millisecond, orderAim})
	}
	spec := configuration(m.version, []string{ledgerService}, routes)
	if len(spec) > valueBytes {
		return errors.Newf("the configuration has %d bytes; want at most %d", len(spec), valueBytes)
	}
	m.fleet.store.Put(kindConfig, "main", spec)
	m.record.line("config", "version %d, %d bytes", m.version, len(spec))
	return nil
}

// send sends orders over a kept connection until ctx ends.
func (m *memoryCase) send(ctx context.Context, name, address string) {
	c := &client{record: m.record, address: address, wait: orderWait}
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		made := c.do(fmt.Sprintf("%s.%d", name, n), pathOrder, orderBody)
		m.mu.Lock()
		m.calls = append(m.calls, made)
		m.mu.Unlock()
		time.Sleep(clientsPause)
	}
}

// enforceMemory kills processes that exceed their memory, as the platform does, and
// starts them again, until ctx ends.
func (m *memoryCase) enforceMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(memoryCheck)
		for _, n := range m.fleet.nodes {
			used := anonymousMB(n.command.Process.Pid)
			if used <= smallBounds.memoryMB {
				continue
			}
			m.record.result("instance %s uses %d MB of its %d MB and is killed, at configuration %d", n.name, used, smallBounds.memoryMB, m.version)
			_ = n.command.Process.Signal(syscall.SIGKILL)
			<-n.ended
			m.mu.Lock()
			m.kills++
			m.mu.Unlock()
			time.Sleep(restartPause)
			if err := n.start(); err != nil {
				m.record.line("process", "%v", err)
				return
			}
		}
	}
}

// anonymousMB returns the memory of a process in MB, without what it has mapped of
// files.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err == nil {
				return kilobytes >> 10
			}
		}
	}
	return 0
}

// judge reports whether more than lostMax requests from kept connections were passed on
// to an endpoint and got no answer, because a process ended by itself.
func (m *memoryCase) judge() bool {
	lost := 0
	for _, c := range m.calls {
		if c.kept && c.err != nil && c.ended.Sub(c.sent) < orderWait && runsOf(m.endpoints, c.id) > 0 {
			lost++
			m.record.line("result", "LOST: order %s, run by an endpoint, got %v", c.id, c)
		}
	}
	m.record.result("%d orders; %d processes exceeded their memory; %d orders from kept connections ran and got no answer (at most %d may)", len(m.calls), m.kills, lost, lostMax)
	return m.kills > 0 && lost > lostMax
}
