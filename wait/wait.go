// Package wait provides sleeps that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the pause or until ctx is done. It reports whether ctx is still
// active.
func Sleep(ctx context.Context, pause time.Duration) bool { return SleepOrWake(ctx, pause, nil) }

// SleepOrWake waits for the pause, until a value arrives from wake or until ctx
// is done. It reports whether ctx is still active. A nil wake never ends the
// wait.
func SleepOrWake(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
