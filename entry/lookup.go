package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// LookupTTL is how long a caller may use the answer to a look-up.
const LookupTTL = 2 * time.Second

// LookupEntriesMax is the maximum number of entries in the answer to a look-up.
const LookupEntriesMax = 6

// LookupResult is the answer to a look-up.
type LookupResult struct {
	service   place.Service
	entries   []store.Entry
	keyPrefix string
	expires   time.Duration
}

// Entries returns the entries to use, in the order of preference.
func (f LookupResult) Entries() []store.Entry { return f.entries }

// KeyPrefix returns the prefix for the at-most-once keys of non-idempotent
// requests. It is empty while no other entry can be the witness of the keys.
func (f LookupResult) KeyPrefix() string { return f.keyPrefix }

// Expires returns how long the answer may be used.
func (f LookupResult) Expires() time.Duration { return f.expires }

// Lookup returns the entries that a caller should send requests for a service to:
// those nearest to the site of the client's address, or nearest to this entry if
// no client block contains the address. The error is an *errs.Refusal.
func (e *Entry) Lookup(service place.Service, client netip.Addr) (LookupResult, error) {
	if !e.synced() || !e.limits.ready() {
		return LookupResult{}, errs.NotRun(errs.ReasonNotReady, DefaultRetryAfter, "instance %s has not loaded its settings and targets yet", e.self.Instance)
	}
	if _, found := e.relay.Tables().Policy(service); !found {
		return LookupResult{}, errs.NotRun(errs.ReasonNoService, 0, "no policy exists for service %q", service)
	}
	e.stats.lookups.Inc()
	entries := e.nearestEntries(e.clientZone(client))
	return LookupResult{service: service, entries: entries, keyPrefix: e.keyPrefix(), expires: LookupTTL}, nil
}

// nearestEntries returns up to LookupEntriesMax entries by their distance from an
// availability zone. This entry comes first in its own zone, the others of a zone
// in random order.
func (e *Entry) nearestEntries(near place.Zone) []store.Entry {
	v := e.view.Load()
	byDistance, known := v.zonesByDistance[near]
	if !known {
		byDistance = v.zonesByDistance[e.self.Zone]
	}
	entries := make([]store.Entry, 0, LookupEntriesMax)
	for _, zones := range byDistance {
		if len(entries) == LookupEntriesMax {
			break
		}
		for _, i := range rand.Perm(len(zones)) {
			entries = append(entries, e.pickInZone(v, zones[i], LookupEntriesMax-len(entries))...)
		}
	}
	return entries
}

// pickInZone returns at most count entries of an availability zone.
func (e *Entry) pickInZone(v *view, zone place.Zone, count int) []store.Entry {
	self, listed := v.entries[e.self.Instance]
	if zone != e.self.Zone || !listed || e.leaving.Load() || count <= 0 {
		return e.pick(v.zoneEntries[zone], count)
	}
	return append([]store.Entry{self}, e.pick(v.zoneEntries[zone], count-1)...)
}
