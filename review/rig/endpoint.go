package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a stand-in of an endpoint. It answers as the pages say: it echoes the id of
// the request, signs its answers and turns requests for other endpoints away.
type endpoint struct {
	id, service, zone, address string
	// record writes a line to the record of the case.
	record func(format string, args ...any)
	// serve answers a request that is for this endpoint. It returns false if the
	// connection is to be closed.
	serve func(e *endpoint, w *bufio.Writer, r *http.Request) bool

	mu   sync.Mutex
	runs map[string]int
	// targets are the request targets of the requests that ran, by id, as they were
	// received, and done those of the runs that came to their end.
	targets map[string]string
	done    map[string]bool
}

func newEndpoint(id, service, zone string, record func(format string, args ...any), serve func(e *endpoint, w *bufio.Writer, r *http.Request) bool) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, zone: zone, address: listener.Addr().String(), record: record, serve: serve,
		runs: map[string]int{}, targets: map[string]string{}, done: map[string]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.handle(conn)
		}
	}()
	return e, nil
}

// spec is the entry of the endpoint in the store.
func (e *endpoint) spec(slots int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","max_concurrency":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		e.service, e.address, e.zone, slots, time.Now().Add(-time.Minute).UnixMilli())
}

func (e *endpoint) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(unreadLimit{conn})
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		switch expected := r.Header.Get("X-Expect-Instance"); {
		case r.URL.Path == "/health":
			_, _ = fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		case expected != "" && expected != e.id:
			_, _ = fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
		default:
			e.mu.Lock()
			e.runs[id]++
			e.targets[id] = r.Method + " " + r.RequestURI
			e.mu.Unlock()
			e.record("%s runs %s: %s %s", e.id, id, r.Method, r.RequestURI)
			whole := e.serve(e, writer, r)
			if !whole {
				_ = writer.Flush()
				return
			}
			e.mu.Lock()
			e.done[id] = true
			e.mu.Unlock()
		}
		if writer.Flush() != nil {
			return
		}
	}
}

// unreadLimit is a connection that is cut off if what is written remains unread too long.
type unreadLimit struct{ net.Conn }

// Write implements io.Writer.
func (u unreadLimit) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		_ = u.SetWriteDeadline(time.Now().Add(unreadTime))
		n, err := u.Conn.Write(data[written:min(len(data), written+partBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// partBytes is how much of a response is written at a time.
const partBytes = 64 << 10

// head writes the head of an answer with a body of n bytes.
func (e *endpoint) head(w io.Writer, r *http.Request, status, n int) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s.%s\r\nX-Instance-Load: 1,0,8\r\nContent-Type: text/plain\r\nContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), e.id, r.Header.Get("X-Request-Id"), strconv.Itoa(n))
}

// ran returns how often the request ran, and whether a run came to its end.
func (e *endpoint) ran(id string) (runs int, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id], e.done[id]
}
