package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/wait"
)

// watchUntil watches every kind of object at the store until done says so.
func (f *Feed) watchUntil(ctx context.Context, done func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for ctx.Err() == nil {
			if err := f.session(ctx); err != nil && ctx.Err() == nil {
				wait.For(ctx, f.failed(err))
			}
		}
	})
	for wait.For(ctx, electInterval) && !done() {
	}
	cancel()
	tasks.Wait()
}

// session watches every kind of object until one call fails, which puts the
// other connections in doubt too: a connection can fall silent for good. It
// begins with one call alone, so that an outage costs few.
func (f *Feed) session(ctx context.Context) error {
	waits := &waits{cancels: map[string]context.CancelFunc{}}
	if err := f.step(ctx, platform.KindTargets, checkWait, waits); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var tasks conc.WaitGroup
	for _, kind := range kinds {
		patience := f.watchWait
		if kind == platform.KindTargets {
			patience = shortWait
		}
		tasks.Go(func() {
			for ctx.Err() == nil {
				if err := f.step(ctx, kind, patience, waits); err != nil {
					cancel(err)
				}
			}
		})
	}
	tasks.Wait()
	return errors.WithStack(context.Cause(ctx))
}

// waits are the watches of a session that are waiting.
type waits struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// errAsked ends a wait so that the watch is made anew.
var errAsked = errors.New("the watch is to be made anew")

// begin notes a watch of a kind and returns the context for it.
func (w *waits) begin(ctx context.Context, kind string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[kind] = func() { cancel(errAsked) }
	return ctx, func() { cancel(nil) }
}

// renew ends the watches of all other kinds, which are then made anew.
func (w *waits) renew(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, cancel := range w.cancels {
		if other != kind {
			cancel()
		}
	}
}

// step makes one call to the store for a kind and takes in what came. A store
// that has discarded its history does not end every watch that waits for a
// change which it no longer knows, so that the others are made anew too.
func (f *Feed) step(ctx context.Context, kind string, patience time.Duration, waits *waits) error {
	after := f.mirrors[kind].at()
	if after == 0 {
		return f.list(ctx, kind)
	}
	waiting, end := waits.begin(ctx, kind)
	defer end()
	objects, revision, err := f.store.Watch(waiting, kind, after, patience)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrHistoryGone):
		f.log.WithFields(logrus.Fields{"kind": kind, fieldRevision: after}).Info("The store has discarded its history; the objects are listed anew.")
		waits.renew(kind)
		return f.list(ctx, kind)
	case errors.Is(context.Cause(waiting), errAsked) && ctx.Err() == nil:
		return nil
	default:
		return errors.Wrap(err, "watch the store")
	}
	f.confirmed("", 0)
	f.advanced(kind, objects, after, revision)
	if len(objects) > 0 {
		wait.For(ctx, watchPause)
	}
	return nil
}

func (f *Feed) list(ctx context.Context, kind string) error {
	objects, revision, err := f.store.List(ctx, kind)
	if err != nil {
		return errors.Wrap(err, "read the store")
	}
	f.confirmed("", 0)
	f.listed(kind, objects, revision)
	return nil
}
