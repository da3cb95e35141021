package main

import (
	"context"
	"flag"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/replay"
	"github.com/endivechute/endivechute/setup"
)

func newReplayCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute replay", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the random order of events")
	plot := flags.String("plot", "", "write a plot of the worth of each second to this SVG file")
	blind := flags.Bool("blind-to-objects", false, "choose targets by load alone, as a baseline")
	return command("replay", "[flags] FILE", "replay a load from a file, such as examples/replay/burst.json, against a model", flags, func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return errors.Mark(errors.Newf("%d files are given; want one", len(args)), setup.ErrUsage)
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errors.Mark(errors.Wrap(err, "replay file"), setup.ErrUsage)
		}
		load, err := replay.Parse(text)
		if err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		result := replay.Run(load, replay.Policy{BlindToObjects: *blind}, *seed)
		if err := writePlot(*plot, result); err != nil {
			return err
		}
		return result.WriteTable(os.Stdout)
	})
}

// writePlot writes the plot to the path, unless it is "".
func writePlot(path string, result *replay.Result) (err error) {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	result.WritePlot(file)
	return nil
}
