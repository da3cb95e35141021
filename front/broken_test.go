package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

// TestMalformedAnswerIsNoSuccess lets targets send answers that are not valid HTTP. No
// client may get such an answer, straight or through another instance.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	t.Parallel()
	const head = "HEADContent-Length: 5\r\n"
	answers := map[string]string{
		"status 000": "HTTP/1.1 000 Trouble\r\n" + head + "\r\nwhole",
		"status 999": "HTTP/1.1 999 Trouble\r\n" + head + "\r\nwhole",
	}
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "b1")
	var answer string
	logArrivals(targets, func(target *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
		target.CountRun(r)
		hijack(w, strings.Replace(answer, "HEAD", fakes.RequestIDHeader+fakes.RequestID(r.Header)+"\r\n"+fakes.StampHeader, 1))
		return true
	})
	sent := 0
	for name := range answers {
		answer = answers[name]
		for i, instance := range instances {
			for _, path := range []string{"/read/x", "/write/x"} {
				sent++
				if got := sendOne(t, instance, path, fmt.Sprintf("b%d", sent), time.Second); got.status != http.StatusBadGateway {
					t.Errorf("%s, %s of instance %d: status %d with body %q, want 502", name, path, i+1, got.status, got.body)
				}
			}
		}
	}
}
