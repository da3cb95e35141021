package block

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// source is the value of a block in the table: its site and its chunk.
type source struct {
	site  uint32 // index in Table.sites
	chunk uint32 // chunk.number
}

// Table is an immutable prefix table. It is safe for concurrent use.
type Table struct {
	prefixes *bart.Table[source]
	sites    []Site
	hidden   int
}

// Find returns the site of the longest prefix that contains the address, and
// false if there is none. IPv4-mapped IPv6 addresses are looked up as IPv4.
func (t *Table) Find(address netip.Addr) (Site, bool) {
	match, found := t.prefixes.Lookup(address.Unmap())
	if !found {
		return Site{}, false
	}
	return t.sites[match.site], true
}

// Blocks returns the number of blocks in the table.
func (t *Table) Blocks() int { return t.prefixes.Size() }

// Hidden returns the number of blocks that have no effect because the same block
// is in another chunk too. Of the chunks with a block, the one whose name sorts
// first is in force; the block counts once for each of the others.
func (t *Table) Hidden() int { return t.hidden }
