// Package wait pauses a goroutine for a while, or until it is to stop.
package wait

import (
	"context"
	"time"
)

// For waits and tells whether ctx still goes on.
func For(ctx context.Context, pause time.Duration) bool { return Woken(ctx, pause, nil) }

// Woken waits, at most until a value comes from wake, and tells whether ctx
// still goes on. A nil wake never ends the wait.
func Woken(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
