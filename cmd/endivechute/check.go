package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/check"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/setup"
)

// deadlineDefault is the default of --longest-deadline: how long clients wait for an
// answer at most.
const deadlineDefault = 5 * time.Second

// errFindings is the error of a check that found errors.
var errFindings = errors.New("the configuration has errors")

func newConfigCommand() *ffcli.Command {
	config := command("config", "check FILE [flags]", "check a configuration of the users' platform", flag.NewFlagSet("endivechute config", flag.ContinueOnError),
		func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Mark(errors.Newf("config: there is no command %q; want check", args[0]), setup.ErrUsage)
			}
			return flag.ErrHelp
		})
	config.Subcommands = []*ffcli.Command{newConfigCheck()}
	return config
}

func newConfigCheck() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute config check", flag.ContinueOnError)
	inForce := flags.String("in-force", "", "file with the configuration in force, to compare with")
	deadline := flags.Duration("longest-deadline", deadlineDefault, "the longest time that clients wait for an answer")
	check := command("config check", "FILE [--in-force FILE]", "check a configuration, such as examples/platform/config.json, before it comes into force", flags, func(_ context.Context, args []string) error {
		// Flags may also stand behind the file.
		if len(args) > 1 {
			if err := flags.Parse(args[1:]); err != nil {
				return errors.Mark(err, setup.ErrUsage)
			}
			args = append(args[:1:1], flags.Args()...)
		}
		if len(args) != 1 {
			return errors.Mark(errors.Newf("%d files are given; want one, such as examples/platform/config.json", len(args)), setup.ErrUsage)
		}
		return checkConfig(args[0], *inForce, *deadline)
	})
	check.Name = "check"
	return check
}

// checkConfig prints what is found in a file. inForce is the file with the version in
// force, "" for none.
func checkConfig(file, inForce string, deadline time.Duration) error {
	config, err := readDraft(file)
	if err != nil {
		return err
	}
	var current *check.Config
	if inForce != "" {
		if current, err = readDraft(inForce); err != nil {
			return err
		}
	}
	findings := check.Run(config, current, deadline)
	for _, f := range findings {
		if _, err := fmt.Println(f); err != nil {
			return errors.Wrap(err, "print the findings")
		}
	}
	if check.HasErrors(findings) {
		return errFindings
	}
	return nil
}

// readDraft reads a configuration from a file. A file that isn't a configuration is an error
// of the configuration, one that can't be opened is a wrong argument.
func readDraft(file string) (*check.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configuration"), setup.ErrUsage)
	}
	config, err := platform.ReadDraft(text)
	return config, errors.Wrapf(err, "file %s", file)
}
