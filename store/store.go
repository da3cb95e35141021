// Package store is the edge to the platform: its versioned objects and its
// list of instances. Everything else sees the Store interface; the bytes that
// travel are known to one file, client.go.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// The failures that callers tell apart with errors.Is. Any other error of a
// write leaves open whether the write took effect.
var (
	// ErrNotFound: the object never existed.
	ErrNotFound = errors.New("no such object")
	// ErrConflict: the object has another version than the write named; the
	// write did not take effect.
	ErrConflict = errors.New("the object has another version")
	// ErrForbidden: the token may not write here; the write did not take
	// effect.
	ErrForbidden = errors.New("the token may not write here")
	// ErrTooLarge: the value is longer than ValueBytesMax; the write did not
	// take effect.
	ErrTooLarge = errors.New("the value is too large")
	// ErrUnreachable: no connection could be opened; the write did not take
	// effect.
	ErrUnreachable = errors.New("the platform cannot be reached")
)

// NotWritten tells whether err proves that a write did not take effect.
func NotWritten(err error) bool {
	return errors.IsAny(err, ErrNotFound, ErrConflict, ErrForbidden, ErrTooLarge, ErrUnreachable)
}

// Object is one versioned object. The version of an object only grows, and a
// deleted object keeps its path and version as a tombstone.
type Object struct {
	path    string
	version uint64
	value   []byte
	deleted bool
}

// NewObject makes an Object. The value must not be changed afterwards.
func NewObject(path string, version uint64, value []byte, deleted bool) Object {
	return Object{path: path, version: version, value: value, deleted: deleted}
}

// Path returns the name of the object, such as "teams/library/search-desk".
func (o Object) Path() string { return o.path }

// Version returns the version, which is 0 for an object that never existed.
func (o Object) Version() uint64 { return o.version }

// Value returns the content. The caller must not change it.
func (o Object) Value() []byte { return o.value }

// Deleted tells whether the object is a tombstone.
func (o Object) Deleted() bool { return o.deleted }

// State is what the platform's list says of an instance.
type State string

// The states of the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry is an entry instance in the platform's list.
type Entry struct {
	Instance      place.Instance `json:"instance"`
	Zone          place.Zone     `json:"zone"`
	CallerAddress string         `json:"caller_address"`
	PeerAddress   string         `json:"peer_address"`
	State         State          `json:"state"`
}

// Target is a target in the platform's list.
type Target struct {
	Target  place.Target  `json:"target"`
	Service place.Service `json:"service"`
	Zone    place.Zone    `json:"zone"`
	Address string        `json:"address"`
	State   State         `json:"state"`
}

// Roster is the platform's list of instances. It lags.
type Roster struct {
	Entries []Entry  `json:"entries"`
	Targets []Target `json:"targets"`
}

// Identical tells whether both lists are one reading: they share their rows. A
// Store returns the reading that it has while the platform's list stays the
// same, so that nobody needs to compare thousands of rows.
func (r Roster) Identical(other Roster) bool {
	return len(r.Entries) == len(other.Entries) && len(r.Targets) == len(other.Targets) &&
		(len(r.Entries) == 0 || &r.Entries[0] == &other.Entries[0]) &&
		(len(r.Targets) == 0 || &r.Targets[0] == &other.Targets[0])
}

// Store is the platform as the rest of the system sees it. Every method may
// fail or take long while the platform is down or slow; the context bounds it.
type Store interface {
	// Get returns one object, a tombstone too; ErrNotFound if there is none.
	Get(ctx context.Context, path string) (Object, error)
	// List returns all objects whose path begins with prefix, tombstones too,
	// and the revision at which that was so.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes the object if its version is still ifVersion (0: it does not
	// exist) and returns the new version.
	Put(ctx context.Context, path string, value []byte, ifVersion uint64) (uint64, error)
	// Delete leaves a tombstone if the version is still ifVersion and returns
	// the tombstone's version.
	Delete(ctx context.Context, path string, ifVersion uint64) (uint64, error)
	// Watch waits at most wait for a change after the revision to an object
	// whose path begins with prefix. It returns the changed objects, none if
	// the wait ran out, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Roster returns the platform's list of instances.
	Roster(ctx context.Context) (Roster, error)
}
