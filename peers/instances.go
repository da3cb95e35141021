package peers

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/pace"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/reach"
	"github.com/endivechute/endivechute/wire"
)

// possibleSenderTimeout is how long an instance of the zone still counts as one
// that may send requests after its last heartbeat, or after it was first
// registered. It may be cut off by a network fault, or still starting.
const possibleSenderTimeout = 10 * time.Second

// Instances tracks the registered instances and the health of those in this
// availability zone. It is safe for concurrent use.
type Instances struct {
	self       wire.Hello
	pool       *Pool
	heartbeats *Heartbeats
	now        func() time.Time

	mu        sync.Mutex
	instances map[place.Instance]registration
	// seeds holds the instances that Resolve discovered.
	seeds map[place.Instance]seed
	// onChange, if set, is called when the registered instances have changed.
	onChange func([]platform.Instance)
	// turn is the position of this instance among the registered ones.
	turn atomic.Pointer[pace.Turn]
	// detoursKnown is true if some instance takes requests that others pass on.
	detoursKnown atomic.Bool
}

// seed is an instance whose address is in the settings.
type seed struct {
	address string
	zone    place.Zone
}

// registration is a registered instance and when this process learned of it.
type registration struct {
	instance platform.Instance
	since    time.Time
}

// NewInstances returns an Instances that has none yet.
func NewInstances(self wire.Hello, pool *Pool, heartbeats *Heartbeats, now func() time.Time) *Instances {
	m := &Instances{
		self: self, pool: pool, heartbeats: heartbeats, now: now,
		instances: map[place.Instance]registration{}, seeds: map[place.Instance]seed{},
	}
	m.updateTurn()
	return m
}

// Call sends a message to an instance and waits for its reply.
func (m *Instances) Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error) {
	return m.pool.Call(ctx, instance, message)
}

// OnChange sets a function that is called with the registered instances, this one
// included, each time that they have changed. It must be called before SetInstances.
func (m *Instances) OnChange(call func([]platform.Instance)) { m.onChange = call }

// SetInstances replaces the instances by those that are registered in the
// platform's store. Instances of this availability zone get heartbeats from
// then on.
func (m *Instances) SetInstances(instances []platform.Instance) {
	if m.onChange != nil {
		m.onChange(instances)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.instances
	m.instances = make(map[place.Instance]registration, len(instances))
	addresses := m.seedAddresses()
	var zonePeers []place.Instance
	detoursKnown := false
	for _, i := range instances {
		if i.Name() == m.self.Instance {
			continue
		}
		detoursKnown = detoursKnown || i.Detours() != ""
		since := m.now()
		if existing, found := before[i.Name()]; found {
			since = existing.since
		}
		m.instances[i.Name()] = registration{instance: i, since: since}
		addresses[i.Name()] = i.Peers()
		if i.Zone() == m.self.Zone {
			zonePeers = append(zonePeers, i.Name())
		}
	}
	m.pool.SetAddresses(addresses)
	m.heartbeats.SetPeers(zonePeers)
	m.detoursKnown.Store(detoursKnown)
	m.updateTurn()
}

// updateTurn computes the position of this instance in the order of the hashes of
// the names, in which the instances of each availability zone are spread. The caller
// holds m.mu.
func (m *Instances) updateTurn() {
	own, position := xxhash.Sum64String(string(m.self.Instance)), 0
	for name := range m.instances {
		if xxhash.Sum64String(string(name)) < own {
			position++
		}
	}
	turn := pace.NewTurn(position, len(m.instances)+1)
	m.turn.Store(&turn)
}

// Turn returns the position of this instance among all registered ones, in an order
// that is the same at all of them.
func (m *Instances) Turn() pace.Turn { return *m.turn.Load() }

// Resolve discovers the instances at the given addresses, which the settings
// list as seeds. It returns all instances that it has discovered so far, the
// nearest first, which can be called from then on.
func (m *Instances) Resolve(ctx context.Context, addresses []string) []place.Instance {
	var tasks conc.WaitGroup
	for _, address := range addresses {
		tasks.Go(func() {
			if hello, err := m.pool.Discover(ctx, address); err == nil && hello.Instance != m.self.Instance {
				m.mu.Lock()
				m.seeds[hello.Instance] = seed{address: address, zone: hello.Zone}
				m.mu.Unlock()
			}
		})
	}
	tasks.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.seedAddresses()
	for name, i := range m.instances {
		known[name] = i.instance.Peers()
	}
	m.pool.SetAddresses(known)
	return m.nearestSeeds()
}

// seedAddresses returns the addresses of the seeds. The caller holds m.mu.
func (m *Instances) seedAddresses() map[place.Instance]string {
	addresses := make(map[place.Instance]string, len(m.seeds))
	for name, s := range m.seeds {
		addresses[name] = s.address
	}
	return addresses
}

// nearestSeeds returns the seeds: those of this availability zone first, then those
// of the region, then the others, each group in random order. The caller holds
// m.mu.
func (m *Instances) nearestSeeds() []place.Instance {
	names := slices.Collect(maps.Keys(m.seeds))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b place.Instance) int {
		return cmp.Compare(m.distance(m.seeds[a].zone), m.distance(m.seeds[b].zone))
	})
	return names
}

