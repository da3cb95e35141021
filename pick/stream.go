package pick

import "time"

// Streaming records that the target has started to answer and that the rest of the
// answer is passed on as the caller reads it. From then on the request doesn't count as
// load of the target, and the time that the caller takes doesn't count as slowness of
// the target. Done must still be called.
func (a *Attempt) Streaming(now time.Time) {
	l := a.stats
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, a)
	a.streamedAt = now
}

// took returns how long the target took for the request. The caller holds the lock of
// the target's statistics.
func (a *Attempt) took(now time.Time) time.Duration {
	if !a.streamedAt.IsZero() {
		now = a.streamedAt
	}
	return now.Sub(a.at)
}
