package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/manage"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/setup"
	"github.com/endivechute/endivechute/store"
)

// operatorFlags are the flags of every command that reads or writes settings.
type operatorFlags struct {
	flags   *flag.FlagSet
	address *string
	token   *string
	author  *string
	team    *string
	path    *string
	version *uint64
}

// newOperatorFlags registers the flags. Only commands that write have the flags
// token, team and author.
func newOperatorFlags(name string, writes bool) *operatorFlags {
	flags := flag.NewFlagSet("endivechute "+name, flag.ContinueOnError)
	f := &operatorFlags{flags: flags, address: flags.String("platform-address", "", "IP:port of the platform's store")}
	if writes {
		f.token = flags.String("token", "", "the team's token, if the store requires one")
		f.team = flags.String("team", "", "refuse to change anything but this team's settings")
		f.author = flags.String("author", "", "who makes the change; stored with the settings")
	}
	return f
}

func (f *operatorFlags) withPath() *operatorFlags {
	f.path = f.flags.String("path", "", "path of the settings: fleet, teams/TEAM or teams/TEAM/SERVICE")
	return f
}

func (f *operatorFlags) withVersion() *operatorFlags {
	f.version = f.flags.Uint64("if-version", 0, "version that was read; 0 if there are no settings yet")
	return f
}

// run checks the flags and calls work with a manage.Operator for them.
func (f *operatorFlags) run(work func(o *manage.Operator) error) error {
	if err := setup.CheckAddress("platform-address", *f.address); err != nil {
		return err
	}
	if f.path != nil && *f.path == "" {
		return errors.Mark(errors.New("path: none is given; want fleet, teams/TEAM or teams/TEAM/SERVICE"), setup.ErrUsage)
	}
	token, author, team := "", "", ""
	if f.author != nil {
		token, author, team = *f.token, *f.author, *f.team
		if author == "" {
			return errors.Mark(errors.New("author: none is given; want the name of who makes the change"), setup.ErrUsage)
		}
	}
	client := store.NewClient(*f.address, token)
	defer client.Close()
	return work(manage.New(client, author, os.Stdout, time.Now).ForTeam(place.Team(team)))
}

// changeError returns the error of a change, or the error that its report implies.
func changeError(report manage.Report, err error) error {
	if err != nil {
		return err
	}
	return report.Err()
}

func newPolicyCommand() *ffcli.Command {
	policy := command("policy", "<get|set|edit|delete|tree|check> [flags]", "read, change and check settings", flag.NewFlagSet("endivechute policy", flag.ContinueOnError),
		func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Mark(errors.Newf("policy: there is no command %q; want get, set, edit, delete, tree or check", args[0]), setup.ErrUsage)
			}
			return flag.ErrHelp
		})
	policy.Subcommands = []*ffcli.Command{newPolicyGet(), newPolicySet(), newPolicyEdit(), newPolicyDelete(), newPolicyTree(), newPolicyCheck()}
	for _, sub := range policy.Subcommands {
		sub.Name = strings.TrimPrefix(sub.Name, "policy ")
	}
	return policy
}

func newPolicyGet() *ffcli.Command {
	f := newOperatorFlags("policy get", false).withPath()
	return command("policy get", "--platform-address IP:port --path PATH", "print the settings at a path and their version", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		return f.run(func(o *manage.Operator) error { return o.PolicyGet(ctx, *f.path) })
	})
}

func newPolicySet() *ffcli.Command {
	f := newOperatorFlags("policy set", true).withPath().withVersion()
	file := f.flags.String("file", "-", "file with the settings; - is the standard input")
	return command("policy set", "--platform-address IP:port --author NAME --path PATH --file FILE --if-version N", "replace the settings at a path", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		return f.run(func(o *manage.Operator) error {
			body, err := readFile(*file)
			if err != nil {
				return err
			}
			return changeError(o.PolicySet(ctx, *f.path, body, *f.version))
		})
	})
}

func newBlocksCommand() *ffcli.Command {
	f := newOperatorFlags("blocks set", true).withVersion()
	chunk := f.flags.String("chunk", "", "name of the chunk, such as chunk-17; keep chunks at about 200 blocks")
	file := f.flags.String("file", "-", "file with the chunk; - is the standard input")
	set := command("blocks set", "--platform-address IP:port --author NAME --chunk NAME --file FILE --if-version N", "replace one chunk of client blocks", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		return f.run(func(o *manage.Operator) error {
			value, err := readFile(*file)
			if err != nil {
				return err
			}
			return changeError(o.BlocksSet(ctx, *chunk, value, *f.version))
		})
	})
	set.Name = "set"
	return &ffcli.Command{
		Name:        "blocks",
		ShortUsage:  "endivechute blocks set [flags]",
		ShortHelp:   "write the table of client blocks",
		FlagSet:     flag.NewFlagSet("endivechute blocks", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{set},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, store.ValueBytesMax+1))
		return text, errors.Wrap(err, "read the standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Mark(errors.Wrap(err, "file"), setup.ErrUsage)
}

