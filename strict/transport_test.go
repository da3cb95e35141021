package strict_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/strict"
)

// TestTransport sends answers byte for byte.
func TestTransport(t *testing.T) {
	for name, c := range map[string]struct {
		answer    string
		malformed bool
	}{
		"status 000":              {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", true},
		"status 600":              {"HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n", true},
		"blank in a name":         {"HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 0\r\n\r\n", true},
		"blank behind the length": {"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", true},
		"valid":                   {"HTTP/1.1 200 OK\r\nX-Good: v\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var serving conc.WaitGroup
			defer serving.Wait()
			defer func() { _ = listener.Close() }()
			serving.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			client := &http.Client{Transport: strict.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			response, err := client.Get("http://" + listener.Addr().String())
			if err == nil {
				_ = response.Body.Close()
			}
			if errors.Is(err, strict.ErrMalformed) != c.malformed || (err == nil) == c.malformed {
				t.Errorf("the error is %v; malformed: %v", err, c.malformed)
			}
		})
	}
}
