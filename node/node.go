// Package node assembles an entry process, opens its ports for callers, peers and
// operators, and runs it until it is told to stop.
package node

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/admin"
	"github.com/endivechute/endivechute/entry"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/setup"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// closeTimeout limits how long the ports may take to close after the last request
// was answered.
const closeTimeout = 2 * time.Second

// Node is an entry process with its ports.
type Node struct {
	settings  *setup.Entry
	log       *logrus.Logger
	self      wire.Hello
	platform  *store.Client
	pool      *peers.Pool
	process   *entry.Entry
	listeners listeners
}

// listeners holds the open ports.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New opens the ports and assembles the process. It returns an error that names
// the setting if a port can't be opened at its address. dialTarget opens the
// connections to targets.
func New(settings *setup.Entry, dialTarget sender.DialFunc, logger *logrus.Logger) (*Node, error) {
	opened, err := listen(settings)
	if err != nil {
		return nil, err
	}
	self := wire.Hello{Instance: settings.Instance(), Zone: settings.Zone(), Incarnation: uint64(time.Now().UnixNano())}
	pool := peers.New(self, peers.DialTCP)
	heartbeats := peers.NewHeartbeats(self, pool, time.Now)
	platform := store.NewClient(settings.PlatformAddress(), "")
	process := entry.New(self, settings.Seeds(), platform, pool, heartbeats, dialTarget, time.Now, logger)
	return &Node{
		settings: settings, log: logs.ForComponent(logger, "node"), self: self, platform: platform, pool: pool,
		process: process, listeners: opened,
	}, nil
}

// listen opens all ports, or none if one of them fails.
func listen(settings *setup.Entry) (listeners, error) {
	var opened listeners
	for _, port := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"caller-address", settings.CallerAddress(), &opened.callers},
		{"peer-address", settings.PeerAddress(), &opened.peers},
		{"operator-address", settings.OperatorAddress(), &opened.operators},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			opened.close()
			return listeners{}, errors.Wrapf(err, "%s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// CallerAddr returns the address of the port for callers, in the form host:port.
func (n *Node) CallerAddr() string { return n.listeners.callers.Addr().String() }

// PeerAddr returns the address of the port for other entries, in the form host:port.
func (n *Node) PeerAddr() string { return n.listeners.peers.Addr().String() }

// OperatorAddr returns the address of the port for operators, in the form host:port.
func (n *Node) OperatorAddr() string { return n.listeners.operators.Addr().String() }

// Run serves requests until ctx ends and then shuts down gracefully. The drain
// timeout of the settings bounds the whole of Entry.Leave: the wait until look-ups
// expire, the handover of the keys and the end of running requests.
func (n *Node) Run(ctx context.Context) error {
	callers := n.process.NewApp()
	operators := admin.New(n.process.Stats().Registry(), func() any { return n.process.Dump() }, n.process.Ready, n.process.LiftQuarantine)
	server := wire.NewServer(n.listeners.peers, n.self, n.process, n.log)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(server.Serve)
	tasks.Go(func() { n.process.Run(running) })
	tasks.Go(func() { n.serve(callers, n.listeners.callers) })
	tasks.Go(func() { n.serve(operators, n.listeners.operators) })
	n.log.WithField("instance", n.self.Instance).WithField("zone", n.self.Zone).Info("Serving requests.")

	<-ctx.Done()
	n.leave()
	err := shutDown(callers, operators)
	stop()
	server.Close()
	n.pool.Close()
	n.platform.Close()
	tasks.Wait()
	return err
}

func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer cancel()
	n.process.Leave(ctx)
}

func (n *Node) serve(app *fiber.App, listener net.Listener) {
	if err := app.Listener(listener); err != nil {
		n.log.WithError(err).Error("A port stopped serving.")
	}
}

// shutDown closes the ports and their idle connections. It waits up to closeTimeout
// for the other connections to end; those left then are not an error.
func shutDown(apps ...*fiber.App) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, app := range apps {
		err := app.ShutdownWithContext(ctx)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return errors.Wrap(err, "close a port")
		}
	}
	return nil
}
