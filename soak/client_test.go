package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	// routeTimeout is the time-out of both routes, and clientTimeout how long a
	// client waits, which is longer so that an overstayed route shows.
	routeTimeout  = time.Second
	clientTimeout = 2500 * time.Millisecond
	connectTime   = time.Second
	// leaveAfter is when a client leaves that does not wait for its answer, and
	// leaveShare the part of the calls in which one does so.
	leaveAfter = 8 * time.Millisecond
	leaveShare = 0.1
	// staleShare is the part of the clients that use a look-up three times as
	// long as it says.
	staleShare = 0.3
	thinkTime  = 20 * time.Millisecond
	objects    = 40
)

// client is one user of the system.
type client struct {
	world     *world
	name      string
	zone      string
	random    *rand.Rand
	transport *http.Transport
	addresses []string
	failed    map[string]bool
	until     time.Time
	stale     time.Duration
}

func newClient(w *world, name, zone string, random *rand.Rand) *client {
	c := &client{world: w, name: name, zone: zone, random: random, stale: 1, failed: map[string]bool{}}
	if random.Float64() < staleShare {
		c.stale = 3
	}
	c.transport = &http.Transport{DialContext: (&net.Dialer{Timeout: connectTime}).DialContext, DisableCompression: true}
	return c
}

func (c *client) run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		c.look(ctx)
		usable := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.failed[a] })
		if len(usable) == 0 {
			usable = c.addresses
		}
		if len(usable) > 0 {
			c.call(fmt.Sprintf("%s-%d", c.name, i), usable[c.random.IntN(len(usable))])
		}
		time.Sleep(thinkTime/2 + time.Duration(c.random.Int64N(int64(thinkTime))))
	}
}

// look asks where to connect, the instances of the client's own zone first.
func (c *client) look(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	const asked = 3
	nodes := slices.Clone(c.world.nodes)
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b *node) int { return far(c.zone, a) - far(c.zone, b) })
	for _, n := range nodes[:min(asked, len(nodes))] {
		addresses, valid := ask(ctx, n.LookupURL())
		if len(addresses) > 0 {
			c.addresses, c.until = addresses, time.Now().Add(time.Duration(valid*float64(c.stale)*float64(time.Second)))
			clear(c.failed)
			return
		}
	}
}

func far(zone string, n *node) int {
	switch {
	case n.Zone == zone:
		return 0
	case n.Zone[:1] == zone[:1]:
		return 1
	}
	return 2
}

// ask makes one look-up and returns its addresses and for how many seconds they
// may be used.
func ask(ctx context.Context, url string) ([]string, float64) {
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, 0
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var reply fakes.Lookup
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return nil, 0
	}
	return reply.Addresses, reply.Seconds
}

// call sends one request and records what becomes of it.
func (c *client) call(id, address string) {
	made := &call{id: id, once: c.random.IntN(3) == 0, node: c.world.owner[address], begun: c.world.record.now()}
	path, wait := "/read/x", clientTimeout
	if made.once {
		path = "/write/x"
	}
	if c.random.Float64() < leaveShare {
		wait = leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			c.world.record.note(func() { made.sent = c.world.record.now() })
		}
	}})
	c.world.record.note(func() { c.world.record.calls = append(c.world.record.calls, made) })
	status, body, err := c.exchange(ctx, address, path, id)
	c.world.record.note(func() {
		made.status, made.body, made.err, made.ended = status, body, err, c.world.record.now()
		made.left = err != nil && ctx.Err() != nil
	})
	if err != nil && !made.left {
		c.failed[address] = true
	}
}

func (c *client) exchange(ctx context.Context, address, path, id string) (int, string, error) {
	object := fmt.Sprint("object", c.random.IntN(objects))
	request, err := fakes.NewRequest(ctx, http.MethodPost, address, path, id, object, "body of "+id, int(clientTimeout.Milliseconds()))
	if err != nil {
		return 0, "", err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if echo := fakes.RequestID(response.Header); err == nil && echo != id {
		body = []byte("an answer that bears the id " + echo)
	}
	return response.StatusCode, string(body), err
}
