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

// CallsMax is how many calls of one connection are served at once; further
// frames are not read before one of them ends.
const CallsMax = 4096

// Handler answers the calls of other processes. It is called by several
// goroutines at once. ctx ends when the caller cancels or the connection ends.
type Handler interface {
	Handle(ctx context.Context, peer Hello, message Message) Message
}

// Server accepts connections of other processes.
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

// NewServer makes a server that answers on listener with handler.
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
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		s.tasks.Go(func() { s.serve(conn) })
	}
}

// Close ends the listener and every connection, and waits for the running
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

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	reader := bufio.NewReader(conn)
	session := &session{server: s, conn: conn, out: newSender(conn), cancels: map[uint64]context.CancelFunc{}, slots: make(chan struct{}, CallsMax)}
	if err := session.hello(reader); err != nil {
		s.log.WithError(err).WithField("address", conn.RemoteAddr().String()).Warn("A connection is refused.")
		return
	}
	s.tasks.Go(session.write)
	defer close(session.out.done)
	if err := session.run(reader); err != nil && errors.Is(err, ErrFrame) {
		s.log.WithError(err).WithField("instance", session.peer.Instance).Warn("A connection broke the protocol.")
	}
}

// session is the server's side of one connection.
type session struct {
	server *Server
	conn   net.Conn
	peer   Hello
	out    *sender
	slots  chan struct{}

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (s *session) hello(reader *bufio.Reader) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline")
	}
	received, err := readMessage(reader)
	if err != nil {
		return err
	}
	hello, ok := received.message.(*Hello)
	if !ok {
		return errors.Wrapf(ErrFrame, "kind %d came first; want a hello", received.message.kind())
	}
	s.peer = *hello
	if err := writeNow(s.conn, flagAnswer, received.call, &s.server.self); err != nil {
		return err
	}
	if hello.Version != Version {
		return errors.Newf("the peer speaks version %d of the protocol, this process %d", hello.Version, Version)
	}
	return nil
}

func (s *session) run(reader *bufio.Reader) error {
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
			s.cancel(received.call)
			continue
		}
		s.slots <- struct{}{}
		s.begin(ctx, received)
	}
}

// awaitFrame waits for the first byte of a frame and then gives the rest of it
// FrameTimeout to come.
func awaitFrame(conn net.Conn, reader *bufio.Reader) error {
	if err := conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline")
	}
	if _, err := reader.Peek(1); err != nil {
		return errors.Wrap(err, "wait for a frame")
	}
	return errors.Wrap(conn.SetReadDeadline(time.Now().Add(FrameTimeout)), "set the deadline")
}

func (s *session) begin(parent context.Context, received received) {
	ctx, cancel := context.WithCancel(parent)
	s.mu.Lock()
	s.cancels[received.call] = cancel
	s.mu.Unlock()
	s.server.tasks.Go(func() {
		defer func() { <-s.slots }()
		defer s.cancel(received.call)
		answer := s.server.handler.Handle(ctx, s.peer, received.message)
		if answer == nil {
			return
		}
		s.answer(parent, received.call, answer)
	})
}

// answer queues an answer. One that is too large is replaced by a refusal, so
// that the other side doesn't wait for it.
func (s *session) answer(ctx context.Context, call uint64, answer Message) {
	err := s.out.send(ctx, flagAnswer, call, answer)
	if errors.Is(err, ErrFrame) {
		refused := &Refused{Text: err.Error(), Reason: errs.ReasonCutAnswer}
		_ = s.out.send(ctx, flagAnswer, call, refused)
	}
}

func (s *session) write() {
	if err := s.out.run(); err != nil {
		_ = s.conn.Close()
	}
}

func (s *session) cancel(call uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[call]; ok {
		cancel()
		delete(s.cancels, call)
	}
}
