package ticket

// table maps keys to entries and keeps the order of insertion. Keys expire in
// roughly that order, so sweep finds expired entries without a full scan.
type table struct {
	entries map[keyID]*entry
	order   []keyID
}

func newTable() table { return table{entries: map[keyID]*entry{}} }

func (t *table) put(id keyID, e *entry) {
	if _, known := t.entries[id]; !known {
		t.order = append(t.order, id)
	}
	t.entries[id] = e
}

// sweep removes entries in order of insertion until it meets one that has not
// expired, and releases their budget.
func (t *table) sweep(budget *Budget, expired func(*entry) bool) {
	for len(t.order) > 0 {
		id := t.order[0]
		e, known := t.entries[id]
		if known && !expired(e) {
			return
		}
		t.order = t.order[1:]
		if known {
			budget.releaseEntry(e)
			delete(t.entries, id)
		}
	}
}
