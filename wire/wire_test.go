package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handlerFunc is a function that implements Handler.
type handlerFunc func(ctx context.Context, peer Hello, message Message) Message

func (f handlerFunc) Handle(ctx context.Context, peer Hello, message Message) Message {
	return f(ctx, peer, message)
}

// startPair starts a server with the handler and returns a client connected to it.
func startPair(t *testing.T, handler handlerFunc) *Client {
	t.Helper()
	address := startServer(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := NewClient(conn, Hello{Instance: "one", Zone: "kigali/a", Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func startServer(t *testing.T, handler handlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, Hello{Instance: "two", Zone: "kigali/b", Incarnation: 8}, handler, logs.Discard())
	done := make(chan struct{})
	go func() { server.Serve(); close(done) }()
	t.Cleanup(func() { server.Close(); <-done })
	return listener.Addr().String()
}

func TestCall(t *testing.T) {
	client := startPair(t, func(_ context.Context, peer Hello, message Message) Message {
		forward, ok := message.(*Forward)
		if !ok || peer.Instance != "one" {
			return &Refused{Reason: errs.ReasonBadRequest}
		}
		return &Answer{Status: 200, Body: forward.Body, Headers: forward.Headers}
	})
	body := bytes.Repeat([]byte("loan"), 100_000)
	got, err := client.Call(context.Background(), &Forward{Body: body, Headers: []Header{{"A", "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	want := &Answer{Status: 200, Body: body, Headers: []Header{{"A", "b"}}}
	if diff := cmp.Diff(Message(want), got); diff != "" {
		t.Errorf("answer differs (-want +got):\n%s", diff)
	}
	if client.Peer().Instance != "two" {
		t.Errorf("Peer() = %v", client.Peer())
	}
}

// TestCancel checks that a slow call does not block other calls on the connection,
// and that canceling a call cancels its handler's context.
func TestCancel(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	client := startPair(t, func(ctx context.Context, _ Hello, message Message) Message {
		if _, slow := message.(*Forward); slow {
			close(began)
			<-ctx.Done()
			close(ended)
			return nil
		}
		return &HeartbeatAck{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, &Forward{})
		failed <- err
	}()
	if _, err := client.Call(context.Background(), &Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	<-began
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
		t.Errorf("the canceled call returned %v, want context.Canceled and not ErrNotSent", err)
	}
	<-ended
}

func TestCallNotSent(t *testing.T) {
	tests := map[string]func(client *Client) error{
		"too large": func(client *Client) error {
			_, err := client.Call(context.Background(), &Forward{Body: make([]byte, FrameBytesMax)})
			return err
		},
		"context over": func(client *Client) error {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := client.Call(ctx, &Heartbeat{})
			return err
		},
		"closed before": func(client *Client) error {
			client.Close()
			_, err := client.Call(context.Background(), &Heartbeat{})
			return err
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			client := startPair(t, func(context.Context, Hello, Message) Message { return &HeartbeatAck{} })
			if err := call(client); !errors.Is(err, ErrNotSent) {
				t.Errorf("Call returned %v, want ErrNotSent in the chain", err)
			}
		})
	}
}

// TestAnswerTooLarge checks that the caller gets a Refused in place of an answer
// that is too large for a frame.
func TestAnswerTooLarge(t *testing.T) {
	client := startPair(t, func(context.Context, Hello, Message) Message {
		return &Answer{Body: make([]byte, FrameBytesMax)}
	})
	got, err := client.Call(context.Background(), &Forward{})
	if refused, ok := got.(*Refused); err != nil || !ok || refused.Verdict != errs.VerdictMayHaveRun {
		t.Errorf("Call returned %v, %v, want a Refused with verdict may-have-run", got, err)
	}
}

// TestServerBadInput checks that the server closes a connection on which it
// receives invalid input, and keeps serving others.
func TestServerBadInput(t *testing.T) {
	hello, err := encode(0, 1, &Hello{Version: Version})
	if err != nil {
		t.Fatal(err)
	}
	huge := binary.BigEndian.AppendUint32(nil, FrameBytesMax+1)
	tests := map[string][]byte{
		"no hello":        mustEncode(t, &Heartbeat{}),
		"wrong version":   mustEncode(t, &Hello{Version: Version + 1}),
		"huge length":     append(huge, make([]byte, 10)...),
		"short length":    make([]byte, 14),
		"unknown kind":    append(bytes.Clone(hello), 0, 0, 0, 11, 255, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0x80),
		"unknown field":   append(bytes.Clone(hello), 0, 0, 0, 14, 5, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0x81, 0xa1, 'x', 1),
		"trailing bytes":  append(bytes.Clone(hello), 0, 0, 0, 12, 5, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0x80, 0x80),
		"malformed":       append(bytes.Clone(hello), 0, 0, 0, 11, 5, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0xc1),
		"flags not known": append(bytes.Clone(hello), 0, 0, 0, 11, 5, 9, 0, 0, 0, 0, 0, 0, 0, 2, 0x80),
	}
	address := startServer(t, func(context.Context, Hello, Message) Message { return &HeartbeatAck{} })
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(input); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, net.ErrClosed) && isTimeout(err) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

func mustEncode(t *testing.T, message Message) []byte {
	t.Helper()
	out, err := encode(0, 1, message)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestReadFrameLyingLength checks that a large length field without the bytes to
// match does not cause a large allocation.
func TestReadFrameLyingLength(t *testing.T) {
	head := binary.BigEndian.AppendUint32(nil, FrameBytesMax)
	head = append(head, byte(KindHeartbeat), 0, 0, 0, 0, 0, 0, 0, 0, 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 64 {
		if _, err := readFrame(bytes.NewReader(head)); err == nil {
			t.Fatal("readFrame accepted a truncated frame")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 64*eagerPayloadBytesMax {
		t.Errorf("64 empty frames with a length field of 4 MiB allocated %d bytes", allocated)
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, message := range []Message{&Hello{Version: 1}, &Forward{Body: []byte("x")}, &Answer{Status: 200}, &Refused{}, &Heartbeat{}, &HeartbeatAck{}, &Cancel{}, &MemberHeartbeat{Sum: &LoadTotal{Members: 3}, Updates: []MemberUpdate{{Instance: "a"}}, Zones: []ZoneLoad{{Zone: "r/a"}}}} {
		out, err := encode(0, 3, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(out)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		read, err := readFrame(bytes.NewReader(input))
		if err != nil {
			return
		}
		message, err := unmarshal(read)
		if err != nil {
			return
		}
		out, err := encode(read.flags, read.call, message)
		if err != nil {
			t.Fatalf("a decoded message can't be encoded: %v", err)
		}
		again, err := readFrame(bytes.NewReader(out))
		if err != nil || again.call != read.call || again.kind != read.kind {
			t.Fatalf("the frame changed in a round trip: %+v, %v", again, err)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(listener, Hello{}, handlerFunc(func(context.Context, Hello, Message) Message { return &HeartbeatAck{} }), logs.Discard())
	done := make(chan struct{})
	go func() { server.Serve(); close(done) }()
	defer func() { server.Close(); <-done }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	client, err := NewClient(conn, Hello{})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Call(context.Background(), &Heartbeat{Instance: "one"}); err != nil {
			b.Fatal(err)
		}
	}
}
