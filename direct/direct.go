// Package direct chooses the instances that a look-up names to a client, so that
// the instances of an availability zone get connections in proportion to their
// capacity. The package does no I/O and keeps no state: all instances that know of
// the same live ones give a client the same answer.
package direct

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// NamedMin is the least number of instances that a client is given, if there are as
// many. Fewer would leave a client with too few others when some fail at once.
const NamedMin = 4

// weightRatioMax bounds the ratio of two weights, so that a wrong registration can't
// make the sum of the weights overflow.
const weightRatioMax = 1e6

// Instance is a live instance that a client may be given.
type Instance struct {
	// Address is the address for clients.
	Address string
	// Weight is the capacity of the instance in a unit that all instances share. If
	// it is not a positive number, the instance counts like the smallest one.
	Weight float64
}

// Choose returns the addresses of the instances that a client is given, at most
// limit of them, in sorted order. The client is known by its IP address, and draws one of the
// addresses uniformly for each connection.
//
// The subset is the start of an order by weighted rendezvous hashing, so that it
// stays the same while the instances do. Its scores are those of Pareto sampling
// (Rosén, 1997), with which the share of the clients that are given an instance is
// almost exactly in proportion to its weight. With the usual scores, which are
// exponentially distributed, a large instance gets a quarter less than its share.
func Choose(client string, instances []Instance, limit int) []string {
	weights := normalize(instances)
	named := min(namedCount(weights), limit)
	probabilities := inclusion(weights, named)
	type scored struct {
		address string
		score   float64
	}
	order := make([]scored, 0, len(instances))
	hash := xxhash.Sum64String(client)
	for i, x := range instances {
		u, p := uniform(hash, x.Address), probabilities[i]
		order = append(order, scored{x.Address, u / (1 - u) * (1 - p) / p})
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), strings.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, named)
	for _, x := range order[:named] {
		addresses = append(addresses, x.address)
	}
	slices.Sort(addresses)
	return addresses
}

// inclusion returns the probabilities with which instances are to be among the named
// ones: in proportion to their weights, but 1 at most.
func inclusion(weights []float64, named int) []float64 {
	probabilities := make([]float64, len(weights))
	for certain := -1; ; {
		sum, count := 0.0, 0
		for i, p := range probabilities {
			if p >= 1 {
				count++
			} else {
				sum += weights[i]
			}
		}
		if count == certain {
			return probabilities
		}
		certain = count
		for i, p := range probabilities {
			if p < 1 {
				probabilities[i] = min(float64(named-count)*weights[i]/sum, 1)
			}
		}
	}
}

// normalize returns the weights of the instances as multiples of the smallest one.
func normalize(instances []Instance) []float64 {
	smallest := math.Inf(1)
	for _, x := range instances {
		if isWeight(x.Weight) {
			smallest = min(smallest, x.Weight)
		}
	}
	weights := make([]float64, 0, len(instances))
	for _, x := range instances {
		weight := 1.0
		if isWeight(x.Weight) {
			weight = min(x.Weight/smallest, weightRatioMax)
		}
		weights = append(weights, weight)
	}
	return weights
}

func isWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 1) }

// namedCount returns how many instances a client is given. It draws uniformly among
// them, so that no instance gets more than one part in that number: the largest
// number at which the largest instance can still get its share of the weight, but
// NamedMin at least. Instances of equal weight are all named.
func namedCount(weights []float64) int {
	sum, largest := 0.0, 1.0
	for _, weight := range weights {
		sum += weight
		largest = max(largest, weight)
	}
	// Rounding errors of the sum must not leave out one of equal instances.
	const tolerance = 1e-9
	return min(max(int(sum/largest+tolerance), NamedMin), len(weights))
}

// uniform returns a number in (0, 1) for a client and an instance.
func uniform(client uint64, address string) float64 {
	x := mix64(client ^ xxhash.Sum64String(address))
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix64 spreads the bits of a combined hash (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
