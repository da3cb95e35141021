package pipe

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/socket"
)

const (
	// earlyMax is how many requests of a connection may be started early at once.
	earlyMax = 16
	// aheadMax is how many bytes of a connection may be read ahead, and aheadFree how many
	// of them are not counted as buffered.
	aheadMax  = 64 << 10
	aheadFree = 4 << 10
	// aheadFirst is the size of the first buffer.
	aheadFirst = 1 << 10
)

// position says what the bytes that net/http reads next are.
type position int

const (
	// atHead: bytes of a request's head.
	atHead position = iota
	// afterHead: a head has been read whole, and its handler hasn't been called yet, so that
	// it isn't known whether a body follows.
	afterHead
	// inBody: bytes of a request's body.
	inBody
	// unknown: the position is lost or isn't followed, and net/http gets all bytes at once.
	unknown
)

// conn is a connection that net/http reads. Only one goroutine at a time calls Read; the
// mutex is for the handler, Close and the state of the connection.
type conn struct {
	net.Conn
	server *Server
	// context is the parent of the contexts of requests that start early.
	context context.Context

	mu       sync.Mutex
	position position
	// head follows the head that net/http reads, and headBegun is true if a part of it has
	// been read.
	head      headScanner
	headBegun bool
	// bodyLeft is how many bytes of the body haven't been read yet.
	bodyLeft int64
	ahead    buffer
	// readErr is the error that ended reading: the client closed or reset the connection.
	readErr error
	// started holds the requests that were started early and that net/http hasn't reached.
	// Their heads are the first bytes in ahead.
	started []*early
	// serving is true while a handler runs that net/http called.
	serving bool
	// blocked is true if the next request may not start before net/http reaches it.
	blocked bool
	// last is true if the connection closes after the request that is being handled.
	last   bool
	closed bool
}

func newConn(accepted net.Conn, server *Server) *conn { return &conn{Conn: accepted, server: server} }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	if len(data) == 1 && c.isBetween() {
		return c.readAhead(data)
	}
	return c.readNext(data)
}

// isBetween reports whether the next bytes belong to a request behind the one that is being
// handled. A read of one byte is then net/http's wait for the client to disconnect.
func (c *conn) isBetween() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position == afterHead || c.position == atHead && !c.headBegun
}

// readNext returns bytes of the request that net/http is reading, and none behind its head
// or its body.
func (c *conn) readNext(data []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead.data) > 0 {
		n := c.advance(c.ahead.data[:min(len(data), len(c.ahead.data))])
		copy(data, c.ahead.data[:n])
		c.ahead.consume(n)
		c.mu.Unlock()
		return n, nil
	}
	readErr := c.readErr
	c.mu.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.advance(data[:n])
	if next == n {
		return n, err //nolint:wrapcheck // net/http compares it with io.EOF
	}
	c.ahead.data = append(c.ahead.data, data[next:n]...)
	c.keepError(err)
	return next, nil
}

// advance moves the position past bytes that net/http gets and returns how many these
// are. The caller holds the mutex.
func (c *conn) advance(data []byte) int {
	switch c.position {
	case atHead:
		n, complete := c.head.scan(data)
		c.headBegun = c.headBegun || n > 0
		if complete {
			c.position = afterHead
		}
		return n
	case inBody:
		n := int(min(int64(len(data)), c.bodyLeft))
		if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
			c.expectHead()
		}
		return n
	case afterHead:
		// net/http reads on without having called the handler: it answered the request
		// itself, or sees the end of the head elsewhere.
		if len(data) > 0 {
			c.lose()
		}
	case unknown:
	}
	return len(data)
}

func (c *conn) expectHead() { c.position, c.headBegun, c.head = atHead, false, headScanner{} }

// lose gives up following the position, and with it early starts.
func (c *conn) lose() {
	c.position = unknown
	c.drop()
}

// readAhead reads requests behind the one that is being handled until the client
// disconnects or the read deadline passes, by which net/http ends it.
func (c *conn) readAhead(first []byte) (int, error) {
	for {
		c.mu.Lock()
		c.startEarly()
		target, err := first, c.readErr
		// One byte is enough while the client doesn't pipeline.
		if len(c.ahead.data) > 0 {
			target = c.spare()
		}
		c.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if len(target) == 0 {
			return c.awaitDisconnect(first)
		}
		n, err := c.Conn.Read(target)
		c.mu.Lock()
		c.ahead.extend(target, n)
		c.keepError(err)
		c.mu.Unlock()
		if err != nil {
			return 0, err //nolint:wrapcheck // net/http asks whether it is a time-out
		}
	}
}

