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
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/front"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/setup"
)

// gcPercentPressure is the garbage collector's target under the contract pressure, where
// an instance's memory is short and its processor isn't: the live heap is a few MB, so
// that collecting it more often costs little.
const gcPercentPressure = 40

// settingsCheckInterval is how often the settings file is checked for a change
// without a signal. It is half the time within which the platform wants a new
// configuration in force, 2 s.
const settingsCheckInterval = time.Second

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
		// The reloader reads the file first, so that it notices any change after
		// LoadSettings.
		changes := newReloader(*path, logger)
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		if settings.MemoryBytes() > 0 {
			debug.SetMemoryLimit(front.RuntimeMemoryLimit(settings.MemoryBytes()))
		}
		if settings.HasContract(platform.ContractPressure) {
			debug.SetGCPercent(gcPercentPressure)
		}
		server := front.New(settings, *metrics, sender.DialTCP, time.Now, logger)
		changes.apply = server.Reload
		stop := runReloads(ctx, changes)
		defer stop()
		return server.Run(ctx)
	})
}

// runReloads reloads the settings file at each SIGHUP, and every
// settingsCheckInterval if it has changed, until ctx ends or stop is called.
func runReloads(ctx context.Context, r *reloader) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var tasks conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	tasks.Go(func() {
		ticker := time.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
				r.reload(true)
			case <-ticker.C:
				r.reload(false)
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		signal.Stop(hangups)
		tasks.Wait()
	}
}
