package block

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"
)

// changesMax is the largest share of the table's blocks, as one part in
// changesMax, that is changed in a copy of the table; past it the table is
// built anew.
const changesMax = 8

// Set holds the chunks and the table made from them. Find may be called from
// any goroutine at any time; Take is serialized by a lock of its own that no
// look-up touches.
type Set struct {
	table atomic.Pointer[Table]

	building sync.Mutex
	chunks   map[string]*chunk
	numbers  uint32
	indexes  map[Site]uint32
}

type chunk struct {
	number  uint32
	version uint64
	value   []byte
}

// New makes a Set without a block.
func New() *Set {
	s := &Set{chunks: make(map[string]*chunk), indexes: make(map[Site]uint32)}
	s.table.Store(&Table{prefixes: new(bart.Table[source])})
	return s
}

// Find returns the site of the longest block that holds the address, and false
// when none does. It takes no lock and allocates nothing.
func (s *Set) Find(address netip.Addr) (Site, bool) { return s.table.Load().Find(address) }

// Table returns the table that is in force.
func (s *Set) Table() *Table { return s.table.Load() }

// Update is one version of a chunk: its name, the version of its object, and
// its value, which is nil for a deleted chunk and must not be changed
// afterwards.
type Update struct {
	Name    string
	Version uint64
	Value   []byte
}

// Take puts newer chunks in force, all of them in one swap. A version that is
// not greater than the one held is passed over, so that a chunk never goes
// back. When a chunk does not parse, it is left out and named in the error,
// the version that was in force stays, and the others are taken.
func (s *Set) Take(updates ...Update) error {
	s.building.Lock()
	defer s.building.Unlock()
	var failed error
	changes := make(map[string]change, len(updates))
	for _, u := range updates {
		c, err := s.read(u)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "blocks/%s version %d", u.Name, u.Version))
			continue
		}
		if c != nil {
			changes[u.Name] = *c
		}
	}
	s.apply(changes)
	return failed
}

// apply patches the running table with a single change, or builds a new table.
func (s *Set) apply(changes map[string]change) {
	if len(changes) == 0 {
		return
	}
	if len(changes) == 1 {
		for _, c := range changes {
			if s.patch(c) {
				return
			}
		}
	}
	s.rebuild(changes)
}

// Held returns the versions held of each chunk, deleted ones included.
func (s *Set) Held() map[string]uint64 {
	s.building.Lock()
	defer s.building.Unlock()
	held := make(map[string]uint64, len(s.chunks))
	for name, c := range s.chunks {
		held[name] = c.version
	}
	return held
}

// Chunk returns what is held of the chunk, for a process that asks its peers,
// and false when nothing is.
func (s *Set) Chunk(name string) (Update, bool) {
	s.building.Lock()
	defer s.building.Unlock()
	c, known := s.chunks[name]
	if !known {
		return Update{}, false
	}
	return Update{Name: name, Version: c.version, Value: c.value}, true
}

// change is one chunk that was taken: the value it had before and what it
// holds now.
type change struct {
	number uint32
	before []byte
	after  []Entry
}

// read parses a newer chunk and keeps it. It returns nil when the version is
// not newer.
func (s *Set) read(u Update) (*change, error) {
	held, known := s.chunks[u.Name]
	if known && u.Version <= held.version {
		return nil, nil
	}
	var after []Entry
	if u.Value != nil {
		var err error
		if after, err = ParseChunk(u.Value); err != nil {
			return nil, err
		}
	}
	if !known {
		held = &chunk{number: s.numbers}
		s.numbers++
		s.chunks[u.Name] = held
	}
	before := held.value
	held.version, held.value = u.Version, u.Value
	return &change{number: held.number, before: before, after: after}, nil
}

// entriesOf parses a value that was accepted before. The parsed form is not
// kept because it takes several times the memory of the value.
func entriesOf(value []byte) []Entry {
	if value == nil {
		return nil
	}
	entries, err := ParseChunk(value)
	if err != nil {
		return nil
	}
	return entries
}

// rebuild makes the table anew from all chunks, in the order of their names,
// and swaps it in. The chunks among changes are parsed already.
func (s *Set) rebuild(changes map[string]change) {
	t := &Table{prefixes: new(bart.Table[source])}
	s.indexes = make(map[Site]uint32, len(s.indexes))
	names := make([]string, 0, len(s.chunks))
	for name := range s.chunks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c, parsed := changes[name]
		if !parsed {
			c = change{number: s.chunks[name].number, after: entriesOf(s.chunks[name].value)}
		}
		s.insert(t, c)
	}
	s.table.Store(t)
}

// insert adds the blocks of a chunk that no earlier chunk holds.
func (s *Set) insert(t *Table, c change) {
	for _, e := range c.after {
		at := source{site: s.index(t, e.site), chunk: c.number}
		t.prefixes.Modify(e.prefix, func(held source, found bool) (source, bool) {
			if found {
				t.hidden++
				return held, false
			}
			return at, false
		})
	}
}

// patch changes a copy of the table by the difference between two versions of
// one chunk and swaps it in. It returns false, with nothing changed, when that
// would not pay or when the chunk shares a block with another one: which of
// the two is in force only a rebuild knows.
func (s *Set) patch(c change) bool {
	running := s.table.Load()
	if running.hidden > 0 {
		return false
	}
	gone, fresh := difference(entriesOf(c.before), c.after)
	if (len(gone)+len(fresh))*changesMax > running.Blocks() {
		return false
	}
	t := &Table{prefixes: running.prefixes, sites: slices.Clip(running.sites)}
	for _, e := range gone {
		t.prefixes = t.prefixes.DeletePersist(e.prefix)
	}
	for _, e := range fresh {
		if held, found := t.prefixes.Get(e.prefix); found && held.chunk != c.number {
			return false
		}
		t.prefixes = t.prefixes.InsertPersist(e.prefix, source{site: s.index(t, e.site), chunk: c.number})
	}
	s.table.Store(t)
	return true
}

// index returns the position of the site in the table's list, which grows by
// it when it is new.
func (s *Set) index(t *Table, site Site) uint32 {
	at, known := s.indexes[site]
	if !known {
		at = uint32(len(t.sites))
		t.sites = append(t.sites, site)
		s.indexes[site] = at
	}
	return at
}

// difference returns the entries whose block is in before alone, and those of
// after that are new or have another site.
func difference(before, after []Entry) (gone, fresh []Entry) {
	sites := make(map[netip.Prefix]Site, len(before))
	for _, e := range before {
		sites[e.prefix] = e.site
	}
	for _, e := range after {
		site, known := sites[e.prefix]
		if !known || site != e.site {
			fresh = append(fresh, e)
		}
		delete(sites, e.prefix)
	}
	for _, e := range before {
		if _, left := sites[e.prefix]; left {
			gone = append(gone, e)
		}
	}
	return gone, fresh
}
