package sender

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
)

const (
	// crashCheckTimeout limits the connection that shows whether a target's port is
	// still open. It covers the longest round trip between regions.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckAge is how long the result of such a check is used for other
	// requests whose connections broke.
	crashCheckAge = time.Second
)

// crashChecks holds the latest check whether a target has crashed. A crash breaks
// many requests at once, for which one check is enough.
type crashChecks struct {
	mu      sync.Mutex
	latest  *crashCheck
	crashes uint64
}

type crashCheck struct {
	at   time.Time
	done chan struct{}
	// crash is the number of the crash, 0 if the port was open.
	crash uint64
}

// Crashed reports whether the target has crashed when the connection of a request
// broke, and numbers its crashes from 1. Only a port that is closed shows that: the
// connection may have been reset on the way.
func (c *Client) Crashed(ctx context.Context) (crash uint64, crashed bool) {
	checks, now := &c.crashChecks, time.Now()
	checks.mu.Lock()
	check := checks.latest
	if check != nil && now.Sub(check.at) < crashCheckAge {
		checks.mu.Unlock()
		<-check.done
		return check.crash, check.crash > 0
	}
	check = &crashCheck{at: now, done: make(chan struct{})}
	checks.latest = check
	checks.mu.Unlock()
	defer close(check.done)
	if c.refused(ctx) {
		checks.mu.Lock()
		checks.crashes++
		check.crash = checks.crashes
		checks.mu.Unlock()
	}
	return check.crash, check.crash > 0
}

func (c *Client) refused(ctx context.Context) bool {
	conn, err := c.open(ctx, c.address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// MayHaveCrashed reports whether the result of a request is what a target's crash
// causes: the connection broke before any answer.
func MayHaveCrashed(answer Answer, err error) bool {
	refusal := errs.AsRefusal(err)
	return err != nil && answer.Status() == 0 && refusal.Verdict() == errs.VerdictMayHaveRun && refusal.Reason() == errs.ReasonTargetFailed
}
