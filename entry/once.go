package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/once"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// witnessInterval is the time between two choices of the witness for new key
// prefixes.
const witnessInterval = peers.HeartbeatInterval / 2

// peerNetwork implements once.Network with the connections to the peers.
type peerNetwork struct {
	pool       *peers.Pool
	heartbeats *peers.Heartbeats
	now        func() time.Time
}

// Call implements once.Network.
func (n peerNetwork) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	return n.pool.Call(ctx, instance, message)
}

// Reachable implements once.Network. A peer that never answered a heartbeat
// counts as reachable, because it may just not have been tried yet.
func (n peerNetwork) Reachable(instance place.Instance) bool {
	health := n.heartbeats.Health(instance)
	return health.Incarnation() == 0 || health.Reachable(n.now())
}

// serveOnce sends a request with a key to the home of the key. It does so even if
// this process has no policy for the service. The home applies the policy, so
// that all copies of the request get the same verdict.
func (e *Entry) serveOnce(ctx context.Context, r *Request) (*wire.Answer, error) {
	limit := config.DefaultDeadline
	if policy, found := e.relay.Tables().Policy(r.service); found {
		limit = policy.Deadline()
	}
	latest := e.now().Add(limit)
	if r.deadline.IsZero() || r.deadline.After(latest) {
		r.deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	request, err := once.NewRequest(r.toWire(wire.ScopeHome, e.now()))
	if err != nil {
		return nil, err
	}
	return e.once.Serve(ctx, request)
}

// keyMissingError returns the refusal of a non-idempotent request without a key.
func (e *Entry) keyMissingError(r *Request) error {
	return errs.NotRun(errs.ReasonKeyMissing, 0,
		"%s %s is non-idempotent and needs the header Endivechute-Key: take key_prefix from GET /v1/lookup?service=%s and append a dot and a number of your own",
		r.method, r.pathWithoutQuery(), r.service)
}

// RunOnce implements once.Runner. It routes a request that the home of its key
// has recorded.
func (e *Entry) RunOnce(ctx context.Context, forward *wire.Forward) (*wire.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	r := requestFromWire(forward, e.now())
	r.hops = 0
	return e.serveWithPolicy(ctx, r, func(ctx context.Context, policy *config.Policy) (*wire.Answer, error) {
		e.limits.countArrival(r.service, policy)
		return e.route(ctx, e.view.Load(), policy, r)
	})
}

// runWitnessChoice updates the witness of new key prefixes until ctx ends.
func (e *Entry) runWitnessChoice(ctx context.Context) {
	for {
		e.chooseWitness()
		if !wait.Sleep(ctx, witnessInterval) {
			return
		}
	}
}

// keyPrefix returns a new key prefix for one look-up, or an empty string while no
// other entry can be the witness of its keys.
func (e *Entry) keyPrefix() string {
	prefix, ok := e.once.Prefix()
	if !ok {
		e.chooseWitness()
		prefix, _ = e.once.Prefix()
	}
	return prefix
}

// chooseWitness selects the witness of new key prefixes: an entry in another
// availability zone of the region, else in this zone, else in another region.
// Rendezvous hashing keeps the choice stable while the members don't change.
func (e *Entry) chooseWitness() {
	for _, dist := range []int{1, 0, 2} {
		zones := e.witnessCandidates(dist)
		if responsive := e.responsive(zones); len(responsive) > 0 {
			zones = responsive
		}
		if len(zones) == 0 {
			continue
		}
		names := slices.Sorted(maps.Keys(zones))
		chosen := rendezvous.New(names, xxhash.Sum64String).Lookup(string(e.self.Instance))
		id := ticket.NewID(place.Instance(chosen), e.heartbeats.Health(place.Instance(chosen)).Incarnation())
		e.once.SetWitness(id, zones[chosen])
		return
	}
	e.once.ClearWitness()
}

// responsive returns the entries that are not suspected of having missed an
// acknowledgement recently.
func (e *Entry) responsive(zones map[string]place.Zone) map[string]place.Zone {
	found := map[string]place.Zone{}
	for instance, zone := range zones {
		if !e.once.Suspected(place.Instance(instance)) {
			found[instance] = zone
		}
	}
	return found
}

// needsNewLookup reports whether the caller must repeat its look-up before a
// retry can succeed.
func needsNewLookup(err error) bool {
	switch errs.AsRefusal(err).Reason() {
	case errs.ReasonNoWitness, errs.ReasonLostHome, errs.ReasonKeyExpired, errs.ReasonKeysFull:
		return true
	default:
		return false
	}
}

// witnessCandidates returns the live entries at a distance from this zone, each
// with its availability zone.
func (e *Entry) witnessCandidates(dist int) map[string]place.Zone {
	found := map[string]place.Zone{}
	for zone := range e.view.Load().zoneEntries {
		if distance(e.self.Zone, zone) != dist {
			continue
		}
		for _, instance := range e.liveMembers(zone) {
			if instance != e.self.Instance {
				found[string(instance)] = zone
			}
		}
	}
	return found
}
