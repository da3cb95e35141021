// Package wire implements the protocol between the system's own processes. Each
// frame on a TCP connection carries one msgpack message, and concurrent calls
// are multiplexed over one connection.
//
// A frame has these fields, in network byte order:
//
//	length   4 bytes            number of bytes that follow
//	kind     1 byte             kind of the message
//	flags    1 byte             1 if the message answers a call, 0 otherwise
//	call     8 bytes            number of the call on this connection
//	message  length - 10 bytes  msgpack
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// Sizes of a frame and its parts, in bytes. FrameBytesMax and frameHeaderBytes
// don't include the length field. A payload of up to eagerPayloadBytesMax is
// allocated before it arrives.
const (
	FrameBytesMax        = 4 << 20
	frameHeaderBytes     = 10
	frameLengthBytes     = 4
	eagerPayloadBytesMax = 64 << 10
)

const flagAnswer = 1

// ErrProtocol is in the chain of an error when a frame or its message violates
// the protocol. A connection on which such a frame arrives is closed.
var ErrProtocol = errors.New("protocol violation")

// frame is a frame with its message still encoded.
type frame struct {
	kind    Kind
	flags   byte
	call    uint64
	payload []byte
}

// readFrame reads one frame. Memory for a large message is allocated as its bytes
// arrive, so that a false length field can't cause a large allocation.
func readFrame(r io.Reader) (frame, error) {
	var header [frameLengthBytes + frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, errors.Wrap(err, "read a frame header")
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < frameHeaderBytes || length > FrameBytesMax {
		return frame{}, errors.Wrapf(ErrProtocol, "frame length is %d; want %d to %d", length, frameHeaderBytes, FrameBytesMax)
	}
	if header[5] > flagAnswer {
		return frame{}, errors.Wrapf(ErrProtocol, "frame flags are %#x; want 0 or 1", header[5])
	}
	payload, err := readPayload(r, int64(length-frameHeaderBytes))
	if err != nil {
		return frame{}, err
	}
	return frame{kind: Kind(header[4]), flags: header[5], call: binary.BigEndian.Uint64(header[6:]), payload: payload}, nil
}

func readPayload(r io.Reader, length int64) ([]byte, error) {
	if length <= eagerPayloadBytesMax {
		payload := make([]byte, length)
		if _, err := io.ReadFull(r, payload); err != nil {
			return nil, errors.Wrap(err, "read a frame's message")
		}
		return payload, nil
	}
	var body bytes.Buffer
	n, err := io.CopyN(&body, r, length)
	if err != nil {
		return nil, errors.Wrapf(err, "read a frame's message: received %d of %d bytes", n, length)
	}
	return body.Bytes(), nil
}

// appendFrame appends the encoded frame to out. The error holds ErrProtocol in
// its chain if the frame is too large.
func appendFrame(out []byte, f frame) ([]byte, error) {
	length := frameHeaderBytes + len(f.payload)
	if length > FrameBytesMax {
		return nil, errors.Wrapf(ErrProtocol, "message is %d bytes long; the limit is %d", len(f.payload), FrameBytesMax-frameHeaderBytes)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(length))
	out = append(out, byte(f.kind), f.flags)
	out = binary.BigEndian.AppendUint64(out, f.call)
	return append(out, f.payload...), nil
}
