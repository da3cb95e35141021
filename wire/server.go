package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
)

// ConcurrentCallsMax is the maximum number of concurrent calls on one
// connection. At the limit, the server reads no further frames until a call
// ends.
const ConcurrentCallsMax = 4096

// Handler answers the calls of other processes. Handle is called concurrently and
// may return nil to send no answer. ctx ends when the caller cancels the call or
// the connection is closed.
type Handler interface {
	Handle(ctx context.Context, peer Hello, message Message) Message
}

// Server accepts connections from other processes and serves their calls.
type Server struct {
	self     Hello
	handler  Handler
	log      *logrus.Logger
	listener net.Listener
	tasks    conc.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server that accepts connections on listener and passes the
// calls to handler.
func NewServer(listener net.Listener, self Hello, handler Handler, log *logrus.Logger) *Server {
	self.Version = Version
	return &Server{self: self, handler: handler, log: log, listener: listener, conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		s.tasks.Go(func() { s.serveConn(conn) })
	}
}

// Close closes the listener and all connections, and waits for the running
// calls.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrack(conn)
	reader := bufio.NewReader(conn)
	session := &session{server: s, conn: conn, writer: newFrameWriter(conn), cancels: map[uint64]context.CancelFunc{}, slots: make(chan struct{}, ConcurrentCallsMax)}
	if err := session.handshake(reader); err != nil {
		s.log.WithError(err).WithField("address", conn.RemoteAddr().String()).Warn("Rejected a connection: the handshake failed.")
		return
	}
	s.tasks.Go(session.writeLoop)
	defer close(session.writer.done)
	if err := session.readLoop(reader); err != nil && errors.Is(err, ErrProtocol) {
		s.log.WithError(err).WithField("instance", session.peer.Instance).Warn("Closed a connection after a protocol violation.")
	}
}

// session is the server side of one connection.
type session struct {
	server *Server
	conn   net.Conn
	peer   Hello
	writer *frameWriter
	slots  chan struct{}

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (s *session) handshake(reader *bufio.Reader) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline")
	}
	received, err := readMessage(reader)
	if err != nil {
		return err
	}
	hello, ok := received.message.(*Hello)
	if !ok {
		return errors.Wrapf(ErrProtocol, "the first message is of kind %d; want Hello", received.message.kind())
	}
	s.peer = *hello
	if err := writeNow(s.conn, flagAnswer, received.call, &s.server.self); err != nil {
		return err
	}
	if hello.Version != Version {
		return errors.Newf("the peer's protocol version is %d; this process uses version %d", hello.Version, Version)
	}
	return nil
}

func (s *session) readLoop(reader *bufio.Reader) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		if err := awaitFrame(s.conn, reader); err != nil {
			return err
		}
		received, err := readMessage(reader)
		if err != nil {
			return err
		}
		if _, ok := received.message.(*Cancel); ok {
			s.cancelCall(received.call)
			continue
		}
		s.slots <- struct{}{}
		s.startCall(ctx, received)
	}
}

// awaitFrame waits up to IdleTimeout for the first byte of a frame and then sets
// the read deadline for the rest of it to FrameTimeout from now.
func awaitFrame(conn net.Conn, reader *bufio.Reader) error {
	if err := conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline")
	}
	if _, err := reader.Peek(1); err != nil {
		return errors.Wrap(err, "wait for a frame")
	}
	return errors.Wrap(conn.SetReadDeadline(time.Now().Add(FrameTimeout)), "set the deadline")
}

func (s *session) startCall(parent context.Context, received received) {
	ctx, cancel := context.WithCancel(parent)
	s.mu.Lock()
	s.cancels[received.call] = cancel
	s.mu.Unlock()
	s.server.tasks.Go(func() {
		defer func() { <-s.slots }()
		defer s.cancelCall(received.call)
		answer := s.server.handler.Handle(ctx, s.peer, received.message)
		if answer == nil {
			return
		}
		s.sendAnswer(parent, received.call, answer)
	})
}

// sendAnswer queues an answer. An answer that is too large for a frame is replaced
// by a Refused, so that the caller doesn't wait for it in vain.
func (s *session) sendAnswer(ctx context.Context, call uint64, answer Message) {
	err := s.writer.send(ctx, flagAnswer, call, answer)
	if errors.Is(err, ErrProtocol) {
		refused := &Refused{Text: err.Error(), Reason: errs.ReasonCutAnswer}
		_ = s.writer.send(ctx, flagAnswer, call, refused)
	}
}

func (s *session) writeLoop() {
	if err := s.writer.run(); err != nil {
		_ = s.conn.Close()
	}
}

func (s *session) cancelCall(call uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[call]; ok {
		cancel()
		delete(s.cancels, call)
	}
}
