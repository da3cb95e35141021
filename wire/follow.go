package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The kinds of the messages by which instances replicate the platform's objects
// from each other.
const (
	KindFollow   Kind = 60
	KindFollowed Kind = 61
)

// Follow is a long poll for changes of the platform's objects after the given
// revisions, one for each kind of object. The receiver answers with Followed as
// soon as it knows of a change, or when WaitMillis have passed.
type Follow struct {
	After map[string]uint64 `msgpack:"after"`
	// Eras holds the eras of the store that the revisions belong to.
	Eras       map[string]uint64 `msgpack:"eras"`
	WaitMillis int64             `msgpack:"wait_ms"`
	// Kinds limits the answer to these kinds; empty means all kinds.
	Kinds []string `msgpack:"kinds,omitempty"`
}

// FollowedObject is an object of the platform's store.
type FollowedObject struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Name     string
	Revision uint64
	Deleted  bool
	Spec     []byte
}

// FollowedKind holds the objects of one kind: the complete list if Whole is set,
// or else the changes. A long list is compressed and is in Compressed instead of
// Objects.
type FollowedKind struct {
	Kind       string           `msgpack:"kind"`
	Era        uint64           `msgpack:"era"`
	Revision   uint64           `msgpack:"revision"`
	Whole      bool             `msgpack:"whole"`
	Objects    []FollowedObject `msgpack:"objects"`
	Compressed []byte           `msgpack:"packed"`
}

// decompressedBytesMax bounds the size of a decompressed list, in bytes. It allows
// for 100,000 objects of about 600 bytes.
const decompressedBytesMax = 64 << 20

// CompressObjects encodes and compresses a list of objects.
func CompressObjects(objects []FollowedObject) ([]byte, error) {
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	if err := msgpack.NewEncoder(writer).Encode(objects); err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	return out.Bytes(), nil
}

// DecompressObjects decompresses and decodes a list of objects. Its error holds
// ErrProtocol in the chain.
func DecompressObjects(compressed []byte) ([]FollowedObject, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = reader.Close() }()
	decompressed, err := io.ReadAll(io.LimitReader(reader, decompressedBytesMax+1))
	if err == nil && len(decompressed) > decompressedBytesMax {
		err = errors.Newf("the decompressed size exceeds the limit of %d bytes", decompressedBytesMax)
	}
	var objects []FollowedObject
	if err == nil {
		err = msgpack.Unmarshal(decompressed, &objects)
	}
	if err != nil {
		return nil, errors.Wrap(errors.Mark(err, ErrProtocol), "decompress objects")
	}
	return objects, nil
}

// Followed answers a Follow. AgeMillis is how long ago the store last confirmed
// that the sender's objects were up to date.
type Followed struct {
	AgeMillis int64 `msgpack:"age_ms"`
	// Era is the earliest era of the sender's kinds of objects.
	Era   uint64         `msgpack:"era"`
	Kinds []FollowedKind `msgpack:"kinds"`
}

func (*Follow) kind() Kind   { return KindFollow }
func (*Followed) kind() Kind { return KindFollowed }

func newFollowMessage(k Kind) Message {
	switch k {
	case KindFollow:
		return &Follow{}
	case KindFollowed:
		return &Followed{}
	default:
		return nil
	}
}
