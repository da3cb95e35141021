package socket_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/socket"
)

// startServer serves requests with the handler and returns the listener.
func startServer(t *testing.T, handler http.HandlerFunc) *socket.DrainListener {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := socket.NewDrainListener(tcp)
	server := &http.Server{Handler: handler, ConnState: socket.TrackState, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// TestCloseKeepsAnswerForSlowReader guards against an answer that is cut off by a reset,
// because the server closes the connection while the client still reads the answer and
// has sent another request behind.
func TestCloseKeepsAnswerForSlowReader(t *testing.T) {
	const bodyBytes = 400_000
	listener := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	// The request behind is longer than what the server reads at once.
	behind := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60_000)
	if _, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"+behind); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	read := 0
	for chunk := make([]byte, 20_000); read < bodyBytes; time.Sleep(20 * time.Millisecond) {
		n, err := io.ReadFull(response.Body, chunk)
		if read += n; err != nil {
			t.Fatalf("%d of %d bytes were read: %v", read, bodyBytes, err)
		}
	}
}

// TestDrainEndsWithItsClients: a connection that is closed while draining counts until
// its client has closed it too, but not for longer than lingerTime.
func TestDrainEndsWithItsClients(t *testing.T) {
	for name, closes := range map[string]bool{"the client closes": true, "the client stays": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := startServer(t, func(http.ResponseWriter, *http.Request) {})
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			reader := bufio.NewReader(conn)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			if err := listener.Drain(ctx); err != nil {
				t.Fatal(err)
			}
			if closes {
				go func() {
					_, _ = io.Copy(io.Discard, reader)
					_ = conn.Close()
				}()
			}
			idle := listener.CloseIdle(ctx)
			took := time.Since(began)
			if !idle || (took < time.Second) != closes || took > 3*time.Second {
				t.Errorf("draining ended after %v, with all connections closed: %v", took, idle)
			}
		})
	}
}
