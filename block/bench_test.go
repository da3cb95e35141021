package block_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/block"
)

var benchSizes = []int{10_000, 100_000, 670_000}

func runEachSize(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func addressesIn(mappings []block.Mapping) []netip.Addr {
	r := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = mappings[r.IntN(len(mappings))].Prefix().Addr().Next()
	}
	return addresses
}

// BenchmarkFind measures the look-up of a random client address.
func BenchmarkFind(b *testing.B) {
	runEachSize(b, func(b *testing.B, n int) {
		set, addresses := newFilledSet(b, n), addressesIn(benchEntries(n))
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			if _, found := set.Find(addresses[i&(len(addresses)-1)]); !found {
				b.Fatal("a block is missing")
			}
			i++
		}
	})
}

// BenchmarkFindWhileSwapping measures look-ups in one goroutine while another
// one applies a changed chunk every second, with both on one core.
func BenchmarkFindWhileSwapping(b *testing.B) {
	runEachSize(b, func(b *testing.B, n int) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		entries := benchEntries(n)
		set, addresses := newFilledSet(b, n), addressesIn(entries)
		even, odd := chunkVersions(b, entries, benchChunkBlocks)
		swaps := 0
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		group.Go(func() {
			for version := uint64(2); ctx.Err() == nil; version++ {
				_ = set.Apply(block.Update{Name: "c000000", Version: version, Value: [][]byte{even, odd}[version%2]})
				swaps++
				time.Sleep(time.Second) // the design load is one change in 19 s
			}
		})
		i := 0
		for b.Loop() {
			set.Find(addresses[i&(len(addresses)-1)])
			i++
		}
		cancel()
		elapsed := b.Elapsed().Seconds()
		group.Wait()
		b.ReportMetric(float64(i)/elapsed, "lookups/s")
		b.ReportMetric(float64(swaps)/elapsed, "swaps/s")
	})
}

// chunkVersions returns two values of the first chunk that differ in the site of
// one block.
func chunkVersions(b *testing.B, mappings []block.Mapping, perChunk int) (even, odd []byte) {
	first := append([]block.Mapping{}, mappings[:min(perChunk, len(mappings))]...)
	even, err := block.FormatChunk(first)
	if err != nil {
		b.Fatal(err)
	}
	first[0] = block.NewMapping(first[0].Prefix(), first[len(first)-1].Site())
	if odd, err = block.FormatChunk(first); err != nil {
		b.Fatal(err)
	}
	return even, odd
}

// BenchmarkBuild measures parsing all chunks and building the table, and the
// memory that the set retains.
func BenchmarkBuild(b *testing.B) {
	runEachSize(b, func(b *testing.B, n int) {
		updates := benchUpdates(b, benchEntries(n), benchChunkBlocks)
		bytes := 0
		for _, u := range updates {
			bytes += len(u.Value)
		}
		var set *block.Set
		before := heapBytes()
		for b.Loop() {
			set = block.New()
			if err := set.Apply(updates...); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(n), "table_B/block")
		b.ReportMetric(float64(bytes)/float64(n), "chunk_B/block")
		b.ReportMetric(float64(len(updates)), "chunks")
		runtime.KeepAlive(set)
	})
}

// BenchmarkTakeOneChange measures applying a chunk in which the site of one
// block changed, including parsing.
func BenchmarkTakeOneChange(b *testing.B) {
	runEachSize(b, func(b *testing.B, n int) {
		entries := benchEntries(n)
		set := newFilledSet(b, n)
		even, odd := chunkVersions(b, entries, benchChunkBlocks)
		version := uint64(2)
		for b.Loop() {
			if err := set.Apply(block.Update{Name: "c000000", Version: version, Value: [][]byte{even, odd}[version%2]}); err != nil {
				b.Fatal(err)
			}
			version++
		}
	})
}

// BenchmarkChunkSize measures applying a chunk in which the site of one block
// changed, by the number of blocks per chunk, with 670,000 blocks in total.
func BenchmarkChunkSize(b *testing.B) {
	for _, perChunk := range []int{200, 2_000, 40_000} {
		b.Run(fmt.Sprintf("per-chunk=%d", perChunk), func(b *testing.B) {
			entries := benchEntries(670_000)
			set := block.New()
			if err := set.Apply(benchUpdates(b, entries, perChunk)...); err != nil {
				b.Fatal(err)
			}
			even, odd := chunkVersions(b, entries, perChunk)
			version := uint64(2)
			for b.Loop() {
				if err := set.Apply(block.Update{Name: "c000000", Version: version, Value: [][]byte{even, odd}[version%2]}); err != nil {
					b.Fatal(err)
				}
				version++
			}
			b.ReportMetric(float64(len(even)), "chunk_B")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
