package once_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// The simulated delays of the benchmarks: the round trip between two
// availability zones, and that of a store with its limit of writes per second.
const (
	zoneRoundTrip  = 3 * time.Millisecond
	storeRoundTrip = 3 * time.Millisecond
	storeWrites    = 300
)

// storeDelivery delays messages as if the witness were a store. The record before
// the run and the outcome after it are one write each.
func storeDelivery() func(from, to place.Instance, message wire.Message) delivery {
	var mu sync.Mutex
	next := time.Now()
	return func(_, _ place.Instance, message wire.Message) delivery {
		if !isKind[*wire.KeyRecord](message) && !isKind[*wire.KeyReport](message) {
			return delivered
		}
		mu.Lock()
		next = next.Add(time.Second / storeWrites)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		turn := next
		mu.Unlock()
		time.Sleep(time.Until(turn) + storeRoundTrip)
		return delivered
	}
}

// zoneDelivery delays each message by a round trip between two zones.
func zoneDelivery(place.Instance, place.Instance, wire.Message) delivery {
	time.Sleep(zoneRoundTrip)
	return delivered
}

// instantDelivery delivers each message without a delay.
func instantDelivery(place.Instance, place.Instance, wire.Message) delivery { return delivered }

// BenchmarkRequest measures the time that recording a key adds to a request, with
// 1 and with 32 callers that each send the next request after the answer.
//
//	go test ./once -run '^$' -bench Request -benchtime 1x -count 3
func BenchmarkRequest(b *testing.B) {
	kinds := map[string]func() func(from, to place.Instance, message wire.Message) delivery{
		"nothing to wait for": func() func(from, to place.Instance, message wire.Message) delivery { return instantDelivery },
		"witness":             func() func(from, to place.Instance, message wire.Message) delivery { return zoneDelivery },
		"store":               storeDelivery,
	}
	for name, newDelivery := range kinds {
		for _, callers := range []int{1, 32} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				for range b.N {
					measure(b, newDelivery(), callers)
				}
			})
		}
	}
}

// measure sends the requests and reports their latencies, throughput and refusals.
func measure(b *testing.B, deliver func(from, to place.Instance, message wire.Message) delivery, callers int) {
	const requests = 640 // fewer than the store can write before the prefix expires
	f := newFleet(b)
	prefix := f.prefix(b)
	f.setDelivery(deliver)
	var number, refused atomic.Int64
	latencies := make([]time.Duration, requests)
	tasks := pool.New().WithMaxGoroutines(callers)
	begun := time.Now()
	for i := range latencies {
		tasks.Go(func() {
			key := fmt.Sprintf("%s.%d", prefix, number.Add(1))
			sent := time.Now()
			if got := f.send("a", key); !isAnswer(got, key) {
				refused.Add(1)
			}
			latencies[i] = time.Since(sent)
		})
	}
	tasks.Wait()
	elapsed := time.Since(begun)
	slices.Sort(latencies)
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1e3, "p99-ms")
	b.ReportMetric(float64(len(latencies))/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// BenchmarkKill counts the verdicts of repeats after a home was killed. A third of
// the requests had not reached the home, a third were running, and a third had
// run but their answers were lost.
//
//	go test ./once -run '^$' -bench Kill -benchtime 1x
func BenchmarkKill(b *testing.B) {
	for name, witness := range map[string]bool{"witness": true, "no witness": false} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				kill(b, witness)
			}
		})
	}
}

// kill reports the number of repeats with each verdict. witness is whether the
// witness survives.
func kill(b *testing.B, witness bool) {
	const third = 100
	f := newFleet(b)
	prefix := f.prefix(b)
	release, running := make(chan struct{}), make(chan struct{}, third)
	f.run = func(key string) (*wire.Answer, error) {
		var number int
		if _, err := fmt.Sscanf(key[strings.LastIndex(key, ".")+1:], "%d", &number); err == nil && number > third {
			running <- struct{}{}
			<-release
		}
		return answer(key)
	}
	tasks := pool.New()
	for number := range third {
		f.send("a", fmt.Sprintf("%s.%d", prefix, number+1))
		tasks.Go(func() { f.send("a", fmt.Sprintf("%s.%d", prefix, third+number+1)) })
	}
	for range third {
		<-running
	}
	for f.member("b").keys.Dump().WitnessBytes > third*(32<<10)+third*1000 {
		time.Sleep(time.Millisecond)
	}
	f.member("a").dead.Store(true)
	f.member("b").dead.Store(!witness)
	verdicts := map[string]int{}
	for number := range 3 * third {
		key := fmt.Sprintf("%s.%d", prefix, number+1)
		got := f.send("c", key)
		if isAnswer(got, key) {
			got = "answered"
		}
		verdicts[strings.Fields(got)[0]]++
	}
	for _, verdict := range []string{"answered", "not-run", "may-have-run"} {
		b.ReportMetric(float64(verdicts[verdict]), verdict)
	}
	close(release)
	tasks.Wait()
}
