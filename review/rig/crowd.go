package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdClients is the number of clients at each front, and burstFactor how many times as
	// many there are for burstTime.
	crowdClients = 220
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	burstAt      = 15 * time.Second
	crowdTime    = 30 * time.Second
	// reportTime is how long an endpoint works on a report, and lookups the number of requests
	// that a client sends behind it.
	reportTime  = 3120 * time.Millisecond
	lookups     = 16
	lookupBytes = 5000
)

// crowd plays a burst of clients that send further requests behind one that takes long.
func crowd(w *world) (int, error) {
	c := config{version: 1, routes: []route{
		{"r-reports", "/report/", "idempotent", "reports", 15000}, {"r-lookups", "/lookup/", "idempotent", "lookups", 6000},
	}}
	w.store.put("config", "main", c.encode())
	err := w.addEndpoints("reports", sixZones[:3], 1000, func(e *endpoint, out *bufio.Writer, r *http.Request) bool {
		time.Sleep(reportTime)
		e.head(out, r, http.StatusOK, 2)
		_, err := out.WriteString("ok")
		return err == nil
	})
	if err != nil {
		return failed, err
	}
	body := bytes.Repeat([]byte("x"), lookupBytes)
	err = w.addEndpoints("lookups", sixZones[:3], 1000, func(e *endpoint, out *bufio.Writer, r *http.Request) bool {
		e.head(out, r, http.StatusOK, len(body))
		_, err := out.Write(body)
		return err == nil
	})
	if err != nil {
		return failed, err
	}
	if err := w.startFronts(sixZones[:3], cbctOrders); err != nil {
		return failed, err
	}
	var lost, killed atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	burst, endBurst := context.WithTimeout(ctx, burstAt+burstTime)
	defer endBurst()
	var tasks sync.WaitGroup
	for _, f := range w.fronts {
		tasks.Go(func() { w.enforceMemory(ctx, f, &killed) })
		for i := range crowdClients {
			tasks.Go(func() { w.lookUp(ctx, f, fmt.Sprintf("%s-%d", f.name, i), &lost) })
		}
		for i := crowdClients; w.trouble && i < int(burstFactor*crowdClients); i++ {
			tasks.Go(func() {
				time.Sleep(burstAt)
				w.lookUp(burst, f, fmt.Sprintf("%s-%d", f.name, i), &lost)
			})
		}
	}
	tasks.Wait()
	w.note("%d processes exceeded %d MB; %d requests that endpoints ran got no answer on kept connections (more than %d break LOST)",
		killed.Load(), w.site.memoryMB, lost.Load(), lostMax)
	if lost.Load() > lostMax {
		return broken, nil
	}
	return held, nil
}

// lookUp sends batches of requests on a kept connection: one for a report, and the look-ups
// behind it before it is answered.
func (w *world) lookUp(ctx context.Context, f *front, client string, lost *atomic.Int64) {
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", f.clients(), time.Second); err != nil {
				conn = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		var out bytes.Buffer
		ids := make([]string, 0, lookups+1)
		for k := range lookups + 1 {
			path := "/lookup/x"
			if k == 0 {
				path = "/report/x"
			}
			ids = append(ids, fmt.Sprintf("%s-%d-%d", client, n, k))
			_, _ = fmt.Fprintf(&out, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\n\r\n", path, host, ids[k])
		}
		_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
		_, err := conn.Write(out.Bytes())
		answered, statuses := 0, []int{}
		for err == nil && answered < len(ids) {
			var answer *http.Response
			if answer, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
			}
			if err == nil {
				answered++
				statuses = append(statuses, answer.StatusCode)
			}
		}
		w.log("%s to %s are sent to %s, and answered with %v", ids[0], ids[len(ids)-1], f.name, statuses)
		if err == nil {
			kept = true
			continue
		}
		ran := 0
		for _, id := range ids[answered:] {
			if w.ranAt(id) != nil {
				ran++
			}
		}
		w.log("connection of %s (kept: %v) ends after %d of %d answers: %v; %d of the others ran", client, kept, answered, len(ids), err, ran)
		if kept {
			lost.Add(int64(ran))
		}
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
}
