package manage

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wait"
)

// errNotSettings returns the error for a path whose object does not hold settings.
func errNotSettings(path string) error {
	if strings.HasPrefix(path, config.PrefixBlocks) {
		return errors.Newf("path %q: client blocks are not settings; write them with `endivechute blocks set`", path)
	}
	return errors.Newf("path %q: objects of this kind are written by the system only; nothing was written", path)
}

// BlocksSet replaces one chunk of client blocks if its version is ifVersion (0 if
// it doesn't exist), and prints the report. The value is in the format of
// block.ParseChunk. A chunk has no envelope with change ids, so after a lost reply
// the stored value decides whether the write took effect. It implements `blocks
// set --chunk NAME --file FILE --if-version N`.
func (o *Operator) BlocksSet(ctx context.Context, chunk string, value []byte, ifVersion uint64) (Report, error) {
	if err := place.CheckName("chunk", chunk); err != nil {
		return Report{}, err
	}
	report := Report{path: config.PrefixBlocks + chunk}
	if _, err := block.ParseChunk(value); err != nil {
		return o.printReport(refused(report, err))
	}
	ctx, cancel := context.WithTimeout(ctx, o.confirmTimeout)
	defer cancel()
	return o.printReport(o.putBlocks(ctx, report, value, ifVersion))
}

// putBlocks repeats the write until its outcome is known or ctx ends.
func (o *Operator) putBlocks(ctx context.Context, report Report, value []byte, ifVersion uint64) Report {
	replyLost := false
	for {
		stored, err := o.readChunk(ctx, report.path)
		if err == nil && (stored.Version() != ifVersion || bytes.Equal(stored.Value(), value)) {
			return classifyChunk(report, stored, value, ifVersion, replyLost)
		}
		if err == nil {
			report.version, err = o.putChunk(ctx, report.path, value, ifVersion)
		}
		switch {
		case err == nil:
			report.outcome = OutcomeAccepted
			report.text = fmt.Sprintf("accepted: %s is at version %d\n", report.path, report.version)
			return report
		case store.NotWritten(err) && !errors.Is(err, store.ErrConflict) && !replyLost:
			return refused(report, err)
		}
		replyLost = replyLost || !errors.Is(err, store.ErrConflict)
		if !wait.Sleep(ctx, o.confirmPause) {
			report.text = fmt.Sprintf("unknown: the store did not confirm whether %s was written; when it answers again, repeat the command\n", report.path)
			return report
		}
	}
}

func (o *Operator) readChunk(ctx context.Context, path string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	stored, err := o.store.Get(ctx, path)
	if errors.Is(err, store.ErrNotFound) {
		return store.NewObject(path, 0, nil, false), nil
	}
	return stored, err
}

func (o *Operator) putChunk(ctx context.Context, path string, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	return o.store.Put(ctx, path, value, ifVersion)
}

// classifyChunk returns the report for a chunk that is stored at another version
// than ifVersion, or already has the given value.
func classifyChunk(report Report, stored store.Object, value []byte, ifVersion uint64, replyLost bool) Report {
	report.version = stored.Version()
	same := bytes.Equal(stored.Value(), value)
	switch {
	case same && stored.Version() != ifVersion && replyLost:
		report.outcome = OutcomeAccepted
		report.text = fmt.Sprintf("accepted: %s has the given value, in version %d (a reply was lost)\n", report.path, stored.Version())
	case same:
		report.outcome = OutcomeUnchanged
		report.text = fmt.Sprintf("unchanged: %s already has the given value, in version %d\n", report.path, stored.Version())
	case replyLost:
		report.text = fmt.Sprintf("unknown: a reply was lost, and %s now has another value, in version %d\n", report.path, stored.Version())
	default:
		report.outcome = OutcomeConflict
		report.text = fmt.Sprintf("conflict: %s is at version %d, not at %d; nothing was written\n", report.path, stored.Version(), ifVersion)
	}
	return report
}
