// Package stub simulates targets for tests and load runs. A simulated target runs a
// limited number of requests concurrently, queues or sheds the rest, takes a fixed
// time for each request, logs what it ran and injects faults on demand.
package stub

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/place"
)

const (
	headerTimeout = 10 * time.Second
	bodyBytesMax  = 1 << 20
)

// TargetConfig is the name of a target and the address that it listens on.
type TargetConfig struct {
	Name    place.Target
	Address string
}

// Config describes the targets that a Stub simulates. Apart from name and address
// they are identical.
type Config struct {
	Service place.Service
	Zone    place.Zone
	Targets []TargetConfig
	// Slots is the maximum number of requests that a target runs concurrently.
	Slots int
	// Queue is the maximum number of requests that wait for a slot of a target.
	// With 0 the target rejects requests immediately when all slots are in use.
	Queue int
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
}

// Stub simulates the targets of a Config.
type Stub struct {
	config  Config
	logger  *logrus.Logger
	targets map[place.Target]*target
	serving conc.WaitGroup
}

// New returns a Stub that does not listen yet.
func New(config Config, logger *logrus.Logger) *Stub {
	s := &Stub{config: config, logger: logger, targets: map[place.Target]*target{}}
	for _, t := range config.Targets {
		s.targets[t.Name] = newTarget(t.Name, config)
	}
	return s
}

// Listen listens on the address of every target and serves it until Close. On error
// it closes the Stub; the error names the target and its address.
func (s *Stub) Listen() error {
	for _, t := range s.config.Targets {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", t.Address)
		if err != nil {
			s.Close()
			return errors.Wrapf(err, "target %s: listen on %s", t.Name, t.Address)
		}
		s.serve(s.targets[t.Name], listener)
	}
	return nil
}

// serve uses net/http, and not fasthttp as elsewhere, because a target has to
// cancel a request when its connection is closed, which fasthttp does not detect.
func (s *Stub) serve(t *target, listener net.Listener) {
	t.address = listener.Addr().String()
	t.start = func(listener net.Listener) {
		server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout, ConnState: t.trackConnection}
		t.server = server
		s.serving.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				s.logger.WithError(err).Errorf("Target %s stopped serving.", t.name)
			}
		})
	}
	t.start(listener)
	s.logger.Infof("Target %s listens on %s.", t.name, t.address)
}

// Addr returns the address that a target listens on.
func (s *Stub) Addr(name place.Target) string { return s.targets[name].address }

// Close closes all listeners and connections and waits for the servers to stop.
func (s *Stub) Close() {
	for _, t := range s.targets {
		t.close()
	}
	s.serving.Wait()
}

// crash closes the port and all connections of the target, and opens the port again
// after crashTime.
func (t *target) crash() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.down || t.closed {
		return
	}
	t.down = true
	// Close waits for the lock, which trackConnection takes.
	go func(server *http.Server) { _ = server.Close() }(t.server)
	time.AfterFunc(crashTime, t.restart)
}

func (t *target) restart() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", t.address)
	if err != nil {
		time.AfterFunc(crashTime, t.restart)
		return
	}
	t.down = false
	t.start(listener)
}

func (t *target) close() {
	t.mutex.Lock()
	server := t.server
	t.closed = true
	t.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// target is a simulated target. mutex guards the fields below it.
type target struct {
	name        place.Target
	service     place.Service
	serviceTime time.Duration
	queueMax    int
	slotsMax    int
	slots       chan struct{}
	address     string
	// start serves the listener.
	start func(net.Listener)

	mutex  sync.Mutex
	server *http.Server
	// down is true after a crash, closed after Close.
	down, closed bool
	faults       Faults
	coldUntil    time.Time
	leavingAt    time.Time
	frozenLoad   loadReport
	waiting      int
	running      int
	mostRunning  int
	shed         int
	connections  map[net.Conn]bool
	log          []Execution
}

func newTarget(name place.Target, config Config) *target {
	return &target{
		name:        name,
		service:     config.Service,
		serviceTime: config.ServiceTime,
		queueMax:    config.Queue,
		slotsMax:    config.Slots,
		slots:       make(chan struct{}, config.Slots),
		connections: map[net.Conn]bool{},
	}
}

func (t *target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /control/log", t.serveLog)
	mux.HandleFunc("POST /control/faults", t.serveFaults)
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

func (t *target) trackConnection(conn net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch state {
	case http.StateNew:
		t.connections[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.connections, conn)
	default:
	}
}
