// Command endivechute steers request traffic across regions. `endivechute
// entry` runs on an instance; the other commands are for operators and callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/setup"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	os.Exit(exitCode(err))
}

// run parses the arguments and the environment and runs the command. Errors of the
// parser are marked with setup.ErrUsage; they name the wrong flag.
func run(ctx context.Context, args []string) error {
	root := newRoot()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		return errors.Mark(err, setup.ErrUsage)
	}
	return errors.WithStack(root.Run(ctx))
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.Is(err, setup.ErrUsage):
		fmt.Fprintln(os.Stderr, "endivechute:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "endivechute:", err)
	return exitFailed
}

func newRoot() *ffcli.Command {
	return &ffcli.Command{
		ShortUsage: "endivechute <command> [flags]",
		LongHelp:   "Every flag is also an environment variable: --caller-address is ENDIVECHUTE_CALLER_ADDRESS.",
		FlagSet:    flag.NewFlagSet("endivechute", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			newEntryCommand(),
			newFrontCommand(),
			newLookupCommand(),
			newSendCommand(),
			newDumpCommand(),
			newLiftCommand(),
			newPolicyCommand(),
			newConfigCommand(),
			newBlocksCommand(),
			newDrainCommand(),
			newStatusCommand(),
			newReadyCommand(),
			newReplayCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Mark(errors.Newf("there is no command %q; `endivechute --help` lists them", args[0]), setup.ErrUsage)
			}
			return flag.ErrHelp
		},
	}
}

// command makes a subcommand whose flags can also be given in the environment.
// exec gets the arguments after the flags.
func command(name, usage, help string, flags *flag.FlagSet, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "endivechute " + name + " " + usage,
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(setup.EnvPrefix)},
		Exec:       exec,
	}
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return errors.Mark(errors.Newf("unexpected argument %q; flags begin with --", args[0]), setup.ErrUsage)
	}
	return nil
}
