// Package budget limits the extra load that the system causes itself: retries
// and hedged requests are limited to a percentage of the requests. It also
// estimates the wait for a slot, to tell whether a request would miss its
// deadline in a queue. The package does no I/O.
package budget

import (
	"sync/atomic"
)

const (
	// BurstDefault is the default capacity of a budget in tokens: the number
	// of extra requests that can be made without earning new tokens.
	BurstDefault = 5

	unitsPerToken   = 1_000_000
	unitsPerPercent = unitsPerToken / 100
)

// TokenBucket limits extra requests to a percentage of the requests. Each request
// earns percent/100 of a token and each extra request costs one token, so that
// during any n consecutive requests at most percent/100 * n + burst extra ones
// are made. It is safe for concurrent use and lock-free.
type TokenBucket struct {
	earnPerRequest atomic.Int64
	balance        atomic.Int64
	capacity       int64
}

// NewTokenBucket returns a bucket for percent (0 to 100) of the requests. It
// holds at most burst tokens and starts full. A percent of 0 allows no extra
// request, not even the burst.
func NewTokenBucket(percent float64, burst int) *TokenBucket {
	t := &TokenBucket{capacity: int64(burst) * unitsPerToken}
	t.SetPercent(percent)
	t.balance.Store(t.capacity)
	return t
}

// SetPercent changes the percentage for later requests. It keeps the tokens
// that were earned before.
func (t *TokenBucket) SetPercent(percent float64) {
	t.earnPerRequest.Store(int64(percent * unitsPerPercent))
}

// Earn adds the share of a token that one request earns, up to the burst.
func (t *TokenBucket) Earn() {
	earned := t.earnPerRequest.Load()
	for {
		old := t.balance.Load()
		next := min(old+earned, t.capacity)
		if next == old || t.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take takes the token for one extra request. It returns false if there is
// none.
func (t *TokenBucket) Take() bool {
	if t.earnPerRequest.Load() == 0 {
		return false
	}
	for {
		old := t.balance.Load()
		if old < unitsPerToken {
			return false
		}
		if t.balance.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}

// Available returns the number of whole tokens in the budget.
func (t *TokenBucket) Available() int { return int(t.balance.Load() / unitsPerToken) }
