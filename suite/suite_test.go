// Package suite runs the scenarios. Each file in testdata/script starts the
// project's programs as real processes on loopback, causes a fault and checks
// what callers and targets saw. The commands of the scenarios are listed in
// commands_test.go.
package suite

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "suite:", err)
		code = 1
	}
	os.Exit(code)
}

// buildAndRun builds the programs once for all scripts.
func buildAndRun(m *testing.M) (int, error) {
	directory, err := os.MkdirTemp("", "endivechute-suite-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, fmt.Errorf("build the programs: %w", err)
	}
	programs = directory
	return m.Run(), nil
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		Cmds:                commands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			f := newFleet(env.WorkDir)
			env.Values[fleetKey{}] = f
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(f.close)
			return nil
		},
	})
}
