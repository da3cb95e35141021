// Package stub is the small stand-in of targets, for tests and trials. A
// target has slots, refuses what it cannot start, takes a set time for each
// request, keeps a log of what it ran and shows faults on demand.
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

// TargetConfig names one target and the address that it listens on.
type TargetConfig struct {
	Name    place.Target
	Address string
}

// Config says which targets one process stands in for. They are all alike.
type Config struct {
	Service place.Service
	Zone    place.Zone
	Targets []TargetConfig
	// Slots is how many requests one target runs at once.
	Slots int
	// Queue is how many requests one target lets wait for a slot. With 0 it
	// refuses at once what it cannot start.
	Queue int
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
}

// Stub stands in for the targets of one Config.
type Stub struct {
	config  Config
	logger  *logrus.Logger
	targets map[place.Target]*target
	serving conc.WaitGroup
}

// New makes a Stub that does not listen yet.
func New(config Config, logger *logrus.Logger) *Stub {
	s := &Stub{config: config, logger: logger, targets: map[place.Target]*target{}}
	for _, t := range config.Targets {
		s.targets[t.Name] = newTarget(t.Name, config)
	}
	return s
}

// Listen opens every target's port and serves it until Close. The error names
// the address that cannot be used.
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
// notice that the connection of a waiting request was closed; fasthttp does not
// tell.
func (s *Stub) serve(t *target, listener net.Listener) {
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout, ConnState: t.countConnection}
	t.address = listener.Addr().String()
	s.serving.Go(func() {
		if err := t.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.WithError(err).Errorf("Target %s stopped serving.", t.name)
		}
	})
	s.logger.Infof("Target %s listens on %s.", t.name, t.address)
}

// Addr returns the address on which a target listens.
func (s *Stub) Addr(name place.Target) string { return s.targets[name].address }

// Close closes every port and connection and waits until nothing is served.
func (s *Stub) Close() {
	for _, t := range s.targets {
		if t.server != nil {
			_ = t.server.Close()
		}
	}
	s.serving.Wait()
}

// target is one target. mutex guards everything below it.
type target struct {
	name        place.Target
	service     place.Service
	serviceTime time.Duration
	queueMax    int
	slotsMax    int
	slots       chan struct{}
	address     string
	server      *http.Server

	mutex       sync.Mutex
	faults      Faults
	coldUntil   time.Time
	leavingAt   time.Time
	frozen      load
	waiting     int
	running     int
	mostRunning int
	shed        int
	connections map[net.Conn]bool
	log         []Execution
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

func (t *target) countConnection(conn net.Conn, state http.ConnState) {
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
