package manage

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wait"
)

// PolicyDelete deletes the settings at a path if their version is ifVersion, and
// prints the report. A deletion has no change id, so after a lost reply the report
// can't say whose command deleted the settings. It implements `policy delete
// --path PATH --if-version N`.
func (o *Operator) PolicyDelete(ctx context.Context, path string, ifVersion uint64) (Report, error) {
	if err := o.checkPath(path); err != nil {
		return Report{}, err
	}
	before, err := o.read(ctx, path)
	if err != nil {
		return Report{}, errors.Wrap(err, "nothing was deleted")
	}
	if before.deleted {
		return o.printReport(Report{outcome: OutcomeUnchanged, path: path, version: before.version, text: fmt.Sprintf("unchanged: %s was already deleted in version %d\n", path, before.version)})
	}
	if before.version != ifVersion || before.version == 0 {
		return o.printReport(deleteConflict(before, ifVersion))
	}
	ctx, cancel := context.WithTimeout(ctx, o.confirmTimeout)
	defer cancel()
	return o.printReport(o.remove(ctx, before))
}

// remove repeats the deletion until its outcome is known or ctx ends.
func (o *Operator) remove(ctx context.Context, before objectState) Report {
	report := Report{path: before.path}
	replyLost := false
	for {
		version, err := o.removeOnce(ctx, before)
		switch {
		case err == nil:
			report.outcome = OutcomeAccepted
			report.version = version
			report.text = fmt.Sprintf("accepted: %s is deleted in version %d\n", before.path, version)
			return report
		case store.NotWritten(err) && !errors.Is(err, store.ErrConflict) && !replyLost:
			return refused(report, err)
		}
		replyLost = replyLost || !errors.Is(err, store.ErrConflict)
		if now, err := o.read(ctx, before.path); err == nil && now.version != before.version {
			return classifyDeletion(report, before, now, replyLost)
		}
		if !wait.Sleep(ctx, o.confirmPause) {
			return unconfirmedDeletion(report, before, replyLost)
		}
	}
}

func (o *Operator) removeOnce(ctx context.Context, before objectState) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	return o.store.Delete(ctx, before.path, before.version)
}

// classifyDeletion returns the report for an object whose version has changed.
func classifyDeletion(report Report, before, now objectState, replyLost bool) Report {
	if !replyLost {
		return deleteConflict(now, before.version)
	}
	report.version = now.version
	if now.deleted {
		report.outcome = OutcomeUnchanged
		report.text = fmt.Sprintf("deleted: %s is deleted in version %d; a reply was lost, so it may have been another command that deleted it\n", before.path, now.version)
		return report
	}
	report.text = fmt.Sprintf("unknown: a reply was lost, and %s has since written version %d of %s. It is not known whether it was deleted in between; to delete it, repeat the command with --if-version %d\n",
		now.author(), now.version, before.path, now.version)
	return report
}

// unconfirmedDeletion returns the report for an object that can't be read after
// the attempts to delete it.
func unconfirmedDeletion(report Report, before objectState, replyLost bool) Report {
	if !replyLost {
		report.outcome = OutcomeConflict
		report.text = fmt.Sprintf("conflict: %s has changed since version %d was read; nothing was deleted\n", before.path, before.version)
		return report
	}
	report.text = fmt.Sprintf("unknown: the store did not confirm whether %s was deleted at version %d. When it answers again, run `endivechute policy get --path %s`\n",
		before.path, before.version, before.path)
	return report
}

func deleteConflict(now objectState, ifVersion uint64) Report {
	report := Report{outcome: OutcomeConflict, path: now.path, version: now.version}
	report.text = fmt.Sprintf("conflict: %s is at version %d by %s, not at %d; nothing was deleted\n", now.path, now.version, now.author(), ifVersion)
	return report
}
