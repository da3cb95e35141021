package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/setup"
)

// memoryShare is the part of the instance's memory that the runtime may fill
// before it collects garbage at any price.
const memoryShare = 0.7

func newFrontCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute front", flag.ContinueOnError)
	path := flags.String("platform-settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	metrics := flags.String("metrics-port", "", "port of the metrics at the instance's IP number, none if empty")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	format := flags.String("log-format", "json", "text or json")
	return command("front", "[flags]", "run an instance on the users' platform", flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		out := logs.NewAsync(os.Stdout)
		defer out.Close()
		logger, err := logs.New(out, *level, *format)
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		if settings.MemoryBytes() > 0 {
			debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes())))
		}
		server := front.New(settings, *metrics, time.Now, logger)
		stop := reloadOnHangup(ctx, *path, server, logger)
		defer stop()
		return server.Run(ctx)
	})
}

// reloadOnHangup reads the settings file anew at each SIGHUP until ctx ends.
// Settings that can't be used are reported, and the last good ones stay.
func reloadOnHangup(ctx context.Context, path string, server *front.Server, logger *logrus.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var tasks conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	tasks.Go(func() {
		for {
			select {
			case <-hangups:
			case <-ctx.Done():
				return
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				logger.WithError(err).Error("The settings can't be used; the last good ones stay in force.")
				continue
			}
			server.Reload(settings)
		}
	})
	return func() {
		cancel()
		tasks.Wait()
	}
}
