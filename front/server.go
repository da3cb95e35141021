// Package front serves clients on the users' platform: it takes their requests,
// hands each to a target and brings back the answer, and tells clients where to
// connect.
//
// The server of clients is net/http's, because it notices a client that leaves
// while its request is being served.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// Server is one process on the users' platform.
type Server struct {
	current atomic.Pointer[platform.Settings]
	metrics string
	started time.Time
	now     func() time.Time
	log     *logrus.Logger
	stats   *stats
	self    wire.Hello
	store   *platform.Store
	pool    *peers.Pool
	heart   *peers.Heart
	mates   *peers.Mates
	feed    *feed.Feed
	chooser *pick.Chooser
	cold    *pace.Cold
	clients *clients
	quota   *logs.Quota

	leaving atomic.Bool
	active  atomic.Int64
	// ending ends when what is still running is given up.
	ending context.Context
	giveUp context.CancelFunc

	mu      sync.Mutex
	budgets map[place.Service]*pace.Retries
}

// New puts a process together. metrics is the port of the metrics, "" for none.
func New(settings *platform.Settings, metrics string, now func() time.Time, log *logrus.Logger) *Server {
	self := wire.Hello{Instance: settings.Instance(), Zone: settings.Zone(), Incarnation: uint64(now().UnixNano())}
	pool := peers.New(self, peers.DialTCP)
	heart := peers.NewHeart(self, pool, now)
	mates := peers.NewMates(self, pool, heart, now)
	s := &Server{
		metrics: metrics, started: now(), now: now, log: log, stats: newStats(), self: self, pool: pool,
		heart: heart, mates: mates, cold: pace.NewCold(), clients: newClients(), quota: logs.NewQuota(), budgets: map[place.Service]*pace.Retries{},
	}
	s.current.Store(settings)
	s.ending, s.giveUp = context.WithCancel(context.Background())
	s.store = platform.NewStore(settings.Store(), s.stats.call)
	s.feed = feed.New(settings, s.store, mates, now, logs.Part(log, "feed"))
	s.chooser = pick.New(settings.Zone(), s.cold, pace.NewLeave(settings.Bounds().ShiftMax()))
	s.feed.OnView(s.viewChanged)
	return s
}

func (s *Server) viewChanged(view *fleet.View) {
	s.clients.keep(view)
	s.chooser.Forget(view)
	s.cold.Forget(func(name place.Target) bool {
		_, found := view.Member(name)
		return found
	})
}

func (s *Server) settings() *platform.Settings { return s.current.Load() }

// Reload puts new settings into force, except for the addresses and the name of
// the instance, which hold until the process ends.
func (s *Server) Reload(settings *platform.Settings) {
	before := s.current.Swap(settings)
	s.log.WithFields(logrus.Fields{
		"bounds_changed": settings.Bounds() != before.Bounds(), "addresses_changed": settings.Addresses() != before.Addresses(),
	}).Info("The settings were read anew.")
}

// Ready tells whether clients may be sent to this process.
func (s *Server) Ready() bool { return !s.leaving.Load() && s.feed.Ready() }

// retries returns this entry's part of the retry budget of a service.
func (s *Server) retries(service place.Service) *pace.Retries {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, found := s.budgets[service]
	if !found {
		bounds := s.settings().Bounds()
		budget = pace.NewRetries(bounds.RetryRatio(), bounds.RetryWindow(), s.started)
		s.budgets[service] = budget
	}
	return budget
}

// retrySlack returns this entry's part of the fleet's slack of retries.
func (s *Server) retrySlack() float64 {
	return s.settings().Bounds().RetrySlack() / float64(s.mates.Size())
}

// Handle answers another instance. It implements wire.Handler.
func (s *Server) Handle(ctx context.Context, _ wire.Hello, message wire.Message) wire.Message {
	switch m := message.(type) {
	case *wire.Beat:
		ack := s.heart.Answer()
		ack.Leaving = !s.Ready()
		return ack
	case *wire.Follow:
		return s.feed.Follow(ctx, m)
	}
	return &wire.Refused{Verdict: errs.VerdictNotRun, Reason: errs.ReasonBadRequest, Text: "this process doesn't serve such calls"}
}

