// Package keeper decides which entry of an availability zone may send requests
// to a target, and how many at once. It does no I/O; the time is passed in as a
// duration on the monotonic clock of the process.
//
// Each limited resource (a target's slots, an availability zone's share of a
// link) has up to three electors: the first three live entries of the zone in
// rendezvous order. The keeper is the elector that holds the leases of a
// majority of them, including its own. Any two majorities of three have an
// elector in common, and an elector grants its lease to one holder at a time.
// So there is at most one keeper, even if messages are lost or delayed and
// processes are paused.
package keeper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivechute/endivechute/place"
)

// ElectorsMax is the maximum number of electors of a resource.
const ElectorsMax = 3

// Resource names a limited resource that has one keeper in an availability
// zone.
type Resource string

// TargetResource returns the resource that stands for the slots of a target.
func TargetResource(target place.Target) Resource { return Resource("target/" + target) }

// RendezvousOrder returns the members in the rendezvous order of the resource.
// When a member joins or leaves, the others keep their relative order.
func RendezvousOrder(resource Resource, members []place.Instance) []place.Instance {
	type weighted struct {
		member place.Instance
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{member: m, weight: xxhash.Sum64String(string(m) + "\x00" + string(resource))}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member, b.member)
	})
	order := make([]place.Instance, len(all))
	for i, w := range all {
		order[i] = w.member
	}
	return order
}

// electorsOf returns the electors of the resource, the preferred keeper first.
func electorsOf(resource Resource, members []place.Instance) []place.Instance {
	order := RendezvousOrder(resource, members)
	return order[:min(len(order), ElectorsMax)]
}

// viewDigest returns a digest of the view of a resource, that is, the list of
// its electors. By the digest two entries can tell whether their views agree.
func viewDigest(electors []place.Instance) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, e := range electors {
		_, _ = digest.WriteString(string(e) + "\x00")
	}
	return digest.Sum64()
}

func majorityOf(electors []place.Instance) int { return len(electors)/2 + 1 }
