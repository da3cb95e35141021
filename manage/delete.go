package manage

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wait"
)

// PolicyDelete deletes the settings at a path if their version is still
// ifVersion, and prints the report. A command `policy delete PATH --if-version
// N`. A deletion bears no change id; after a lost reply the report tells only
// what can be seen.
func (o *Operator) PolicyDelete(ctx context.Context, path string, ifVersion uint64) (Report, error) {
	if err := o.checkPath(path); err != nil {
		return Report{}, err
	}
	before, err := o.read(ctx, path)
	if err != nil {
		return Report{}, errors.Wrap(err, "nothing was deleted")
	}
	if before.deleted {
		return o.tell(Report{outcome: OutcomeUnchanged, path: path, version: before.version, text: fmt.Sprintf("unchanged: %s is deleted already in version %d\n", path, before.version)})
	}
	if before.version != ifVersion || before.version == 0 {
		return o.tell(deleteConflict(before, ifVersion))
	}
	ctx, cancel := context.WithTimeout(ctx, o.settle)
	defer cancel()
	return o.tell(o.remove(ctx, before))
}

// remove deletes until it is known whether the object is gone.
func (o *Operator) remove(ctx context.Context, before current) Report {
	report := Report{path: before.path}
	lost := false
	for {
		version, err := o.removeOnce(ctx, before)
		switch {
		case err == nil:
			report.outcome = OutcomeAccepted
			report.version = version
			report.text = fmt.Sprintf("accepted: %s is deleted in version %d\n", before.path, version)
			return report
		case store.NotWritten(err) && !errors.Is(err, store.ErrConflict) && !lost:
			return refused(report, err)
		}
		lost = lost || !errors.Is(err, store.ErrConflict)
		if now, err := o.read(ctx, before.path); err == nil && now.version != before.version {
			return judgeDeletion(report, before, now, lost)
		}
		if !wait.For(ctx, o.pause) {
			return unreadDeletion(report, before, lost)
		}
	}
}

func (o *Operator) removeOnce(ctx context.Context, before current) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return o.store.Delete(ctx, before.path, before.version)
}

// judgeDeletion tells what can be seen of an object that has moved on.
func judgeDeletion(report Report, before, now current, lost bool) Report {
	if !lost {
		return deleteConflict(now, before.version)
	}
	report.version = now.version
	if now.deleted {
		report.outcome = OutcomeUnchanged
		report.text = fmt.Sprintf("deleted: %s is deleted in version %d; a reply was lost, so it may have been another command that did it\n", before.path, now.version)
		return report
	}
	report.text = fmt.Sprintf("unknown: a reply was lost, and %s wrote version %d of %s since. Whether it was deleted in between can't be told; if it is to be deleted, give the command again with --if-version %d\n",
		now.author(), now.version, before.path, now.version)
	return report
}

// unreadDeletion is the report when the object can't be read afterwards.
func unreadDeletion(report Report, before current, lost bool) Report {
	if !lost {
		report.outcome = OutcomeConflict
		report.text = fmt.Sprintf("conflict: %s has changed since version %d was read; nothing was deleted\n", before.path, before.version)
		return report
	}
	report.text = fmt.Sprintf("unknown: the store did not say whether %s was deleted at version %d. When it answers again, run `endivechute policy get --path %s`\n",
		before.path, before.version, before.path)
	return report
}

func deleteConflict(now current, ifVersion uint64) Report {
	report := Report{outcome: OutcomeConflict, path: now.path, version: now.version}
	report.text = fmt.Sprintf("conflict: %s is at version %d by %s, not at %d; nothing was deleted\n", now.path, now.version, now.author(), ifVersion)
	return report
}
