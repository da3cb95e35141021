package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/stub"
)

// targetList collects the values of --target.
type targetList []stub.TargetConfig

// String implements flag.Value.
func (l *targetList) String() string { return "" }

// Set implements flag.Value: it adds one target, given as name=IP:port.
func (l *targetList) Set(text string) error {
	name, address, found := strings.Cut(text, "=")
	if !found {
		return errors.Newf("%q is given; want name=IP:port", text)
	}
	*l = append(*l, stub.TargetConfig{Name: place.Target(name), Address: address})
	return nil
}

func newTargetsCommand(logger *logrus.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("standin targets", flag.ContinueOnError)
	zone := flags.String("zone", "", "availability zone of the targets, as region/zone")
	service := flags.String("service", "", "service that the targets run, as team/service")
	slots := flags.Int("slots", 4, "number of requests that one target runs at once")
	queue := flags.Int("queue", 0, "number of requests that may be queued at one target")
	serviceMillis := flags.Int("service-ms", 5, "time that each request takes, in milliseconds")
	var targets targetList
	flags.Var(&targets, "target", "name=IP:port of a target; may be given several times")
	return &ffcli.Command{Name: "targets", ShortUsage: "standin targets [flags]", ShortHelp: "simulate targets of one service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if _, err := place.ParseZone(*zone); err != nil {
				return err
			}
			if _, err := place.ParseService(*service); err != nil {
				return err
			}
			server := stub.New(stub.Config{
				Service: place.Service(*service), Zone: place.Zone(*zone), Targets: targets,
				Slots: *slots, Queue: *queue, ServiceTime: time.Duration(*serviceMillis) * time.Millisecond,
			}, logger)
			if err := server.Listen(); err != nil {
				return err
			}
			<-ctx.Done()
			server.Close()
			return nil
		}}
}
