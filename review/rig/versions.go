package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// addedRoutes is what three big_config of 1,584 routes add. The configuration stays below
	// value_bytes (1 MiB).
	addedRoutes = 3 * 1584
	valueBytes  = 1 << 20
	// A storm lasts stormTime with a change each stormGap, as in the site files.
	stormTime = 4 * time.Second
	stormGap  = 330 * time.Millisecond
	calmTime  = 500 * time.Millisecond
	playTime  = 95 * time.Second
	// endTime is how much longer the case is played after the first kill.
	endTime = 5 * time.Second
	// lostMax is how many requests may be lost from kept connections.
	lostMax = 3
)

// versions plays many versions of a long configuration.
func versions(w *world) (int, error) {
	c := config{version: 1, added: addedRoutes, routes: []route{
		{"r-read", "/read/", "idempotent", "svc", 4000}, {"r-write", "/write/", "non_idempotent", "svc", 4000},
	}}
	if n := len(c.encode()); n > valueBytes {
		return failed, fmt.Errorf("the configuration has %d bytes", n)
	}
	w.log("the configuration has %d bytes and %d routes", len(c.encode()), len(c.routes)+c.added)
	w.store.put("config", "main", c.encode())
	err := w.addEndpoints("svc", slices.Concat(sixZones, sixZones), 32, func(e *endpoint, out *bufio.Writer, r *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		e.head(out, r, http.StatusOK, 2)
		_, err := out.WriteString("ok")
		return err == nil
	})
	if err != nil {
		return failed, err
	}
	var places []place
	for i, n := range []int{4, 4, 4, 4, 2, 2} {
		places = append(places, slices.Repeat(sixZones[i:i+1], n)...)
	}
	if err := w.startFronts(places, bonoseguroGrown); err != nil {
		return failed, err
	}
	var lost, killed atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	var tasks sync.WaitGroup
	for _, f := range w.fronts {
		tasks.Go(func() { w.enforceMemory(ctx, f, &killed) })
		for i := range 6 {
			tasks.Go(func() { w.askOn(ctx, f, i, &lost) })
		}
	}
	for stormEnd := time.Now().Add(stormTime); ctx.Err() == nil && killed.Load() == 0; time.Sleep(stormGap) {
		if time.Now().After(stormEnd) {
			time.Sleep(calmTime)
			stormEnd = time.Now().Add(stormTime)
		}
		if w.trouble {
			c.version++
			// Each version changes the time-out of a route.
			c.routes[1].timeoutMs = 4000 + c.version%2*100
			w.store.put("config", "main", c.encode())
			w.log("version %d is acknowledged", c.version)
		}
	}
	time.AfterFunc(endTime, cancel)
	tasks.Wait()
	w.note("%d versions; %d processes exceeded %d MB; %d requests that endpoints ran got no answer on kept connections (more than %d break LOST)",
		c.version, killed.Load(), w.site.memoryMB, lost.Load(), lostMax)
	if lost.Load() > lostMax {
		return broken, nil
	}
	return held, nil
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory,
// and starts it again.
func (w *world) enforceMemory(ctx context.Context, f *front, killed *atomic.Int64) {
	peak, noted := 0.0, time.Now()
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		resident := f.residentMB()
		peak = max(peak, resident)
		if time.Since(noted) > 5*time.Second {
			noted = time.Now()
			w.log("%s holds %.0f MB", f.name, resident)
		}
		if resident <= float64(w.site.memoryMB) {
			continue
		}
		w.note("%s holds %.1f MB and is killed, because it may have %d MB", f.name, resident, w.site.memoryMB)
		killed.Add(1)
		f.kill()
		time.Sleep(500 * time.Millisecond)
		if err := f.start(w.root); err != nil {
			w.note("%v", err)
			return
		}
	}
	w.log("%s held %.0f MB at most", f.name, peak)
}

// askOn sends one request after the other on a kept connection to a front. A request that
// an endpoint ran and whose connection ended without an answer is lost.
func (w *world) askOn(ctx context.Context, f *front, client int, lost *atomic.Int64) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		kept := conn != nil
		if !kept {
			var err error
			if conn, err = net.DialTimeout("tcp", f.clients(), time.Second); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		method, path := http.MethodGet, "/read/x"
		if client%2 == 1 {
			method, path = http.MethodPost, "/write/x"
		}
		id := fmt.Sprintf("%s-%d-%d", f.name, client, n)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", method, path, host, id)
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		if err == nil {
			w.log("%s %s %s is answered with %d", id, method, path, answer.StatusCode)
			if answer.Close {
				_ = conn.Close()
				conn = nil
			}
			continue
		}
		at := w.ranAt(id)
		w.log("%s %s %s gets no answer on a connection that is kept (%v): %v; ran: %v", id, method, path, kept, err, at != nil)
		if at != nil && kept {
			lost.Add(1)
		}
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
}
