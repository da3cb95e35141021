// Command standin runs simulations of the external systems for tests and
// experiments: the platform, targets or callers, each as a process of its own.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	logger := logrus.New()
	root := &ffcli.Command{
		ShortUsage:  "standin <command> [flags]",
		FlagSet:     flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{newPlatformCommand(logger), newTargetsCommand(logger), newCallersCommand(logger)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	stop()
	if err == nil {
		return
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(1)
}
