package roster_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/wire"
)

// simulation is a platform, which may be down, and the processes that follow its list.
// No process can reach those in unreachable.
type simulation struct {
	list        store.Roster
	reads       int
	calls       int
	now         time.Time
	unreachable map[place.Instance]bool
	down        bool
	followers   map[place.Instance]*roster.Follower
}

func (w *simulation) Roster(context.Context) (store.Roster, error) {
	w.reads++
	if w.down {
		return store.Roster{}, errors.New("down")
	}
	return w.list, nil
}

func (w *simulation) Call(_ context.Context, to place.Instance, message wire.Message) (wire.Message, error) {
	w.calls++
	request, ok := message.(*wire.RosterRequest)
	if !ok || w.unreachable[to] || w.followers[to] == nil {
		return nil, errors.New("unreachable")
	}
	return w.followers[to].Handle(request), nil
}

func (w *simulation) start(name place.Instance, sources roster.Sources) *roster.Follower {
	f := roster.NewFollower(w, w, func() roster.Sources { return sources }, func() time.Time { return w.now }, logs.Discard())
	w.followers[name] = f
	return f
}

func rows(names ...place.Instance) store.Roster {
	var list store.Roster
	for _, name := range names {
		list.Entries = append(list.Entries, store.Entry{Instance: name, Zone: "kigali/a", State: store.StateLive})
	}
	return list
}

// TestSpread guards against processes that read the platform though a peer has a
// fresh list, or that don't get a change: it passes from the reader to a member of
// its zone, and from that to another zone. A peer that asks with the hash of an older
// list has to learn that its list differs.
func TestSpread(t *testing.T) {
	w := &simulation{now: time.Unix(1000, 0), unreachable: map[place.Instance]bool{}, followers: map[place.Instance]*roster.Follower{}, list: rows("a", "b")}
	reader := w.start("reader", roster.NewSources(true, nil, nil))
	member := w.start("member", roster.NewSources(false, []place.Instance{"reader"}, nil))
	far := w.start("far", roster.NewSources(false, nil, []place.Instance{"member"}))
	step := func() {
		w.now = w.now.Add(roster.Interval)
		for _, f := range []*roster.Follower{reader, member, far} {
			f.Poll(context.Background())
		}
	}
	step()
	w.list = rows("a", "c")
	step()
	for name, f := range map[string]*roster.Follower{"reader": reader, "member": member, "far": far} {
		if diff := cmp.Diff(rows("a", "c"), f.Table().List()); diff != "" {
			t.Errorf("%s differs (-want +got):\n%s", name, diff)
		}
	}
	if w.reads != 2 {
		t.Errorf("the platform was read %d times, want 2: once a round by the reader", w.reads)
	}
	calls := w.calls
	step()
	if got := w.calls - calls; got != 2 {
		t.Errorf("a round without changes took %d calls, want 2", got)
	}
	// The member can't reach the reader, so it reads the platform itself in this
	// round. The other zone still gets the list from the member.
	w.unreachable["reader"] = true
	step()
	if got := w.reads; got != 5 {
		t.Errorf("the platform was read %d times, want 5", got)
	}
	stale := roster.New(rows("a", "b"), w.now.Add(-time.Hour))
	answer := far.Handle(&wire.RosterRequest{Hash: stale.Hash()})
	if answer.Same || !answer.Known {
		t.Errorf("the answer to the hash of an older list is %+v, want a known list that differs", answer)
	}
}

// TestJoinWithThePlatformDown guards against a new process without a list while the
// platform is down: it takes the list from a peer, with its age.
func TestJoinWithThePlatformDown(t *testing.T) {
	w := &simulation{now: time.Unix(1000, 0), unreachable: map[place.Instance]bool{}, followers: map[place.Instance]*roster.Follower{}, list: rows("a")}
	old := w.start("old", roster.NewSources(true, nil, nil))
	old.Poll(context.Background())
	w.down = true
	w.now = w.now.Add(time.Hour)
	joiner := w.start("joiner", roster.NewSources(true, []place.Instance{"old"}, nil))
	joiner.Poll(context.Background())
	if diff := cmp.Diff(rows("a"), joiner.Table().List()); diff != "" {
		t.Fatalf("the joiner's list differs (-want +got):\n%s", diff)
	}
	if age := joiner.Table().Age(w.now); age != time.Hour {
		t.Errorf("the joiner's list has the age %v, want 1h", age)
	}
}
