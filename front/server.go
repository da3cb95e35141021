// Package front implements the entry process on the users' platform: it takes
// clients' requests, sends each to a target and returns the answer, and answers
// look-ups that tell clients where to connect.
//
// Clients are served by net/http, because it notices when a client disconnects
// while its request is being served.
package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/admin"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/pipe"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/quota"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/socket"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// Server is one entry process on the users' platform.
type Server struct {
	current     atomic.Pointer[platform.Settings]
	metricsPort string
	started     time.Time
	now         func() time.Time
	log         *logrus.Logger
	stats       *stats
	self        wire.Hello
	store       *platform.Store
	pool        *peers.Pool
	heartbeats  *peers.Heartbeats
	instances   *peers.Instances
	feed        *feed.Feed
	chooser     *pick.Chooser
	coldLimiter *pace.ColdLimiter
	rateLimiter *pace.RateLimiter
	guard       *poison.Guard
	// crashVerdicts tell which targets crashed.
	crashVerdicts *crashVerdicts
	// links says which targets this instance reaches, and detours through which other
	// instance requests for the rest go.
	links         *reach.Links
	detours       *reach.Peers
	detourClients *detourClients
	// servingDetours counts the requests of other instances.
	servingDetours atomic.Int64
	// proving holds the services whose targets are probed to tell whether the links to
	// them are sound.
	proving sync.Map
	// linkTasks are the checks whether targets have crashed and whether links are sound.
	linkTasks conc.WaitGroup
	newsReady chan struct{}
	// quarantineChanged makes register store a quarantine without a pause, as the
	// process may end at any moment.
	quarantineChanged chan struct{}
	held              *hold.Budget
	// streams counts the answers that are passed on as their clients read them.
	streams       atomic.Int64
	targetClients *targetClients
	logQuota      *logs.Quota
	tenantLabels  *tenantLabels
	// limiter keeps tenants within their quotas. collector sums up the counts of the
	// zone while this instance is the chosen one, collectors holds the other ones.
	limiter    *quota.Limiter
	collector  *quota.Collector
	collectors *collectors
	// quotas returns the quotas that are in force, by tenant.
	quotas func() map[place.Tenant]quota.Quota

	// shutdown holds the times of the shutdown, nil before it begins.
	shutdown       atomic.Pointer[shutdownTimes]
	activeRequests atomic.Int64
	// sendContext is canceled when the process aborts the requests that are
	// still running.
	sendContext context.Context
	cancelSends context.CancelFunc

	mu           sync.Mutex
	retryBudgets map[place.Service]*pace.RetryBudget
}

// New makes a Server. metricsPort is the port of /metrics and /dump, "" for
// none. dial opens the connections to targets.
func New(settings *platform.Settings, metricsPort string, dial sender.DialFunc, now func() time.Time, log *logrus.Logger) *Server {
	self := wire.Hello{Instance: settings.Instance(), Zone: settings.Zone(), Incarnation: uint64(now().UnixNano())}
	pool := peers.New(self, peers.DialTCP)
	heartbeats := peers.NewHeartbeats(self, pool, now)
	instances := peers.NewInstances(self, pool, heartbeats, now)
	s := &Server{
		metricsPort: metricsPort, started: now(), now: now, log: log, stats: newStats(), self: self, pool: pool,
		heartbeats: heartbeats, instances: instances, coldLimiter: pace.NewColdLimiter(), rateLimiter: pace.NewRateLimiter(instances.Turn), targetClients: newTargetClients(dial), links: reach.NewLinks(), detours: reach.NewPeers(settings.Zone()), detourClients: &detourClients{byName: map[place.Instance]*sender.Client{}}, guard: poison.NewGuard(), crashVerdicts: &crashVerdicts{latest: map[fleet.Process]*crashVerdict{}}, newsReady: make(chan struct{}, 1), quarantineChanged: make(chan struct{}, 1), held: hold.New(heldBytes(settings.MemoryBytes())), logQuota: logs.NewQuota(), tenantLabels: &tenantLabels{names: map[place.Tenant]struct{}{}}, retryBudgets: map[place.Service]*pace.RetryBudget{},
	}
	s.limiter = quota.NewLimiter(settings.Bounds().Quota(), rand.Float64, now())
	s.collector, s.collectors = quota.NewCollector(self.Zone, collectorSeed(self)), newCollectors()
	s.quotas = s.configuredQuotas
	s.current.Store(settings)
	s.sendContext, s.cancelSends = context.WithCancel(context.Background())
	s.store = platform.NewStore(settings.Store(), s.stats.recordStoreCall)
	s.store.OnEraProblem(func(err error) {
		s.log.WithError(err).WithField("store", settings.Store()).Warn("The store's era is invalid; the last valid one still counts.")
	})
	s.feed = feed.New(settings, s.store, instances, now, logs.ForComponent(log, "feed"))
	s.chooser = pick.New(settings.Zone(), s.coldLimiter, pace.NewRegionLimiter(settings.Bounds().ShiftMax()), s.rateLimiter)
	s.feed.OnView(s.onViewChange)
	heartbeats.SetNotices(s.addNotices)
	instances.OnChange(s.adoptQuarantined)
	return s
}

