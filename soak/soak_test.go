// Package soak injects randomly drawn faults into a small platform with real
// processes of the program, and checks what clients and targets see against the
// documented guarantees. Faults come from outside the processes: signals, and
// loopback proxies on every connection. A seed determines the kinds of faults,
// their times and their order. It does not determine how the machine schedules
// the processes, so it may take several runs of a seed to reproduce a failure.
//
// The program has no storage of its own, so storage faults are injected into the
// platform's store. The clock of a process can't be changed from outside; the
// process is paused instead.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var (
	seedsFlag = flag.Int("soak.seeds", 4, "how many seeds to run")
	firstFlag = flag.Uint64("soak.first", 1, "the first seed; 0 draws one")
	keepFlag  = flag.String("soak.keep", "", "directory that keeps the logs of failed seeds")
)

// program is the program under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	directory, err := os.MkdirTemp("", "endivechute-soak-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program = filepath.Join(directory, "endivechute")
	build := exec.Command("go", "build", "-o", program, "../cmd/endivechute")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, fmt.Errorf("build the program: %w", err)
	}
	return m.Run(), nil
}

// TestSeeds runs one test for each seed. A failed one logs its faults.
func TestSeeds(t *testing.T) {
	first := *firstFlag
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	for i := range *seedsFlag {
		seed := first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	directory := t.TempDir()
	w := newTestbed(t, seed, directory)
	w.run(t)
	w.check(t)
	t.Logf("%d calls, %d arrivals, %d versions, %d targets drained", len(w.record.calls), len(w.record.arrivals), len(w.record.configChanges), len(w.record.drains))
	if !t.Failed() {
		return
	}
	for _, line := range w.record.timeline {
		t.Log(line)
	}
	if *keepFlag != "" {
		to := filepath.Join(*keepFlag, fmt.Sprint(seed))
		if err := os.CopyFS(to, os.DirFS(directory)); err != nil {
			t.Log(err)
		}
	}
}
