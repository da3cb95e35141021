package block

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// source says where a block of the table comes from.
type source struct {
	site  uint32 // position in the list of sites
	chunk uint32 // number of the chunk
}

// Table is a finished prefix table. It never changes, so any number of
// goroutines may look up in it.
type Table struct {
	prefixes *bart.Table[source]
	sites    []Site
	hidden   int
}

// Find returns the site of the longest block that holds the address, and false
// when none does.
func (t *Table) Find(address netip.Addr) (Site, bool) {
	at, found := t.prefixes.Lookup(address.Unmap())
	if !found {
		return Site{}, false
	}
	return t.sites[at.site], true
}

// Blocks returns how many blocks the table holds.
func (t *Table) Blocks() int { return t.prefixes.Size() }

// Hidden returns how many blocks stand in more than one chunk, counted once
// for each chunk that is not in force for it. The chunk whose name sorts first
// is in force.
func (t *Table) Hidden() int { return t.hidden }
