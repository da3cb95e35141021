package sender_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/sender"
)

// TestStrayAnswer sends three requests on one connection to a target that answers
// the first one twice, the second time just before it answers the next request.
// Each caller must get the answer to its own request or none.
func TestStrayAnswer(t *testing.T) {
	with := func(echo func(sender.Request, sender.Header) sender.Request) func(string) sender.Request {
		return func(id string) sender.Request {
			header := sender.NewHeader(sender.HeaderRequestID, id)
			request := sender.NewRequest("POST", "/x", time.Now().Add(5*time.Second)).WithHeadersAndBody([]sender.Header{header}, []byte("body"))
			return echo(request, header)
		}
	}
	tests := map[string]func(string) sender.Request{
		"echo":          with(sender.Request.WithEcho),
		"optional echo": with(sender.Request.WithOptionalEcho),
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var serving conc.WaitGroup
			defer serving.Wait()
			defer func() { _ = listener.Close() }()
			serving.Go(func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					serving.Go(func() { answerTwice(conn) })
				}
			})
			c := client(t, listener.Addr().String(), 1)
			defer c.Close()
			for i := range 3 {
				id := fmt.Sprint("r", i)
				answer, err := c.Do(t.Context(), request(id))
				if err != nil || string(answer.Body()) != "answer to "+id {
					t.Errorf("request %s: the answer is %q, error %v", id, answer.Body(), err)
				}
			}
		})
	}
}

// answerTwice answers each request on a connection with its ID, after the answer to
// the request before it.
func answerTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	before := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = r.Body.Close()
		id := r.Header.Get(sender.HeaderRequestID)
		for _, answered := range []string{before, id} {
			if answered != "" {
				body := "answer to " + answered
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", sender.HeaderRequestID, answered, len(body), body)
			}
		}
		before = id
	}
}
