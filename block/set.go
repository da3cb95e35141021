package block

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"
)

// patchDivisor sets the largest change that is made in a copy of the table:
// 1/patchDivisor of its blocks. A larger change rebuilds the table.
const patchDivisor = 8

// Set holds the chunks and the prefix table built from them. All methods are
// safe for concurrent use. Apply calls are serialized by a lock that look-ups do
// not take.
type Set struct {
	table atomic.Pointer[Table]

	writeLock   sync.Mutex // guards the fields below
	chunks      map[string]*chunk
	nextNumber  uint32
	siteIndexes map[Site]uint32
}

type chunk struct {
	number  uint32
	version uint64
	value   []byte
}

// New returns an empty Set.
func New() *Set {
	s := &Set{chunks: make(map[string]*chunk), siteIndexes: make(map[Site]uint32)}
	s.table.Store(&Table{prefixes: new(bart.Table[source])})
	return s
}

// Find returns the site of the longest prefix that contains the address, and
// false if there is none. It takes no lock and allocates nothing.
func (s *Set) Find(address netip.Addr) (Site, bool) { return s.table.Load().Find(address) }

// Table returns the current table.
func (s *Set) Table() *Table { return s.table.Load() }

// Update is one version of a chunk: its name, the version of its object and its
// value, which is nil for a deleted chunk. The value must not be modified after
// it is passed to Apply.
type Update struct {
	Name    string
	Version uint64
	Value   []byte
}

// Apply applies updates of chunks and publishes all of them in one swap of the
// table. It ignores a version that is not greater than the one held, so that
// the version of a chunk never decreases. If a chunk is invalid, its previous
// version stays in force, the error names it, and the other updates are applied.
func (s *Set) Apply(updates ...Update) error {
	s.writeLock.Lock()
	defer s.writeLock.Unlock()
	var failed error
	changes := make(map[string]change, len(updates))
	for _, u := range updates {
		c, err := s.storeChunk(u)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "blocks/%s version %d", u.Name, u.Version))
			continue
		}
		if c != nil {
			changes[u.Name] = *c
		}
	}
	s.applyChanges(changes)
	return failed
}

// applyChanges patches a copy of the current table with a single small change,
// and rebuilds the table otherwise.
func (s *Set) applyChanges(changes map[string]change) {
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

// Versions returns the version of each chunk by name, including deleted chunks.
func (s *Set) Versions() map[string]uint64 {
	s.writeLock.Lock()
	defer s.writeLock.Unlock()
	held := make(map[string]uint64, len(s.chunks))
	for name, c := range s.chunks {
		held[name] = c.version
	}
	return held
}

// Chunk returns the version and value held of the chunk, so that a peer can copy
// them, and false if none is held.
func (s *Set) Chunk(name string) (Update, bool) {
	s.writeLock.Lock()
	defer s.writeLock.Unlock()
	c, known := s.chunks[name]
	if !known {
		return Update{}, false
	}
	return Update{Name: name, Version: c.version, Value: c.value}, true
}

// change is a new version of one chunk: the previous value and the new mappings.
type change struct {
	number uint32
	before []byte
	after  []Mapping
}

// storeChunk parses an update and stores its version and value. It returns nil
// if the version is not newer.
func (s *Set) storeChunk(u Update) (*change, error) {
	held, known := s.chunks[u.Name]
	if known && u.Version <= held.version {
		return nil, nil
	}
	var after []Mapping
	if u.Value != nil {
		var err error
		if after, err = ParseChunk(u.Value); err != nil {
			return nil, err
		}
	}
	if !known {
		held = &chunk{number: s.nextNumber}
		s.nextNumber++
		s.chunks[u.Name] = held
	}
	before := held.value
	held.version, held.value = u.Version, u.Value
	return &change{number: held.number, before: before, after: after}, nil
}

// mappingsOf parses a value that was validated before. Parsed mappings are not
// kept because they take several times the memory of the value.
func mappingsOf(value []byte) []Mapping {
	if value == nil {
		return nil
	}
	entries, err := ParseChunk(value)
	if err != nil {
		return nil
	}
	return entries
}

// rebuild builds a new table from all chunks in the order of their names and
// publishes it. It takes the mappings of changed chunks from changes and parses
// the others.
func (s *Set) rebuild(changes map[string]change) {
	t := &Table{prefixes: new(bart.Table[source])}
	s.siteIndexes = make(map[Site]uint32, len(s.siteIndexes))
	names := make([]string, 0, len(s.chunks))
	for name := range s.chunks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c, parsed := changes[name]
		if !parsed {
			c = change{number: s.chunks[name].number, after: mappingsOf(s.chunks[name].value)}
		}
		s.insertChunk(t, c)
	}
	s.table.Store(t)
}

// insertChunk adds the blocks of a chunk. Blocks that are in the table already,
// from a chunk earlier in the order, are counted as hidden.
func (s *Set) insertChunk(t *Table, c change) {
	for _, e := range c.after {
		own := source{site: s.siteIndex(t, e.site), chunk: c.number}
		t.prefixes.Modify(e.prefix, func(held source, found bool) (source, bool) {
			if found {
				t.hidden++
				return held, false
			}
			return own, false
		})
	}
}

// patch applies the difference between two versions of one chunk to a copy of
// the table and publishes it. It returns false without publishing if the
// difference is too large or if chunks share a block: only a rebuild determines
// which chunk is in force for a shared block. The caller must rebuild then.
func (s *Set) patch(c change) bool {
	current := s.table.Load()
	if current.hidden > 0 {
		return false
	}
	removed, added := diffMappings(mappingsOf(c.before), c.after)
	if (len(removed)+len(added))*patchDivisor > current.Blocks() {
		return false
	}
	t := &Table{prefixes: current.prefixes, sites: slices.Clip(current.sites)}
	for _, e := range removed {
		t.prefixes = t.prefixes.DeletePersist(e.prefix)
	}
	for _, e := range added {
		if held, found := t.prefixes.Get(e.prefix); found && held.chunk != c.number {
			return false
		}
		t.prefixes = t.prefixes.InsertPersist(e.prefix, source{site: s.siteIndex(t, e.site), chunk: c.number})
	}
	s.table.Store(t)
	return true
}

// siteIndex returns the index of the site in the table's list and appends the
// site if it is new.
func (s *Set) siteIndex(t *Table, site Site) uint32 {
	position, known := s.siteIndexes[site]
	if !known {
		position = uint32(len(t.sites))
		t.sites = append(t.sites, site)
		s.siteIndexes[site] = position
	}
	return position
}

// diffMappings returns the mappings of before whose block is not in after, and
// those of after whose block is new or has another site.
func diffMappings(before, after []Mapping) (removed, added []Mapping) {
	sites := make(map[netip.Prefix]Site, len(before))
	for _, e := range before {
		sites[e.prefix] = e.site
	}
	for _, e := range after {
		site, known := sites[e.prefix]
		if !known || site != e.site {
			added = append(added, e)
		}
		delete(sites, e.prefix)
	}
	for _, e := range before {
		if _, left := sites[e.prefix]; left {
			removed = append(removed, e)
		}
	}
	return removed, added
}