// distance returns 0 for this availability zone, 1 for others of the region and 2
// for other regions.
func (m *Instances) distance(zone place.Zone) int {
	switch {
	case zone == m.self.Zone:
		return 0
	case zone.Region() == m.self.Zone.Region():
		return 1
	}
	return 2
}

// Live returns the instances of this availability zone that respond to heartbeats
// and aren't leaving, sorted by name. This instance is included unless it is
// leaving.
func (m *Instances) Live() []place.Instance {
	live := m.inZone(func(name place.Instance, _ registration) bool { return m.isLive(name) })
	if !m.heartbeats.leaving.Load() {
		live = append(live, m.self.Instance)
	}
	slices.Sort(live)
	return live
}

func (m *Instances) isLive(name place.Instance) bool {
	h := m.heartbeats.Health(name)
	return h.Reachable(m.now()) && !h.Leaving() && !h.Refused()
}

// PossibleSenders returns the instances of this availability zone that may be
// sending requests, including this one. If in doubt, an instance is included.
func (m *Instances) PossibleSenders() []place.Instance {
	now := m.now()
	senders := m.inZone(func(name place.Instance, r registration) bool {
		lastHeard := m.heartbeats.Health(name).lastReply
		return now.Sub(lastHeard) < possibleSenderTimeout || now.Sub(r.since) < possibleSenderTimeout
	})
	return append(senders, m.self.Instance)
}

// Entrance is a live instance that clients may connect to.
type Entrance struct {
	// Address is the address for clients.
	Address  string
	Capacity platform.Capacity
}

// Entrances returns the live instances of this availability zone, except this one,
// sorted by address: those that reach targets, and those that reach none.
func (m *Instances) Entrances() (inReach, outOfReach []Entrance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.instances {
		switch {
		case r.instance.Zone() != m.self.Zone || !m.isLive(name):
		case m.heartbeats.Health(name).OutOfReach():
			outOfReach = append(outOfReach, Entrance{r.instance.Clients(), r.instance.Capacity()})
		default:
			inReach = append(inReach, Entrance{r.instance.Clients(), r.instance.Capacity()})
		}
	}
	byAddress := func(a, b Entrance) int { return strings.Compare(a.Address, b.Address) }
	slices.SortFunc(inReach, byAddress)
	slices.SortFunc(outOfReach, byAddress)
	return inReach, outOfReach
}

// Detours returns the instances that requests may be passed on to. Of other
// availability zones it is not known which are live.
func (m *Instances) Detours() []reach.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]reach.Peer, 0, len(m.instances))
	for name, r := range m.instances {
		if r.instance.Detours() == "" {
			continue
		}
		peer := reach.Peer{Instance: name, Zone: r.instance.Zone()}
		if peer.Zone == m.self.Zone {
			peer.Able = m.isLive(name) && !m.heartbeats.Health(name).OutOfReach()
			peer.Unable = !peer.Able && m.heartbeats.Health(name).heard()
		}
		all = append(all, peer)
	}
	return all
}

// HasDetours reports whether Detours returns any instance. It takes no lock.
func (m *Instances) HasDetours() bool { return m.detoursKnown.Load() }

// DetourAddress returns the address for requests that are passed on to an instance, ""
// if it takes none.
func (m *Instances) DetourAddress(name place.Instance) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances[name].instance.Detours()
}

// InZone returns the other registered instances of this availability zone, whether
// or not they are live.
func (m *Instances) InZone() []place.Instance {
	return m.inZone(func(place.Instance, registration) bool { return true })
}

// OtherZones returns the registered instances of other availability zones, or the
// seeds if there are none.
func (m *Instances) OtherZones() []place.Instance {
	others := m.matching(func(_ place.Instance, r registration) bool { return r.instance.Zone() != m.self.Zone })
	if len(others) > 0 {
		return others
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nearestSeeds()
}

// OneOfEachOtherZone returns a random registered instance of each of the other
// availability zones.
func (m *Instances) OneOfEachOtherZone() []place.Instance {
	byZone := map[place.Zone][]place.Instance{}
	m.mu.Lock()
	for name, r := range m.instances {
		if zone := r.instance.Zone(); zone != m.self.Zone {
			byZone[zone] = append(byZone[zone], name)
		}
	}
	m.mu.Unlock()
	chosen := make([]place.Instance, 0, len(byZone))
	for _, names := range byZone {
		chosen = append(chosen, names[rand.IntN(len(names))])
	}
	return chosen
}

// IsChosen reports whether this instance is the one that rendezvous hashing chooses for
// a key. Instances that know of the same ones agree.
func (m *Instances) IsChosen(key string) bool {
	others := m.matching(func(place.Instance, registration) bool { return true })
	names := make([]string, 0, len(others)+1)
	for _, name := range append(others, m.self.Instance) {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key) == string(m.self.Instance)
}

// Size returns how many instances are registered, including this one.
func (m *Instances) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.instances) + 1
}

func (m *Instances) inZone(match func(place.Instance, registration) bool) []place.Instance {
	return m.matching(func(name place.Instance, r registration) bool {
		return r.instance.Zone() == m.self.Zone && match(name, r)
	})
}

func (m *Instances) matching(match func(place.Instance, registration) bool) []place.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []place.Instance
	for name, r := range m.instances {
		if match(name, r) {
			names = append(names, name)
		}
	}
	return names
}
