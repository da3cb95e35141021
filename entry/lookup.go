package entry

import (
	"math/rand/v2"
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

// Lookup tells a caller which entries to use for a service.
func (e *Entry) Lookup(service place.Service) (Found, error) {
	v := e.view.Load()
	if !e.informed() || !e.limits.settled() {
		return Found{}, errs.NotRun(errs.ReasonNotReady, ComeBack, "instance %s does not know its settings and targets yet", e.self.Instance)
	}
	if _, found := e.relay.Tables().Policy(service); !found {
		return Found{}, errs.NotRun(errs.ReasonNoService, 0, "there is no policy for service %q", service)
	}
	e.stats.lookups.Inc()
	entries := make([]store.Entry, 0, LookupEntriesMax)
	if self, listed := v.entries[e.self.Instance]; listed && !e.leaving.Load() {
		entries = append(entries, self)
	}
	for _, zones := range v.nearZones {
		if len(entries) == LookupEntriesMax {
			break
		}
		for _, i := range rand.Perm(len(zones)) {
			entries = append(entries, e.pick(v.zoneEntries[zones[i]], LookupEntriesMax-len(entries))...)
		}
	}
	return Found{service: service, entries: entries, keyPrefix: e.keyPrefix(), expires: LookupTTL}, nil
}
