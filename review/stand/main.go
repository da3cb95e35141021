// Command stand runs the scripted cases of the review: it starts instances as separate
// processes on loopback addresses, with stand-ins of the platform's store, of endpoints
// and of clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc runs a case, with the disruption if trouble is set, and reports whether the
// rule was broken.
type caseFunc func(r *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"half":   runHalf,
	"memory": runMemory,
	"pipe":   runPipe,
	"stop":   runStop,
}

// timeMax limits the time of a case. The instances end with this process.
const timeMax = 115 * time.Second

func main() {
	time.AfterFunc(timeMax, func() {
		fmt.Fprintf(os.Stderr, "the case took longer than %v\n", timeMax)
		os.Exit(exitFailed)
	})
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	const argsCount = 2
	if len(args) != argsCount || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitFailed
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.result("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		r.result("the rule was broken")
		return exitBroken
	}
	r.result("the rule held")
	return exitHeld
}
