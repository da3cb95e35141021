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

// Times of a connection.
const (
	// HelloTimeout bounds the exchange of the Hello messages.
	HelloTimeout = 2 * time.Second
	// FrameTimeout bounds how long the rest of a frame may take to come, or a
	// frame to be written, once it has begun.
	FrameTimeout = 5 * time.Second
	// IdleTimeout ends a connection on which nothing comes.
	IdleTimeout = 30 * time.Second
	// cancelTimeout bounds how long a Cancel waits for room in the queue.
	cancelTimeout = time.Millisecond
)

// ErrNotSent is in the chain of an error when no byte of the call left this
// process, so that the other side can't have acted on it.
var ErrNotSent = errors.New("the call was not sent")

// ErrClosed is in the chain of an error when the connection ended before the
// answer came.
var ErrClosed = errors.New("the connection ended")

// Client makes calls over one connection. It is safe for use by several
// goroutines at once.
type Client struct {
	conn  net.Conn
	peer  Hello
	tasks conc.WaitGroup
	out   *sender

	mu      sync.Mutex
	calls   map[uint64]chan Message
	last    uint64
	failure error
}

// NewClient exchanges Hello messages over conn and returns a client. On error
// conn is closed.
func NewClient(conn net.Conn, self Hello) (*Client, error) {
	client := &Client{conn: conn, out: newSender(conn), calls: map[uint64]chan Message{}}
	reader := bufio.NewReader(conn)
	if err := client.hello(reader, self); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(errors.Mark(err, ErrNotSent), "hello to %s", conn.RemoteAddr())
	}
	client.tasks.Go(func() { client.read(reader) })
	client.tasks.Go(client.write)
	return client, nil
}

func (c *Client) hello(reader *bufio.Reader, self Hello) error {
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
		return errors.Wrapf(ErrFrame, "kind %d came; want a hello", answer.message.kind())
	}
	if hello.Version != Version {
		return errors.Newf("the peer speaks version %d of the protocol, this process %d", hello.Version, Version)
	}
	c.peer = *hello
	return errors.Wrap(c.conn.SetDeadline(time.Time{}), "clear the deadline")
}

// Peer returns the Hello of the other side.
func (c *Client) Peer() Hello { return c.peer }

// Failed returns why the connection can't be used any more, or nil.
func (c *Client) Failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Close ends the connection and every call on it, and waits for its reader.
func (c *Client) Close() {
	c.fail(errors.Wrap(ErrClosed, "closed by this process"))
	c.tasks.Wait()
}

// Call sends a message and waits for its answer. When ctx ends first, the
// other side is asked to cancel. An error holds ErrNotSent in its chain if
// nothing was sent; otherwise the other side may have acted on the call.
func (c *Client) Call(ctx context.Context, message Message) (Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "call"), ErrNotSent)
	}
	number, answers, err := c.begin()
	if err != nil {
		return nil, err
	}
	defer c.end(number)
	if err := c.out.send(ctx, 0, number, message); err != nil {
		return nil, err
	}
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, c.Failed()
		}
		return answer, nil
	case <-ctx.Done():
		c.cancel(number)
		return nil, errors.Wrap(ctx.Err(), "wait for the answer")
	}
}

// cancel asks the other side to give up a call. It doesn't wait: a peer that
// reads nothing can't be asked.
func (c *Client) cancel(number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.out.send(ctx, 0, number, &Cancel{})
}

func (c *Client) begin() (uint64, chan Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, nil, errors.Mark(c.failure, ErrNotSent)
	}
	c.last++
	answers := make(chan Message, 1)
	c.calls[c.last] = answers
	return c.last, answers, nil
}

func (c *Client) end(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

func (c *Client) read(reader *bufio.Reader) {
	for {
		received, err := readMessage(reader)
		if err != nil {
			c.fail(errors.Mark(err, ErrClosed))
			return
		}
		c.deliver(received)
	}
}

func (c *Client) write() {
	if err := c.out.run(); err != nil {
		c.fail(errors.Mark(err, ErrClosed))
	}
}

func (c *Client) deliver(received received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, waiting := c.calls[received.call]
	if !waiting {
		return
	}
	delete(c.calls, received.call)
	answers <- received.message
}

func (c *Client) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return
	}
	c.failure = err
	close(c.out.done)
	_ = c.conn.Close()
	for number, answers := range c.calls {
		delete(c.calls, number)
		close(answers)
	}
}

// received is a message as it came off a connection.
type received struct {
	call    uint64
	answer  bool
	message Message
}

func readMessage(reader *bufio.Reader) (received, error) {
	f, err := readFrame(reader)
	if err != nil {
		return received{}, err
	}
	message, err := unpack(f)
	if err != nil {
		return received{}, err
	}
	return received{call: f.call, answer: f.flags&flagAnswer != 0, message: message}, nil
}
