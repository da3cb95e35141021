package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait for a slow reader of the log. A line
// has about 500 bytes, so that the queue stays under 1 MB.
const queueLines = 2000

// Async is a writer that never blocks its callers: lines wait in a queue for
// the one goroutine that writes them, and are dropped and counted when it is
// full.
type Async struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	done    chan struct{}
}

// NewAsync makes an Async that writes to out until Close is called.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run()
	return a
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.queue {
		if _, err := a.out.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write queues one line. It never fails: a line that finds the queue full is
// counted as dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what is queued. Nothing may be written afterwards.
func (a *Async) Close() {
	a.once.Do(func() { close(a.queue) })
	<-a.done
}
