package peers

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
)

// ByOtherZone returns the registered instances of the other availability zones. It
// isn't known which of them are live.
func (m *Instances) ByOtherZone() map[place.Zone][]place.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[place.Zone][]place.Instance{}
	for name, r := range m.instances {
		if zone := r.instance.Zone(); zone != m.self.Zone {
			zones[zone] = append(zones[zone], name)
		}
	}
	return zones
}

// Ended reports whether the process of an instance of this availability zone is known
// to have ended, or to be about to.
func (m *Instances) Ended(name place.Instance) bool {
	health := m.heartbeats.Health(name)
	return health.Refused() || health.Leaving()
}

// CutOff reports whether more than half of the registered instances of this
// availability zone don't respond, although their processes may be running.
func (m *Instances) CutOff() bool {
	silent, registered := 0, 1
	for _, name := range m.InZone() {
		registered++
		if !m.isLive(name) && !m.Ended(name) {
			silent++
		}
	}
	return 2*silent > registered //nolint:mnd // more than half
}

// Choose returns the instance that rendezvous hashing chooses for a key among the
// names, except those that skip returns true for. It returns "" if none is left.
func Choose(key string, names []place.Instance, skip func(place.Instance) bool) place.Instance {
	left := make([]string, 0, len(names))
	for _, name := range names {
		if !skip(name) {
			left = append(left, string(name))
		}
	}
	// Instances that know of the same ones agree, whatever the order of the names.
	slices.Sort(left)
	return place.Instance(rendezvous.New(left, xxhash.Sum64String).Lookup(key))
}

// Capacity returns the capacity that an instance registered, the zero value if it is
// unknown.
func (m *Instances) Capacity(name place.Instance) platform.Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances[name].instance.Capacity()
}
