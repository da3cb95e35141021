package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// TestLeavingListed: only processes are told of that are in the list and not
// marked there, the last ones first, and no more than the limit.
func TestLeavingListed(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(target place.Target, born int64, leaving bool) fleet.Report {
		return fleet.Report{Target: target, Service: "s", Zone: "a/1", Address: "10.0.0.1:1", Slots: 1, Born: born, Leaving: leaving}
	}
	registry := fleet.NewRegistry(fleet.Timing{})
	for _, listed := range []fleet.Report{report("first", 1, false), report("second", 1, false), report("told", 1, true), report("replaced", 2, false)} {
		registry.Put(listed, now)
	}
	for i, left := range []fleet.Report{report("first", 1, false), report("gone", 1, false), report("told", 1, true), report("replaced", 1, false), report("second", 1, false)} {
		registry.MarkLeaving(left.Process(), now.Add(time.Duration(i)*time.Second))
	}
	names := func(limit int) (names []place.Target) {
		for _, process := range registry.LeavingListed(limit) {
			names = append(names, process.Target())
		}
		return names
	}
	if diff := cmp.Diff([]place.Target{"second", "first"}, names(10)); diff != "" {
		t.Errorf("leaving targets (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]place.Target{"second"}, names(1)); diff != "" {
		t.Errorf("one leaving target (-want +got):\n%s", diff)
	}
}