// onViewChange discards the state of targets that are no longer in the view.
func (s *Server) onViewChange(view *fleet.View) {
	s.targetClients.closeStale(view)
	s.chooser.Forget(view)
	s.rateLimiter.Forget(view, s.now())
	s.links.Forget(func(scope reach.Scope) bool {
		return !slices.ContainsFunc(view.Members(scope.Service()), func(m *fleet.Member) bool { return scope.Contains(m.Region()) })
	})
	s.coldLimiter.Forget(func(name place.Target) bool {
		_, found := view.Member(name)
		return found
	})
}

func (s *Server) settings() *platform.Settings { return s.current.Load() }

// Reload puts new settings into force. The addresses and the name of the
// instance only change when the process restarts.
func (s *Server) Reload(settings *platform.Settings) {
	previous := s.current.Swap(settings)
	s.log.WithFields(logrus.Fields{
		"bounds_changed": settings.Bounds() != previous.Bounds(), "addresses_changed": settings.Addresses() != previous.Addresses(),
	}).Info("Settings reloaded.")
}

// Ready reports whether clients may be sent to this process.
func (s *Server) Ready() bool { return !s.shuttingDown() && s.feed.Ready() }

// retryBudget returns this entry's share of the retry budget of a service.
func (s *Server) retryBudget(service place.Service) *pace.RetryBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, found := s.retryBudgets[service]
	if !found {
		bounds := s.settings().Bounds()
		budget = pace.NewRetryBudget(bounds.RetryRatio(), bounds.RetryWindow(), s.started)
		s.retryBudgets[service] = budget
	}
	return budget
}

// retrySlack returns this entry's share of the retries that the fleet may send
// beyond the ratio of the retry budget.
func (s *Server) retrySlack() float64 {
	return s.settings().Bounds().RetrySlack() / float64(s.instances.Size())
}

// Handle answers a call of another instance. It implements wire.Handler.
func (s *Server) Handle(ctx context.Context, from wire.Hello, message wire.Message) wire.Message {
	switch m := message.(type) {
	case *wire.Heartbeat:
		s.heartbeats.Hear(from, m)
		s.takeNotices(from, m)
		ack := s.heartbeats.Ack()
		ack.Leaving, ack.OutOfReach = !s.Ready(), s.links.LostAll()
		return ack
	case *wire.Loads:
		s.hearLoads(m)
		return &wire.Ack{}
	case *wire.Follow:
		return s.feed.HandleFollow(ctx, m)
	case *wire.Usage:
		return s.handleUsage(from, m)
	case *wire.ZoneUsage:
		return s.handleZoneUsage(from, m)
	}
	return &wire.Refused{Verdict: errs.VerdictNotRun, Reason: errs.ReasonBadRequest, Text: "this process doesn't serve such calls"}
}

// port is an address on which the process serves HTTP.
type port struct {
	name    string
	address string
	handler http.Handler
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error
// if a port can't be opened or closed.
func (s *Server) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", s.settings().Addresses().Peers())
	if err != nil {
		return errors.Wrap(err, "listen for calls of other instances")
	}
	peerServer := wire.NewServer(peerListener, s.self, s, logs.ForComponent(s.log, "wire"))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(peerServer.Serve)
	tasks.Go(func() { s.feed.Run(background) })
	tasks.Go(func() { s.heartbeats.Run(background) })
	tasks.Go(func() { s.register(background) })
	tasks.Go(func() { s.runProbes(background) })
	tasks.Go(func() { s.runNews(background) })
	tasks.Go(func() { s.runQuotas(background) })
	tasks.Go(func() { s.runLoads(background) })
	tasks.Go(func() { s.reportSuppressed(background) })
	s.log.WithFields(logrus.Fields{"instance": s.self.Instance, "zone": s.self.Zone, "store": s.settings().Store()}).Info("Starting.")
	err = s.serve(ctx)
	stop()
	peerServer.Close()
	s.pool.Close()
	s.detourClients.close()
	s.store.Close()
	s.cancelSends()
	s.linkTasks.Wait()
	tasks.Wait()
	s.log.WithField("instance", s.self.Instance).Info("Stopped.")
	return err
}

// awaitReady waits until the data of the feed is complete, because the clients'
// port needs the limits of the configuration. It reports whether ctx is still
// active.
func (s *Server) awaitReady(ctx context.Context) bool {
	const pause = 20 * time.Millisecond
	for !s.feed.Ready() {
		if !wait.Sleep(ctx, pause) {
			return false
		}
	}
	return ctx.Err() == nil
}

