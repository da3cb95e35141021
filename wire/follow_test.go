package wire_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/wire"
)

func manyObjects(n int) []wire.FollowedObject {
	objects := make([]wire.FollowedObject, 0, n)
	for i := range n {
		spec := fmt.Sprintf(`{"service":"search","address":"10.0.%d.%d:8000","zone":"a1","max_concurrency":4,"state":"ready","born":%d}`, i/250, i%250, 1777101894923+i)
		objects = append(objects, wire.FollowedObject{Name: fmt.Sprintf("i-%08x", i*2654435761), Revision: uint64(i + 1), Spec: []byte(spec)})
	}
	return objects
}

// TestPackObjects checks that a list survives the round trip and is compressed to
// at most a quarter of its size.
func TestPackObjects(t *testing.T) {
	objects := manyObjects(3000)
	compressed, err := wire.CompressObjects(objects)
	if err != nil {
		t.Fatal(err)
	}
	plain := 0
	for _, o := range objects {
		plain += len(o.Name) + len(o.Spec)
	}
	if len(compressed) > plain/4 {
		t.Errorf("%d bytes are compressed to %d, want at most a quarter", plain, len(compressed))
	}
	back, err := wire.DecompressObjects(compressed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(objects, back, cmp.AllowUnexported(wire.FollowedObject{})); diff != "" {
		t.Errorf("unpacked objects (-want +got):\n%s", diff)
	}
}

func TestUnpackRefuses(t *testing.T) {
	good, err := wire.CompressObjects(manyObjects(100))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"empty":     {},
		"cut short": good[:len(good)/2],
		"noise":     []byte("no compressed list at all"),
	}
	for name, compressed := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := wire.DecompressObjects(compressed); !errors.Is(err, wire.ErrProtocol) {
				t.Errorf("DecompressObjects returned %v, want ErrProtocol in the chain", err)
			}
		})
	}
}
