// Package event is the clock of the models: it runs what is to happen in the
// order of its simulated time.
package event

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen. It is not safe for use by several goroutines.
type Queue struct {
	now     time.Duration
	order   int
	pending items
}

// item is something that happens at a time; order breaks ties.
type item struct {
	at    time.Duration
	order int
	run   func()
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// After makes run happen after the time d.
func (q *Queue) After(d time.Duration, run func()) {
	q.order++
	heap.Push(&q.pending, item{at: q.now + max(d, 0), order: q.order, run: run})
}

// Run runs what happens up to the time end.
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
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
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
