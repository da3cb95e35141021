package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/store"
)

// BucketCount is the number of buckets into which objects are divided by the
// hash of their paths. Two processes with different digests compare the hashes
// of their buckets and exchange versions only for the buckets that differ.
const BucketCount = 64

// Digest identifies the set of object versions that a process holds. Processes
// with equal digests hold the same versions.
type Digest struct {
	highest uint64
	hash    uint64
}

// NewDigest returns a Digest of the parts that processes send to each other.
func NewDigest(highest, hash uint64) Digest { return Digest{highest: highest, hash: hash} }

// Highest returns the highest version of all objects.
func (d Digest) Highest() uint64 { return d.highest }

// Hash returns the hash of all paths and versions.
func (d Digest) Hash() uint64 { return d.hash }

// MayBeBehind reports whether a process with digest d may lack an object version
// that a process with the other digest holds. If the highest versions are equal
// and the hashes differ, this is true in both directions.
func (d Digest) MayBeBehind(other Digest) bool {
	return d.hash != other.hash && other.highest >= d.highest
}

// Version identifies the versions of one object that a process holds.
type Version struct {
	path    string
	inForce uint64
	refused uint64
}

// NewVersion returns a Version of the object at the path, with 0 for a version
// that is not held.
func NewVersion(path string, inForce, refused uint64) Version {
	return Version{path: path, inForce: inForce, refused: refused}
}

// Path returns the path of the object.
func (v Version) Path() string { return v.path }

// InForce returns the version in force, 0 if there is none.
func (v Version) InForce() uint64 { return v.inForce }

// Refused returns the newest version that failed its checks, 0 if there is
// none newer than the version in force.
func (v Version) Refused() uint64 { return v.refused }

// IsBehind reports whether a process with v lacks a version of the same object
// that a process with other holds.
func (v Version) IsBehind(other Version) bool {
	return other.inForce > v.inForce || (other.refused > v.refused && other.refused > v.inForce)
}

func (v Version) hash() uint64 {
	if v.inForce == 0 && v.refused == 0 {
		return 0
	}
	encoded := make([]byte, 0, len(v.path)+16)
	encoded = append(encoded, v.path...)
	encoded = binary.LittleEndian.AppendUint64(encoded, v.inForce)
	encoded = binary.LittleEndian.AppendUint64(encoded, v.refused)
	return xxhash.Sum64(encoded)
}

func bucketOf(path string) int { return int(xxhash.Sum64String(path) % BucketCount) }

// item holds the versions of the object at one path: the one in force with its
// parsed form, and the newest one that was refused with the reason.
type item struct {
	inForce store.Object
	refused store.Object
	problem error
	parsed  parsedObject
}

func (i item) version(path string) Version {
	return Version{path: path, inForce: i.inForce.Version(), refused: i.refused.Version()}
}
