package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// LookupTTL is how long a caller may use the answer of a look-up.
const LookupTTL = 2 * time.Second

// LookupEntriesMax is the greatest number of entries in an answer.
const LookupEntriesMax = 6

// Found is the answer of a look-up: the entries to use, the best one first.
type Found struct {
	service   place.Service
	entries   []store.Entry
	keyPrefix string
	expires   time.Duration
}

// Entries returns the entries to use, the best one first.
func (f Found) Entries() []store.Entry { return f.entries }

// KeyPrefix returns what the keys of non-idempotent requests begin with. It is
// empty while no other entry can witness them.
func (f Found) KeyPrefix() string { return f.keyPrefix }

// Expires returns how long the answer may be used.
func (f Found) Expires() time.Duration { return f.expires }

// Lookup tells a caller which entries to use for a service: those nearest to
// the site of the client's address, or to this entry if no block holds the
// address.
func (e *Entry) Lookup(service place.Service, client netip.Addr) (Found, error) {
	if !e.informed() || !e.limits.settled() {
		return Found{}, errs.NotRun(errs.ReasonNotReady, ComeBack, "instance %s does not know its settings and targets yet", e.self.Instance)
	}
	if _, found := e.relay.Tables().Policy(service); !found {
		return Found{}, errs.NotRun(errs.ReasonNoService, 0, "there is no policy for service %q", service)
	}
	e.stats.lookups.Inc()
	entries := e.nearest(e.zoneOf(client))
	return Found{service: service, entries: entries, keyPrefix: e.keyPrefix(), expires: LookupTTL}, nil
}

// nearest returns the entries to use for a caller near an availability zone,
// this one first in its own zone.
func (e *Entry) nearest(near place.Zone) []store.Entry {
	v := e.view.Load()
	byDistance, known := v.nearZones[near]
	if !known {
		byDistance = v.nearZones[e.self.Zone]
	}
	entries := make([]store.Entry, 0, LookupEntriesMax)
	for _, zones := range byDistance {
		if len(entries) == LookupEntriesMax {
			break
		}
		for _, i := range rand.Perm(len(zones)) {
			entries = append(entries, e.inZone(v, zones[i], LookupEntriesMax-len(entries))...)
		}
	}
	return entries
}

// inZone returns at most count entries of the availability zone.
func (e *Entry) inZone(v *view, zone place.Zone, count int) []store.Entry {
	self, listed := v.entries[e.self.Instance]
	if zone != e.self.Zone || !listed || e.leaving.Load() || count <= 0 {
		return e.pick(v.zoneEntries[zone], count)
	}
	return append([]store.Entry{self}, e.pick(v.zoneEntries[zone], count-1)...)
}
