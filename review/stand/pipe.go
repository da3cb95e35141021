package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Figures of the case: sheet-downloads of demands/LATER.md.
const (
	// sheetBytes is the length of an answer: 90,000 bytes in the mean and 540,000 at
	// most in the site file.
	sheetBytes   = 400_000
	sheetWork    = 384 * time.Millisecond
	sheetAim     = 250 * time.Millisecond
	sheetWait    = 2 * time.Second
	sheetClients = 12
	// readRate is how many bytes a second the clients read, in steps of readStep.
	readRate = 1_000_000
	readStep = 10 * time.Millisecond
	// behindPause is how long after a request the next one is sent behind it.
	behindPause = 50 * time.Millisecond
	pipeTime    = 4 * time.Second

	sheetService = "bake-sheets"
	pathSheet    = "/sheet/"
)

// pipeCase is a planned stop under clients that send requests behind others.
type pipeCase struct {
	record    *record
	endpoints []*endpoint

	mu      sync.Mutex
	calls   []call
	stopped time.Time
}

// slowReader reads at most readRate bytes a second.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (s slowReader) Read(data []byte) (int, error) {
	time.Sleep(readStep)
	n, err := s.conn.Read(data[:min(len(data), int(readRate*readStep/time.Second))])
	return n, err //nolint:wrapcheck // a reader passes errors on as they are
}

// runPipe stops an instance, with trouble, while clients that read slowly send each
// request before the one before it is answered.
func runPipe(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, smallBounds, "kgn-a", "kgn-a")
	if err != nil {
		return false, err
	}
	defer f.close()
	p := &pipeCase{record: r}
	f.store.Put(kindConfig, "main", configuration(1, []string{sheetService}, []routeSpec{{"sheet-downloads", pathSheet, "download", sheetService, sheetWait, sheetAim}}))
	p.endpoints, err = f.newEndpoints(4, endpointSpec{
		service: sheetService, zone: "kgn-a", slots: 6, bytes: sheetBytes, work: func(*http.Request) time.Duration { return sheetWork },
	})
	defer closeAll(p.endpoints)
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	n := f.nodes[0]
	var clients sync.WaitGroup
	end := time.Now().Add(pipeTime + smallBounds.grace)
	for i := range sheetClients {
		clients.Go(func() { p.fetch(fmt.Sprint("client", i), n.address(portFront), end) })
	}
	time.Sleep(pipeTime)
	if trouble {
		p.mu.Lock()
		p.stopped = time.Now()
		p.mu.Unlock()
		r.line("signal", "SIGTERM to instance %s", n.name)
		_ = n.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-n.ended:
		case <-time.After(smallBounds.grace):
			r.line("signal", "SIGKILL to instance %s", n.name)
			n.stop()
		}
	}
	clients.Wait()
	return p.judge()
}

// fetch fetches sheets over one connection, always two at a time, until the connection
// closes.
func (p *pipeCase) fetch(name, address string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(slowReader{conn})
	var waiting []call
	for n := 0; len(waiting) > 0 || time.Now().Before(end); n++ {
		for len(waiting) < 2 && time.Now().Before(end) {
			made := call{id: fmt.Sprintf("%s.%d.%d", name, n, len(waiting)), sent: time.Now()}
			p.record.line("sent", "request %s behind %d others", made.id, len(waiting))
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", pathSheet, hostName, headerID, made.id, headerDeadline, sheetWait.Milliseconds()); err != nil {
				break
			}
			waiting = append(waiting, made)
			time.Sleep(behindPause)
		}
		if len(waiting) == 0 {
			return
		}
		made, closed := p.receive(conn, reader, waiting[0])
		p.mu.Lock()
		p.calls = append(p.calls, made)
		p.mu.Unlock()
		if waiting = waiting[1:]; closed {
			return
		}
	}
}

// receive reads an answer and reports whether it closes the connection.
func (p *pipeCase) receive(conn net.Conn, reader *bufio.Reader, made call) (call, bool) {
	_ = conn.SetReadDeadline(made.sent.Add(sheetWait))
	response, err := http.ReadResponse(reader, nil)
	read := int64(0)
	if err == nil {
		made.status, made.stamped = response.StatusCode, response.Header.Get(headerStamp) != ""
		read, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	made.err, made.ended, made.full = err, time.Now(), err == nil && read == sheetBytes
	p.record.line("answered", "request %s: %v, %d bytes", made.id, made, read)
	return made, err != nil || response.Close
}

// plannedSlack is how long after the grace period a planned stop still counts.
const plannedSlack = time.Second

// isPlanned reports whether the planned stop was under way at a time.
func (p *pipeCase) isPlanned(at time.Time) bool {
	return !p.stopped.IsZero() && at.After(p.stopped) && at.Before(p.stopped.Add(smallBounds.grace+plannedSlack))
}

// judge reports whether an answer broke off that an endpoint had given whole.
func (p *pipeCase) judge() (bool, error) {
	whole, lost := 0, 0
	for _, c := range p.calls {
		switch {
		case c.full && c.stamped:
			whole++
		case c.stamped && c.err != nil && p.isPlanned(c.ended) && c.ended.Sub(c.sent) < sheetWait:
			lost++
			p.record.result("LOST: the answer to request %s, sent %v after SIGTERM, broke off %v after it: %v",
				c.id, c.sent.Sub(p.stopped).Round(time.Millisecond), c.ended.Sub(p.stopped).Round(time.Millisecond), errors.UnwrapAll(c.err))
		}
	}
	p.record.result("%d requests, %d with the endpoint's whole answer, %d answers broke off", len(p.calls), whole, lost)
	return lost > 0, checkServed(whole)
}

// sheet is the body of a long answer.
var sheet = strings.Repeat("sheet...", sheetBytes/8)
