package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the planned stop.
const (
	// lookupUses is how many times the time to live of a look-up some clients use it.
	lookupUses = 3
	// obedientEach is of how many clients one uses it only for its time to live.
	obedientEach = 4
	// longWork is how long the endpoints work on a request, within what the sheet of
	// page large/LATER.md names: 6.8 s in the mean for calendario-venc, 3.48 s in the
	// mean and 10.44 s at most for orden-bono.
	longWork = 6800 * time.Millisecond
	// longWait is the clients' deadline and the time-out of the routes there.
	longWait = 20 * time.Second
	longAim  = 2 * time.Second
	// longService is the service of both kinds of request.
	longService = "ordenes"
	// lateSince is how long after SIGTERM a request has to be sent to count also if its
	// endpoint is still at work at the end of the grace period.
	lateSince = 3 * time.Second
	// appsCount is the number of clients, each of which sends a request each appPause.
	appsCount = 40
	appPause  = time.Second
	// lookupSpread is the time within which the clients begin.
	lookupSpread = 5 * time.Second
	// slots is more than the endpoints need.
	slots = 100
)

// stopCase is a rolling restart under load.
type stopCase struct {
	record    *record
	fleet     *fleet
	endpoints []*endpoint

	mu    sync.Mutex
	calls []call
	// stops holds when the instance at an address got SIGTERM and ended.
	stops map[string]interval
}

type interval struct{ began, ended time.Time }

// runStop restarts the instances in turn while clients send requests. Each goes
// over a new connection to an address from the client's latest look-up.
func runStop(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, longBounds, "bog-a", "bog-a")
	if err != nil {
		return false, err
	}
	defer f.close()
	s := &stopCase{record: r, fleet: f, stops: map[string]interval{}}
	f.store.Put(kindConfig, "main", configuration(1, []string{longService}, []routeSpec{
		{"orden-bono", pathOrder, kindOnce, longService, longWait, longAim},
		{"calendario-venc", "/calendar/", "idempotent", longService, longWait, longAim},
	}))
	s.endpoints, err = f.newEndpoints(4, endpointSpec{service: longService, zone: "bog-a", slots: slots, work: func(*http.Request) time.Duration { return longWork }})
	defer closeAll(s.endpoints)
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	for i := range appsCount {
		uses := float64(lookupUses)
		if i%obedientEach == 0 {
			uses = 1
		}
		tasks.Go(func() { s.send(ctx, fmt.Sprint("app", i), uses) })
	}
	time.Sleep(lookupSpread + longWork)
	if trouble {
		err = s.roll()
	} else {
		time.Sleep(2 * (longBounds.grace + lateSince))
	}
	stop()
	tasks.Wait()
	if err != nil {
		return false, err
	}
	return s.judge()
}

// roll stops and starts the instances one after the other, as the platform does.
func (s *stopCase) roll() error {
	for _, n := range s.fleet.nodes {
		stop := interval{began: time.Now()}
		s.record.line("signal", "SIGTERM to instance %s at %s", n.name, n.address(portFront))
		_ = n.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-n.ended:
		case <-time.After(longBounds.grace):
			s.record.line("signal", "SIGKILL to instance %s", n.name)
			n.stop()
		}
		stop.ended = time.Now()
		s.mu.Lock()
		s.stops[n.address(portFront)] = stop
		s.mu.Unlock()
		time.Sleep(restartPause)
		if err := n.start(); err != nil {
			return err
		}
		if err := n.awaitReady(); err != nil {
			return err
		}
		time.Sleep(lateSince)
	}
	return nil
}

// send sends requests of both kinds until ctx ends, and waits for their answers. It uses
// each look-up for the given multiple of its time to live.
func (s *stopCase) send(ctx context.Context, name string, uses float64) {
	var requests sync.WaitGroup
	defer requests.Wait()
	// The clients' look-ups are spread over time.
	found := lookup{}
	time.Sleep(rand.N(lookupSpread))
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(found.at).Seconds() > uses*found.Seconds {
			if next, err := s.fleet.lookUp(); err == nil {
				found = next
			}
		}
		if len(found.Addresses) > 0 {
			address := found.Addresses[rand.IntN(len(found.Addresses))]
			path, body := pathOrder, orderBody
			if n%2 == 1 {
				path, body = "/calendar/", ""
			}
			requests.Go(func() { s.sendOne(fmt.Sprintf("%s.%d", name, n), address, path, body) })
		}
		select {
		case <-time.After(time.Duration(float64(appPause) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
		}
	}
}

func (s *stopCase) sendOne(id, address, path, body string) {
	c := &client{record: s.record, address: address, wait: longWait}
	defer c.close()
	made := c.do(id, path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, made)
}

// judge reports whether a request was broken off at which an endpoint was at work,
// although it was sent more than lateSince after SIGTERM.
func (s *stopCase) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole, late, lost := 0, 0, 0
	for _, c := range s.calls {
		if c.stamped && c.full {
			whole++
		}
		stop, found := s.stops[c.address]
		after := c.sent.Sub(stop.began)
		if !found || after <= lateSince || c.sent.After(stop.ended) || runsOf(s.endpoints, c.id) == 0 {
			continue
		}
		late++
		if c.stamped || c.ended.Sub(c.sent) >= longWait {
			continue
		}
		lost++
		s.record.result("LOST: request %s, sent %v after SIGTERM and run by an endpoint, ended %v after SIGTERM with: %v",
			c.id, after.Round(time.Millisecond), c.ended.Sub(stop.began).Round(time.Millisecond), c)
	}
	s.record.result("%d requests, %d with the endpoint's whole answer; %d ran that were sent more than %v after SIGTERM, %d of them were broken off", len(s.calls), whole, late, lateSince, lost)
	return lost > 0, checkServed(whole)
}
