// Package socket opens TCP connections that detect an unreachable peer. A host
// that loses power or its network sends no reset, so only unacknowledged data or
// unanswered keep-alive probes reveal that it is gone.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// UserTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection. Linux also gives up on keep-alive probes by it,
	// whatever ProbeCount says: at the first probe that is due after UserTimeout
	// without any packet, if an earlier one is unanswered. It is longer than the time
	// of the last probe, so that an earlier one may be lost.
	UserTimeout = ProbeIdle + (ProbeCount-1)*ProbeInterval + 200*time.Millisecond
	// ProbeIdle is how long a connection may be idle before TCP sends a
	// keep-alive probe.
	ProbeIdle = time.Second
	// ProbeInterval is the time between two probes. Linux takes whole seconds, so
	// 1 s is the minimum.
	ProbeInterval = time.Second
	// ProbeCount is the number of unanswered probes after which the connection is
	// closed. With 2, one probe may be lost.
	ProbeCount = 2

	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
	// syscall doesn't define.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections fail when the peer stops
// acknowledging data or answering probes. timeout bounds each dial.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: ProbeIdle, Interval: ProbeInterval, Count: ProbeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, UserTimeout)
		},
	}
}

// SetUserTimeout changes how long data that is sent on the connection may remain
// unacknowledged, and probes unanswered, before the kernel closes it. It does
// nothing for a connection that isn't a TCP connection.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	socketConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socketConn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, optionErr), "set TCP_USER_TIMEOUT")
}

// Dial opens a TCP connection with a Dialer. timeout bounds the dial in addition
// to ctx.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := Dialer(timeout).DialContext(ctx, "tcp", address)
	return conn, errors.Wrapf(err, "connect to %s", address)
}
