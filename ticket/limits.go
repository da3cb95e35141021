package ticket

import (
	"sync/atomic"
	"time"
)

// Limits bounds how long a process keeps keys and how much memory they take.
type Limits struct {
	// PrefixLife is the time from the issue of a prefix to its expiry.
	PrefixLife time.Duration
	// KeepTime is how long a key is kept after its expiry.
	KeepTime time.Duration
	// KeysMax is the maximum number of live and finished keys. The same maximum
	// applies separately to refused and sealed keys.
	KeysMax int64
	// AnswerBytesMax is the maximum size of a kept answer, in bytes.
	AnswerBytesMax int64
	// BytesMax bounds the total size of the kept answers plus AnswerBytesMax for
	// each key without an outcome, in bytes.
	BytesMax int64
}

// DefaultLimits returns the limits that apply to a process as home, and again
// to the same process as witness.
func DefaultLimits() Limits {
	return Limits{
		PrefixLife:     6 * time.Second,
		KeepTime:       90 * time.Second,
		KeysMax:        100_000,
		AnswerBytesMax: 32 << 10,
		BytesMax:       64 << 20,
	}
}

// Budget counts the keys and bytes that all ledgers, or all records, of a
// process share. It is safe for concurrent use.
type Budget struct {
	limits   Limits
	keys     atomic.Int64
	refusals atomic.Int64
	bytes    atomic.Int64
}

// NewBudget returns an empty budget with the given limits.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Keys returns the number of live and finished keys.
func (b *Budget) Keys() int64 { return b.keys.Load() }

// Refusals returns the number of refused and sealed keys.
func (b *Budget) Refusals() int64 { return b.refusals.Load() }

// Bytes returns the bytes that kept answers take and keys without an outcome
// reserve.
func (b *Budget) Bytes() int64 { return b.bytes.Load() }

// reserveKey counts a new key and reserves AnswerBytesMax for its answer. It
// reports whether the limits allow both; if not, it changes nothing.
func (b *Budget) reserveKey() bool {
	if !tryAdd(&b.keys, 1, b.limits.KeysMax) {
		return false
	}
	if tryAdd(&b.bytes, b.limits.AnswerBytesMax, b.limits.BytesMax) {
		return true
	}
	b.keys.Add(-1)
	return false
}

// reserveRefusal counts a refused or sealed key. It reports whether the limit
// allows it; if not, it changes nothing.
func (b *Budget) reserveRefusal() bool { return tryAdd(&b.refusals, 1, b.limits.KeysMax) }

// releaseUnused reduces the bytes reserved for an answer to its size.
func (b *Budget) releaseUnused(answerBytes int) {
	b.bytes.Add(int64(answerBytes) - b.limits.AnswerBytesMax)
}

// releaseKey stops counting a key and the bytes held for its answer.
func (b *Budget) releaseKey(answerBytes int) {
	b.keys.Add(-1)
	b.bytes.Add(-int64(answerBytes))
}

func (b *Budget) releaseRefusal() { b.refusals.Add(-1) }

// tryAdd adds count to the counter. It reports whether the sum stays within
// the limit; if not, it undoes the addition.
func tryAdd(counter *atomic.Int64, count, limit int64) bool {
	if counter.Add(count) <= limit {
		return true
	}
	counter.Add(-count)
	return false
}
