package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/endivechute/endivechute/logs"
)

func TestPart(t *testing.T) {
	var out bytes.Buffer
	logger, err := logs.New(&out, "info", "json")
	if err != nil {
		t.Fatal(err)
	}
	logs.ForComponent(logger, "relay").Info("Settings are in force.")
	if !strings.Contains(out.String(), `"relay: Settings are in force."`) {
		t.Errorf("the line %q lacks the prefix", out.String())
	}
}

func TestNewRefuses(t *testing.T) {
	tests := map[string]struct{ level, format, want string }{
		"level":  {"loud", "text", "log-level"},
		"format": {"info", "xml", "log-format"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := logs.New(&bytes.Buffer{}, test.level, test.format)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("New returned %v, want an error that names %s", err, test.want)
			}
		})
	}
}
