package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The kinds of the messages by which the platform's objects are handed on.
const (
	KindFollow   Kind = 60
	KindFollowed Kind = 61
)

// Follow asks for what changed in the platform's objects after the given
// revisions, one for each kind of object. The receiver answers as soon as it
// knows of a change, or when the wait is over.
type Follow struct {
	After      map[string]uint64 `msgpack:"after"`
	WaitMillis int64             `msgpack:"wait_ms"`
}

// FollowedObject is one object of the platform's store.
type FollowedObject struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads the tag

	Name     string
	Revision uint64
	Deleted  bool
	Spec     []byte
}

// FollowedKind is what the sender knows of one kind of object. A long list of
// objects is compressed and stands in Packed.
type FollowedKind struct {
	Kind     string           `msgpack:"kind"`
	Revision uint64           `msgpack:"revision"`
	Whole    bool             `msgpack:"whole"`
	Objects  []FollowedObject `msgpack:"objects"`
	Packed   []byte           `msgpack:"packed"`
}

// packedObjectsMax bounds what a compressed list may unpack to: 100,000 objects
// of about 600 bytes.
const packedObjectsMax = 64 << 20

// PackObjects compresses a list of objects.
func PackObjects(objects []FollowedObject) ([]byte, error) {
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

// UnpackObjects returns the objects of a compressed list. The error holds
// ErrFrame in its chain.
func UnpackObjects(packed []byte) ([]FollowedObject, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	plain, err := io.ReadAll(io.LimitReader(reader, packedObjectsMax+1))
	if err == nil && len(plain) > packedObjectsMax {
		err = errors.Newf("more than %d bytes come out", packedObjectsMax)
	}
	var objects []FollowedObject
	if err == nil {
		err = msgpack.Unmarshal(plain, &objects)
	}
	if err != nil {
		return nil, errors.Wrap(errors.Mark(err, ErrFrame), "unpack compressed objects")
	}
	return objects, nil
}

// Followed answers a Follow. AgeMillis is how long ago the store confirmed what
// the sender knows.
type Followed struct {
	AgeMillis int64          `msgpack:"age_ms"`
	Kinds     []FollowedKind `msgpack:"kinds"`
}

func (*Follow) kind() Kind   { return KindFollow }
func (*Followed) kind() Kind { return KindFollowed }

func newFollow(k Kind) Message {
	switch k {
	case KindFollow:
		return &Follow{}
	case KindFollowed:
		return &Followed{}
	default:
		return nil
	}
}
