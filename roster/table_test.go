package roster_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/roster"
	"github.com/endivechute/endivechute/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

// lists draws two lists that share most of their rows.
func lists(t *rapid.T) (store.Roster, store.Roster) {
	var before, after store.Roster
	for i := range rapid.IntRange(0, 40).Draw(t, "rows") {
		entry := store.Entry{Instance: place.Instance(fmt.Sprintf("entry-%d", i)), Zone: "kigali/a", State: store.StateLive}
		target := store.Target{Target: place.Target(fmt.Sprintf("target-%d", i)), Service: "library/desk", State: store.StateLive}
		change := rapid.IntRange(0, 9).Draw(t, "change")
		if change != 0 {
			before.Entries = append(before.Entries, entry)
			before.Targets = append(before.Targets, target)
		}
		if change == 1 {
			entry.State, target.State = store.StateLeaving, store.StateLeaving
		}
		if change != 2 {
			after.Entries = append(after.Entries, entry)
			after.Targets = append(after.Targets, target)
		}
	}
	return before, after
}

// TestExchange checks that a process that replaces the rows of the differing buckets
// has the same list and hashes afterwards as the process it got them from.
func TestExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := lists(t)
		ours := roster.New(before, time.Unix(1, 0))
		theirs := roster.New(after, time.Unix(2, 0))
		buckets := theirs.Differing(ours.Hashes())
		next := ours.WithRows(buckets, theirs.Rows(buckets), theirs.ReadAt())
		if diff := cmp.Diff(theirs.List(), next.List()); diff != "" {
			t.Fatalf("the list differs after the exchange (-want +got):\n%s", diff)
		}
		if next.Hash() != theirs.Hash() || next.Hashes() != theirs.Hashes() {
			t.Fatalf("the hashes differ after the exchange: %x, want %x", next.Hash(), theirs.Hash())
		}
		if (len(buckets) == 0) != cmp.Equal(ours.List(), theirs.List()) {
			t.Fatalf("%d buckets differ, which does not match the lists", len(buckets))
		}
	})
}

func TestConfirmed(t *testing.T) {
	table := roster.New(store.Roster{}, time.Unix(10, 0))
	tests := map[string]struct{ at, want int64 }{"later": {11, 11}, "same": {10, 10}, "earlier": {9, 10}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := table.WithReadAt(time.Unix(test.at, 0)).ReadAt().Unix(); got != test.want {
				t.Errorf("ReadAt() = %d, want %d", got, test.want)
			}
		})
	}
}

// BenchmarkTable measures the time and memory for replacing one bucket of the list,
// by the number of entries. There are four targets for each entry.
func BenchmarkTable(b *testing.B) {
	for _, entries := range []int{440, 1100, 4400} {
		var list store.Roster
		for i := range entries {
			list.Entries = append(list.Entries, store.Entry{
				Instance: place.Instance(fmt.Sprintf("entry-%d", i)), Zone: "kigali/a", CallerAddress: "127.0.0.1:8000", PeerAddress: "127.0.0.1:8001", State: store.StateLive,
			})
			for j := range 4 {
				list.Targets = append(list.Targets, store.Target{Target: place.Target(fmt.Sprintf("target-%d-%d", i, j)), Service: "library/desk", Zone: "kigali/a", Address: "127.0.0.1:9000", State: store.StateLive})
			}
		}
		table := roster.New(list, time.Unix(1, 0))
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.WithRows([]int{7}, table.Rows([]int{7}), time.Unix(2, 0))
			}
		})
	}
}
