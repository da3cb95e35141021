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

// watchUntil watches every kind of object in the store until done returns true.
func (f *Feed) watchUntil(ctx context.Context, done func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for ctx.Err() == nil {
			if err := f.session(ctx); err != nil && ctx.Err() == nil {
				wait.Sleep(ctx, f.recordFailure(err))
			}
		}
	})
	for wait.Sleep(ctx, electInterval) && !done() {
	}
	cancel()
	tasks.Wait()
}

// session watches every kind of object until one call fails, and returns the
// error of that call. It then ends the other watches too, because their
// connections may also have stopped delivering data, without an error. It
// begins with a single call, so that an outage costs few calls.
func (f *Feed) session(ctx context.Context) error {
	pending := &pendingWatches{cancels: map[string]context.CancelFunc{}}
	if err := f.watchOnce(ctx, platform.KindTargets, checkWatchWait, pending); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var tasks conc.WaitGroup
	for _, kind := range kinds {
		tasks.Go(func() {
			for ctx.Err() == nil {
				maxWait := f.maxWatchWait(kind)
				if err := f.watchOnce(ctx, kind, maxWait, pending); err != nil {
					cancel(err)
				}
			}
		})
	}
	tasks.Wait()
	return errors.WithStack(context.Cause(ctx))
}

// maxWatchWait returns how long a watch of a kind may wait for a change.
func (f *Feed) maxWatchWait(kind string) time.Duration {
	switch {
	case kind != platform.KindTargets:
		return f.watchWait
	case f.watcher() != f.self:
		return directWatchWait
	}
	return targetWatchWait
}

// pendingWatches holds the watches of a session that wait for a change.
type pendingWatches struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// errRestarted is the cause with which a watch is canceled in order to restart
// it.
var errRestarted = errors.New("the watch is restarted")

// start records a watch of a kind and returns its context and a function that
// ends it.
func (w *pendingWatches) start(ctx context.Context, kind string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[kind] = func() { cancel(errRestarted) }
	return ctx, func() { cancel(nil) }
}

// restartOthers cancels the watches of all other kinds, so that they are
// restarted.
func (w *pendingWatches) restartOthers(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, cancel := range w.cancels {
		if other != kind {
			cancel()
		}
	}
}

// watchOnce makes one call to the store for a kind and applies the result. A
// store that discards its history may leave watches of other kinds waiting for
// changes that it no longer has, so those watches are restarted.
func (f *Feed) watchOnce(ctx context.Context, kind string, maxWait time.Duration, pending *pendingWatches) error {
	m := f.mirrors[kind]
	after := m.position()
	// A watch from a revision of an earlier era would wait for the changes after
	// the same revision of the present one.
	if !m.isLoaded() || after.Era() < f.store.Era() {
		return f.list(ctx, kind)
	}
	watchContext, end := pending.start(ctx, kind)
	defer end()
	objects, position, err := f.store.Watch(watchContext, kind, after, maxWait)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrHistoryGone):
		f.log.WithFields(logrus.Fields{fieldKind: kind, "era": after.Era(), fieldRevision: after.Revision()}).Info("The store has discarded its history; the objects are listed again.")
		pending.restartOthers(kind)
		f.hearStore()
		return f.list(ctx, kind)
	case errors.Is(context.Cause(watchContext), errRestarted) && ctx.Err() == nil:
		return nil
	default:
		return errors.Wrap(err, "watch the store")
	}
	f.markConfirmed("", 0)
	f.applyChanges(kind, objects, after, position)
	if len(objects) > 0 {
		pause := watchPause
		if f.watcher() != f.self {
			pause = directWatchPause
		}
		wait.Sleep(ctx, pause)
	}
	return nil
}

// list reads all objects of a kind from the store and applies them.
func (f *Feed) list(ctx context.Context, kind string) error {
	objects, position, err := f.store.List(ctx, kind, f.hearStore)
	if err != nil {
		return errors.Wrap(err, "list the objects in the store")
	}
	f.markConfirmed("", 0)
	f.applyList(kind, objects, position)
	return nil
}
