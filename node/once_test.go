package node_test

import (
	"net"
	"strings"
	"testing"

	"github.com/endivechute/endivechute/entry"
)

// After the home of a key has shut down, a repeat of a request that ran gets the
// recorded answer from the witness, and an unused key of that home still runs.
func TestKeyOutlivesItsHome(t *testing.T) {
	f := newFleet(t)
	send := func(i int, key string) string {
		_, verdict, reason, body := f.send(t, i, "POST", "/s/library/loan-ledger/loans", map[string]string{entry.HeaderKey: key}, "x")
		if verdict != "ran" || !strings.Contains(body, key) {
			t.Errorf("entry %d: %q %q %s for key %s", i, verdict, reason, body, key)
		}
		return body
	}
	await(t, func() bool { return f.lookup(t, 0, ledger).KeyPrefix != "" })
	first := f.lookup(t, 0, ledger).KeyPrefix + ".1"
	answer := send(0, first)
	f.stop[0]()
	last := ""
	await(t, func() bool {
		found := f.lookup(t, 0, ledger)
		if found.KeyPrefix != "" {
			last = found.KeyPrefix
		}
		return len(found.Entries) == 0
	})
	await(t, func() bool {
		conn, err := net.Dial("tcp", f.peers[0])
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if again := send(1, first); again != answer {
		t.Errorf("the repeat got %s, want %s", again, answer)
	}
	send(1, last+".1")
}
