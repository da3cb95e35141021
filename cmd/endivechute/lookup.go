package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/endivechute/endivechute/admin"
	"github.com/endivechute/endivechute/entry"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/setup"
)

// answerBytesMax limits how much of a response body a command reads.
const answerBytesMax = 16 << 20

func newDumpCommand() *ffcli.Command {
	return newOperatorCommand("dump", "/dump", "print the state of an entry process as JSON")
}

func newReadyCommand() *ffcli.Command {
	return newOperatorCommand("ready", "/health/ready", "exit with 0 if an entry process is ready for callers")
}

// newOperatorCommand makes a command that prints one page of the port for
// operators.
func newOperatorCommand(name, page, help string) *ffcli.Command {
	flags := flag.NewFlagSet("endivechute "+name, flag.ContinueOnError)
	address := flags.String("operator-address", "", "IP:port of the instance's operators' port")
	return command(name, "--operator-address IP:port", help, flags, func(ctx context.Context, args []string) error {
		if err := errors.CombineErrors(noArgs(args), setup.CheckAddress("operator-address", *address)); err != nil {
			return err
		}
		return printResponse(ctx, http.MethodGet, "http://"+*address+page, nil, "")
	})
}

func newLiftCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute lift", flag.ContinueOnError)
	address := flags.String("operator-address", "", "IP:port of any instance's operators' port")
	fingerprint := flags.String("fingerprint", "", "the request, 16 hexadecimal digits from the dump")
	return command("lift", "--operator-address IP:port --fingerprint DIGITS", "end the quarantine of a request at all instances", flags, func(ctx context.Context, args []string) error {
		if err := errors.CombineErrors(noArgs(args), setup.CheckAddress("operator-address", *address)); err != nil {
			return err
		}
		if _, valid := poison.ParseFingerprint(*fingerprint); !valid {
			return errors.Mark(errors.Newf("fingerprint: %q is given; want 16 hexadecimal digits, as in the dump", *fingerprint), setup.ErrUsage)
		}
		return printResponse(ctx, http.MethodPost, "http://"+*address+admin.LiftPage+"?fingerprint="+*fingerprint, nil, "")
	})
}

func newLookupCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute lookup", flag.ContinueOnError)
	address := flags.String("caller-address", "", "IP:port of any instance's callers' port")
	service := flags.String("service", "", "the service, as team/service")
	return command("lookup", "--caller-address IP:port --service team/service", "ask which entry instances to use for a service", flags, func(ctx context.Context, args []string) error {
		if err := errors.CombineErrors(noArgs(args), checkServiceFlags(*address, *service)); err != nil {
			return err
		}
		return printResponse(ctx, http.MethodGet, "http://"+*address+"/v1/lookup?service="+url.QueryEscape(*service), nil, "")
	})
}

func newSendCommand() *ffcli.Command {
	flags := flag.NewFlagSet("endivechute send", flag.ContinueOnError)
	address := flags.String("caller-address", "", "IP:port of an instance's callers' port, from a look-up")
	service := flags.String("service", "", "the service, as team/service")
	method := flags.String("method", http.MethodGet, "HTTP method")
	path := flags.String("path", "/", "path and query that the target gets")
	body := flags.String("body", "", "body of the request")
	key := flags.String("key", "", "key of a non-idempotent request: key_prefix of a look-up, a dot, a number")
	deadline := flags.Duration("deadline", 2*time.Second, "time until the deadline of the request")
	return command("send", "--caller-address IP:port --service team/service [flags]", "send one request through an entry instance", flags, func(ctx context.Context, args []string) error {
		if err := errors.CombineErrors(noArgs(args), checkServiceFlags(*address, *service)); err != nil {
			return err
		}
		if !strings.HasPrefix(*path, "/") {
			return errors.Mark(errors.Newf("path: %q is given; want one that begins with /", *path), setup.ErrUsage)
		}
		headers := http.Header{entry.HeaderDeadline: {strconv.FormatInt(deadline.Milliseconds(), 10)}}
		if *key != "" {
			headers.Set(entry.HeaderKey, *key)
		}
		return printResponse(ctx, *method, "http://"+*address+"/s/"+*service+*path, headers, *body)
	})
}

func checkServiceFlags(address, service string) error {
	if err := setup.CheckAddress("caller-address", address); err != nil {
		return err
	}
	if _, err := place.ParseService(service); err != nil {
		return errors.Mark(err, setup.ErrUsage)
	}
	return nil
}

// printResponse sends a request and prints the response body. It returns an error
// if the status is 400 or above, after printing the body.
func printResponse(ctx context.Context, method, address string, headers http.Header, body string) error {
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	if err != nil {
		return errors.Mark(err, setup.ErrUsage)
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return errors.Wrapf(err, "send a request to %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, answerBytesMax))
	if err != nil {
		return errors.Wrapf(err, "read the response of %s", address)
	}
	if _, err := os.Stdout.Write(append(text, '\n')); err != nil {
		return errors.Wrap(err, "print the response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("the response has status %s, verdict %s", response.Status, response.Header.Get(entry.HeaderVerdict))
	}
	return nil
}