// port is one address that the process serves.
type port struct {
	name    string
	address string
	handler http.Handler
}

// Run serves until ctx ends and then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp", s.settings().Addresses().Peers())
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	server := wire.NewServer(inner, s.self, s, logs.Part(s.log, "wire"))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(server.Serve)
	tasks.Go(func() { s.feed.Run(running) })
	tasks.Go(func() { s.heart.Run(running) })
	tasks.Go(func() { s.register(running) })
	tasks.Go(func() { s.runProbes(running) })
	tasks.Go(func() { s.runLeftOut(running) })
	s.log.WithFields(logrus.Fields{"instance": s.self.Instance, "zone": s.self.Zone, "store": s.settings().Store()}).Info("The process starts.")
	err = s.serve(ctx)
	stop()
	server.Close()
	s.pool.Close()
	s.store.Close()
	tasks.Wait()
	s.log.WithField("instance", s.self.Instance).Info("The process ends.")
	return err
}

// awaitReady waits until the configuration is known, whose limits the port of
// clients needs. It tells whether ctx still goes on.
func (s *Server) awaitReady(ctx context.Context) bool {
	const pause = 20 * time.Millisecond
	for !s.feed.Ready() {
		if !wait.For(ctx, pause) {
			return false
		}
	}
	return ctx.Err() == nil
}

// serve opens the ports, the clients' own only once the process is ready.
func (s *Server) serve(ctx context.Context) error {
	addresses := s.settings().Addresses()
	ports := []port{{"readiness", addresses.Readiness(), http.HandlerFunc(s.serveReadiness)}}
	if addresses.Lookups() != "" {
		ports = append(ports, port{"look-ups", addresses.Lookups(), http.HandlerFunc(s.serveLookup)})
	}
	if s.metrics != "" {
		ports = append(ports, port{"metrics", net.JoinHostPort(addresses.Host(), s.metrics), s.operatorsPort()})
	}
	var servers []*http.Server
	for _, p := range ports {
		server, err := s.open(p, route.Limits{HeaderTimeout: plainTimeout, IdleTimeout: plainTimeout})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	defer func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}()
	if !s.awaitReady(ctx) {
		return nil
	}
	clients, err := s.open(port{"clients", addresses.Clients(), s}, s.feed.Table().Limits())
	if err != nil {
		return err
	}
	s.log.WithField("version", s.feed.Table().Version()).Info("The process is ready.")
	<-ctx.Done()
	return s.leave(clients)
}

// plainTimeout bounds connections to the ports that aren't for requests.
const plainTimeout = 10 * time.Second

func (s *Server) operatorsPort() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/dump", s.serveDump)
	mux.Handle("/metrics", promhttp.HandlerFor(s.stats.registry, promhttp.HandlerOpts{}))
	return mux
}

// idleSlack is how much longer than the limit an idle connection is kept, so
// that a request at the limit doesn't cross the close.
const idleSlack = time.Second

// open listens at a port and serves it in the background.
func (s *Server) open(p port, limits route.Limits) (*http.Server, error) {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", p.name)
	}
	server := &http.Server{
		Handler: p.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout + idleSlack,
		MaxHeaderBytes: limits.HeaderBytes, ErrorLog: nil,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).WithField("port", p.name).Error("A port stopped serving.")
		}
	}()
	return server, nil
}

// registerPause is the time between two attempts to register.
const registerPause = time.Second

// register makes this instance known to the others by an object in the store.
// It stays there when the process ends: the next one has the same addresses.
func (s *Server) register(ctx context.Context) {
	own := platform.NewInstance(s.self.Instance, s.self.Zone, s.settings().Addresses().Clients(), s.settings().Addresses().Peers())
	for {
		if s.feed.Registered(own) {
			return
		}
		if s.feed.Knows() {
			err := s.store.Put(ctx, platform.KindInstances, string(own.Name()), own.Spec())
			if err == nil {
				return
			}
			s.log.WithError(err).Warn("The process can't register; others don't know of it yet.")
		}
		if !wait.For(ctx, registerPause) {
			return
		}
	}
}
