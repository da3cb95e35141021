package front_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/sender"
)

// TestEndlessRepliesToInstance lets a target send bytes without end to an instance's probes,
// and the store to its calls. What the instance keeps of them must fit into the smallest
// memory.
func TestEndlessRepliesToInstance(t *testing.T) {
	callers := map[string]struct {
		atOnce int
		call   func(t *testing.T, address string) error
	}{
		"probes": {200, func(t *testing.T, address string) error {
			client := sender.New("t1", address, 1, sender.DialTCP)
			defer client.Close()
			_, err := client.Do(t.Context(), platform.NewProbe("/health", time.Now().Add(time.Second)))
			return err
		}},
		// An instance watches one kind of objects in each call.
		"store": {5, func(t *testing.T, address string) error {
			client := platform.NewStore(address, func(string, time.Duration) {})
			defer client.Close()
			_, _, err := client.List(t.Context(), platform.KindTargets, func() {})
			return err
		}},
	}
	chunk := "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"
	answers := map[string]struct {
		head string
		part func(io.Writer) error
	}{
		"status line":     {"", writeText(strings.Repeat("x", 1000))},
		"one header":      {"HTTP/1.1 200 OK\r\nX-Long: ", writeText(strings.Repeat("x", 1000))},
		"headers":         {"HTTP/1.1 200 OK\r\n", writeText(strings.Repeat("X-More: x\r\n", 100))},
		"interim answers": {"", writeText(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100))},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", writeText(chunk)},
		// An answer that is long and then slow keeps what was read of it for as long as the
		// caller waits.
		"slow chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 1000), writeSlowly("1\r\nx\r\n")},
		"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", writeText(strings.Repeat("X-More: x\r\n", 100))},
		"no length":   {"HTTP/1.1 200 OK\r\n\r\n", writeText(strings.Repeat("x", 1000))},
		"refusal":     {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", writeText(chunk)},
	}
	for callerName, caller := range callers {
		for name, answer := range answers {
			t.Run(callerName+", "+name, func(t *testing.T) {
				address := answerRaw(t, func(conn *net.TCPConn, _ *http.Request) {
					_, err := io.WriteString(conn, answer.head)
					for err == nil {
						err = answer.part(conn)
					}
				})
				stopWatching := watchMemory(t)
				var calling conc.WaitGroup
				for range caller.atOnce {
					calling.Go(func() {
						if err := caller.call(t, address); err == nil {
							t.Error("an endless answer was taken")
						}
					})
				}
				calling.Wait()
				stopWatching()
			})
		}
	}
}
