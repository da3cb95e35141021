// Package wire is the protocol between the system's own processes: frames on a
// TCP connection, each of which carries one msgpack message, and calls that
// many requests make over one connection at once.
//
// A frame is, in network byte order:
//
//	length   4 bytes  of all that follows
//	kind     1 byte   of the message
//	flags    1 byte   1: the message answers a call
//	call     8 bytes  number of the call on this connection
//	message  msgpack  length - 10 bytes
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// Sizes of a frame, in bytes.
const (
	FrameBytesMax   = 4 << 20
	frameHeadBytes  = 10
	frameLenBytes   = 4
	frameChunkBytes = 64 << 10
)

const flagAnswer = 1

// ErrFrame is the error of a frame that breaks the protocol. The connection
// can't be used any further.
var ErrFrame = errors.New("frame breaks the protocol")

// frame is one frame as it travels.
type frame struct {
	kind   Kind
	flags  byte
	call   uint64
	packed []byte
}

// readFrame reads one frame. Memory is taken as the bytes arrive, so that a
// length that lies costs no more than what was sent.
func readFrame(r io.Reader) (frame, error) {
	var head [frameLenBytes + frameHeadBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, errors.Wrap(err, "read the head of a frame")
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < frameHeadBytes || length > FrameBytesMax {
		return frame{}, errors.Wrapf(ErrFrame, "length %d; want %d to %d", length, frameHeadBytes, FrameBytesMax)
	}
	if head[5] > flagAnswer {
		return frame{}, errors.Wrapf(ErrFrame, "flags %#x; want 0 or 1", head[5])
	}
	packed, err := readBody(r, int64(length-frameHeadBytes))
	if err != nil {
		return frame{}, err
	}
	return frame{kind: Kind(head[4]), flags: head[5], call: binary.BigEndian.Uint64(head[6:]), packed: packed}, nil
}

func readBody(r io.Reader, length int64) ([]byte, error) {
	if length <= frameChunkBytes {
		packed := make([]byte, length)
		if _, err := io.ReadFull(r, packed); err != nil {
			return nil, errors.Wrap(err, "read the message of a frame")
		}
		return packed, nil
	}
	var body bytes.Buffer
	read, err := io.CopyN(&body, r, length)
	if err != nil {
		return nil, errors.Wrapf(err, "read the message of a frame: %d of %d bytes came", read, length)
	}
	return body.Bytes(), nil
}

// appendFrame appends the bytes of a frame to out.
func appendFrame(out []byte, f frame) ([]byte, error) {
	length := frameHeadBytes + len(f.packed)
	if length > FrameBytesMax {
		return nil, errors.Wrapf(ErrFrame, "message of %d bytes; at most %d are allowed", len(f.packed), FrameBytesMax-frameHeadBytes)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(length))
	out = append(out, byte(f.kind), f.flags)
	out = binary.BigEndian.AppendUint64(out, f.call)
	return append(out, f.packed...), nil
}
