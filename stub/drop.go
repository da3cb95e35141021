package stub

import (
	"encoding/binary"
	"net"
	"syscall"
	"unsafe"

	"github.com/cockroachdb/errors"
)

// Linux's options for the packet filter of a socket, which package syscall lacks.
const (
	attachFilter = 26
	detachFilter = 27
)

// DropPackets makes the kernel drop all packets that arrive on a TCP connection, so that
// the other end gets no acknowledgement, as behind a cut link, or ends that.
func DropPackets(conn net.Conn, drop bool) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.Newf("drop packets: %T isn't a TCP connection", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "drop packets")
	}
	// The program has one instruction: return 0, which keeps no byte of a packet.
	const returnConstant = 0x06
	var instruction [8]byte
	binary.NativeEndian.PutUint16(instruction[:], returnConstant)
	program := struct {
		length       uint16
		instructions *[8]byte
	}{1, &instruction}
	option := uintptr(detachFilter)
	if drop {
		option = attachFilter
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if _, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, option, uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0); errno != 0 {
			failed = errno
		}
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "drop packets")
}
