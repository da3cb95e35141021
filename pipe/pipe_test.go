package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivechute/endivechute/hold"
	"github.com/endivechute/endivechute/pipe"
	"github.com/endivechute/endivechute/socket"
)

// policy lets requests to paths that begin with /r start early.
type policy struct {
	closing           atomic.Bool
	started, canceled atomic.Int64
	budget            *hold.Budget
}

func (p *policy) MayStart(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/r") }
func (p *policy) Closing() bool                 { return p.closing.Load() }
func (p *policy) Share() *hold.Share            { return p.budget.Share() }
func (p *policy) Started()                      { p.started.Add(1) }
func (p *policy) Canceled()                     { p.canceled.Add(1) }

// site is a server whose handler notes which requests run and waits as their query says.
type site struct {
	*policy
	listener *socket.DrainListener
	mu       sync.Mutex
	// events holds "+path" for each request that began and "-path" for each that was
	// canceled.
	events []string
}

func newSite(t *testing.T) *site {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{policy: &policy{budget: hold.New(1 << 20)}, listener: socket.NewDrainListener(tcp)}
	pipelined := pipe.New(s, s.policy, 16<<10)
	server := &http.Server{Handler: pipelined, ConnContext: pipe.ConnContext, ConnState: pipe.TrackState(socket.TrackState), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(pipelined.Listen(s.listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *site) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

func (s *site) noted(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(" "+strings.Join(s.events, " ")+" ", " "+event+" ")
}

// ServeHTTP answers with the path and the body, repeated ?times, after ?ms milliseconds.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.note("+" + r.URL.Path)
	body, _ := io.ReadAll(r.Body)
	number := func(name string) int {
		n, _ := strconv.Atoi(r.URL.Query().Get(name))
		return n
	}
	select {
	case <-time.After(time.Duration(number("ms")) * time.Millisecond):
	case <-r.Context().Done():
		s.note("-" + r.URL.Path)
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if r.URL.Query().Get("abort") != "" {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Get("close") != "" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Path", r.URL.Path)
	for range max(number("times"), 1) {
		_, _ = io.WriteString(w, r.URL.Path+string(body))
		if number("times") > 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func (s *site) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

type client struct {
	*net.TCPConn
	reader *bufio.Reader
}

// get returns the bytes of a GET request.
func get(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// post returns the bytes of a POST request.
func post(uri, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", uri, len(body), body)
}

func (c *client) send(t *testing.T, parts ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(parts, "")); err != nil {
		t.Fatal(err)
	}
}

// expect reads an answer with the status and the body.
func (c *client) expect(t *testing.T, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("the answer %.40q: %v", body, err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		t.Fatalf("answer %d %.40q, error %v; want %d %.40q", response.StatusCode, got, err, status, body)
	}
	return response
}

// eventually fails the test if the condition doesn't hold within half a second, in which
// requests whose client left must be canceled.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(500 * time.Millisecond); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within half a second", what)
		}
	}
}

// TestAnswersInOrder guards against pipelined requests that run one after the other, and
// against answers in the order in which they are ready.
func TestAnswersInOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	began := time.Now()
	c.send(t, get("/r1?ms=400"), get("/r2?ms=10"), get("/r3?ms=400"), "HEAD /r4?ms=400 HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect(t, 200, "/r1")
	c.expect(t, 200, "/r2")
	if third := c.expect(t, 200, "/r3"); third.Header.Get("Path") != "/r3" {
		t.Errorf("the third answer has the headers %v", third.Header)
	}
	head, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	if err != nil || head.Header.Get("Path") != "/r4" {
		t.Errorf("the answer to HEAD: %v, %v", head, err)
	}
	if took := time.Since(began); took > 800*time.Millisecond || s.started.Load() != 3 {
		t.Errorf("four requests took %v, %d were started early", took, s.started.Load())
	}
	// The connection is used as before.
	c.send(t, get("/r5"))
	c.expect(t, 200, "/r5")
}

// TestNotEarly guards against an early start of a request that must wait its turn, or of one
// behind it, and against requests that are lost or changed then.
func TestNotEarly(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first, waits, waitsBody string
	}{
		"policy":            {get("/r1?ms=200"), get("/w2"), "/w2"},
		"body":              {get("/r1?ms=200"), post("/r2", "body"), "/r2body"},
		"GET with a body":   {get("/r1?ms=200"), "GET /r2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "/r2body"},
		"chunked":           {get("/r1?ms=200"), "POST /r2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "/r2body"},
		"empty POST":        {get("/r1?ms=200"), post("/r2", ""), "/r2"},
		"long head":         {get("/r1?ms=200"), "GET /r2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", "/r2"},
		"behind a POST":     {post("/r1?ms=200", ""), get("/r2"), "/r2"},
		"behind a long one": {post("/r1?ms=200", strings.Repeat("b", 9000)), get("/r2"), "/r2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			client := s.dial(t)
			client.send(t, c.first, c.waits, get("/r3"))
			time.Sleep(100 * time.Millisecond)
			if s.noted("+/r2") || s.noted("+/w2") || s.noted("+/r3") {
				t.Errorf("early: %v", s.events)
			}
			body := "/r1"
			if strings.HasSuffix(c.first, "b") {
				body += strings.Repeat("b", 9000)
			}
			client.expect(t, 200, body)
			client.expect(t, 200, c.waitsBody)
			client.expect(t, 200, "/r3")
		})
	}
}

// TestHeadInParts: a request whose head arrives in parts starts when it is complete.
func TestHeadInParts(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	c.send(t, get("/r1?ms=400"))
	for _, part := range []string{"GET /r2 HT", "TP/1.1\r\nHost: h\r", "\n\r"} {
		time.Sleep(20 * time.Millisecond)
		c.send(t, part)
	}
	time.Sleep(20 * time.Millisecond)
	if s.noted("+/r2") {
		t.Error("an incomplete request was started")
	}
	c.send(t, "\n")
	eventually(t, "the start of the completed request", func() bool { return s.noted("+/r2") })
	// A head that is still incomplete when net/http reaches it.
	c.send(t, "GET /r3 HTTP/1.1\r\n")
	c.expect(t, 200, "/r1")
	c.expect(t, 200, "/r2")
	c.send(t, "Host: h\r\n\r\n")
	c.expect(t, 200, "/r3")
}

// TestManyRequests: of more than 16 requests all are answered, and no more than 17 at a time
// are running.
func TestManyRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	const requests = 100
	var all strings.Builder
	for i := range requests {
		all.WriteString(get(fmt.Sprintf("/r%d?ms=50", i)))
	}
	c.send(t, all.String())
	time.Sleep(20 * time.Millisecond)
	if n := s.started.Load(); n != 16 {
		t.Errorf("%d requests were started early, want 16", n)
	}
	for i := range requests {
		c.expect(t, 200, fmt.Sprintf("/r%d", i))
	}
}

// TestClientLeaves guards against requests that go on running after their client has left:
// the one that is being handled, and those that were started early, also while the bounds
// keep the connection from being read to its end.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	long := "GET /w HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"
	for name, c := range map[string]struct {
		behind   string
		early    int
		canceled bool
		leave    func(*client)
	}{
		"closes":                   {get("/r2?ms=5000"), 1, true, func(c *client) { _ = c.Close() }},
		"resets":                   {get("/r2?ms=5000"), 1, true, func(c *client) { _ = c.SetLinger(0); _ = c.Close() }},
		"closes, blocked behind":   {get("/r2?ms=5000") + post("/w", "body"), 1, true, func(c *client) { _ = c.Close() }},
		"closes, incomplete":       {get("/r2?ms=5000") + "GET /r3", 1, true, func(c *client) { _ = c.Close() }},
		"closes, nothing early":    {get("/w"), 0, false, func(c *client) { _ = c.Close() }},
		"closes, many behind":      {get("/r2?ms=5000") + strings.Repeat(get("/r?ms=5000"), 50), 16, true, func(c *client) { _ = c.Close() }},
		"resets, many behind":      {get("/r2?ms=5000") + strings.Repeat(get("/r?ms=5000"), 50), 16, true, func(c *client) { _ = c.SetLinger(0); _ = c.Close() }},
		"closes, much behind":      {get("/r2?ms=5000") + strings.Repeat(long, 16), 1, true, func(c *client) { _ = c.Close() }},
		"half-closes, many behind": {get("/r2?ms=5000") + strings.Repeat(get("/r?ms=5000"), 50), 16, true, func(c *client) { _ = c.CloseWrite() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			client := s.dial(t)
			client.send(t, get("/r1?ms=5000"), c.behind)
			eventually(t, "the early starts", func() bool { return s.started.Load() == int64(c.early) && s.noted("+/r1") })
			time.Sleep(20 * time.Millisecond)
			c.leave(client)
			eventually(t, "the cancellation", func() bool {
				return s.noted("-/r1") && s.noted("-/r2") == c.canceled && s.canceled.Load() >= int64(c.early)
			})
		})
	}
}

// TestHalfClosed guards against requests without an answer, of a client that has closed
// its sending side and waits for what it asked for.
func TestHalfClosed(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	c.send(t, get("/r1?ms=5000"), get("/r2?ms=5000"), get("/r3?ms=5000"))
	eventually(t, "the early starts", func() bool { return s.started.Load() == 2 })
	_ = c.CloseWrite()
	for range 3 {
		c.expect(t, http.StatusBadGateway, "")
	}
}

// TestAnswerCloses guards against requests that go on running behind an answer that closes
// the connection, or get one.
func TestAnswerCloses(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]string{
		"answer": get("/r1?ms=100&close=1"), "abort": get("/r1?ms=100&abort=1"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			c := s.dial(t)
			// The answer that closes may be that of a request that was started early.
			c.send(t, get("/r0?ms=100"), first, get("/r2?ms=5000"))
			c.expect(t, 200, "/r0")
			eventually(t, "the cancellation", func() bool { return s.noted("-/r2") })
			if name == "answer" && !c.expect(t, 200, "/r1").Close {
				t.Error("the answer doesn't close the connection")
			}
			if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
				t.Errorf("behind it: %q, %v", rest, err)
			}
		})
	}
	for name, first := range map[string]string{
		"1.0": "GET /r1?ms=100 HTTP/1.0\r\nHost: h\r\n\r\n", "client closes": "GET /r1?ms=100 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"early client closes": get("/r0?ms=50") + "GET /r1?ms=100 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			c := s.dial(t)
			c.send(t, first, get("/r2"))
			time.Sleep(50 * time.Millisecond)
			if _, err := io.ReadAll(c.reader); err != nil || s.noted("+/r2") {
				t.Errorf("%v; requests: %v", err, s.events)
			}
		})
	}
}

