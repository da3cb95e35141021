package logs

import (
	"sync"
	"time"
)

// Class is a class of lines with a bound of its own, so that what succeeds
// never takes the place of what fails.
type Class string

// The classes.
const (
	// ClassDone: requests that went well; a sample is enough.
	ClassDone Class = "done"
	// ClassRefused: requests that were refused before any target ran them.
	ClassRefused Class = "refused"
	// ClassFailed: requests that failed or whose fate is unknown.
	ClassFailed Class = "failed"
	// ClassState: changes of what the process believes.
	ClassState Class = "state"
)

// perSecond is how many lines of a class are written in one second: 195 in all,
// about 100 KB/s.
var perSecond = map[Class]int{ClassDone: 5, ClassRefused: 20, ClassFailed: 120, ClassState: 50}

// Quota bounds the lines of each class and counts what is left out. It is safe
// for use by several goroutines.
type Quota struct {
	mu      sync.Mutex
	second  int64
	used    map[Class]int
	leftOut map[Class]int
}

// NewQuota makes a Quota of which nothing is used.
func NewQuota() *Quota { return &Quota{used: map[Class]int{}, leftOut: map[Class]int{}} }

// Allow tells whether a line of the class may be written, and counts it.
func (q *Quota) Allow(class Class, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if second := now.Unix(); second != q.second {
		q.second = second
		clear(q.used)
	}
	if q.used[class] >= perSecond[class] {
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
