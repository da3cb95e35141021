package socket

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestDrainClosedMeanwhile: Accept closes a listener that has drained. If that
// happens just as Drain gives up waiting for it, Drain doesn't fail.
func TestDrainClosedMeanwhile(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := NewDrainListener(tcp)
	// Nothing calls Accept, so that Drain waits until drainMax.
	time.AfterFunc(drainMax/2, func() { _ = listener.Close() })
	if err := listener.Drain(context.Background()); err != nil {
		t.Errorf("Drain failed although the listener is closed: %v", err)
	}
}

// TestDrain: the connections that are queued when draining begins are accepted, and
// then the listener is closed.
func TestDrain(t *testing.T) {
	const queued = 5
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := NewDrainListener(tcp)
	for range queued {
		conn, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	drained := make(chan error, 1)
	go func() { drained <- listener.Drain(context.Background()) }()
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		accepted++
		_ = conn.Close()
	}
	if err := <-drained; err != nil {
		t.Errorf("Drain failed: %v", err)
	}
	// net/http closes its listeners again when a server is closed.
	if err := listener.Close(); err != nil {
		t.Errorf("closing the listener again failed: %v", err)
	}
	if accepted != queued {
		t.Errorf("%d connections were accepted, want %d", accepted, queued)
	}
}
