package block_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/block"
	"github.com/endivechute/endivechute/place"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func ExampleSet() {
	set := block.New()
	err := set.Apply(block.Update{Name: "kigali-01", Version: 7, Value: []byte(
		`{"form":1,"sites":[{"site":"gisozi","zone":"kigali/a","blocks":["41.186.0.0/16","2c0f:eb68::/32"]},
		                    {"site":"remera","zone":"kigali/b","blocks":["41.186.7.0/24"]}]}`)})
	site, found := set.Find(netip.MustParseAddr("41.186.7.9"))
	fmt.Println(site.Name(), site.Zone(), found, err)
	// Output: remera kigali/b true <nil>
}

func TestParseChunk(t *testing.T) {
	form := `{"form":1,"sites":[{"site":"a","zone":"kigali/a","blocks":[%s]}]}`
	tests := map[string]struct {
		value string
		ok    bool
	}{
		"no site":          {`{"form":1,"sites":[]}`, true},
		"both families":    {fmt.Sprintf(form, `"10.0.0.0/8","2001:db8::/32","0.0.0.0/0"`), true},
		"unknown form":     {`{"form":2,"sites":[]}`, false},
		"unknown field":    {`{"form":1,"sites":[],"x":1}`, false},
		"tail":             {`{"form":1,"sites":[]}{}`, false},
		"cut":              {`{"form":1,"sites":[`, false},
		"bits past prefix": {fmt.Sprintf(form, `"10.0.0.1/8"`), false},
		"IPv4-mapped IPv6": {fmt.Sprintf(form, `"::ffff:10.0.0.0/104"`), false},
		"zoned":            {fmt.Sprintf(form, `"fe80::%eth0/64"`), false},
		"twice":            {fmt.Sprintf(form, `"10.0.0.0/8","10.0.0.0/8"`), false},
		"bad site":         {`{"form":1,"sites":[{"site":"A","zone":"kigali/a","blocks":[]}]}`, false},
		"bad zone":         {`{"form":1,"sites":[{"site":"a","zone":"kigali","blocks":[]}]}`, false},
		"site twice":       {`{"form":1,"sites":[{"site":"a","zone":"k/a","blocks":[]},{"site":"a","zone":"k/a","blocks":[]}]}`, false},
		"too long":         {fmt.Sprintf(`{"form":1,"sites":[]%*s}`, block.ChunkBytesMax, ""), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := block.ParseChunk([]byte(test.value)); (err == nil) != test.ok {
				t.Errorf("ParseChunk gave %v, want ok %v", err, test.ok)
			}
		})
	}
}

func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"form":1,"sites":[{"site":"a","zone":"kigali/a","blocks":["10.0.0.0/8","2001:db8::/32"]}]}`))
	f.Add([]byte(`{"form":1,"sites":[{"site":"a","zone":"kigali/a","blocks":["::ffff:10.0.0.0/104"]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := block.ParseChunk(value)
		if err != nil {
			return
		}
		again, err := block.FormatChunk(entries)
		if err != nil {
			t.Fatalf("FormatChunk fails for an accepted chunk: %v", err)
		}
		back, err := block.ParseChunk(again)
		if err != nil || len(back) != len(entries) {
			t.Fatalf("%d entries became %d after formatting and parsing, error %v", len(entries), len(back), err)
		}
	})
}

// oracle is the reference implementation: a linear search of all chunks.
type oracle map[string][]block.Mapping

func (o oracle) find(address netip.Addr) (block.Site, bool) {
	var best block.Mapping
	var bestChunk string
	found := false
	for name, entries := range o {
		for _, e := range entries {
			if !e.Prefix().Contains(address) {
				continue
			}
			longer := !found || e.Prefix().Bits() > best.Prefix().Bits()
			if longer || (e.Prefix().Bits() == best.Prefix().Bits() && name < bestChunk) {
				best, bestChunk, found = e, name, true
			}
		}
	}
	return best.Site(), found
}

func drawAddress(t *rapid.T) netip.Addr {
	// Few bits vary, so that prefixes often contain each other and occur in
	// several chunks.
	if rapid.Bool().Draw(t, "v6") {
		return netip.AddrFrom16([16]byte{0x20, rapid.Byte().Draw(t, "b1") & 3, 0, rapid.Byte().Draw(t, "b3") & 9})
	}
	return netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "b1") & 3, rapid.Byte().Draw(t, "b2") & 0x81, 0})
}

