// Package roster keeps the platform's list of instances, called the roster, in
// each process. A Table is one reading of the list and does no I/O; a Follower
// keeps the newest table by reading the platform or asking peers.
//
// The list has no version, so the newer of two lists is the one that was read
// from the platform later. Rows are hashed into buckets. Processes compare one
// hash of all rows first, then the hash of each bucket, and transfer only the
// rows of buckets that differ. For example, at 4,400 entries the restart of one
// changes 1 row, in 1 of 64 buckets, and 1/64 of the rows is transferred.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/store"
)

// BucketCount is the number of buckets that rows are hashed into.
const BucketCount = 64

// Hashes holds the hash of each bucket, indexed by the number of the bucket.
type Hashes [BucketCount]uint64

// Table is the list as it was read from the platform at one time. It is
// immutable.
type Table struct {
	roster store.Roster
	hashes Hashes
	hash   uint64
	readAt time.Time
}

// New returns the table of a list that was read at readAt, by this process's
// clock.
func New(list store.Roster, readAt time.Time) *Table {
	t := &Table{readAt: readAt}
	t.roster.Entries = slices.SortedFunc(slices.Values(list.Entries), func(a, b store.Entry) int { return cmp.Compare(a.Instance, b.Instance) })
	t.roster.Targets = slices.SortedFunc(slices.Values(list.Targets), func(a, b store.Target) int { return cmp.Compare(a.Target, b.Target) })
	for _, entry := range t.roster.Entries {
		t.add(string(entry.Instance), string(entry.Zone), entry.CallerAddress, entry.PeerAddress, string(entry.State))
	}
	for _, target := range t.roster.Targets {
		t.add(string(target.Target), string(target.Service), string(target.Zone), target.Address, string(target.State))
	}
	return t
}

// add adds the hash of one row to the hash of its bucket and of the table. As
// these are sums, they don't depend on the order of the rows.
func (t *Table) add(name string, fields ...string) {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	for _, field := range fields {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(field)
	}
	sum := digest.Sum64()
	t.hashes[Bucket(name)] += sum
	t.hash += sum
}

// Bucket returns the bucket of the row with the given name.
func Bucket(name string) int { return int(xxhash.Sum64String(name) % BucketCount) }

// List returns the rows, sorted by name. The caller must not change them.
func (t *Table) List() store.Roster { return t.roster }

// Hash returns the hash of all rows.
func (t *Table) Hash() uint64 { return t.hash }

// Hashes returns the hash of each bucket.
func (t *Table) Hashes() Hashes { return t.hashes }

// Age returns how long ago the list was read from the platform.
func (t *Table) Age(now time.Time) time.Duration { return now.Sub(t.readAt) }

// ReadAt returns when the list was read from the platform, by this process's
// clock.
func (t *Table) ReadAt() time.Time { return t.readAt }

// WithReadAt returns the same table with the time of reading set to readAt, for
// when the platform still has this list. It returns t if readAt is not later.
func (t *Table) WithReadAt(readAt time.Time) *Table {
	if !readAt.After(t.readAt) {
		return t
	}
	next := *t
	next.readAt = readAt
	return &next
}

// Differing returns the numbers of the buckets whose hashes differ from theirs.
func (t *Table) Differing(theirs Hashes) []int {
	var buckets []int
	for i := range BucketCount {
		if t.hashes[i] != theirs[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// Rows returns the rows of the given buckets.
func (t *Table) Rows(buckets []int) store.Roster {
	var rows store.Roster
	for _, entry := range t.roster.Entries {
		if slices.Contains(buckets, Bucket(string(entry.Instance))) {
			rows.Entries = append(rows.Entries, entry)
		}
	}
	for _, target := range t.roster.Targets {
		if slices.Contains(buckets, Bucket(string(target.Target))) {
			rows.Targets = append(rows.Targets, target)
		}
	}
	return rows
}

// WithRows returns a table, read at readAt, in which rows replace the rows of the given
// buckets. Rows that belong to other buckets are ignored.
func (t *Table) WithRows(buckets []int, rows store.Roster, readAt time.Time) *Table {
	var next store.Roster
	for _, entry := range t.roster.Entries {
		if !slices.Contains(buckets, Bucket(string(entry.Instance))) {
			next.Entries = append(next.Entries, entry)
		}
	}
	for _, target := range t.roster.Targets {
		if !slices.Contains(buckets, Bucket(string(target.Target))) {
			next.Targets = append(next.Targets, target)
		}
	}
	for _, entry := range rows.Entries {
		if slices.Contains(buckets, Bucket(string(entry.Instance))) {
			next.Entries = append(next.Entries, entry)
		}
	}
	for _, target := range rows.Targets {
		if slices.Contains(buckets, Bucket(string(target.Target))) {
			next.Targets = append(next.Targets, target)
		}
	}
	return New(next, readAt)
}
