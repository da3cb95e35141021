// Package socket opens TCP connections that notice when the other side is gone:
// a peer without power doesn't reset its connections, so that only unanswered
// bytes or probes tell.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// UserTimeout is how long sent bytes may stay without an acknowledgement
	// before the connection counts as broken. TCP sends a lost packet again
	// after 0.2 s and 0.4 s, which has to fit.
	UserTimeout = 1200 * time.Millisecond
	// ProbeIdle is how long a connection may be quiet before TCP probes it.
	ProbeIdle = time.Second
	// ProbeInterval is the time between two probes, the shortest that TCP has.
	ProbeInterval = time.Second
	// ProbeCount is how many probes may stay unanswered; one may be lost.
	ProbeCount = 2

	// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which package
	// syscall doesn't name.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections break when the other side falls
// silent. timeout bounds the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: ProbeIdle, Interval: ProbeInterval, Count: ProbeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
			})
			return errors.Wrap(errors.CombineErrors(err, failed), "set the time-out of a connection")
		},
	}
}

// Dial opens a TCP connection with a Dialer.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := Dialer(timeout).DialContext(ctx, "tcp", address)
	return conn, errors.Wrapf(err, "connect to %s", address)
}
