package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// call is one client attempt and what became of it.
type call struct {
	id, address string
	sent, ended time.Time
	// kept is true if the connection had carried a request before.
	kept          bool
	status        int
	stamped, full bool
	retryAfter    string
	err           error
}

// String describes what the client got.
func (c call) String() string {
	if c.err != nil {
		return fmt.Sprintf("no answer (%v)", c.err)
	}
	return fmt.Sprintf("status %d, stamp %v", c.status, c.stamped)
}

// client sends requests to one address over one kept connection.
type client struct {
	record  *record
	address string
	wait    time.Duration
	// halfCloses makes it close its side of the connection after a request, because it
	// sends no other one there.
	halfCloses bool
	conn       net.Conn
	reader     *bufio.Reader
	carried    int
}

// connect opens a connection unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	c.conn, c.reader, c.carried = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send writes a request with a body, a POST, or without one.
func (c *client) send(id, path, body string) (call, error) {
	if err := c.connect(); err != nil {
		return call{}, err
	}
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	made := call{id: id, address: c.address, sent: time.Now(), kept: c.carried > 0}
	c.carried++
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, hostName, headerID, id, headerDeadline, c.wait.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.record.line("sent", "request %s, %s %s, to %s", id, method, path, c.address)
	_, err := io.WriteString(c.conn, text+"\r\n"+body)
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.halfCloses && err == nil {
		err = tcp.CloseWrite()
	}
	return made, errors.Wrap(err, "send")
}

// receive reads the answer to a request.
func (c *client) receive(made call) call {
	_ = c.conn.SetReadDeadline(made.sent.Add(c.wait))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		made.status, made.stamped, made.retryAfter = response.StatusCode, response.Header.Get(headerStamp) != "", response.Header.Get("Retry-After")
		made.full = string(body) == answerTo(made.id)
	}
	made.err, made.ended = err, time.Now()
	if err != nil || response.Close || c.halfCloses {
		c.close()
	}
	c.record.line("answered", "request %s: %v", made.id, made)
	return made
}

// do sends a request and reads the answer.
func (c *client) do(id, path, body string) call {
	made, err := c.send(id, path, body)
	if err != nil {
		made.err, made.ended = err, time.Now()
		c.close()
		return made
	}
	return c.receive(made)
}

// orderBody is the body of a request that runs at most once.
var orderBody = strings.Repeat("x", 300)

// lookup is the answer to a client's question where to connect.
type lookup struct {
	Addresses []string `json:"addresses"`
	Seconds   float64  `json:"ttl_s"`
	at        time.Time
}

// lookUp asks the instances in random order, one second each, until one answers.
func (f *fleet) lookUp() (lookup, error) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	err := errors.New("there is no instance")
	for _, i := range rand.Perm(len(f.nodes)) {
		var found lookup
		if found, err = f.lookUpAt(&client, f.nodes[i]); err == nil && len(found.Addresses) > 0 {
			return found, nil
		}
	}
	return lookup{}, err
}

func (f *fleet) lookUpAt(client *http.Client, n *node) (lookup, error) {
	found := lookup{at: time.Now()}
	target := fmt.Sprintf("http://%s/-/resolve?name=%s&region=%s&zone=%s", n.address(portDirectory), hostName, region, n.zone)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, target, http.NoBody)
	if err != nil {
		return found, errors.Wrap(err, "make a request")
	}
	response, err := client.Do(request)
	if err != nil {
		return found, errors.Wrap(err, "look up")
	}
	defer func() { _ = response.Body.Close() }()
	return found, errors.Wrap(json.NewDecoder(response.Body).Decode(&found), "look up")
}
