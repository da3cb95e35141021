package stub

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/socket"
)

// Cut is a form in which links are cut: one of Hang, Reset, RefuseNew and ResetOpened.
type Cut interface{ cut() }

// Hang drops all packets. Connections can't be opened, and the open ones hang until
// TCP gives up on them.
type Hang struct{}

// Reset resets the open connections and refuses new ones.
type Reset struct{}

// RefuseNew refuses new connections; the open ones live on.
type RefuseNew struct{}

// ResetOpened resets the open connections. New ones can be opened and are reset before
// any answer, as by a proxy that doesn't reach the target.
type ResetOpened struct{}

func (Hang) cut()        {}
func (Reset) cut()       {}
func (RefuseNew) cut()   {}
func (ResetOpened) cut() {}

// linksTick is the time between two checks of the connections that hang.
const linksTick = 10 * time.Millisecond

// Links stands in for the network between one instance and its targets, which can
// be cut while clients and other instances still reach the instance.
type Links struct {
	mu      sync.Mutex
	cut     Cut
	affects func(address string) bool
	cutAt   time.Time
	// changed is closed at the next change of the cut.
	changed chan struct{}
	conns   map[*linkConn]struct{}
}

// NewLinks returns links that aren't cut.
func NewLinks() *Links {
	return &Links{changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
}

// Cut cuts the links to the addresses for which affects returns true, or all if it is
// nil.
func (l *Links) Cut(form Cut, affects func(address string) bool) {
	if affects == nil {
		affects = func(string) bool { return true }
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.affects, l.cutAt = form, affects, time.Now()
	l.signal()
	switch form.(type) {
	case Hang:
		go l.watchHanging(l.changed)
	case Reset, ResetOpened:
		for c := range l.conns {
			if affects(c.address) {
				c.abort(syscall.ECONNRESET)
				_ = c.SetLinger(0)
				_ = c.TCPConn.Close()
			}
		}
	case RefuseNew:
	}
}

// Heal ends the cut. What was sent on connections that hung arrives now.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.affects = nil, nil
	l.signal()
	for c := range l.conns {
		c.flush()
	}
}

// signal wakes what waits for a change. The caller holds l.mu.
func (l *Links) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the cut of the link to an address, nil if there is none, and a
// channel that is closed when it changes.
func (l *Links) state(address string) (Cut, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil || !l.affects(address) {
		return nil, l.changed
	}
	return l.cut, l.changed
}

// Dial opens a connection to a target, as sender.DialTCP does.
func (l *Links) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		cut, changed := l.state(address)
		switch cut.(type) {
		case Reset, RefuseNew:
			return nil, opError("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED))
		case Hang:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, opError("dial", os.ErrDeadlineExceeded)
			}
		}
		conn, err := socket.Dial(ctx, address, timeout)
		if err != nil {
			return nil, errors.Wrap(err, "dial a target")
		}
		c := &linkConn{TCPConn: conn.(*net.TCPConn), links: l, address: address, received: time.Now(), aborted: make(chan struct{})}
		_, c.reset = cut.(ResetOpened)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// watchHanging aborts connections that hang, as TCP does, until the cut changes.
func (l *Links) watchHanging(changed <-chan struct{}) {
	ticker := time.NewTicker(linksTick)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
			return
		case now := <-ticker.C:
			l.mu.Lock()
			for c := range l.conns {
				if l.affects != nil && l.affects(c.address) && c.timedOut(l.cutAt, now) {
					c.abort(syscall.ETIMEDOUT)
				}
			}
			l.mu.Unlock()
		}
	}
}

// linkConn is a connection over Links. While it hangs, what is written to it is kept,
// and the target doesn't notice that it is closed.
type linkConn struct {
	*net.TCPConn
	links   *Links
	address string
	aborted chan struct{}
	// reset is true if the connection carries nothing and is reset when an answer is
	// awaited.
	reset bool

	mu       sync.Mutex
	deadline time.Time
	// held is what was written while the connection hung, from heldSince on.
	held      []byte
	heldSince time.Time
	received  time.Time
	failure   error
	closed    bool
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	if c.reset {
		return 0, opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
	}
	n, err := c.TCPConn.Read(p)
	for {
		if failure := c.failed(); failure != nil {
			return 0, opError("read", os.NewSyscallError("read", failure))
		}
		cut, changed := c.links.state(c.address)
		if _, hangs := cut.(Hang); !hangs || err != nil {
			break
		}
		c.mu.Lock()
		left := time.Until(c.deadline)
		if c.deadline.IsZero() {
			left = time.Hour
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-c.aborted:
		case <-time.After(left):
			return 0, opError("read", os.ErrDeadlineExceeded)
		}
	}
	if n > 0 {
		c.mu.Lock()
		c.received = time.Now()
		c.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // as TCPConn returns it
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	cut, _ := c.links.state(c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, opError("write", os.NewSyscallError("write", c.failure))
	}
	if c.reset {
		return len(p), nil
	}
	if _, hangs := cut.(Hang); hangs || len(c.held) > 0 {
		if len(c.held) == 0 {
			c.heldSince = time.Now()
		}
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.TCPConn.Write(p) //nolint:wrapcheck // as TCPConn returns it
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.TCPConn.SetDeadline(at) //nolint:wrapcheck // as TCPConn returns it
}

// SyscallConn fails once the connection does, so that it doesn't look idle.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	if failure := c.failed(); failure != nil {
		return nil, failure
	}
	return c.TCPConn.SyscallConn() //nolint:wrapcheck // as TCPConn returns it
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	cut, _ := c.links.state(c.address)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if _, hangs := cut.(Hang); hangs {
		c.abort(net.ErrClosed)
		return nil
	}
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close() //nolint:wrapcheck // as TCPConn returns it
}

func (c *linkConn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// abort makes all calls fail. The target doesn't notice.
func (c *linkConn) abort(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return
	}
	c.failure, c.held = err, nil
	close(c.aborted)
	_ = c.SetReadDeadline(time.Now())
}

// flush sends what was held. The caller holds the lock of the links.
func (c *linkConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil || c.closed {
		delete(c.links.conns, c)
		_ = c.TCPConn.Close()
		return
	}
	_, _ = c.TCPConn.Write(c.held)
	c.held = nil
}

// timedOut reports whether Linux would have given up on the connection, which has
// hung since cutAt: data has been unacknowledged for TCP_USER_TIMEOUT, or a keep-alive
// probe is due, an earlier one is unanswered and nothing has arrived for
// TCP_USER_TIMEOUT, whatever the number of probes.
func (c *linkConn) timedOut(cutAt, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := userTimeout(c.TCPConn)
	if c.failure != nil || timeout == 0 {
		return false
	}
	if len(c.held) > 0 {
		return now.Sub(c.heldSince) >= timeout
	}
	answered := c.received
	if idle := cutAt.Sub(answered); idle > 0 {
		answered = answered.Add(idle.Truncate(socket.ProbeIdle))
	}
	probing := now.Sub(answered) - socket.ProbeIdle
	due := socket.ProbeIdle + probing.Truncate(socket.ProbeInterval)
	return probing >= socket.ProbeInterval && due >= timeout
}

// userTimeout returns the connection's TCP_USER_TIMEOUT, 0 if it has none.
func userTimeout(conn *net.TCPConn) time.Duration {
	const tcpUserTimeout = 18
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	millis := 0
	_ = raw.Control(func(fd uintptr) {
		millis, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	return time.Duration(millis) * time.Millisecond
}
