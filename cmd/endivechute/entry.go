package main

import (
	"context"
	"flag"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/node"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/setup"
)

func newEntryCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute entry", flag.ContinueOnError)
	settings := setup.NewEntry(flags)
	return command("entry", "[flags]", "run the entry process of an instance", flags, func(ctx context.Context, args []string) error {
		if err := errors.CombineErrors(noArgs(args), settings.Check()); err != nil {
			return err
		}
		logger, err := logs.New(os.Stderr, settings.LogLevel(), settings.LogFormat())
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		process, err := node.New(settings, sender.DialTCP, logger)
		if err != nil {
			return err
		}
		return process.Run(ctx)
	})
}
