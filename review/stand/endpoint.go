package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/platform/fakes"
)

// Headers of the platform's protocol.
const (
	headerID       = "X-Request-Id"
	headerStamp    = "X-Response-Stamp"
	headerDeadline = "X-Deadline-Ms"
	headerLoad     = "X-Instance-Load"
	headerInstance = "X-Instance-Id"
)

const (
	kindConfig  = "config"
	kindServers = "servers"
	healthPath  = "/health"
)

// endpointSpec is what an endpoint is.
type endpointSpec struct {
	service, zone string
	// slots is how many requests it runs at once; twice as many may wait.
	slots int
	// work returns how long it works on a request.
	work func(*http.Request) time.Duration
	// bytes is the length of its answers, 0 for short ones.
	bytes int
	// shed, if not nil, reports whether it rejects a request as if it were full.
	shed func() bool
}

// endpoint is a stand-in of an endpoint. It works on a request for a time, up to the
// request's deadline, and drops it when its connection closes.
type endpoint struct {
	endpointSpec
	id      string
	record  *record
	server  *http.Server
	address string
	taken   chan struct{}
	waiting atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

func newEndpoint(r *record, id string, spec endpointSpec) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as an endpoint")
	}
	e := &endpoint{endpointSpec: spec, id: id, record: r, address: listener.Addr().String(), taken: make(chan struct{}, spec.slots), runs: map[string]int{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// newEndpoints starts endpoints and registers them in the store. Those that it returns
// have to be closed even if it fails.
func (f *fleet) newEndpoints(count int, spec endpointSpec) ([]*endpoint, error) {
	var endpoints []*endpoint
	for i := range count {
		e, err := newEndpoint(f.record, fmt.Sprint("i-", i+1), spec)
		if err != nil {
			return endpoints, err
		}
		e.register(f.store)
		endpoints = append(endpoints, e)
	}
	return endpoints, nil
}

func closeAll(endpoints []*endpoint) {
	for _, e := range endpoints {
		_ = e.server.Close()
	}
}

// runsOf returns how often endpoints began to work on a request.
func runsOf(endpoints []*endpoint, id string) int {
	total := 0
	for _, e := range endpoints {
		e.mu.Lock()
		total += e.runs[id]
		e.mu.Unlock()
	}
	return total
}

// register writes the endpoint's entry to the store.
func (e *endpoint) register(store *fakes.Store) {
	store.Put(kindServers, e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","max_concurrency":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		e.service, e.address, e.zone, e.slots, e.record.began.UnixMilli()))
}

// queueFactor is how many requests may wait for each slot.
const queueFactor = 2

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	// The server notices that the connection closes only after it has read the body.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(headerInstance, e.id)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(e.taken), e.waiting.Load(), e.slots))
	if r.URL.Path == healthPath {
		return
	}
	w.Header().Set(headerID, id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if left, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	if e.shed != nil && e.shed() || !e.takeSlot(ctx) {
		e.record.line("rejected", "request %s by endpoint %s, not run", id, e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.taken }()
	e.serve(ctx, w, r, id)
}

// takeSlot waits for a slot and reports whether there was one before ctx ended.
func (e *endpoint) takeSlot(ctx context.Context) bool {
	select {
	case e.taken <- struct{}{}:
		return true
	default:
	}
	defer e.waiting.Add(-1)
	if e.waiting.Add(1) > int64(queueFactor*e.slots) {
		return false
	}
	select {
	case e.taken <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve works on a request and answers it.
func (e *endpoint) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.record.line("ran", "request %s at endpoint %s", id, e.id)
	status := http.StatusOK
	select {
	case <-time.After(e.work(r)):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	if r.Context().Err() != nil {
		e.record.line("dropped", "request %s by endpoint %s, because its connection closed", id, e.id)
		return
	}
	body := answerTo(id)
	if e.bytes > 0 {
		body = sheet[:e.bytes]
	}
	w.Header().Set(headerStamp, "stamp."+e.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	e.record.line("done", "request %s by endpoint %s with status %d", id, e.id, status)
}

func answerTo(id string) string { return "answer to " + id }

// routeSpec is one route of a configuration.
type routeSpec struct {
	name, prefix, kind, service string
	timeout, aim                time.Duration
}

func (r routeSpec) json() string {
	return fmt.Sprintf(`{"name":%q,"path_prefix":%q,"type":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,"max_attempts":2,"session_affinity":true,"allowed_regions":[]}`,
		r.name, r.prefix, r.kind, r.timeout.Milliseconds(), r.aim.Milliseconds(), r.service)
}

// The host of all routes, and the prefix of the one whose requests run at most once.
const (
	hostName  = "hulo84.example"
	pathOrder = "/order/"
	// kindOnce is the type of a route whose requests may run at most once.
	kindOnce = "non_idempotent"
)

// configuration returns a configuration of one host.
func configuration(version int, services []string, routes []routeSpec) string {
	listed, paths := make([]string, 0, len(services)), make([]string, 0, len(routes))
	for _, service := range services {
		listed = append(listed, fmt.Sprintf(`{"name":%q,"health_path":%q,"max_connections":660,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":3.7}`, service, healthPath))
	}
	for _, r := range routes {
		paths = append(paths, r.json())
	}
	return fmt.Sprintf(`{"version":%d,"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[{"host":%q,"paths":[%s]}]}`,
		version, strings.Join(listed, ","), hostName, strings.Join(paths, ","))
}