// TestShutdown guards against requests that are cut off when the process stops, and against
// early starts behind an answer that closes the connection.
func TestShutdown(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	c.send(t, get("/r1?ms=200"), get("/r2?ms=250"), get("/r3?ms=300"))
	eventually(t, "the early starts", func() bool { return s.noted("+/r2") && s.noted("+/r3") })
	s.closing.Store(true)
	c.send(t, get("/r4"))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.listener.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	drained := make(chan bool, 1)
	go func() { drained <- s.listener.CloseIdle(ctx) }()
	if c.expect(t, 200, "/r1").Close || c.expect(t, 200, "/r2").Close {
		t.Error("an answer closes the connection, although the next request has been started")
	}
	if !c.expect(t, 200, "/r3").Close {
		t.Error("the last answer doesn't close the connection")
	}
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil || s.noted("+/r4") || s.canceled.Load() > 0 {
		t.Errorf("behind the last answer: %q, %v; requests: %v", rest, err, s.events)
	}
	_ = c.Close()
	if !<-drained {
		t.Error("the connection wasn't closed")
	}
}

// TestWaitingIsNotIdle guards against the shutdown closing a connection from which an
// incomplete request has been read ahead.
func TestWaitingIsNotIdle(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	c.send(t, get("/r1?ms=100"), "GET /r2 HTTP/1.1\r\n")
	c.expect(t, 200, "/r1")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() { s.listener.CloseIdle(ctx) }()
	time.Sleep(100 * time.Millisecond)
	c.send(t, "Host: h\r\n\r\n")
	c.expect(t, 200, "/r2")
}

