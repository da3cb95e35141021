package setup_test

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/setup"
)

var goodArgs = []string{
	"--instance=entry-1", "--zone=kigali/a", "--caller-address=127.0.0.1:8000", "--peer-address=127.0.0.1:8001",
	"--operator-address=127.0.0.1:8002", "--platform-address=127.0.0.1:9000",
}

func TestEntryCheck(t *testing.T) {
	tests := map[string]struct {
		arg  string
		want []string
	}{
		"good":             {"--log-level=info", nil},
		"instance missing": {"--instance=", []string{"instance", "name is empty"}},
		"instance":         {"--instance=Entry_1", []string{"instance", "Entry_1", "a-z"}},
		"zone":             {"--zone=kigali", []string{"zone", `"kigali"`, "region/zone"}},
		"host name":        {"--caller-address=localhost:80", []string{"caller-address", "localhost:80", "IP address"}},
		"no port":          {"--peer-address=127.0.0.1", []string{"peer-address", "port"}},
		"port too large":   {"--peer-address=127.0.0.1:99999", []string{"peer-address", "99999", "65535"}},
		"address twice":    {"--operator-address=127.0.0.1:8000", []string{"operator-address", "caller-address"}},
		"seeds":            {"--peer-seeds=entry-2=127.0.0.1:8011,entry-3=127.0.0.1:8021", nil},
		"seed name":        {"--peer-seeds=127.0.0.1:8011", []string{"peer-seeds", "127.0.0.1:8011", "a-z"}},
		"seed address":     {"--peer-seeds=entry-2=here", []string{"peer-seeds", `"here"`, "IP address"}},
		"drain too short":  {"--drain-timeout=1ms", []string{"drain-timeout", "1ms", "1s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			flags := flag.NewFlagSet("entry", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			entry := setup.NewEntry(flags)
			if err := flags.Parse(append(append([]string{}, goodArgs...), test.arg)); err != nil {
				t.Fatal(err)
			}
			err := entry.Check()
			if (err != nil) != (test.want != nil) || err != nil && !errors.Is(err, setup.ErrUsage) {
				t.Fatalf("Check() = %v", err)
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("the error %q lacks %q", err, part)
				}
			}
		})
	}
}
