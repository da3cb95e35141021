package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
)

// TestMalformedAnswerIsNoSuccess lets targets send answers that are not valid HTTP. No
// client may get such an answer, straight or through another instance.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	t.Parallel()
	const head = "HEADContent-Length: 5\r\n"
	answers := map[string]string{
		"status 000":               "HTTP/1.1 000 Trouble\r\n" + head + "\r\nwhole",
		"status 999":               "HTTP/1.1 999 Trouble\r\n" + head + "\r\nwhole",
		"blank in the name":        "HTTP/1.1 200 OK\r\n" + head + "X Bad: v\r\n\r\nwhole",
		"blank in front":           "HTTP/1.1 200 OK\r\n" + head + " X-Bad: v\r\n\r\nwhole",
		"control byte in the name": "HTTP/1.1 200 OK\r\n" + head + "X-\x01Bad: v\r\n\r\nwhole",
		"blank behind the length":  "HTTP/1.1 200 OK\r\nHEADContent-Length : 1\r\n\r\nwhole",
		"chunks with HTTP/1.0":     "HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank inside the length":  "HTTP/1.1 200 OK\r\nHEADContent Length: 1\r\n\r\nwhole",
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
	for name, text := range answers {
		answer = text
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

// TestResetDuringUploadIsNoSuccess guards against a part of an answer that a client gets as
// a whole one. A target answers a long upload at once, without a length, and resets the
// connection while the upload is still being written.
func TestResetDuringUploadIsNoSuccess(t *testing.T) {
	t.Parallel()
	const uploadBytes, timeout, rounds = 16 * mebibyte, 5000, 10
	upload := strings.Repeat("x", uploadBytes)
	w := newTestEnvWith(t, "", strings.Replace(fakes.Config(1, timeout), `"max_body_bytes":1048576`, fmt.Sprintf(`"max_body_bytes":%d`, uploadBytes), 1))
	for _, id := range []string{"t1", "t2"} {
		address := answerRaw(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fakes.RequestIDHeader+fakes.RequestID(r.Header)+"\r\n"+fakes.StampHeader+"\r\npart")
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		w.store.Put("servers", id, fakes.SpecAt(address, "svc", "a1", "ready", 0, 2))
	}
	eventually(t, 3*time.Second, "the targets have moved", func() bool { return w.do(t, "POST", "/read/x", "moved").body != "whole" })
	for i := range rounds {
		for _, path := range []string{"/read/x", "/write/x"} {
			r, err := fakes.NewRequest(t.Context(), "POST", w.address(), path, fmt.Sprintf("u%d%s", i, path[1:2]), "", upload, timeout)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusBadGateway {
				t.Errorf("%s: status %d with body %q, error %v; want 502", path, response.StatusCode, body, err)
			}
		}
	}
}

// answerRaw reads the head of the first request of each connection at an address, lets the
// function answer, and closes the connection.
func answerRaw(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving conc.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r)
				}
			})
		}
	})
	return listener.Addr().String()
}
