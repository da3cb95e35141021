package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case: loan-placement of kmlc-illnet, and srv_grey there.
const (
	orderWork = 1160 * time.Millisecond
	orderWait = 6 * time.Second
	orderAim  = 800 * time.Millisecond
	// greyShare is the share of requests that the endpoints reject for greyTime.
	greyShare = 0.55
	greyTime  = 8500 * time.Millisecond
	// ordersPause is the time between two orders. The endpoints can run three times as
	// many.
	ordersPause = 300 * time.Millisecond
	calmTime    = 3 * time.Second

	ledgerService = "loan-ledger"
)

// halfCase is a run of clients that close their side of the connection after the
// request and wait for the answer.
type halfCase struct {
	record    *record
	fleet     *fleet
	endpoints []*endpoint

	mu    sync.Mutex
	calls []call
	// greyUntil is until when the endpoints reject requests.
	greyUntil time.Time
}

// runHalf sends orders while, with trouble, the endpoints reject a part of them as not
// run.
func runHalf(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, smallBounds, "kigali-a", "kigali-a")
	if err != nil {
		return false, err
	}
	defer f.close()
	h := &halfCase{record: r, fleet: f}
	f.store.Put(kindConfig, "main", configuration(1, []string{ledgerService}, []routeSpec{{"loan-placement", pathOrder, kindOnce, ledgerService, orderWait, orderAim}}))
	h.endpoints, err = f.newEndpoints(4, endpointSpec{
		service: ledgerService, zone: "kigali-a", slots: 3, shed: h.sheds, work: func(*http.Request) time.Duration { return orderWork },
	})
	defer closeAll(h.endpoints)
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var orders sync.WaitGroup
	h.send(&orders, calmTime)
	if trouble {
		h.mu.Lock()
		h.greyUntil = time.Now().Add(greyTime)
		h.mu.Unlock()
		r.line("fault", "srv_grey, how \"shed all\", x %v, for %v", greyShare, greyTime)
	}
	h.send(&orders, greyTime)
	orders.Wait()
	return h.judge()
}

// sheds reports whether an endpoint rejects a request.
func (h *halfCase) sheds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.greyUntil) && rand.Float64() < greyShare
}

// send sends orders to the instances in turn for a time.
func (h *halfCase) send(orders *sync.WaitGroup, length time.Duration) {
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		id := fmt.Sprintf("order.%.0f.%d", length.Seconds(), n)
		to := h.fleet.nodes[n%len(h.fleet.nodes)]
		orders.Go(func() {
			c := &client{record: h.record, address: to.address(portFront), wait: orderWait, halfCloses: true}
			defer c.close()
			made := c.do(id, pathOrder, orderBody)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.calls = append(h.calls, made)
		})
		time.Sleep(ordersPause)
	}
}

// judge reports whether a client got a success that no endpoint gave.
func (h *halfCase) judge() (bool, error) {
	whole, refused, mixed := 0, 0, 0
	for _, c := range h.calls {
		switch {
		case c.err == nil && c.status/100 == 2 && !c.stamped:
			mixed++
			h.record.result("MIXED: order %s got status %d without an endpoint's stamp; endpoints ran it %d times", c.id, c.status, runsOf(h.endpoints, c.id))
		case c.stamped && c.full:
			whole++
		default:
			refused++
		}
	}
	h.record.result("%d orders: %d with the endpoint's whole answer, %d refused or failed, %d with a success that no endpoint gave", len(h.calls), whole, refused, mixed)
	return mixed > 0, checkServed(whole)
}
