package ticket

// table maps keys to entries and keeps the order of insertion. Keys expire in
// roughly that order, so sweep finds expired entries without a full scan.
type table struct {
	entries map[serial]*entry
	order   []serial
}

func newTable() table { return table{entries: map[serial]*entry{}} }

func (t *table) keep(s serial, e *entry) {
	if _, known := t.entries[s]; !known {
		t.order = append(t.order, s)
	}
	t.entries[s] = e
}

// sweep removes entries in order of insertion until it meets one that has not
// expired, and releases their budget.
func (t *table) sweep(budget *Budget, past func(*entry) bool) {
	for len(t.order) > 0 {
		s := t.order[0]
		e, known := t.entries[s]
		if known && !past(e) {
			return
		}
		t.order = t.order[1:]
		if known {
			budget.giveEntry(e)
			delete(t.entries, s)
		}
	}
}
