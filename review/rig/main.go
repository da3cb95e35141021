// Command rig plays the cases of the review: it starts processes of the system with
// stand-ins of the platform's store, of endpoints and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(*world) (int, error){"versions": versions, "behind": behind, "path": path, "crowd": crowd, "unread": unread}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "there is no case", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and returns its exit code. It ends all processes that it started.
func run(play func(*world) (int, error), root, recordPath string) int {
	w, err := newWorld(root, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	code, err := play(w)
	if err != nil {
		w.note("the case couldn't run: %v", err)
		return failed
	}
	return code
}
