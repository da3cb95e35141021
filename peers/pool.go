// Package peers manages the connections from this process to the other entry
// instances and tracks their health by heartbeats.
package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/socket"
	"github.com/endivechute/endivechute/wire"
)

// DialTimeout limits the time to open a connection to a peer. The handshake that
// follows is limited by wire.HelloTimeout.
const DialTimeout = 500 * time.Millisecond

// DialFunc opens a connection to a peer's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	conn, err := socket.Dial(ctx, address, DialTimeout)
	return conn, errors.Wrap(err, "connect to a peer")
}

// Pool keeps one connection to each peer. It opens the connection at the first
// call, and again at the next call after the connection failed.
type Pool struct {
	self wire.Hello
	dial DialFunc

	mu    sync.Mutex
	links map[place.Instance]*link
}

// New makes a pool without peers.
func New(self wire.Hello, dial DialFunc) *Pool {
	return &Pool{self: self, dial: dial, links: map[place.Instance]*link{}}
}

// SetAddresses replaces the peers and their addresses. Connections to instances
// that are no longer among them, or that have another address now, are closed.
func (p *Pool) SetAddresses(addresses map[place.Instance]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, l := range p.links {
		if addresses[instance] != l.address {
			delete(p.links, instance)
			l.close()
		}
	}
	for instance, address := range addresses {
		if _, known := p.links[instance]; !known && instance != p.self.Instance {
			p.links[instance] = &link{pool: p, instance: instance, address: address, dialing: make(chan struct{}, 1)}
		}
	}
}

// Call sends a message to a peer and waits for its reply. The error is marked with
// wire.ErrNotSent if nothing was sent.
func (p *Pool) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	p.mu.Lock()
	l, known := p.links[instance]
	p.mu.Unlock()
	if !known {
		return nil, errors.Mark(errors.Newf("instance %s is not in the platform's list", instance), wire.ErrNotSent)
	}
	client, err := l.open(ctx)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "call instance %s", instance), wire.ErrNotSent)
	}
	answer, err := client.Call(ctx, message)
	return answer, errors.Wrapf(err, "call instance %s", instance)
}

// Discover connects to an address and returns the Hello of the instance there.
func (p *Pool) Discover(ctx context.Context, address string) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return wire.Hello{}, err
	}
	client, err := wire.NewClient(conn, p.self)
	if err != nil {
		return wire.Hello{}, errors.Wrapf(err, "discover the instance at %s", address)
	}
	defer client.Close()
	return client.Peer(), nil
}

// Close closes every connection.
func (p *Pool) Close() { p.SetAddresses(nil) }

// link is the connection to one peer.
type link struct {
	pool     *Pool
	instance place.Instance
	address  string
	dialing  chan struct{}

	mu     sync.Mutex
	client *wire.Client
	closed bool
}

// open returns the open connection or makes one. Only one caller at a time
// dials; the others wait for the result until their contexts end.
func (l *link) open(ctx context.Context) (*wire.Client, error) {
	if client := l.liveClient(); client != nil {
		return client, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the connection")
	}
	if client := l.liveClient(); client != nil {
		return client, nil
	}
	return l.connect(ctx)
}

func (l *link) connect(ctx context.Context) (*wire.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := l.pool.dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	client, err := wire.NewClient(conn, l.pool.self)
	if err != nil {
		return nil, err
	}
	if client.Peer().Instance != l.instance {
		client.Close()
		return nil, errors.Newf("instance %s responds at %s; want %s", client.Peer().Instance, l.address, l.instance)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		client.Close()
		return nil, errors.Newf("instance %s was removed or has another address now", l.instance)
	}
	l.client = client
	return client, nil
}

func (l *link) liveClient() *wire.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || l.client.Err() != nil {
		return nil
	}
	return l.client
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.client != nil {
		l.client.Close()
	}
}
