package sender_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
)

// TestHeadBrokenOff guards against an answer whose head breaks off and that is taken for
// a whole one without a body. The target closes after each number of bytes of the head.
func TestHeadBrokenOff(t *testing.T) {
	const id = "r1"
	for name, c := range map[string]struct {
		head, body string
		// mayRefuse is true if the client may refuse the whole answer too.
		mayRefuse bool
	}{
		"with a length":            {"HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\nContent-Length: 5\r\n\r\n", "whole", false},
		"length first":             {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + sender.HeaderRequestID + ": " + id + "\r\n\r\n", "whole", false},
		"no body":                  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + sender.HeaderRequestID + ": " + id + "\r\n\r\n", "", false},
		"chunked":                  {"HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n", false},
		"ends with the connection": {"HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\n\r\n", "whole", false},
		"lines without \\r":        {"HTTP/1.1 200 OK\n" + sender.HeaderRequestID + ": " + id + "\nContent-Length: 5\n\n", "whole", true},
		"no content":               {"HTTP/1.1 204 No Content\r\n" + sender.HeaderRequestID + ": " + id + "\r\n\r\n", "", false},
		"after an interim answer":  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\nContent-Length: 5\r\n\r\n", "whole", false},
		"after a stray answer":     {"HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": r0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\nContent-Length: 5\r\n\r\n", "whole", false},
		"with HTTP/1.0":            {"HTTP/1.0 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\n\r\n", "whole", false},
		"with a folded line":       {"HTTP/1.1 200 OK\r\n" + sender.HeaderRequestID + ": " + id + "\r\nX-Long: a\r\n b\r\nContent-Length: 5\r\n\r\n", "whole", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			header := sender.NewHeader(sender.HeaderRequestID, id)
			plain := sender.NewRequest("POST", "/x", time.Now().Add(time.Minute)).WithHeadersAndBody([]sender.Header{header}, []byte("body"))
			for kind, request := range map[string]sender.Request{
				"echo": plain.WithEcho(header).WithCloseDelimited(), "optional echo": plain.WithOptionalEcho(header).WithCloseDelimited(), "no echo": plain.WithCloseDelimited(),
			} {
				if kind == "no echo" && strings.Contains(c.head, "r0") {
					continue // It can't be known which answer is the stray one.
				}
				for length := range len(c.head) {
					if answer, err := exchangeWith(t, request, c.head[:length]); err == nil || errs.VerdictOf(err) == errs.VerdictNotRun {
						t.Errorf("%s, after %q: status %d with body %q, error %v; want one that says that the request may have run", kind, c.head[:length], answer.Status(), answer.Body(), err)
					}
				}
				answer, err := exchangeWith(t, request, c.head+c.body)
				want := strings.TrimSuffix(strings.TrimPrefix(c.body, "5\r\n"), "\r\n0\r\n\r\n")
				if (err != nil || string(answer.Body()) != want) && !c.mayRefuse {
					t.Errorf("%s, the whole answer: status %d with body %q, error %v", kind, answer.Status(), answer.Body(), err)
				}
			}
		})
	}
}

// exchangeWith sends a request to a target that answers with the bytes and closes.
func exchangeWith(t *testing.T, request sender.Request, bytes string) (sender.Answer, error) {
	t.Helper()
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
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, bytes)
		}
	})
	c := client(t, listener.Addr().String(), 1)
	defer c.Close()
	return c.Do(t.Context(), request)
}
