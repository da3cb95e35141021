package ticket

import (
	"sync/atomic"
	"time"
)

// Limits bound what a process keeps for keys.
type Limits struct {
	// PrefixLife is how long the keys of a prefix are accepted.
	PrefixLife time.Duration
	// KeepTime is how long a key is remembered after it expired.
	KeepTime time.Duration
	// KeysMax bounds the live and finished keys, and again the refused ones.
	KeysMax int64
	// AnswerBytesMax is the largest answer that is kept, in bytes.
	AnswerBytesMax int64
	// BytesMax bounds the kept answers together with AnswerBytesMax for each
	// request that runs, in bytes.
	BytesMax int64
}

// DefaultLimits returns the limits of one role of a process, home or witness.
func DefaultLimits() Limits {
	return Limits{
		PrefixLife:     6 * time.Second,
		KeepTime:       90 * time.Second,
		KeysMax:        100_000,
		AnswerBytesMax: 32 << 10,
		BytesMax:       64 << 20,
	}
}

// Budget counts what all ledgers or all records of a process keep together. It
// is safe for use by several goroutines at once.
type Budget struct {
	limits   Limits
	keys     atomic.Int64
	refusals atomic.Int64
	bytes    atomic.Int64
}

// NewBudget makes a budget with the given limits.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Keys returns how many live and finished keys are kept.
func (b *Budget) Keys() int64 { return b.keys.Load() }

// Refusals returns how many refused or sealed keys are kept.
func (b *Budget) Refusals() int64 { return b.refusals.Load() }

// Bytes returns how many bytes of answers are kept or set aside.
func (b *Budget) Bytes() int64 { return b.bytes.Load() }

// takeKey sets aside the room of a new key and its answer.
func (b *Budget) takeKey() bool {
	if !take(&b.keys, 1, b.limits.KeysMax) {
		return false
	}
	if take(&b.bytes, b.limits.AnswerBytesMax, b.limits.BytesMax) {
		return true
	}
	b.keys.Add(-1)
	return false
}

// takeRefusal sets aside the room of a refused or sealed key.
func (b *Budget) takeRefusal() bool { return take(&b.refusals, 1, b.limits.KeysMax) }

// settle gives back what an answer left of its room.
func (b *Budget) settle(answerBytes int) {
	b.bytes.Add(int64(answerBytes) - b.limits.AnswerBytesMax)
}

// giveKey gives back a key whose room was settled to answerBytes.
func (b *Budget) giveKey(answerBytes int) {
	b.keys.Add(-1)
	b.bytes.Add(-int64(answerBytes))
}

func (b *Budget) giveRefusal() { b.refusals.Add(-1) }

func take(counter *atomic.Int64, count, most int64) bool {
	if counter.Add(count) <= most {
		return true
	}
	counter.Add(-count)
	return false
}
