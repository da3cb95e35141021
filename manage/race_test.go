package manage_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/manage"
	"github.com/endivechute/endivechute/store"
)

var errLost = errors.New("the reply was lost")

// faultyStore is a store for one goroutine that holds one object. A write may take
// effect without a reply, be lost, or take effect later. beforeCall runs before
// each call; it lets other operators make a whole change between two calls.
type faultyStore struct {
	store.Store
	t       *rapid.T
	object  store.Object
	history []store.Object
	delayed []func()
	faults  int
	// down means that every call fails. goDown then ends ctx, which all
	// operators use.
	down       bool
	ctx        context.Context
	goDown     context.CancelFunc
	beforeCall func()
}

func (f *faultyStore) Get(context.Context, string) (store.Object, error) {
	f.beforeCall()
	if f.down {
		return store.Object{}, errLost
	}
	if f.object.Version() == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return f.object, nil
}

func (f *faultyStore) put(path string, value []byte, ifVersion uint64) (uint64, error) {
	if f.object.Version() != ifVersion {
		return 0, store.ErrConflict
	}
	f.object = store.NewObject(path, ifVersion+1, value, false)
	f.history = append(f.history, f.object)
	return f.object.Version(), nil
}

func (f *faultyStore) Put(_ context.Context, path string, value []byte, ifVersion uint64) (uint64, error) {
	f.beforeCall()
	if f.down {
		return 0, errLost
	}
	kind := 0
	if f.faults > 0 {
		kind = rapid.IntRange(0, 5).Draw(f.t, "fault")
	}
	switch kind {
	case 1:
		f.faults--
		_, _ = f.put(path, value, ifVersion)
		return 0, errLost
	case 2:
		f.faults--
		return 0, errLost
	case 3:
		f.faults--
		f.delayed = append(f.delayed, func() { _, _ = f.put(path, value, ifVersion) })
		return 0, errLost
	case 4:
		f.faults--
		f.down = true
		f.goDown()
		return 0, errLost
	}
	return f.put(path, value, ifVersion)
}

// TestReportsAreTrue makes concurrent changes to one object in a store that loses
// replies, loses and delays writes and goes down. It compares the reports with the
// history of writes that took effect: an accepted change is in it exactly once, so
// that at most one change against a version is accepted; a refused, conflicting or
// unchanged one is never in it, not even after every delayed write has arrived.
// While the store answers, no outcome is unknown and every change in the history
// was reported as accepted.
func TestReportsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultyStore{t: t, faults: rapid.IntRange(0, 6).Draw(t, "faults")}
		f.ctx, f.goDown = context.WithCancel(context.Background())
		defer f.goDown()
		var reports []manage.Report
		depth, writes := 0, 0
		change := func() {
			writes++
			author := rapid.SampledFrom([]string{"ana", "bruno"}).Draw(t, "author")
			operator := manage.New(f, author, io.Discard, func() time.Time { return time.Unix(0, 0) }).WithConfirm(time.Minute, time.Microsecond)
			a, _ := manage.ParseAssignment(fmt.Sprintf("slots=%d", 100+writes))
			report, err := operator.PolicyEdit(f.ctx, "teams/library", []manage.Assignment{a})
			if err == nil {
				reports = append(reports, report)
			}
		}
		f.beforeCall = func() {
			if len(f.delayed) > 0 && rapid.Bool().Draw(t, "arrives") {
				f.delayed[0]()
				f.delayed = f.delayed[1:]
			}
			if !f.down && depth < 2 && writes < 50 && rapid.IntRange(0, 3).Draw(t, "other") == 0 {
				depth++
				change()
				depth--
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			change()
		}
		for _, deliver := range f.delayed {
			deliver()
		}
		checkReports(t, f, reports)
	})
}

func checkReports(t *rapid.T, f *faultyStore, reports []manage.Report) {
	written := map[string]int{}
	for _, object := range f.history {
		envelope, err := config.ParseEnvelope(object.Value())
		if err != nil {
			t.Fatal(err)
		}
		written[envelope.ChangeID()]++
	}
	for _, report := range reports {
		times := written[report.ChangeID()]
		switch report.Outcome() {
		case manage.OutcomeAccepted:
			if times != 1 {
				t.Fatalf("an accepted change is %d times in the history, want once: %s", times, report.Text())
			}
		case manage.OutcomeConflict, manage.OutcomeRefused, manage.OutcomeUnchanged:
			if times != 0 {
				t.Fatalf("a change is in the history, but the report says: %s", report.Text())
			}
		case manage.OutcomeUnknown:
			if !f.down {
				t.Fatalf("the store answers, but the report says: %s", report.Text())
			}
		}
	}
	if !f.down {
		for _, object := range f.history {
			envelope, _ := config.ParseEnvelope(object.Value())
			if !reportedAccepted(reports, envelope.ChangeID()) {
				t.Fatalf("version %d took effect, but no report says that it was accepted", object.Version())
			}
		}
	}
}

func reportedAccepted(reports []manage.Report, changeID string) bool {
	for _, report := range reports {
		if report.ChangeID() == changeID && report.Outcome() == manage.OutcomeAccepted {
			return true
		}
	}
	return false
}
