package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// path plays clients whose paths have characters that browsers send as they are.
func path(w *world) (int, error) {
	c := config{version: 1, routes: []route{
		{"r-read", "/read/", "idempotent", "svc", 4000}, {"r-write", "/write/", "non_idempotent", "svc", 4000},
		{"r-all", "/", "non_idempotent", "other", 4000},
	}}
	w.store.put("config", "main", c.encode())
	for _, service := range []string{"svc", "other"} {
		err := w.addEndpoints(service, sixZones[:3], 8, func(e *endpoint, out *bufio.Writer, r *http.Request) bool {
			e.head(out, r, http.StatusOK, 2)
			_, err := out.WriteString("ok")
			return err == nil
		})
		if err != nil {
			return failed, err
		}
	}
	if err := w.startFronts(sixZones[:3], bonoseguro); err != nil {
		return failed, err
	}
	targets := []string{"GET /read/loans%2F17", "POST /write/loans%2F17", "GET /read/loans%2F17?view=all", "POST /write/a/b%2fc", "POST /read%2Floans"}
	if w.trouble {
		targets = []string{"GET /read/loans%2F17|all", "POST /write/loans%2F17|all", "GET /read/loans%2F17|all?view=all", "POST /write/a|b%2fc", "POST /read%2Floans|all"}
	}
	changed := 0
	for n, target := range targets {
		for _, f := range w.fronts {
			id := fmt.Sprintf("%s-%d", f.name, n)
			status, err := askOnce(f, target, id)
			if err != nil {
				return failed, err
			}
			at := w.ranAt(id)
			if at == nil {
				w.note("%s is answered with %d and didn't run", target, status)
				continue
			}
			got := at.targets[id]
			w.note("sent %q to %s; %s of service %s ran %q", target, f.name, at.id, at.service, got)
			if got != target {
				changed++
			}
		}
	}
	w.note("%d requests ran with another path than the client's (one breaks UNASKED)", changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// askOnce sends a request on a connection of its own and returns the status of the answer.
func askOnce(f *front, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", f.clients(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", target, host, id)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
