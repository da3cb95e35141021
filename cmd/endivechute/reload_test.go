package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
)

// TestReload checks that a changed settings file is applied without a signal, an
// unchanged one only at a signal, and an invalid one never.
func TestReload(t *testing.T) {
	good := fakes.Settings("i1", "a1", "a", "127.0.0.1:1", 20000)
	tests := map[string]struct {
		content string
		force   bool
		applied int
	}{
		"unchanged":              {good, false, 0},
		"unchanged, at a signal": {good, true, 1},
		"changed":                {good + "limits.max_fds=9\n", false, 1},
		"unusable":               {"zone=a1\n", false, 0},
		"unusable, at a signal":  {"zone=a1\n", true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.conf")
			write := func(content string) {
				if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write(good)
			applied := 0
			r := newReloader(path, logs.Discard())
			r.apply = func(*platform.Settings) { applied++ }
			write(test.content)
			r.reload(test.force)
			r.reload(false)
			if applied != test.applied {
				t.Errorf("the settings were applied %d times, want %d", applied, test.applied)
			}
			applied = 0
			write(good + "limits.max_fds=10\n")
			r.reload(false)
			if applied != 1 {
				t.Errorf("the next valid file was applied %d times, want once", applied)
			}
		})
	}
}

// TestReloadMissing checks that a missing file is not applied, and that the file is
// applied once it exists.
func TestReloadMissing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.conf")
	applied := 0
	r := newReloader(path, logs.Discard())
	r.apply = func(*platform.Settings) { applied++ }
	r.reload(true)
	if err := os.WriteFile(path, []byte(fakes.Settings("i1", "a1", "a", "127.0.0.1:1", 20000)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload(false)
	if applied != 1 {
		t.Errorf("the settings were applied %d times, want once after the file was written", applied)
	}
}
