package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

// TestHeadBrokenOffIsNoSuccess guards against a 200 for an answer whose head breaks off,
// also through another instance.
func TestHeadBrokenOffIsNoSuccess(t *testing.T) {
	t.Parallel()
	store, targets := newTestPlatform(t, 4)
	instances := cutFleet(t, store, "a1", "b1")
	var length int
	logArrivals(targets, func(target *fakes.Target, w http.ResponseWriter, r *http.Request) bool {
		target.CountRun(r)
		head := "HTTP/1.1 200 OK\r\n" + fakes.RequestIDHeader + fakes.RequestID(r.Header) + "\r\n" + fakes.StampHeader + "Content-Length: 5\r\n\r\n"
		hijack(w, (head + "whole")[:min(length, len(head)+5)])
		return true
	})
	head := "HTTP/1.1 200 OK\r\n" + fakes.RequestIDHeader + "h-0-0-00\r\n" + fakes.StampHeader + "Content-Length: 5\r\n\r\n"
	for i, instance := range instances {
		for route, path := range []string{"/read/x", "/write/x"} {
			for _, length = range []int{1, 12, 17, 25, strings.Index(head, "Content-Length"), len(head) - 5, len(head) - 2, len(head) - 1, len(head), len(head) + 4} {
				id := fmt.Sprintf("h-%d-%d-%02d", i, route, length%100)
				if got := sendOne(t, instance, path, id, time.Second); got.status != http.StatusBadGateway {
					t.Errorf("%s of instance %d: status %d with body %q after %d of the %d bytes of the head, want 502", path, i+1, got.status, got.body, length, len(head))
				}
			}
			length = len(head) + 5
			if got := sendOne(t, instance, path, fmt.Sprintf("h-%d-%d-ok", i, route), time.Second); got.status != http.StatusOK || got.body != "whole" {
				t.Errorf("%s of instance %d: status %d with body %q for a whole answer", path, i+1, got.status, got.body)
			}
		}
	}
}

// TestStrayRejectionIsNoRefusal guards against a 503 for a request that a target runs,
// because the target wrote its rejection of an earlier request once more.
func TestStrayRejectionIsNoRefusal(t *testing.T) {
	t.Parallel()
	rejection := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + fakes.RequestIDHeader + id + "\r\n" + fakes.NotRunHeader + "Content-Length: 0\r\n\r\n"
	}
	for name, answers := range map[string]bool{"answered then": true, "closed then": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, targets := newTestPlatform(t, 1)
			instances := newTestFleet(t, store, "a1")
			eventually(t, time.Second, "the port for clients is open", func() bool {
				conn, err := net.Dial("tcp", instances[0].address)
				if err == nil {
					_ = conn.Close()
				}
				return err == nil
			})
			target := targets[0]
			target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
				switch id := fakes.RequestID(r.Header); id {
				case "first":
					target.RespondNotRun(w, r)
				case "second":
					target.CountRun(r)
					text := rejection("first")
					if answers {
						text += "HTTP/1.1 200 OK\r\n" + fakes.RequestIDHeader + id + "\r\n" + fakes.StampHeader + "Content-Length: 5\r\n\r\nwhole"
					}
					hijack(w, text)
				default:
					return false
				}
				return true
			})
			if got := sendOne(t, linkedInstance{testInstance: instances[0]}, "/write/x", "first", time.Second); got.status != http.StatusServiceUnavailable {
				t.Fatalf("the rejected request: status %d, want 503", got.status)
			}
			want := http.StatusBadGateway
			if answers {
				want = http.StatusOK
			}
			if got := sendOne(t, linkedInstance{testInstance: instances[0]}, "/write/x", "second", time.Second); got.status != want {
				t.Errorf("the request that ran: status %d with Retry-After %q, want %d", got.status, got.retryAfter, want)
			}
			if runs := target.Runs("second"); runs != 1 {
				t.Errorf("the request ran %d times, want once", runs)
			}
		})
	}
}
