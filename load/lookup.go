package load

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
)

const (
	lookupTimeout  = 2 * time.Second
	connectionsMax = 2048
	// keyNumberShift is the number of low bits that count the keys of a run; the
	// higher bits are random, to keep the keys of runs apart.
	keyNumberShift = 20
	// routeMargin is the least remaining validity with which a route is used, and
	// the time between two attempts to refresh it.
	routeMargin = 100 * time.Millisecond
)

// route is the answer to a look-up. It is used until it expires; from refreshAt
// on it is refreshed.
type route struct {
	entries   []string
	keyPrefix string
	expires   time.Time
	refreshAt time.Time
}

// resolver looks up routes at entries and caches them, as callers do.
type resolver struct {
	seeds     []string
	mutex     sync.Mutex
	routes    map[place.Service]*route
	clients   map[string]*sender.Client
	keyNumber atomic.Uint64
	lookups   atomic.Int64
}

func newResolver(seeds []string, firstKeyNumber uint64) *resolver {
	r := &resolver{seeds: seeds, routes: map[place.Service]*route{}, clients: map[string]*sender.Client{}}
	r.keyNumber.Store(firstKeyNumber << keyNumberShift)
	return r
}

// client returns the client for an address, which keeps its connections open.
func (r *resolver) client(address string) *sender.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.clients[address]
	if c == nil {
		c = sender.New(place.Target(address), address, connectionsMax, sender.DialTCP)
		r.clients[address] = c
	}
	return c
}

func (r *resolver) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.clients {
		c.Close()
	}
}

// route returns a route that has not expired. Once comeBack has passed, one
// request refreshes it while the others use the cached one; if the refresh fails,
// the cached route is used until it expires.
func (r *resolver) route(ctx context.Context, service place.Service) (*route, error) {
	now := time.Now()
	r.mutex.Lock()
	cached := r.routes[service]
	fresh := cached != nil && now.Before(cached.refreshAt)
	usable := cached != nil && now.Add(routeMargin).Before(cached.expires)
	if usable && !fresh {
		postponed := *cached
		postponed.refreshAt = now.Add(routeMargin)
		r.routes[service] = &postponed
	}
	r.mutex.Unlock()
	if fresh && usable {
		return cached, nil
	}
	found, err := r.lookUp(ctx, service, cached)
	if err != nil && usable {
		return cached, nil //nolint:nilerr // the cached route has not expired
	}
	return found, err
}

// invalidate makes the next request look up the service again, first at the
// entries of the route, because one of them asked for it or is unreachable.
func (r *resolver) invalidate(service place.Service, used *route) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if cached := r.routes[service]; cached != nil && cached.keyPrefix == used.keyPrefix {
		expired := *cached
		expired.expires, expired.refreshAt = time.Time{}, time.Time{}
		r.routes[service] = &expired
	}
}

// lookUp asks the entries of the expired or stale route first, then the seeds,
// until one answers. Without a route it starts at a different seed each time.
func (r *resolver) lookUp(ctx context.Context, service place.Service, cached *route) (*route, error) {
	var lastErr error
	addresses := r.seeds
	if cached != nil {
		addresses = append(append([]string{}, cached.entries...), r.seeds...)
	}
	first := int(r.lookups.Add(1)) % len(r.seeds)
	if cached == nil {
		addresses = append(append([]string{}, r.seeds[first:]...), r.seeds[:first]...)
	}
	for _, address := range addresses {
		found, err := r.lookUpAt(ctx, address, service)
		if err == nil {
			r.mutex.Lock()
			r.routes[service] = found
			r.mutex.Unlock()
			return found, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Wrapf(lastErr, "look-up of service %s failed at %d entries", service, len(addresses))
}

func (r *resolver) lookUpAt(ctx context.Context, address string, service place.Service) (*route, error) {
	asked := time.Now()
	request := sender.NewRequest("GET", "/v1/lookup?service="+url.QueryEscape(string(service)), asked.Add(lookupTimeout))
	answer, err := r.client(address).Do(ctx, request)
	if err != nil {
		return nil, err
	}
	if answer.Status() != statusOK {
		return nil, errors.Newf("entry %s: look-up returned status %d: %.200s", address, answer.Status(), answer.Body())
	}
	var body struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		KeyPrefix        string `json:"key_prefix"`
		ExpiresInMillis  int64  `json:"expires_in_ms"`
		RetryAfterMillis int64  `json:"come_back_ms"`
	}
	if err := json.Unmarshal(answer.Body(), &body); err != nil {
		return nil, errors.Wrapf(err, "entry %s: invalid look-up answer", address)
	}
	if len(body.Entries) == 0 {
		return nil, errors.Newf("entry %s: the look-up answer lists no entries", address)
	}
	found := &route{keyPrefix: body.KeyPrefix, expires: asked.Add(millis(body.ExpiresInMillis)), refreshAt: asked.Add(millis(body.RetryAfterMillis))}
	for _, e := range body.Entries {
		found.entries = append(found.entries, e.Address)
	}
	return found, nil
}

// key returns a new key under the key prefix of a route.
func (r *resolver) key(prefix string) string {
	return prefix + "." + strconv.FormatUint(r.keyNumber.Add(1), 10)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
