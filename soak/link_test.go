package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a link does to its connections.
type fault struct {
	// holdIn and holdOut keep back the bytes towards the server and towards the
	// client, as a partition does.
	holdIn, holdOut bool
	// refuse resets new connections.
	refuse bool
	delay  time.Duration
}

// link is a loopback proxy before one address, whose faults can be switched
// while connections are open.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	to       string
	fault    fault
	changed  chan struct{}
	pairs    map[*pair]bool
	tasks    sync.WaitGroup
	closed   bool
}

// pair is one connection through a link.
type pair struct {
	client, server net.Conn
	// muted tells that the connection has fallen silent for good.
	muted bool
}

func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	l.tasks.Go(l.accept)
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set switches the fault, and lead changes where new connections go.
func (l *link) set(f fault) { l.change(func() { l.fault = f }) }
func (l *link) lead(to string) {
	l.change(func() { l.to = to })
	l.reset()
}

func (l *link) change(by func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	by()
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset resets the open connections.
func (l *link) reset() {
	for _, p := range l.open() {
		cut(p.client)
		cut(p.server)
	}
}

// mute makes the open connections silent for good; new ones work.
func (l *link) mute() {
	l.change(func() {
		for p := range l.pairs {
			p.muted = true
		}
	})
}

func (l *link) close() {
	l.change(func() { l.closed = true })
	_ = l.listener.Close()
	l.reset()
	l.tasks.Wait()
}

func (l *link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		open = append(open, p)
	}
	return open
}

// cut ends a connection with a reset.
func cut(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.serve(client) })
	}
}

func (l *link) serve(client net.Conn) {
	l.mu.Lock()
	to, refuse := l.to, l.fault.refuse
	l.mu.Unlock()
	if refuse || !l.pass(&pair{}, func(f fault) bool { return f.holdIn || f.holdOut }) {
		cut(client)
		return
	}
	server, err := net.Dial("tcp", to)
	if err != nil {
		cut(client)
		return
	}
	p := &pair{client: client, server: server}
	l.change(func() { l.pairs[p] = true })
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, server, client, func(f fault) bool { return f.holdIn }) })
	both.Go(func() { l.pump(p, client, server, func(f fault) bool { return f.holdOut }) })
	both.Wait()
	l.change(func() { delete(l.pairs, p) })
}

// pump copies one direction of a connection, its end included.
func (l *link) pump(p *pair, to, from net.Conn, held func(fault) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !l.pass(p, held) {
			cut(to)
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				cut(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			cut(to)
			return
		}
	}
}

// pass waits as long as the link holds back what a connection carries, and
// tells whether the link is still there.
func (l *link) pass(p *pair, held func(fault) bool) bool {
	for {
		l.mu.Lock()
		wait, delay, closed, changed := held(l.fault) || p.muted, l.fault.delay, l.closed, l.changed
		l.mu.Unlock()
		if closed {
			return false
		}
		if !wait {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
