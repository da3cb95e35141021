package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/store"
)

// BucketCount is how many buckets the objects are spread over by the hash of
// their paths. Two processes that differ compare the hashes of the buckets and
// then exchange the versions of the differing ones only.
const BucketCount = 64

// Digest sums up which versions a process holds. Two processes with equal
// digests hold the same versions.
type Digest struct {
	highest uint64
	hash    uint64
}

// NewDigest makes a digest from its parts, as they travel between processes.
func NewDigest(highest, hash uint64) Digest { return Digest{highest: highest, hash: hash} }

// Highest returns the highest version of any object.
func (d Digest) Highest() uint64 { return d.highest }

// Hash returns the hash over all paths and versions.
func (d Digest) Hash() uint64 { return d.hash }

// MayLack tells whether a holder of d may lack something that a holder of the
// other digest has. When the highest versions are equal and the hashes differ,
// either may lack something.
func (d Digest) MayLack(other Digest) bool {
	return d.hash != other.hash && other.highest >= d.highest
}

// Version says which versions of one object a process holds.
type Version struct {
	path    string
	inForce uint64
	refused uint64
}

// NewVersion makes a Version from its parts.
func NewVersion(path string, inForce, refused uint64) Version {
	return Version{path: path, inForce: inForce, refused: refused}
}

// Path returns the path of the object.
func (v Version) Path() string { return v.path }

// InForce returns the version in force, 0 if there is none.
func (v Version) InForce() uint64 { return v.inForce }

// Refused returns the newest version that failed its checks, 0 if none is newer
// than the one in force.
func (v Version) Refused() uint64 { return v.refused }

// Lacks tells whether a holder of v lacks something that a holder of the other
// versions of the same object has.
func (v Version) Lacks(other Version) bool {
	return other.inForce > v.inForce || (other.refused > v.refused && other.refused > v.inForce)
}

func (v Version) hash() uint64 {
	if v.inForce == 0 && v.refused == 0 {
		return 0
	}
	text := make([]byte, 0, len(v.path)+16)
	text = append(text, v.path...)
	text = binary.LittleEndian.AppendUint64(text, v.inForce)
	text = binary.LittleEndian.AppendUint64(text, v.refused)
	return xxhash.Sum64(text)
}

func bucketOf(path string) int { return int(xxhash.Sum64String(path) % BucketCount) }

// item is what the tables hold of one path.
type item struct {
	good    store.Object
	refused store.Object
	problem error
	parsed  parsed
}

func (i item) version(path string) Version {
	return Version{path: path, inForce: i.good.Version(), refused: i.refused.Version()}
}