// TestLongAnswer: a long answer that is written in parts stays whole between others.
func TestLongAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	c := s.dial(t)
	c.send(t, get("/r1?ms=50"), get("/r2?times=50000"), get("/r3"))
	c.expect(t, 200, "/r1")
	c.expect(t, 200, strings.Repeat("/r2", 50_000))
	c.expect(t, 200, "/r3")
}

// TestNoMemory: without memory for what is read ahead, requests wait and all are answered.
func TestNoMemory(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.budget.Share().Take(1 << 20)
	c := s.dial(t)
	padded := "GET /w HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n"
	c.send(t, get("/r1?ms=50"), strings.Repeat(padded, 20))
	c.expect(t, 200, "/r1")
	for range 20 {
		c.expect(t, 200, "/w")
	}
}

// TestRandomSplits sends random requests, split at random places, and compares the answers. It
// guards against bytes that get lost, doubled or assigned to another request.
func TestRandomSplits(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSite(t)
			c := s.dial(t)
			var bytes strings.Builder
			var want []string
			for i := range 40 {
				path := fmt.Sprintf("/%c%d", "rrrw"[random.IntN(4)], i)
				uri := fmt.Sprintf("%s?ms=%d", path, random.IntN(3))
				body := strings.Repeat("\r\n\r\nGET /r HTTP/1.1\r\n", random.IntN(200))
				switch random.IntN(12) {
				case 0:
					bytes.WriteString(post(uri, body))
					want = append(want, path+body)
				case 1:
					fmt.Fprintf(&bytes, "GET %s HTTP/1.1\nHost: h\nX: %s\n\n", uri, strings.Repeat("x", random.IntN(6000)))
					want = append(want, path)
				case 2:
					if random.IntN(4) == 0 {
						fmt.Fprintf(&bytes, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n\r\nGET \r\n0\r\n\r\n", uri)
						want = append(want, path+"\r\nGET ")
						continue
					}
					fallthrough
				default:
					bytes.WriteString(get(uri))
					want = append(want, path)
				}
			}
			go func() {
				for rest := bytes.String(); rest != ""; {
					n := min(1+random.IntN(1+random.IntN(1+random.IntN(5000))), len(rest))
					_, _ = io.WriteString(c, rest[:n])
					rest = rest[n:]
					if random.IntN(4) == 0 {
						time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
					}
				}
			}()
			for _, body := range want {
				c.expect(t, 200, body)
			}
			if used := s.budget.Used(); used != 0 {
				t.Errorf("%d bytes are still counted as buffered", used)
			}
		})
	}
}
