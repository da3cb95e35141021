// Package pipe starts pipelined requests early: those that a client sends on a
// connection before an earlier one has been answered.
//
// net/http handles the requests of a connection one after the other, and doesn't notice
// that the client has disconnected while an unread request is in its buffer. This package
// wraps the connections that net/http reads. While a request is handled, net/http waits for
// the client to disconnect in a read of one byte. The wrapper uses that read to read ahead,
// within bounds, and starts the handlers of requests that may start early. Their first write
// blocks until net/http reaches the request. net/http still reads every request and writes
// every answer: it gets exactly the client's bytes.
package pipe

import (
	"context"
	"net"
	"net/http"

	"github.com/endivechute/endivechute/hold"
)

// Policy decides which requests start early and hears what becomes of them. It must be
// safe for use by several goroutines, and must not block.
type Policy interface {
	// MayStart reports whether a request without a body may start before the ones in
	// front of it on its connection have been answered.
	MayStart(r *http.Request) bool
	// Closing reports whether connections are closed after the next answer. Once true, it
	// stays so, and MayStart must return false from then on.
	Closing() bool
	// Share returns an empty share of the memory for buffered bytes, nil if there is no
	// limit.
	Share() *hold.Share
	// Started is called when a request starts early.
	Started()
	// Canceled is called when a request that started early is canceled before net/http
	// has reached it.
	Canceled()
}

// Server is the handler of an http.Server whose connections are pipelined. The
// http.Server must serve a listener that Listen returned and have ConnContext as its
// ConnContext and TrackState as its ConnState.
type Server struct {
	handler     http.Handler
	policy      Policy
	headerBytes int
}

// New returns a Server that has requests handled by the handler. headerBytes is the length
// up to which a request's head may start early.
func New(handler http.Handler, policy Policy, headerBytes int) *Server {
	return &Server{handler: handler, policy: policy, headerBytes: headerBytes}
}

// ServeHTTP implements http.Handler. It hands the ResponseWriter to the handler of the
// request if that has been started early, and calls the handler otherwise. It tells the
// client that the connection closes if the policy says so and no request behind this one
// has been started.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, found := r.Context().Value(connKey{}).(*conn)
	if !found {
		s.handler.ServeHTTP(w, r)
		return
	}
	started, closing := c.begin(r)
	defer c.end()
	if closing {
		w.Header().Set("Connection", "close")
	}
	if started == nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	started.handOver(w, r)
}

// Listen returns a listener whose connections are wrapped.
func (s *Server) Listen(l net.Listener) net.Listener { return listener{l, s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // servers compare it with net.ErrClosed
	}
	return newConn(accepted, l.server), nil
}

// connKey is the key of the wrapped connection in the context of its requests, and earlyKey
// the one that marks requests that were started early.
type (
	connKey  struct{}
	earlyKey struct{}
)

// ConnContext makes a wrapped connection reachable from the contexts of its requests.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	c, wrapped := accepted.(*conn)
	if !wrapped {
		return ctx
	}
	c.context = context.WithValue(ctx, connKey{}, c)
	return c.context
}

// IsEarly reports whether the context is that of a request that was started early.
func IsEarly(ctx context.Context) bool { return ctx.Value(earlyKey{}) != nil }

// TrackState returns a ConnState function that passes the state on for the connection
// that the wrapped listener accepted. A connection is not idle if bytes of the next request
// have been read from it.
func TrackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(accepted net.Conn, state http.ConnState) {
		c, wrapped := accepted.(*conn)
		if !wrapped {
			next(accepted, state)
			return
		}
		if state == http.StateIdle && c.hasAhead() {
			state = http.StateActive
		}
		next(c.Conn, state)
	}
}