// spare returns the room in the buffer, none if the bounds are reached.
func (c *conn) spare() []byte {
	if len(c.started) >= earlyMax || c.closed {
		return nil
	}
	return c.ahead.spare(c.server.policy)
}

// awaitDisconnect waits, without reading, until the client disconnects or the read
// deadline passes.
func (c *conn) awaitDisconnect(data []byte) (int, error) {
	tcp, found := c.Conn.(syscall.Conn)
	if !found {
		// With the byte, net/http stops waiting.
		return c.readNext(data)
	}
	switch err := socket.AwaitDisconnect(tcp); {
	case errors.Is(err, socket.ErrNoState):
		return c.readNext(data)
	case err != nil:
		return 0, err //nolint:wrapcheck // net/http asks whether it is a time-out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelStarted()
	return 0, io.EOF
}

// keepError records an error that ends reading, and cancels the requests that were started
// early: their client is gone.
func (c *conn) keepError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr = err
	c.cancelStarted()
}

// begin is called when net/http calls the handler of a request. It returns the request's
// early start, if there was one, and whether the connection closes after the answer.
func (c *conn) begin(r *http.Request) (started *early, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.position != afterHead || r.ContentLength < 0:
		// The end of a body of unknown length isn't looked for.
		c.lose()
	case r.ContentLength > 0:
		c.position, c.bodyLeft = inBody, r.ContentLength
	default:
		c.expectHead()
	}
	if len(c.started) > 0 && c.started[0].isFor(r) {
		started = c.started[0]
		c.started = c.started[1:]
	} else {
		c.drop()
		// Requests may be handled at the same time only if the methods of all of them are
		// safe (RFC 9112, 9.3.2).
		c.blocked = !isSafe(r.Method)
	}
	closing = len(c.started) == 0 && c.server.policy.Closing()
	c.last = c.last || r.Close || !r.ProtoAtLeast(1, 1)
	c.serving = true
	c.startEarly()
	return started, closing
}

// end is called when the handler of a request has returned. What arrives from then on
// is about to be read by net/http.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// startEarly starts the requests in the buffer that may start early. The caller holds the
// mutex.
func (c *conn) startEarly() {
	for c.serving && !c.blocked && !c.last && !c.closed && c.readErr == nil && len(c.started) < earlyMax && c.position == atHead && !c.headBegun {
		head, complete := c.ahead.nextHead()
		if !complete {
			return
		}
		r := parse(head, c.server.headerBytes)
		if r == nil || c.server.policy.Closing() || !c.server.policy.MayStart(r) {
			c.blocked = true
			return
		}
		c.ahead.passHead()
		// What is sent behind a request that closes the connection counts as unread.
		c.blocked = r.Close
		r.RemoteAddr = c.RemoteAddr().String()
		started := newEarly(c.context, r)
		c.started = append(c.started, started)
		c.server.policy.Started()
		go started.run(c.server.handler)
	}
}

// cancelStarted cancels the requests that were started early. They are still answered, since
// the client may only have closed its sending side.
func (c *conn) cancelStarted() {
	for _, started := range c.started {
		if started.abandon() {
			c.server.policy.Canceled()
		}
	}
}

// drop cancels the requests that were started early, none of which will be answered.
func (c *conn) drop() {
	c.cancelStarted()
	for _, started := range c.started {
		close(started.dropped)
	}
	c.started = nil
}

// hasAhead reports whether bytes of the next request have been read.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead.data) > 0
}

// Close implements net.Conn. It cancels the requests that were started early.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.drop()
	c.ahead.release()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // a wrapper adds nothing
}

// CloseWrite closes the sending side. net/http does so before it closes a connection whose
// client still sends.
func (c *conn) CloseWrite() error {
	if half, found := c.Conn.(interface{ CloseWrite() error }); found {
		return half.CloseWrite() //nolint:wrapcheck // a wrapper adds nothing
	}
	return nil
}
