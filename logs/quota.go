package logs

import (
	"sync"
	"time"
)

// Class is a class of log lines with its own rate limit, so that lines of
// successful requests never displace those of failed ones.
type Class string

// The classes.
const (
	// ClassDone is for successful requests, of which a sample is enough.
	ClassDone Class = "done"
	// ClassRefused is for requests that were refused before any target ran them.
	ClassRefused Class = "refused"
	// ClassFailed is for requests that failed or whose outcome is unknown.
	ClassFailed Class = "failed"
	// ClassState is for changes in the state of the process and its view of the
	// fleet.
	ClassState Class = "state"
)

// linesPerSecond is the limit of each class: 195 lines per second in all, about
// 100 KB/s.
var linesPerSecond = map[Class]int{ClassDone: 5, ClassRefused: 20, ClassFailed: 120, ClassState: 50}

// Quota limits the rate of log lines per class and counts the lines that are left
// out. It is safe for concurrent use.
type Quota struct {
	mu      sync.Mutex
	began   time.Time // of the current second
	used    map[Class]int
	leftOut map[Class]int
}

// NewQuota returns an unused Quota.
func NewQuota() *Quota { return &Quota{used: map[Class]int{}, leftOut: map[Class]int{}} }

// Allow reports whether a line of the class may be written, and counts it as
// written or left out.
func (q *Quota) Allow(class Class, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.began) >= time.Second {
		q.began = now
		clear(q.used)
	}
	if q.used[class] >= linesPerSecond[class] {
		q.leftOut[class]++
		return false
	}
	q.used[class]++
	return true
}

// TakeLeftOut returns how many lines of each class were left out since the last
// call.
func (q *Quota) TakeLeftOut() map[Class]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.leftOut
	q.leftOut = map[Class]int{}
	return out
}
