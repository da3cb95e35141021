package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Timeouts of a connection.
const (
	// HelloTimeout bounds the wait for the peer's Hello.
	HelloTimeout = 2 * time.Second
	// FrameTimeout bounds the time to receive the rest of a frame after its first
	// byte, and the time to write a frame.
	FrameTimeout = 5 * time.Second
	// IdleTimeout is how long a server waits for the next frame before it closes
	// the connection.
	IdleTimeout = 30 * time.Second
	// cancelTimeout bounds how long a Cancel waits for space in the send queue.
	cancelTimeout = time.Millisecond
)

// ErrNotSent is in the chain of an error when no byte of the call was sent, so
// that the peer can't have acted on it.
var ErrNotSent = errors.New("the call was not sent")

// ErrClosed is in the chain of an error when the connection was closed before the
// answer arrived.
var ErrClosed = errors.New("the connection was closed")

// Client makes calls over one connection. It is safe for concurrent use.
type Client struct {
	conn   net.Conn
	peer   Hello
	tasks  conc.WaitGroup
	writer *frameWriter

	mu       sync.Mutex
	pending  map[uint64]chan Message
	lastCall uint64
	failure  error
}

// NewClient does the handshake, an exchange of Hello messages, over conn and
// returns a client. On error it closes conn, and the error holds ErrNotSent in
// its chain.
func NewClient(conn net.Conn, self Hello) (*Client, error) {
	client := &Client{conn: conn, writer: newFrameWriter(conn), pending: map[uint64]chan Message{}}
	reader := bufio.NewReader(conn)
	if err := client.handshake(reader, self); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(errors.Mark(err, ErrNotSent), "handshake with %s", conn.RemoteAddr())
	}
	client.tasks.Go(func() { client.readLoop(reader) })
	client.tasks.Go(client.writeLoop)
	return client, nil
}

func (c *Client) handshake(reader *bufio.Reader, self Hello) error {
	if err := c.conn.SetDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline")
	}
	self.Version = Version
	if err := writeNow(c.conn, 0, 0, &self); err != nil {
		return err
	}
	answer, err := readMessage(reader)
	if err != nil {
		return err
	}
	hello, ok := answer.message.(*Hello)
	if !ok {
		return errors.Wrapf(ErrProtocol, "received a message of kind %d; want Hello", answer.message.kind())
	}
	if hello.Version != Version {
		return errors.Newf("the peer's protocol version is %d; this process uses version %d", hello.Version, Version)
	}
	c.peer = *hello
	return errors.Wrap(c.conn.SetDeadline(time.Time{}), "clear the deadline")
}

// Peer returns the Hello of the peer.
func (c *Client) Peer() Hello { return c.peer }

// Err returns why the connection is no longer usable, or nil if it is usable.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Close closes the connection, fails all pending calls, and waits for the
// client's goroutines.
func (c *Client) Close() {
	c.fail(errors.Wrap(ErrClosed, "closed by this process"))
	c.tasks.Wait()
}

// Call sends a message and waits for the answer. If ctx ends first, it sends a
// Cancel to the peer. The error holds ErrNotSent in its chain if nothing was
// sent; otherwise the peer may have acted on the call.
func (c *Client) Call(ctx context.Context, message Message) (Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "call"), ErrNotSent)
	}
	number, answers, err := c.register()
	if err != nil {
		return nil, err
	}
	defer c.unregister(number)
	if err := c.writer.send(ctx, 0, number, message); err != nil {
		return nil, err
	}
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, c.Err()
		}
		return answer, nil
	case <-ctx.Done():
		c.sendCancel(number)
		return nil, errors.Wrap(ctx.Err(), "wait for the answer")
	}
}

// sendCancel queues a Cancel for the call. If the queue stays full for
// cancelTimeout, because the peer doesn't read, the Cancel is dropped.
func (c *Client) sendCancel(number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.writer.send(ctx, 0, number, &Cancel{})
}

func (c *Client) register() (uint64, chan Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, nil, errors.Mark(c.failure, ErrNotSent)
	}
	c.lastCall++
	answers := make(chan Message, 1)
	c.pending[c.lastCall] = answers
	return c.lastCall, answers, nil
}

func (c *Client) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *Client) readLoop(reader *bufio.Reader) {
	for {
		received, err := readMessage(reader)
		if err != nil {
			c.fail(errors.Mark(err, ErrClosed))
			return
		}
		c.deliver(received)
	}
}

func (c *Client) writeLoop() {
	if err := c.writer.run(); err != nil {
		c.fail(errors.Mark(err, ErrClosed))
	}
}

func (c *Client) deliver(received received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, waiting := c.pending[received.call]
	if !waiting {
		return
	}
	delete(c.pending, received.call)
	answers <- received.message
}

func (c *Client) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return
	}
	c.failure = err
	close(c.writer.done)
	_ = c.conn.Close()
	for number, answers := range c.pending {
		delete(c.pending, number)
		close(answers)
	}
}

// received is a decoded message with the call number and the answer flag of its
// frame.
type received struct {
	call     uint64
	isAnswer bool
	message  Message
}

func readMessage(reader *bufio.Reader) (received, error) {
	f, err := readFrame(reader)
	if err != nil {
		return received{}, err
	}
	message, err := unmarshal(f)
	if err != nil {
		return received{}, err
	}
	return received{call: f.call, isAnswer: f.flags&flagAnswer != 0, message: message}, nil
}
