package main

import (
	"context"
	"flag"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/admin"
	"github.com/endivechute/endivechute/entry"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/setup"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

func newEntryCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute entry", flag.ContinueOnError)
	settings := setup.NewEntry(flags)
	return command("entry", "[flags]", "run the entry process of an instance", flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		if err := settings.Check(); err != nil {
			return err
		}
		logger, err := logs.New(os.Stderr, settings.LogLevel(), settings.LogFormat())
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		return runEntry(ctx, settings, logger)
	})
}

// ports holds the three listeners of an entry process.
type ports struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func listen(settings *setup.Entry) (ports, error) {
	var opened ports
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
			return ports{}, errors.Wrapf(err, "%s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}

// runEntry runs an entry process until ctx ends, and then shuts it down
// gracefully.
func runEntry(ctx context.Context, settings *setup.Entry, logger *logrus.Logger) error {
	opened, err := listen(settings)
	if err != nil {
		return err
	}
	self := wire.Hello{Instance: settings.Instance(), Zone: settings.Zone(), Incarnation: uint64(time.Now().UnixNano())}
	pool := peers.New(self, peers.DialTCP)
	heart := peers.NewHeart(self, pool, time.Now)
	platform := store.NewClient(settings.PlatformAddress(), "")
	process := entry.New(self, platform, pool, heart, time.Now, logs.Part(logger, "entry"))
	callers := process.NewApp()
	operators := admin.New(process.Stats().Registry(), func() any { return process.Dump() }, process.Ready)
	server := wire.NewServer(opened.peers, self, process, logs.Part(logger, "wire"))

	running, stop := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(server.Serve)
	tasks.Go(func() { process.Run(running) })
	tasks.Go(func() { serveHTTP(callers, opened.callers, logger) })
	tasks.Go(func() { serveHTTP(operators, opened.operators, logger) })
	logger.WithField("instance", self.Instance).WithField("zone", self.Zone).Info("entry: The process serves.")

	<-ctx.Done()
	leaving, done := context.WithTimeout(context.Background(), settings.DrainTimeout())
	defer done()
	process.Leave(leaving)
	err = errors.CombineErrors(callers.ShutdownWithContext(leaving), operators.ShutdownWithContext(leaving))
	stop()
	server.Close()
	pool.Close()
	tasks.Wait()
	return errors.Wrap(err, "shut down")
}

func serveHTTP(app *fiber.App, listener net.Listener, logger *logrus.Logger) {
	if err := app.Listener(listener); err != nil {
		logger.WithError(err).Error("entry: A port stopped serving.")
	}
}
