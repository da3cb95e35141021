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
	// routeTimeout is the timeout of both routes. clientTimeout, after which a
	// client gives up, is longer, so that a late answer is seen as late.
	routeTimeout   = time.Second
	clientTimeout  = 2500 * time.Millisecond
	connectTimeout = time.Second
	// cancelShare is the share of calls that the client cancels after
	// cancelAfter instead of waiting for the answer.
	cancelAfter = 8 * time.Millisecond
	cancelShare = 0.1
	// staleLookupShare is the share of clients that use the result of a look-up
	// for three times its validity.
	staleLookupShare = 0.3
	thinkTime        = 20 * time.Millisecond
	objectCount      = 40
)

// client sends requests to the instances, one at a time, until the run ends.
type client struct {
	testbed        *testbed
	name           string
	zone           string
	random         *rand.Rand
	transport      *http.Transport
	addresses      []string
	unreachable    map[string]bool
	validUntil     time.Time
	validityFactor time.Duration
}

func newClient(w *testbed, name, zone string, random *rand.Rand) *client {
	c := &client{testbed: w, name: name, zone: zone, random: random, validityFactor: 1, unreachable: map[string]bool{}}
	if random.Float64() < staleLookupShare {
		c.validityFactor = 3
	}
	c.transport = &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, DisableCompression: true}
	return c
}

func (c *client) run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		c.refreshAddresses(ctx)
		usable := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.unreachable[a] })
		if len(usable) == 0 {
			usable = c.addresses
		}
		if len(usable) > 0 {
			c.call(fmt.Sprintf("%s-%d", c.name, i), usable[c.random.IntN(len(usable))])
		}
		time.Sleep(thinkTime/2 + time.Duration(c.random.Int64N(int64(thinkTime))))
	}
}

// refreshAddresses makes a new look-up once the last one has expired, at the
// instances of the client's own zone first.
func (c *client) refreshAddresses(ctx context.Context) {
	if time.Now().Before(c.validUntil) {
		return
	}
	const instancesAsked = 3
	nodes := slices.Clone(c.testbed.nodes)
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b *node) int { return zoneDistance(c.zone, a) - zoneDistance(c.zone, b) })
	for _, n := range nodes[:min(instancesAsked, len(nodes))] {
		addresses, valid := lookUp(ctx, n.LookupURL())
		if len(addresses) > 0 {
			c.addresses, c.validUntil = addresses, time.Now().Add(time.Duration(valid*float64(c.validityFactor)*float64(time.Second)))
			clear(c.unreachable)
			return
		}
	}
}

func zoneDistance(zone string, n *node) int {
	switch {
	case n.Zone == zone:
		return 0
	case n.Zone[:1] == zone[:1]:
		return 1
	}
	return 2
}

// lookUp makes one look-up and returns its addresses and for how many seconds
// they are valid. It returns no addresses if the look-up fails.
func lookUp(ctx context.Context, url string) ([]string, float64) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
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

// call sends one request and records its outcome.
func (c *client) call(id, address string) {
	made := &call{id: id, atMostOnce: c.random.IntN(3) == 0, node: c.testbed.nodeByAddress[address], begun: c.testbed.record.now()}
	path, wait := "/read/x", clientTimeout
	if made.atMostOnce {
		path = "/write/x"
	}
	if c.random.Float64() < cancelShare {
		wait = cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			c.testbed.record.update(func() { made.sent = c.testbed.record.now() })
		}
	}})
	c.testbed.record.update(func() { c.testbed.record.calls = append(c.testbed.record.calls, made) })
	status, body, err := c.send(ctx, address, path, id)
	c.testbed.record.update(func() {
		made.status, made.body, made.err, made.ended = status, body, err, c.testbed.record.now()
		made.canceled = err != nil && ctx.Err() != nil
	})
	if err != nil && !made.canceled {
		c.unreachable[address] = true
	}
}

func (c *client) send(ctx context.Context, address, path, id string) (int, string, error) {
	object := fmt.Sprint("object", c.random.IntN(objectCount))
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
		body = []byte("an answer with the request ID " + echo)
	}
	return response.StatusCode, string(body), err
}
