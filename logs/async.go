package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the capacity of the queue, in lines. At about 500 bytes per line
// the queue takes at most about 1 MB.
const queueLines = 2000

// Async is a writer that never blocks its callers. Lines are queued for a single
// goroutine that writes them. If the queue is full, lines are dropped and
// counted.
type Async struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	done    chan struct{}
}

// NewAsync returns an Async that writes to out until Close is called.
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

// Write queues a copy of one line. It always returns len(line) and no error: if
// the queue is full, the line is counted as dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped because the queue was full or
// writing them failed.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called
// afterwards.
func (a *Async) Close() {
	a.once.Do(func() { close(a.queue) })
	<-a.done
}
