package feed

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/wire"
)

// HandleFollow answers another instance that follows this one, as soon as there
// are changes or when the wait of the request is over.
func (f *Feed) HandleFollow(ctx context.Context, request *wire.Follow) *wire.Followed {
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := f.changedChannel()
		if response, hasChanges := f.followResponse(request); hasChanges {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			response, _ := f.followResponse(request)
			return response
		case <-ctx.Done():
			return &wire.Followed{}
		}
	}
}

// responseBytesMax limits the objects in one response, in bytes. The follower
// requests the rest with its next call.
const responseBytesMax = 3 << 20

// followResponse returns what changed after the revisions of the request.
// hasChanges reports whether it contains objects or a whole list.
func (f *Feed) followResponse(request *wire.Follow) (response *wire.Followed, hasChanges bool) {
	response = &wire.Followed{AgeMillis: f.Age().Milliseconds(), Era: f.Era()}
	bytesLeft := responseBytesMax
	for _, kind := range kinds {
		if len(request.Kinds) > 0 && !slices.Contains(request.Kinds, kind) {
			continue
		}
		after := platform.NewPosition(request.Eras[kind], request.After[kind])
		objects, position, whole, loaded := f.mirrors[kind].changesSince(after)
		if !loaded || (len(objects) == 0 && !whole && position.Compare(after) <= 0) {
			continue
		}
		if !whole && specBytes(objects) >= compressBytes {
			// The whole list is compressed once for all followers.
			objects, position, whole = f.mirrors[kind].wholeIfSmall(objects, position)
		}
		part := f.followedKind(kind, objects, position, whole)
		if bytesLeft -= payloadSize(part); bytesLeft < 0 && len(response.Kinds) > 0 {
			break
		}
		hasChanges = hasChanges || whole || len(objects) > 0
		response.Kinds = append(response.Kinds, part)
	}
	return response, hasChanges
}

const (
	// compressMin is the number of objects from which a whole list is compressed.
	// A shorter one fits into a few packets as it is, unless it has compressBytes.
	compressMin   = 50
	compressBytes = 16 << 10
)

// followedKind makes the part of a response for one kind. A long list is
// compressed once for all followers that request it within compressedTTL, even
// if it has changed since: they request the changes next.
func (f *Feed) followedKind(kind string, objects []platform.Object, position platform.Position, whole bool) wire.FollowedKind {
	result := wire.FollowedKind{Kind: kind, Era: position.Era(), Revision: position.Revision(), Whole: whole}
	if !whole || (len(objects) < compressMin && specBytes(objects) < compressBytes) {
		result.Objects = encodeObjects(objects)
		return result
	}
	m := f.mirrors[kind]
	if compressed, at, fresh := m.compressedList(f.now()); fresh {
		result.Compressed, result.Era, result.Revision = compressed, at.Era(), at.Revision()
		return result
	}
	compressed, err := wire.CompressObjects(encodeObjects(objects))
	if err != nil {
		f.log.WithError(err).WithField(fieldKind, kind).Error("Compressing a list failed; it is sent uncompressed.")
		result.Objects = encodeObjects(objects)
		return result
	}
	m.setCompressed(compressed, position, f.now())
	result.Compressed = compressed
	return result
}

// specBytes returns the size of the objects' contents.
func specBytes(objects []platform.Object) int {
	total := 0
	for _, o := range objects {
		total += len(o.Spec())
	}
	return total
}

func encodeObjects(objects []platform.Object) []wire.FollowedObject {
	encoded := make([]wire.FollowedObject, 0, len(objects))
	for _, o := range objects {
		encoded = append(encoded, wire.FollowedObject{Name: o.Name(), Revision: o.Revision(), Deleted: o.Deleted(), Spec: o.Spec()})
	}
	return encoded
}

// payloadSize returns the size of the objects in a part of a response, in
// bytes.
func payloadSize(kind wire.FollowedKind) int {
	total := len(kind.Compressed)
	for _, o := range kind.Objects {
		total += len(o.Name) + len(o.Spec)
	}
	return total
}

// applyFollowed applies the response of another instance.
func (f *Feed) applyFollowed(request *wire.Follow, response *wire.Followed) {
	for _, k := range response.Kinds {
		if !slices.Contains(kinds, k.Kind) {
			continue
		}
		received, err := decodeObjects(k)
		if err != nil {
			f.log.WithError(err).WithField(fieldKind, k.Kind).Warn("Decoding a list from another instance failed; it is requested again.")
			continue
		}
		objects := make([]platform.Object, 0, len(received))
		for _, o := range received {
			// An instance of the previous release sends configurations with keys.
			objects = append(objects, platform.Sealed(k.Kind, platform.NewObject(o.Name, o.Revision, o.Spec, o.Deleted)))
		}
		position := platform.NewPosition(k.Era, k.Revision)
		if k.Whole {
			f.applyList(k.Kind, objects, position)
		} else {
			f.applyChanges(k.Kind, objects, platform.NewPosition(request.Eras[k.Kind], request.After[k.Kind]), position)
		}
	}
}

func decodeObjects(k wire.FollowedKind) ([]wire.FollowedObject, error) {
	if len(k.Compressed) == 0 {
		return k.Objects, nil
	}
	objects, err := wire.DecompressObjects(k.Compressed)
	return objects, errors.Wrap(err, "decompress a list of objects")
}

// followRequest makes a request for the changes that this copy lacks, of the given
// kinds or of all.
func (f *Feed) followRequest(maxWait time.Duration, only ...string) *wire.Follow {
	request := &wire.Follow{After: make(map[string]uint64, len(kinds)), Eras: make(map[string]uint64, len(kinds)), WaitMillis: maxWait.Milliseconds(), Kinds: only}
	for _, kind := range kinds {
		position := f.mirrors[kind].position()
		request.After[kind], request.Eras[kind] = position.Revision(), position.Era()
	}
	return request
}
