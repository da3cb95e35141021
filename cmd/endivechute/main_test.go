package main

import (
	"context"
	"strings"
	"testing"
)

// TestExitCodes checks that the exit code is 2 for wrong settings, with an error
// that names the setting, and 1 for any other error.
func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args string
		code int
		has  string
	}{
		"no command":        {"", exitUsage, ""},
		"unknown command":   {"nonsense", exitUsage, `"nonsense"`},
		"unknown flag":      {"entry --bogus", exitUsage, "bogus"},
		"no duration":       {"entry --drain-timeout=abc", exitUsage, "drain-timeout"},
		"bad zone":          {"entry --instance=a --zone=nope", exitUsage, `"nope"`},
		"extra argument":    {"entry extra", exitUsage, `"extra"`},
		"no address":        {"policy get --path=fleet", exitUsage, "platform-address"},
		"no folder":         {"policy check /nonexistent", exitUsage, "/nonexistent"},
		"bad service":       {"lookup --caller-address=127.0.0.1:1 --service=desk", exitUsage, `"desk"`},
		"bad path":          {"send --caller-address=127.0.0.1:1 --service=a/b --path=x", exitUsage, `"x"`},
		"nobody listens":    {"dump --operator-address=127.0.0.1:1", exitFailed, "127.0.0.1:1"},
		"bad fingerprint":   {"lift --operator-address=127.0.0.1:1 --fingerprint=1", exitUsage, "fingerprint"},
		"nobody to lift":    {"lift --operator-address=127.0.0.1:1 --fingerprint=00000000000000ff", exitFailed, "127.0.0.1:1"},
		"no settings":       {"front --platform-settings=/nonexistent", exitUsage, "/nonexistent"},
		"odd log level":     {"front --log-level=loud", exitUsage, "log-level"},
		"no replay file":    {"replay", exitUsage, "0 files"},
		"no such replay":    {"replay /nonexistent", exitUsage, "/nonexistent"},
		"no replay in it":   {"replay ../../examples/kigali/fleet.json", exitUsage, "replay file"},
		"a replay":          {"replay ../../examples/replay/steady.json", 0, ""},
		"a good folder":     {"policy check ../../examples/kigali", 0, ""},
		"no configuration":  {"config check", exitUsage, "0 files"},
		"two of them":       {"config check a b", exitUsage, "2 files"},
		"none in force":     {"config check ../../examples/platform/config.json --in-force /nonexistent", exitUsage, "/nonexistent"},
		"a configuration":   {"config check ../../examples/platform/config.json", 0, ""},
		"a faulty one":      {"config check ../../examples/platform/faulty.json --in-force ../../examples/platform/config.json", exitFailed, "has errors"},
		"no config command": {"config nonsense", exitUsage, `"nonsense"`},
		"the other example": {"policy check ../../examples/bonoseguro", 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := run(context.Background(), strings.Fields(test.args))
			if code := exitCode(err); code != test.code {
				t.Errorf("%q exits with %d, want %d: %v", test.args, code, test.code, err)
			}
			if err != nil && !strings.Contains(err.Error(), test.has) {
				t.Errorf("%q: the error %q lacks %s", test.args, err, test.has)
			}
		})
	}
}
