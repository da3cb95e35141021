// Package store gives access to the platform: its versioned objects and its
// list of instances. Other packages use the Store interface. The HTTP protocol
// is implemented in client.go alone.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// Errors to be told apart with errors.Is. After any other error of a write it is
// unknown whether the write took effect.
var (
	// ErrNotFound means that the object never existed.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object has another version than ifVersion. The
	// write did not take effect.
	ErrConflict = errors.New("the object has another version")
	// ErrForbidden means that the token doesn't permit writes to this path. The
	// write did not take effect.
	ErrForbidden = errors.New("the token may not write here")
	// ErrTooLarge means that the value is longer than ValueBytesMax. The write
	// did not take effect.
	ErrTooLarge = errors.New("the value is too large")
	// ErrUnreachable means that no connection could be opened. The write did not
	// take effect.
	ErrUnreachable = errors.New("the platform cannot be reached")
)

// NotWritten reports whether err proves that a write did not take effect.
func NotWritten(err error) bool {
	return errors.IsAny(err, ErrNotFound, ErrConflict, ErrForbidden, ErrTooLarge, ErrUnreachable)
}

// Object is one versioned object. Each write increases its version. A deleted
// object remains as a tombstone with its path and a version of its own.
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

// Deleted reports whether the object is a tombstone.
func (o Object) Deleted() bool { return o.deleted }

// State is the state of an instance in the platform's list.
type State string

// The states in the platform's list.
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

// Roster is the platform's list of instances. It may be out of date.
type Roster struct {
	Entries []Entry  `json:"entries"`
	Targets []Target `json:"targets"`
}

// Identical reports whether both lists share their memory. While the platform's
// list is unchanged, a Store returns the same memory again, so that callers
// notice this without comparing thousands of entries. Equal lists that were
// decoded separately are not identical.
func (r Roster) Identical(other Roster) bool {
	return len(r.Entries) == len(other.Entries) && len(r.Targets) == len(other.Targets) &&
		(len(r.Entries) == 0 || &r.Entries[0] == &other.Entries[0]) &&
		(len(r.Targets) == 0 || &r.Targets[0] == &other.Targets[0])
}

// Store is the interface of the platform. While the platform is down or slow,
// every method may fail, or block until its context ends.
type Store interface {
	// Get returns one object, which may be a tombstone, or ErrNotFound.
	Get(ctx context.Context, path string) (Object, error)
	// List returns all objects whose path begins with prefix, including
	// tombstones, and the revision of the store at that time.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes the object if its version is still ifVersion, 0 for an object
	// that never existed, and returns the new version.
	Put(ctx context.Context, path string, value []byte, ifVersion uint64) (uint64, error)
	// Delete replaces the object by a tombstone if its version is still
	// ifVersion, and returns the tombstone's version.
	Delete(ctx context.Context, path string, ifVersion uint64) (uint64, error)
	// Watch waits until an object whose path begins with prefix changes after
	// the revision, at most for wait. It returns the changed objects, none if
	// the time ran out, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Roster returns the platform's list of instances.
	Roster(ctx context.Context) (Roster, error)
}