// serve opens the ports, the clients' port last and only once the process is
// ready, and shuts down when ctx ends.
func (s *Server) serve(ctx context.Context) error {
	addresses := s.settings().Addresses()
	ports := []port{{"readiness", addresses.Readiness(), http.HandlerFunc(s.serveReadiness)}}
	if addresses.Lookups() != "" {
		ports = append(ports, port{"look-ups", addresses.Lookups(), http.HandlerFunc(s.serveLookup)})
	}
	if s.metricsPort != "" {
		ports = append(ports, port{"metrics", net.JoinHostPort(addresses.Host(), s.metricsPort), s.operatorHandler()})
	}
	var servers []*http.Server
	for _, p := range ports {
		listener, err := listen(p)
		if err != nil {
			return err
		}
		servers = append(servers, s.startServer(listener, p, route.Limits{HeaderTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryTimeout}, nil))
	}
	defer func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}()
	if !s.awaitReady(ctx) {
		return nil
	}
	listener, err := listen(port{"clients", addresses.Clients(), s})
	if err != nil {
		return err
	}
	clientListener, limits := socket.NewDrainListener(listener), s.feed.Table().Limits()
	pipelined := s.pipelined(limits)
	clientServer := s.startServer(pipelined.Listen(clientListener), port{"clients", addresses.Clients(), pipelined}, limits, pipe.TrackState(socket.TrackState))
	requestPorts := []drainedPort{{clientServer, clientListener}}
	detourPort, found, err := s.startDetours(addresses.Detours())
	if err != nil {
		return err
	}
	if found {
		requestPorts = append(requestPorts, detourPort)
	}
	s.log.WithField("version", s.feed.Table().Version()).Info("Serving requests.")
	<-ctx.Done()
	return s.shutDown(requestPorts)
}

// auxiliaryTimeout limits reading a header and idling on the ports that don't
// take clients' requests.
const auxiliaryTimeout = 10 * time.Second

// operatorHandler serves /dump, /metrics and the end of quarantines.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/dump", s.serveDump)
	mux.HandleFunc("POST "+admin.LiftPage, func(w http.ResponseWriter, r *http.Request) {
		status, text := admin.LiftAnswer(s.liftQuarantine(r.URL.Query().Get("fingerprint")))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	})
	mux.Handle("/metrics", promhttp.HandlerFor(s.stats.registry, promhttp.HandlerOpts{}))
	return mux
}

// idleTimeoutSlack is added to the idle time-out, so that a request sent at the
// time-out doesn't meet a connection that is being closed.
const idleTimeoutSlack = time.Second

func listen(p port) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the port for %s", p.name)
	}
	return listener.(*net.TCPListener), nil
}

// startServer serves a port in the background. onState, if not nil, is called when
// the state of a connection changes.
func (s *Server) startServer(listener net.Listener, p port, limits route.Limits, onState func(net.Conn, http.ConnState)) *http.Server {
	server := &http.Server{
		Handler: p.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout + idleTimeoutSlack,
		MaxHeaderBytes: limits.HeaderBytes, ErrorLog: nil, ConnState: onState, ConnContext: pipe.ConnContext,
	}
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !s.shuttingDown() {
			s.log.WithError(err).WithField("port", p.name).Error("A port stopped serving.")
		}
	}()
	return server
}

// registerPause is the time between two checks whether this instance is
// registered.
const registerPause = time.Second

// register keeps this instance stored as an object in the store, where the others
// find it and the requests that it quarantined, until ctx ends. A store that was
// restored from a copy may lack it. The object remains when the process ends, because
// the next process has the same addresses.
func (s *Server) register(ctx context.Context) {
	addresses := s.settings().Addresses()
	var registered platform.Instance
	registeredIn, adopted := uint64(0), false
	for ctx.Err() == nil {
		era := s.feed.Era()
		if s.feed.KnowsInstances() && !adopted {
			// The first registration must not drop what the previous process stored.
			if previous, found := s.feed.Registered(s.self.Instance); found {
				s.adoptQuarantined([]platform.Instance{previous})
			}
			adopted = true
		}
		own := platform.NewInstance(s.self.Instance, s.self.Zone, addresses.Clients(), addresses.Peers()).WithDetours(addresses.Detours()).WithQuarantined(s.guard.Quarantined(quarantinedMax, s.now())).WithCapacity(s.ownCapacity())
		if s.feed.KnowsInstances() && !s.feed.IsRegistered(own) && (registered != own || era != registeredIn) {
			err := s.store.Put(ctx, platform.KindInstances, string(own.Name()), own.Spec())
			if err == nil {
				registeredIn, registered = era, own
			} else {
				s.log.WithError(err).Warn("Registering this instance in the store failed; other instances don't know it yet.")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		case <-s.quarantineChanged:
		}
	}
}
