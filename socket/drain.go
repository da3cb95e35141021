package socket

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainPause is how long a listener that drains waits for a connection before
	// its queue counts as empty.
	drainPause = time.Millisecond
	// drainMax limits how long a listener drains while connections keep coming.
	drainMax = 250 * time.Millisecond
	// drainPoll is the time between two checks whether all connections are closed.
	drainPoll = 10 * time.Millisecond
	// firstRequestTime is how long a connection on which no request has arrived
	// yet is kept open. A client sends the first one when the connection is
	// established, a round trip later at most.
	firstRequestTime = 500 * time.Millisecond
	// lingerTime and lingerBytes limit how long, and for how many bytes, a connection
	// is still read after the server has closed it.
	lingerTime  = 2 * time.Second
	lingerBytes = 4 << 20
)

// DrainListener is a listener that can be closed without cutting off requests.
// Closing a plain listener resets the connections that the kernel has accepted
// and the process hasn't. net/http's Shutdown closes a connection without an
// answer if it has just read a request from it.
type DrainListener struct {
	*net.TCPListener
	draining atomic.Bool
	drained  chan struct{}

	mu    sync.Mutex
	conns map[*drainConn]struct{}
}

// NewDrainListener returns a DrainListener that takes its connections from l.
func NewDrainListener(l *net.TCPListener) *DrainListener {
	return &DrainListener{TCPListener: l, drained: make(chan struct{}), conns: map[*drainConn]struct{}{}}
}

// Accept implements net.Listener. After Drain it returns the connections that are
// still queued, and then net.ErrClosed.
func (l *DrainListener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		if draining {
			if err := l.SetDeadline(time.Now().Add(drainPause)); err != nil {
				return nil, errors.Wrap(err, "drain the listener")
			}
		}
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			return l.track(conn), nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err //nolint:wrapcheck // servers compare it with net.ErrClosed
		case draining:
			err = l.Close()
			close(l.drained)
			return nil, errors.CombineErrors(net.ErrClosed, err)
		}
	}
}

// Close implements net.Listener. Closing the listener again is no error, because
// Accept, Drain and the server all close it, in any order.
func (l *DrainListener) Close() error {
	if err := l.TCPListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close the listener")
	}
	return nil
}

// Drain makes Accept return the queued connections, closes the listener, and
// returns when it is closed or ctx ends. The server has to go on calling Accept.
func (l *DrainListener) Drain(ctx context.Context) error {
	// This ends a waiting Accept. It must precede the change of draining, after
	// which Accept sets deadlines of its own.
	if err := l.SetDeadline(time.Now().Add(-drainPause)); err != nil {
		return errors.Wrap(err, "drain the listener")
	}
	l.draining.Store(true)
	select {
	case <-l.drained:
	case <-time.After(drainMax):
		return l.Close()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain the listener")
	}
	return nil
}

// CloseIdle closes connections as they become idle, until all are closed or ctx
// ends, and reports which of the two it was. The server has to answer each request
// so that its connection is closed after it.
func (l *DrainListener) CloseIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for l.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// closeIdle closes the idle connections and returns how many others are open.
func (l *DrainListener) closeIdle(now time.Time) int {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	open := 0
	for _, c := range conns {
		if c.closing.Load() || !c.isIdle(now) {
			open++
			continue
		}
		// The server notices that and closes the connection too.
		_ = c.Close()
		open++
	}
	return open
}

func (l *DrainListener) track(conn *net.TCPConn) *drainConn {
	c := &drainConn{TCPConn: conn, listener: l, accepted: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// drainConn is a connection of a DrainListener.
type drainConn struct {
	*net.TCPConn
	listener *DrainListener
	accepted time.Time
	// unanswered is set if bytes have been read since the last write, and used if
	// bytes have ever been written.
	unanswered atomic.Bool
	used       atomic.Bool
	// active is set while the server handles a request from the connection.
	active atomic.Bool
	// ended is set when the client has closed or reset the connection, and closing when
	// the server has closed it.
	ended, closing atomic.Bool
}

// TrackState tells a connection of a DrainListener its state at the server. It is
// to be set as the server's ConnState.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*drainConn); ok {
		c.active.Store(state == http.StateActive)
	}
}

// isIdle reports whether no request is expected to be under way on the
// connection.
func (c *drainConn) isIdle(now time.Time) bool {
	if !c.used.Load() && now.Sub(c.accepted) < firstRequestTime {
		return false
	}
	return !c.active.Load() && !c.unanswered.Load() && !hasUnread(c.TCPConn)
}

// Read implements net.Conn.
func (c *drainConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.unanswered.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	return n, err //nolint:wrapcheck // a server compares it with io.EOF
}

// Write implements net.Conn.
func (c *drainConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.used.Store(true)
	c.unanswered.Store(false)
	return n, err //nolint:wrapcheck // a wrapper adds nothing
}

// Close implements net.Conn. It closes the sending side at once. If the client may not
// have read everything yet, the connection is read on until the client closes it too,
// because closing a connection with unread bytes resets it, and a reset drops what the
// client has not read.
func (c *drainConn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	if c.ended.Load() || !c.used.Load() || c.CloseWrite() != nil {
		return c.finish()
	}
	// This ends a Read of the server.
	if err := c.SetReadDeadline(time.Now()); err != nil {
		return c.finish()
	}
	go c.linger()
	return nil
}

// linger reads the connection until the client closes it, and closes it then.
func (c *drainConn) linger() {
	defer func() { _ = c.finish() }()
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
	}
}

// finish closes the connection.
func (c *drainConn) finish() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close() //nolint:wrapcheck // a wrapper adds nothing
}

// hasUnread reports whether a connection has received bytes that have not been
// read. It reads none.
func hasUnread(conn *net.TCPConn) bool {
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Read of the raw connection would wait for the server's own Read.
	err = control.Control(func(fd uintptr) {
		var peek [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
