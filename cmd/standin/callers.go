package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/load"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

const rosterTimeout = 10 * time.Second

// callerFlags are the flags of `standin callers`.
type callerFlags struct {
	entries  string
	platform string
	mix      string
	rate     float64
	duration time.Duration
	seed     uint64
	attempts int
	baseline bool
	table    bool
}

func newCallersCommand(logger *logrus.Logger) *ffcli.Command {
	var options callerFlags
	flags := flag.NewFlagSet("standin callers", flag.ContinueOnError)
	flags.StringVar(&options.entries, "entries", "", "callers' ports of entry instances, separated by commas")
	flags.StringVar(&options.platform, "platform", "", "IP:port of the platform, whose list holds the targets")
	flags.StringVar(&options.mix, "mix", "kigali", "bonoseguro, kigali or a file with a mix in JSON")
	flags.Float64Var(&options.rate, "rate", 50, "requests started per second")
	flags.DurationVar(&options.duration, "duration", 5*time.Second, "how long to start requests")
	flags.Uint64Var(&options.seed, "seed", 1, "determines the order of the requests")
	flags.IntVar(&options.attempts, "attempts", 0, "largest number of attempts per request")
	flags.BoolVar(&options.baseline, "baseline", false, "send to the targets directly, in turn, without entries")
	flags.BoolVar(&options.table, "table", false, "print a table instead of JSON")
	return &ffcli.Command{Name: "callers", ShortUsage: "standin callers [flags]", ShortHelp: "simulate callers: send a mix of requests and compare the results with the targets' logs", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return runCallers(ctx, options, logger) }}
}

func runCallers(ctx context.Context, options callerFlags, logger *logrus.Logger) error {
	mix, err := readMix(options.mix)
	if err != nil {
		return err
	}
	targets, err := readTargets(ctx, options.platform)
	if err != nil {
		return err
	}
	summary, err := load.Run(ctx, load.Options{
		Entries: strings.Split(options.entries, ","), Targets: targets, Mix: mix, Rate: options.rate, Duration: options.duration,
		Seed: options.seed, Attempts: options.attempts, Baseline: options.baseline, Logger: logger,
	})
	if err != nil {
		return err
	}
	if options.table {
		err = summary.WriteTable(os.Stdout)
	} else {
		err = errors.Wrap(json.NewEncoder(os.Stdout).Encode(summary), "print the summary")
	}
	if err == nil && summary.Violated() {
		err = errors.New("a delivery guarantee was violated: see verification")
	}
	return err
}

// readMix returns the mix in the file with this name, or else the preset with this
// name.
func readMix(name string) (load.Mix, error) {
	if text, err := os.ReadFile(name); err == nil {
		return load.ParseMix(text)
	}
	return load.ParseMix([]byte(name))
}

func readTargets(ctx context.Context, platform string) (map[place.Service][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	client := store.NewClient(platform, "")
	defer client.Close()
	roster, err := client.Roster(ctx)
	if err != nil {
		return nil, err
	}
	targets := map[place.Service][]string{}
	for _, t := range roster.Targets {
		targets[t.Service] = append(targets[t.Service], t.Address)
	}
	return targets, nil
}
