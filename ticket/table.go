package ticket

// table keeps entries by key. Since keys expire about in the order in which
// they come, it finds those whose time is past without a look at the others.
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

// sweep forgets the oldest entries as long as they are past, and gives their
// room back.
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
