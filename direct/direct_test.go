package direct_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/direct"
)

// limit is how many addresses the answer to a look-up may have.
const limit = 64

func ExampleChoose() {
	instances := []direct.Instance{{Address: "10.0.0.1:80", Weight: 1}, {Address: "10.0.0.2:80", Weight: 1}}
	fmt.Println(len(direct.Choose("10.1.0.7", instances, limit)), len(direct.Choose("10.1.0.7", instances, 1)))
	// Output: 2 1
}

// zone returns large instances of the given weight and small ones of weight 1.
func zone(large int, weight float64, small int) []direct.Instance {
	instances := make([]direct.Instance, 0, large+small)
	for i := range large + small {
		x := direct.Instance{Address: fmt.Sprintf("10.0.0.%d:80", i), Weight: 1}
		if i < large {
			x.Weight = weight
		}
		instances = append(instances, x)
	}
	return instances
}

func clientName(i int) string { return fmt.Sprintf("10.9.%d.%d", i/250, i%250) }

// shares returns the mean share of the connections that each instance gets from many
// clients which draw uniformly among what they are given, and how many each is given.
func shares(instances []direct.Instance) (byAddress map[string]float64, named int) {
	const clients = 5000
	byAddress = map[string]float64{}
	for i := range clients {
		given := direct.Choose(clientName(i), instances, limit)
		named = len(given)
		for _, address := range given {
			byAddress[address] += 1.0 / float64(named) / clients
		}
	}
	return byAddress, named
}

// TestShares guards against instances that get connections regardless of their
// capacity. A large instance can't get more than one part in four, because four
// addresses are named at least. The values are those of docs/design/pressure.md.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		large          int
		weight         float64
		small          int
		named          int
		largeShare     float64
		smallShareMost float64
	}{
		"cores":               {2, 0.8 / 0.112, 14, 4, 0.245, 0.039},
		"cores, 16 small":     {2, 0.8 / 0.112, 16, 4, 0.23, 0.036},
		"bandwidth":           {2, 20, 14, 4, 0.249, 0.039},
		"bandwidth, 12 small": {2, 20, 12, 4, 0.249, 0.046},
		"one large":           {1, 20, 14, 4, 0.249, 0.058},
		"all the same":        {0, 1, 14, 14, 0, 1.0/14 + 0.001},
		"cores, 27 instances": {2, 0.8 / 0.384, 3, 4, 0.22, 0.21},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instances := zone(test.large, test.weight, test.small)
			byAddress, named := shares(instances)
			if named != test.named {
				t.Errorf("%d addresses are named, want %d", named, test.named)
			}
			var large, small float64
			for _, x := range instances[:test.large] {
				large += byAddress[x.Address] / float64(test.large)
			}
			for _, x := range instances[test.large:] {
				share := byAddress[x.Address]
				small = max(small, share)
				if share == 0 {
					t.Errorf("instance %s gets nothing", x.Address)
				}
			}
			t.Logf("share of a large instance %.3f, most of a small one %.3f", large, small)
			if large < test.largeShare || small > test.smallShareMost {
				t.Errorf("share of a large instance %.3f, most of a small one %.3f; want at least %.3f and at most %.3f", large, small, test.largeShare, test.smallShareMost)
			}
		})
	}
}

// TestSubsets guards against subsets that change although nothing that concerns them
// did, because clients then drop their connections, and against too few addresses.
func TestSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), 1, 1, 7, 20})
		instances := make([]direct.Instance, rapid.IntRange(0, 20).Draw(t, "instances"))
		for i := range instances {
			instances[i] = direct.Instance{Address: fmt.Sprintf("10.0.0.%d:80", i), Weight: weight.Draw(t, "weight")}
		}
		client := rapid.String().Draw(t, "client")
		given := direct.Choose(client, instances, limit)
		if len(given) < min(direct.NamedMin, len(instances)) || len(given) > len(instances) {
			t.Fatalf("%d of %d instances are named", len(given), len(instances))
		}
		shuffled := rapid.Permutation(instances).Draw(t, "order")
		if again := direct.Choose(client, shuffled, limit); !slices.Equal(given, again) {
			t.Fatalf("%v, and %v in another order of the instances", given, again)
		}
	})
}

// TestFewSubsetsChange guards against a change of one instance that makes many other
// connections move.
func TestFewSubsetsChange(t *testing.T) {
	const clients, changedMost = 2000, 0.06
	tests := map[string]struct {
		instances []direct.Instance
		lost      int
	}{
		"a small one, bandwidth": {zone(2, 20, 14), 9},
		"a large one, bandwidth": {zone(2, 20, 14), 0},
		"a small one, cores":     {zone(2, 0.8/0.112, 16), 9},
		"a large one, cores":     {zone(2, 0.8/0.112, 16), 0},
		"one of equal ones":      {zone(0, 1, 14), 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lost := test.instances[test.lost].Address
			rest := slices.Delete(slices.Clone(test.instances), test.lost, test.lost+1)
			changed := 0
			for i := range clients {
				without := direct.Choose(clientName(i), rest, limit)
				if slices.ContainsFunc(direct.Choose(clientName(i), test.instances, limit), func(address string) bool {
					return address != lost && !slices.Contains(without, address)
				}) {
					changed++
				}
			}
			if got := float64(changed) / clients; got > changedMost {
				t.Errorf("%.3f of the clients lose another address, want at most %.2f", got, changedMost)
			}
		})
	}
}

// TestBothLargeLost guards against clients that are left without any address when
// both large instances fail at once, and against new subsets of clients afterwards.
func TestBothLargeLost(t *testing.T) {
	const clients = 500
	instances := zone(2, 20, 14)
	for i := range clients {
		before := direct.Choose(clientName(i), instances, limit)
		after := direct.Choose(clientName(i), instances[2:], limit)
		left := slices.DeleteFunc(before, func(address string) bool {
			return address == instances[0].Address || address == instances[1].Address
		})
		if len(left) < 2 {
			t.Fatalf("client %d has %v left until its next look-up", i, left)
		}
		for _, address := range left {
			if !slices.Contains(after, address) {
				t.Fatalf("client %d loses %s too: %v", i, address, after)
			}
		}
	}
}

// TestUnknownWeight guards against an instance without a registered capacity that
// gets more than the smallest one, as instances of the previous release would.
func TestUnknownWeight(t *testing.T) {
	instances := zone(2, 20, 6)
	instances[7].Weight = 0
	byAddress, _ := shares(instances)
	if byAddress[instances[7].Address] > 1.2*byAddress[instances[6].Address] {
		t.Errorf("an instance of unknown weight gets %.3f, one of the smallest weight %.3f", byAddress[instances[7].Address], byAddress[instances[6].Address])
	}
}
