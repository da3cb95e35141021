package sender_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
)

// strayTarget rejects the first request that it gets, and runs all others. On a
// connection on which it has rejected one, it writes that rejection once more when the
// next request arrives.
type strayTarget struct {
	// writeID writes the header with a request's ID, if the target echoes it.
	writeID func(id string) string
	// writeStray is false if the target is sound.
	writeStray bool
	// then is what follows the stray rejection: the answer, or nothing until the
	// connection is closed.
	then     func(conn net.Conn, answer string)
	rejected atomic.Bool
	runs     atomic.Int64
}

func (s *strayTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	rejection := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := s.writeID(r.Header.Get(sender.HeaderRequestID))
		if s.rejected.CompareAndSwap(false, true) {
			rejection = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(conn, rejection)
			continue
		}
		s.runs.Add(1)
		if s.writeStray && rejection != "" {
			_, _ = io.WriteString(conn, rejection)
		}
		s.then(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", id))
	}
}

// TestStrayRejection guards against a rejection that a target writes once more and that
// is taken for the answer to a request which the target runs.
func TestStrayRejection(t *testing.T) {
	rules := []config.RefusedResponse{config.NewRefusedResponse(http.StatusServiceUnavailable, "X-Rejected")}
	echoes := func(id string) string { return sender.HeaderRequestID + ": " + id + "\r\n" }
	silent := func(string) string { return "" }
	answer := func(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
	late := func(conn net.Conn, text string) {
		time.Sleep(50 * time.Millisecond)
		answer(conn, text)
	}
	closes := func(conn net.Conn, _ string) { _ = conn.Close() }
	strict, optional := sender.Request.WithEcho, sender.Request.WithOptionalEcho
	for name, c := range map[string]struct {
		request func(sender.Request, sender.Header) sender.Request
		writeID func(string) string
		then    func(net.Conn, string)
		// sameID sends the second request with the ID of the first one, as a caller does
		// that repeats it.
		sameID bool
		// want is the body of the answer to the second request, "" for an error.
		want string
	}{
		"echo, answered":                         {strict, echoes, answer, false, "ran"},
		"echo, answered late":                    {strict, echoes, late, false, "ran"},
		"echo, closed":                           {strict, echoes, closes, false, ""},
		"optional echo, answered":                {optional, echoes, answer, false, "ran"},
		"optional echo, closed":                  {optional, echoes, closes, false, ""},
		"optional echo, same ID":                 {optional, echoes, answer, true, "ran"},
		"optional echo, same ID, closed":         {optional, echoes, closes, true, ""},
		"optional echo, none comes":              {optional, silent, answer, false, "ran"},
		"optional echo, none comes, closed":      {optional, silent, closes, false, ""},
		"optional echo, none comes, and late":    {optional, silent, late, false, "ran"},
		"optional echo, none comes, the same ID": {optional, silent, late, true, "ran"},
	} {
		for _, writeStray := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stray %v", name, writeStray), func(t *testing.T) {
				t.Parallel()
				target := &strayTarget{writeID: c.writeID, then: c.then, writeStray: writeStray}
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
						serving.Go(func() { target.serve(conn) })
					}
				})
				client := client(t, listener.Addr().String(), 1)
				defer client.Close()
				send := func(id string) (sender.Answer, error) {
					header := sender.NewHeader(sender.HeaderRequestID, id)
					request := sender.NewRequest("POST", "/x", time.Now().Add(5*time.Second)).WithHeadersAndBody([]sender.Header{header}, []byte("body")).WithRefusedResponses(rules)
					return client.Do(t.Context(), c.request(request, header))
				}
				if _, err := send("r0"); errs.VerdictOf(err) != errs.VerdictNotRun {
					t.Fatalf("the rejected request: error %v, want one that says that it didn't run", err)
				}
				second := "r1"
				if c.sameID {
					second = "r0"
				}
				got, err := send(second)
				if target.runs.Load() != 1 {
					t.Fatalf("the target ran %d requests, want 1", target.runs.Load())
				}
				if err != nil && errs.VerdictOf(err) == errs.VerdictNotRun {
					t.Errorf("a request that ran is said not to have run: %v", err)
				}
				if (err == nil) != (c.want != "") || string(got.Body()) != c.want {
					t.Errorf("the answer is %q, error %v; want %q", got.Body(), err, c.want)
				}
			})
		}
	}
}
