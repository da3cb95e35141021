package poison

import (
	"iter"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits on the requests that are kept, by what is known of them. Each target that
// crashes makes suspects of all requests that it has, so that single crashes come in
// floods.
const (
	singlesMax     = 16384
	repeatedMax    = 1000
	quarantinedMax = 1000
	// freshMax limits the records with a single crash that are told to others.
	freshMax = 256
)

// ranks orders records by how much they say: those with one crash or none, those with
// more, and those that are quarantined.
const (
	rankSingle = iota
	rankRepeated
	rankQuarantined
	ranks
)

// table keeps the records of suspected requests. A full rank drops the one that was
// changed least recently, so that records never push out those that say more.
type table struct {
	ranked [ranks]*simplelru.LRU[Fingerprint, *record]
	// fresh holds the records of the lowest rank that were changed last.
	fresh *simplelru.LRU[Fingerprint, *record]
}

func newTable() *table {
	t := &table{fresh: newRecords(freshMax)}
	for rank, most := range [ranks]int{singlesMax, repeatedMax, quarantinedMax} {
		t.ranked[rank] = newRecords(most)
	}
	return t
}

func newRecords(most int) *simplelru.LRU[Fingerprint, *record] {
	records, err := simplelru.NewLRU[Fingerprint, *record](most, nil)
	if err != nil {
		panic(err) // the size isn't positive
	}
	return records
}

func rankOf(r *record, now time.Time) int {
	switch {
	case r.held(now):
		return rankQuarantined
	case len(r.crashes) > 1:
		return rankRepeated
	default:
		return rankSingle
	}
}

func (t *table) get(f Fingerprint) (*record, bool) {
	for _, records := range t.ranked {
		if r, found := records.Peek(f); found {
			return r, true
		}
	}
	return nil, false
}

// put adds a record, or moves it to its rank after a change.
func (t *table) put(f Fingerprint, r *record, now time.Time) {
	rank := rankOf(r, now)
	for other, records := range t.ranked {
		if other != rank {
			records.Remove(f)
		}
	}
	t.ranked[rank].Add(f, r)
	t.fresh.Remove(f)
	if rank == rankSingle {
		t.fresh.Add(f, r)
	}
}

func (t *table) size() int {
	n := 0
	for _, records := range t.ranked {
		n += records.Len()
	}
	return n
}

// dropExpired drops the records that were changed least recently while they are too
// old.
func (t *table) dropExpired(now time.Time) {
	for _, records := range t.ranked {
		for {
			_, r, found := records.GetOldest()
			if !found || !r.expired(now) {
				break
			}
			records.RemoveOldest()
		}
	}
}

// quarantined returns the records that are quarantined, or were until now. They may be
// moved meanwhile.
func (t *table) quarantined() iter.Seq2[Fingerprint, *record] {
	return all(t.ranked[rankQuarantined])
}

// changed returns all records that may have changed of late.
func (t *table) changed() iter.Seq2[Fingerprint, *record] {
	return func(yield func(Fingerprint, *record) bool) {
		for _, records := range []*simplelru.LRU[Fingerprint, *record]{t.ranked[rankQuarantined], t.ranked[rankRepeated], t.fresh} {
			for f, r := range all(records) {
				if !yield(f, r) {
					return
				}
			}
		}
	}
}

func all(records *simplelru.LRU[Fingerprint, *record]) iter.Seq2[Fingerprint, *record] {
	return func(yield func(Fingerprint, *record) bool) {
		for _, f := range records.Keys() {
			if r, found := records.Peek(f); found && !yield(f, r) {
				return
			}
		}
	}
}