func drawEntries(t *rapid.T) []block.Mapping {
	seen := map[netip.Prefix]bool{}
	mappings := []block.Mapping{}
	for range rapid.IntRange(0, 20).Draw(t, "blocks") {
		address := drawAddress(t)
		prefix := netip.PrefixFrom(address, rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
		site := rapid.IntRange(0, 4).Draw(t, "site")
		if !seen[prefix] {
			seen[prefix] = true
			mappings = append(mappings, block.NewMapping(prefix, block.NewSite(
				block.SiteName(fmt.Sprintf("s%d", site)), place.Zone(fmt.Sprintf("kigali/z%d", site%2)))))
		}
	}
	return mappings
}

// TestSetAgainstOracle applies newer, older, deleted and invalid versions of
// chunks in random order and compares look-ups with a search of all blocks.
func TestSetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, want := block.New(), oracle{}
		versions := map[string]uint64{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "chunk")
			u := block.Update{Name: name, Version: uint64(rapid.IntRange(1, 20).Draw(t, "version"))}
			entries := drawEntries(t)
			kind := rapid.SampledFrom([]string{"value", "value", "value", "deleted", "broken"}).Draw(t, "kind")
			switch kind {
			case "value":
				u.Value, _ = block.FormatChunk(entries)
			case "deleted":
				entries = nil
			case "broken":
				u.Value = []byte(`{"form":1`)
			}
			newer := u.Version > versions[name]
			err := set.Apply(u)
			if (err != nil) != (kind == "broken" && newer) {
				t.Fatalf("Take(%s) gave %v", kind, err)
			}
			if newer && kind != "broken" {
				versions[name], want[name] = u.Version, entries
			}
			for range 10 {
				address := drawAddress(t)
				wantSite, wantFound := want.find(address)
				if got, found := set.Find(address); got != wantSite || found != wantFound {
					t.Fatalf("Find(%s) = %v %v, want %v %v", address, got, found, wantSite, wantFound)
				}
			}
		}
	})
}

func TestFindAllocatesNothing(t *testing.T) {
	set := newFilledSet(t, 2000)
	address := netip.MustParseAddr("1.0.0.1")
	if n := testing.AllocsPerRun(100, func() { set.Find(address) }); n != 0 {
		t.Errorf("Find allocates %v times", n)
	}
}

const (
	benchSites       = 720
	benchZones       = 40
	benchChunkBlocks = 40_000
)

// benchEntries returns n distinct blocks: 3/4 are IPv4 /24 and 1/4 IPv6 /48.
func benchEntries(n int) []block.Mapping {
	mappings := make([]block.Mapping, n)
	for i := range mappings {
		site := i * benchSites / n
		mappings[i] = block.NewMapping(benchPrefix(i), block.NewSite(
			block.SiteName(fmt.Sprintf("site-%d", site)), place.Zone(fmt.Sprintf("region-%d/z%d", site%16, site%benchZones))))
	}
	return mappings
}

func benchPrefix(i int) netip.Prefix {
	if i%4 == 3 {
		var b [16]byte
		binary.BigEndian.PutUint32(b[:], 0x20010000+uint32(i/4)%4096)
		binary.BigEndian.PutUint32(b[4:], uint32(i)<<4)
		return netip.PrefixFrom(netip.AddrFrom16(b), 48).Masked()
	}
	var b [4]byte
	spread := uint32(i) * 25 // spreads the /24 blocks over the IPv4 address space
	binary.BigEndian.PutUint32(b[:], (spread%(1<<24))<<8)
	return netip.PrefixFrom(netip.AddrFrom4(b), 24)
}

func benchUpdates(tb testing.TB, mappings []block.Mapping, perChunk int) []block.Update {
	updates := []block.Update{}
	for from := 0; from < len(mappings); from += perChunk {
		value, err := block.FormatChunk(mappings[from:min(from+perChunk, len(mappings))])
		if err != nil {
			tb.Fatal(err)
		}
		updates = append(updates, block.Update{Name: fmt.Sprintf("c%06d", len(updates)), Version: 1, Value: value})
	}
	return updates
}

func newFilledSet(tb testing.TB, n int) *block.Set {
	set := block.New()
	if err := set.Apply(benchUpdates(tb, benchEntries(n), benchChunkBlocks)...); err != nil {
		tb.Fatal(err)
	}
	return set
}

// TestFindDuringTake checks look-ups during updates of a chunk: a changing block
// always has the site of one of the versions, and an unchanged block is always
// found.
func TestFindDuringTake(t *testing.T) {
	set := block.New()
	value := func(site string) []byte {
		return []byte(fmt.Sprintf(`{"form":1,"sites":[{"site":%q,"zone":"kigali/a","blocks":["10.0.0.0/24"]},`+
			`{"site":"steady","zone":"kigali/b","blocks":["10.1.0.0/16","10.2.0.0/16","10.3.0.0/16","10.4.0.0/16","10.5.0.0/16","10.6.0.0/16","10.7.0.0/16","2001:db8::/32"]}]}`, site))
	}
	if err := set.Apply(block.Update{Name: "c", Version: 1, Value: value("even")}); err != nil {
		t.Fatal(err)
	}
	changing, steady := netip.MustParseAddr("10.0.0.9"), netip.MustParseAddr("2001:db8::9")
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 20_000 {
				if site, _ := set.Find(changing); site.Name() != "even" && site.Name() != "odd" {
					t.Errorf("the changing block has the site %q", site.Name())
					return
				}
				if site, _ := set.Find(steady); site.Name() != "steady" {
					t.Errorf("the steady block has the site %q", site.Name())
					return
				}
			}
		})
	}
	for version := uint64(2); version < 300; version++ {
		if err := set.Apply(block.Update{Name: "c", Version: version, Value: value([]string{"even", "odd"}[version%2])}); err != nil {
			t.Fatal(err)
		}
	}
	group.Wait()
}
