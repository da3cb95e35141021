package suite

import (
	"fmt"
	"maps"
	"syscall"
	"testing"
	"time"

	"github.com/endivechute/endivechute/load"
	"github.com/endivechute/endivechute/logs"
)

// The benchmarks of docs/LATENCY.md. Each runs real processes for some seconds
// and reports what the callers measured; no latency is asserted.
//
//	go test ./suite -run '^$' -bench . -benchtime 1x -count 3

const (
	searchService = "library/search-desk"
	benchZone     = "kigali/a"
	benchSlots    = 4
	benchDuration = 8 * time.Second
)

// mode is how the callers' requests reach the targets: by round robin from the
// callers themselves, or through the entries with the given policy.
type mode struct {
	baseline bool
	hedge    int
	slots    int
}

var modes = map[string]mode{
	"round_robin": {baseline: true},
	"hedge_off":   {slots: benchSlots},
	"hedge_on":    {slots: benchSlots, hedge: 5},
}

func searchMix(deadlineMillis int) load.Mix {
	return load.Mix{Name: "desk", Kinds: []load.Kind{
		{Name: "lookup", Service: searchService, Method: "GET", Path: "/catalogue?title={n}", Weight: 1, DeadlineMillis: deadlineMillis},
	}}
}

// trial is one benchmark: a number of targets, and two entries.
type trial struct {
	targets        int
	slots          int
	queue          int
	serviceMillis  int
	rate           float64
	deadlineMillis int
	fault          func(f *fleet) error
}

func (t trial) run(b *testing.B, m mode) {
	for range b.N {
		summary, err := t.once(b, m)
		if err != nil {
			b.Fatal(err)
		}
		if summary.Violated() {
			b.Errorf("a guarantee was violated: %+v", summary.Verification)
		}
		k := summary.Idempotent
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(k.P50Millis, "p50_ms")
		b.ReportMetric(k.P99Millis, "p99_ms")
		b.ReportMetric(k.P999Millis, "p99.9_ms")
		b.ReportMetric(summary.UsefulPercent, "useful_%")
		b.ReportMetric(float64(summary.Verification.Executions)/float64(summary.Sent), "runs/request")
		b.ReportMetric(float64(k.Attempts)/float64(summary.Sent), "tries/request")
	}
}

func (t trial) once(b *testing.B, m mode) (load.Summary, error) {
	f := newFleet(b.TempDir())
	defer f.close()
	if err := t.start(f, m); err != nil {
		return load.Summary{}, err
	}
	faulted := make(chan error, 1)
	f.tasks.Go(func() {
		if t.fault == nil {
			faulted <- nil
			return
		}
		time.Sleep(benchDuration / 4)
		faulted <- t.fault(f)
	})
	options := load.Options{
		Entries: f.entries(), Targets: f.targets(), Mix: searchMix(t.deadlineMillis), Rate: t.rate, Duration: benchDuration,
		Seed: 5, Baseline: m.baseline, Logger: logs.Discard(),
	}
	summary, err := load.Run(b.Context(), options)
	if faultErr := <-faulted; faultErr != nil {
		return summary, faultErr
	}
	return summary, err
}

func (t trial) start(f *fleet, m mode) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	policy := fmt.Sprintf(`{"refused_before_run":[{"status":503,"header":"X-Shed"},{"status":504,"header":"X-Shed"}],
		"slots":%d,"connections":2000,"hedge_percent":%d}`, max(m.slots, 1), m.hedge)
	if err := f.putPolicy(searchService, policy); err != nil {
		return err
	}
	extra := []string{fmt.Sprintf("--slots=%d", t.slots), fmt.Sprintf("--queue=%d", t.queue), fmt.Sprintf("--service-ms=%d", t.serviceMillis)}
	for i := range t.targets {
		if err := f.startTargets(fmt.Sprintf("t%d", i), benchZone, searchService, 1, extra); err != nil {
			return err
		}
	}
	for _, name := range []string{"e1", "e2"} {
		if err := f.startEntry(name, benchZone, nil); err != nil {
			return err
		}
	}
	if err := readyCommand(f, nil, []string{"e1", "e2"}); err != nil {
		return err
	}
	return seesCommand(f, nil, []string{"e1", searchService, "2"})
}

func (t trial) measure(b *testing.B, ways map[string]mode) {
	for _, name := range []string{"round_robin", "admission_off", "hedge_off", "hedge_on"} {
		if m, wanted := ways[name]; wanted {
			b.Run(name, func(b *testing.B) { t.run(b, m) })
		}
	}
}

// BenchmarkSteady measures the cost of the path through an entry without faults.
func BenchmarkSteady(b *testing.B) {
	trial{targets: 6, slots: benchSlots, serviceMillis: 5, rate: 300, deadlineMillis: 2000}.measure(b, modes)
}

// BenchmarkSlowTarget slows one of six targets by 100 ms from 2 s on.
func BenchmarkSlowTarget(b *testing.B) {
	trial{targets: 6, slots: benchSlots, serviceMillis: 5, rate: 300, deadlineMillis: 2000, fault: func(f *fleet) error {
		return faultCommand(f, nil, []string{"t0-1", `{"slow_ms":100}`})
	}}.measure(b, modes)
}

// BenchmarkHalfLost kills three of six targets after 2 s; the list of instances
// does not change.
func BenchmarkHalfLost(b *testing.B) {
	trial{targets: 6, slots: benchSlots, serviceMillis: 5, rate: 300, deadlineMillis: 2000, fault: func(f *fleet) error {
		return signalCommand(f, nil, []string{"KILL", "t0", "t1", "t2"})
	}}.measure(b, modes)
}

// BenchmarkOverload sends twice as many requests as two targets can run. With
// admission off the policy allows more slots than the targets have, so that
// their queues fill.
func BenchmarkOverload(b *testing.B) {
	ways := maps.Clone(modes)
	ways["admission_off"] = mode{slots: 100_000}
	trial{targets: 2, slots: benchSlots, queue: 1000, serviceMillis: 20, rate: 800, deadlineMillis: 500}.measure(b, ways)
}

// BenchmarkDrain measures how long an entry takes to shut down under load: from
// SIGTERM to the exit of the process.
func BenchmarkDrain(b *testing.B) {
	for range b.N {
		f := newFleet(b.TempDir())
		t := trial{targets: 3, slots: benchSlots, serviceMillis: 20, rate: 100, deadlineMillis: 4000}
		if err := t.start(f, mode{slots: benchSlots}); err != nil {
			b.Fatal(err)
		}
		l := &backgroundLoad{done: make(chan struct{})}
		f.tasks.Go(func() {
			defer close(l.done)
			options := load.Options{Entries: f.entries(), Targets: f.targets(), Mix: searchMix(t.deadlineMillis), Rate: t.rate, Duration: benchDuration, Seed: 5, Logger: logs.Discard()}
			l.summary, l.err = load.Run(b.Context(), options)
		})
		time.Sleep(benchDuration / 4)
		began := time.Now()
		if err := f.signal("e1", syscall.SIGTERM); err != nil {
			b.Fatal(err)
		}
		if err := f.awaitExit("e1"); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(time.Since(began).Seconds(), "drain_s")
		<-l.done
		if l.err != nil || l.summary.Violated() {
			b.Errorf("%v, %+v", l.err, l.summary.Verification)
		}
		b.ReportMetric(l.summary.UsefulPercent, "useful_%")
		f.close()
	}
}
