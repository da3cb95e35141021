package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/store"
)

func newPlatformCommand(logger *logrus.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:9000", "IP:port to listen on")
	instances := flags.String("instances-file", "", "JSON file with the initial list of instances")
	return &ffcli.Command{Name: "platform", ShortUsage: "standin platform [flags]", ShortHelp: "simulate the platform's store and list of instances", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			server := plat.New(logger)
			if *instances != "" {
				roster, err := readRoster(*instances)
				if err != nil {
					return err
				}
				server.SetRoster(roster)
			}
			if err := server.Listen(*address); err != nil {
				return err
			}
			<-ctx.Done()
			return server.Close()
		}}
}

func readRoster(path string) (store.Roster, error) {
	var roster store.Roster
	text, err := os.ReadFile(path)
	if err != nil {
		return roster, errors.Wrap(err, "instances-file")
	}
	err = json.Unmarshal(text, &roster)
	return roster, errors.Wrapf(err, "instances-file %s", path)
}
