// Package budget bounds the extra work that the system makes for itself:
// retries and hedged requests, which may only be a small share of the requests,
// and waits that outlast a deadline. It does no I/O; time is passed in.
package budget

import (
	"sync/atomic"
)

const (
	// BurstDefault is how many extra requests may follow one another before
	// others have earned new ones.
	BurstDefault = 5

	unitsPerToken   = 1_000_000
	unitsPerPercent = unitsPerToken / 100
)

// Tokens is a budget of extra requests. Each request earns a share of a token
// and each extra request costs one, so that over any stretch of requests at
// most percent/100 * requests + burst extra ones are made. It is safe for use
// by several goroutines and takes no lock.
type Tokens struct {
	earn    atomic.Int64
	balance atomic.Int64
	max     int64
}

// NewTokens makes a budget of percent (0 to 100) of the requests, with a burst
// of whole tokens that it begins with. A percent of 0 allows nothing at all.
func NewTokens(percent float64, burst int) *Tokens {
	t := &Tokens{max: int64(burst) * unitsPerToken}
	t.SetPercent(percent)
	t.balance.Store(t.max)
	return t
}

// SetPercent changes the share that each further request earns.
func (t *Tokens) SetPercent(percent float64) {
	t.earn.Store(int64(percent * unitsPerPercent))
}

// Earn counts one request.
func (t *Tokens) Earn() {
	earned := t.earn.Load()
	for {
		old := t.balance.Load()
		grown := min(old+earned, t.max)
		if grown == old || t.balance.CompareAndSwap(old, grown) {
			return
		}
	}
}

// Take pays for one extra request, or returns false if the budget is spent.
func (t *Tokens) Take() bool {
	if t.earn.Load() == 0 {
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

// Left returns how many extra requests are paid for now.
func (t *Tokens) Left() int { return int(t.balance.Load() / unitsPerToken) }
