package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// tcpEstablished is Linux's state of a connection that neither side has closed.
const tcpEstablished = 1

// ErrNoState means that the system doesn't tell the state of a connection.
var ErrNoState = errors.New("the state of the connection is unknown")

// AwaitDisconnect waits until the peer has closed or reset a TCP connection. It reads
// nothing, so that it sees this also behind bytes that haven't been read. It returns an error
// if the connection's read deadline passes first or the connection is closed here, and
// ErrNoState if the system doesn't tell the state of a connection.
func AwaitDisconnect(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "wait for the peer to disconnect")
	}
	var optionErr error
	// The function is called again whenever something arrives.
	err = raw.Read(func(fd uintptr) bool {
		// The state is the first byte of the kernel's struct tcp_info, and the value has its
		// first four.
		var info int
		info, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		return optionErr != nil || info&0xff != tcpEstablished
	})
	if err != nil {
		return err //nolint:wrapcheck // callers ask whether it is a time-out
	}
	if optionErr != nil {
		return errors.Wrap(ErrNoState, optionErr.Error())
	}
	return nil
}