func newPolicyEdit() *ffcli.Command {
	f := newOperatorFlags("policy edit", true).withPath()
	return command("policy edit", "--platform-address IP:port --author NAME --path PATH FIELD=VALUE...", "change single fields, such as regions.kigali.slots=3; FIELD= removes one", f.flags, func(ctx context.Context, args []string) error {
		assignments := make([]manage.Assignment, 0, len(args))
		for _, arg := range args {
			assignment, err := manage.ParseAssignment(arg)
			if err != nil {
				return errors.Mark(err, setup.ErrUsage)
			}
			assignments = append(assignments, assignment)
		}
		if len(assignments) == 0 {
			return errors.Mark(errors.New("no field is given; want FIELD=VALUE, such as slots=4"), setup.ErrUsage)
		}
		return f.run(func(o *manage.Operator) error { return changeError(o.PolicyEdit(ctx, *f.path, assignments)) })
	})
}

func newPolicyDelete() *ffcli.Command {
	f := newOperatorFlags("policy delete", true).withPath().withVersion()
	return command("policy delete", "--platform-address IP:port --author NAME --path PATH --if-version N", "delete the settings at a path", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		return f.run(func(o *manage.Operator) error { return changeError(o.PolicyDelete(ctx, *f.path, *f.version)) })
	})
}

func newPolicyTree() *ffcli.Command {
	f := newOperatorFlags("policy tree", false)
	service := f.flags.String("service", "", "beginning of the services' names, as team or team/service")
	return command("policy tree", "--platform-address IP:port [--service TEAM/SERVICE]", "print the effective settings including inherited ones, and where each comes from", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		return f.run(func(o *manage.Operator) error { return o.PolicyTree(ctx, *service) })
	})
}

func newPolicyCheck() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute policy check", flag.ContinueOnError)
	return command("policy check", "FOLDER", "check a folder of settings, such as examples/kigali", flags, func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return errors.Mark(errors.Newf("%d folders are given; want one, such as examples/kigali", len(args)), setup.ErrUsage)
		}
		if folder, err := os.Stat(args[0]); err != nil || !folder.IsDir() {
			return errors.Mark(errors.Newf("folder: %q is not a readable folder; want one such as examples/kigali", args[0]), setup.ErrUsage)
		}
		return manage.New(nil, "", os.Stdout, time.Now).PolicyCheck(os.DirFS(args[0]))
	})
}

func newDrainCommand() *ffcli.Command {
	f := newOperatorFlags("drain", true)
	service := f.flags.String("service", "", "the service, as team/service")
	target := f.flags.String("target", "", "target to drain")
	zone := f.flags.String("zone", "", "availability zone whose targets to drain, as region/zone")
	region := f.flags.String("region", "", "region whose arrivals are diverted")
	to := f.flags.String("to", "", "region that receives the diverted arrivals")
	percent := f.flags.Float64("percent", 0, "share of the arrivals to divert; 0 is all that cap_percent allows")
	undo := f.flags.Bool("undo", false, "undo the drain")
	return command("drain", "--platform-address IP:port --author NAME --service TEAM/SERVICE (--target T | --zone R/Z | --region R --to R)", "drain a target or a zone, or divert arrivals from a region", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		drain := manage.Drain{
			Service: place.Service(*service), Target: place.Target(*target), Zone: place.Zone(*zone),
			Region: place.Region(*region), To: place.Region(*to), Percent: *percent, Undo: *undo,
		}
		if err := drain.Validate(); err != nil {
			return errors.Mark(err, setup.ErrUsage)
		}
		return f.run(func(o *manage.Operator) error { return changeError(o.Drain(ctx, drain)) })
	})
}

func newStatusCommand() *ffcli.Command {
	f := newOperatorFlags("status", false)
	addresses := f.flags.String("operator-addresses", "", "IP:port of the instances' operators' ports, separated by commas")
	return command("status", "--platform-address IP:port --operator-addresses IP:port,...", "print which settings are in force on each instance", f.flags, func(ctx context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		list := strings.Split(*addresses, ",")
		for _, address := range list {
			if err := setup.CheckAddress("operator-addresses", address); err != nil {
				return err
			}
		}
		return f.run(func(o *manage.Operator) error { return o.Status(ctx, list) })
	})
}
