// Package event is a discrete-event simulation: it runs functions in the order
// of their simulated time.
package event

import (
	"container/heap"
	"time"
)

// Queue is a simulated clock with the functions that are scheduled on it. It is
// not safe for concurrent use.
type Queue struct {
	now      time.Duration
	sequence int
	pending  items
}

// item is a function that is scheduled for a time. Items of the same time run
// in the order of their sequence numbers.
type item struct {
	at       time.Duration
	sequence int
	run      func()
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules run for the time d from now. A negative d counts as 0.
func (q *Queue) After(d time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.pending, item{at: q.now + max(d, 0), sequence: q.sequence, run: run})
}

// Run runs the scheduled functions up to the time end, including those that
// they schedule.
func (q *Queue) Run(end time.Duration) {
	for len(q.pending) > 0 && q.pending[0].at <= end {
		next := heap.Pop(&q.pending).(item)
		q.now = next.at
		next.run()
	}
}

type items []item

func (s items) Len() int { return len(s) }
func (s items) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *items) Push(x any) { *s = append(*s, x.(item)) }

// Pop implements heap.Interface.
func (s *items) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
