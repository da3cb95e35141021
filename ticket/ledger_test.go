package ticket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/ticket"
)

var start = time.UnixMilli(1_000_000)

// pair is a ledger, its witness's records, and one prefix.
type pair struct {
	ledger  *ticket.Ledger
	records *ticket.Records
	budget  *ticket.Budget
	prefix  ticket.Prefix
}

func newPair(limits ticket.Limits) *pair {
	budget := ticket.NewBudget(limits)
	ledger := newLedger(budget)
	prefix, _ := ledger.Issue(start, 1)
	return &pair{ledger, ticket.NewRecords(ledger.Witness(), ledger.Home(), ticket.NewBudget(limits)), budget, prefix}
}

// run takes key 1 through to a kept answer.
func (p *pair) run(t *testing.T) {
	t.Helper()
	key := p.prefix.Key(1)
	if step := p.ledger.Arrive(start, key, 1, bound); step != (ticket.StepRecord{}) {
		t.Fatalf("Arrive gave %#v, want StepRecord", step)
	}
	if reply := p.records.Record(start, key, 1, bound); reply != ticket.RecordAcknowledged {
		t.Fatalf("Record gave %v", reply)
	}
	if step := p.ledger.Acknowledge(start, key); step != (ticket.StepRun{}) {
		t.Fatalf("Acknowledge gave %#v, want StepRun", step)
	}
	p.ledger.Finish(key, ticket.Answered([]byte("answer")))
}

func verdict(step ticket.Step) string {
	done, ok := step.(ticket.StepDone)
	if !ok {
		return "not done"
	}
	if done.Outcome().Refusal() == nil {
		return string(done.Outcome().Answer())
	}
	return string(done.Outcome().Refusal().Reason()) + " " + done.Outcome().Refusal().Verdict().String()
}

func TestLedger(t *testing.T) {
	tests := map[string]struct {
		limits func(*ticket.Limits)
		do     func(*pair)
		key    uint64
		digest ticket.Digest
		after  time.Duration
		want   string
	}{
		"repeat":          {key: 1, digest: 1, want: "answer"},
		"reused":          {key: 1, digest: 2, want: "key-reused not-run"},
		"expired":         {key: 9, digest: 1, after: 30 * time.Second, want: "key-expired not-run"},
		"long expired":    {key: 9, digest: 1, after: 90 * time.Second, want: "key-expired may-have-run"},
		"repeat late":     {key: 1, digest: 1, after: 70 * time.Second, want: "answer"},
		"keys full":       {limits: func(l *ticket.Limits) { l.KeysMax = 1 }, key: 2, digest: 1, want: "keys-full not-run"},
		"bytes full":      {limits: func(l *ticket.Limits) { l.BytesMax = l.AnswerBytesMax }, key: 2, digest: 1, want: "keys-full not-run"},
		"answer too long": {limits: func(l *ticket.Limits) { l.AnswerBytesMax = 5 }, key: 1, digest: 1, want: "answer-not-kept may-have-run"},
		"refused stays": {
			do: func(p *pair) {
				p.ledger.Arrive(start, p.prefix.Key(2), 1, bound)
				p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
			},
			key: 2, digest: 1, want: "no-witness not-run",
		},
		"acknowledged late": {
			do: func(p *pair) {
				p.ledger.Arrive(start, p.prefix.Key(2), 1, bound)
				p.ledger.Acknowledge(start.Add(bound), p.prefix.Key(2))
			},
			key: 2, digest: 1, want: "deadline not-run",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			used := limits
			if test.limits != nil {
				test.limits(&used)
			}
			p := newPair(used)
			p.run(t)
			if test.do != nil {
				test.do(p)
			}
			if got := verdict(p.ledger.Arrive(start.Add(test.after), p.prefix.Key(test.key), test.digest, bound)); got != test.want {
				t.Errorf("Arrive gave %q, want %q", got, test.want)
			}
		})
	}
}

// TestFull: a request that was refused for want of room stays refused once
// there is room again, even if the refusal itself found none.
func TestFull(t *testing.T) {
	full := limits
	full.KeysMax = 1
	p := newPair(full)
	p.run(t)
	late := start.Add(79 * time.Second)
	p.prefix, _ = p.ledger.Issue(late, 2)
	for _, at := range []time.Time{late, start.Add(80 * time.Second)} {
		p.ledger.Sweep(at)
		for number := uint64(1); number <= 3; number++ {
			if got := verdict(p.ledger.Arrive(at, p.prefix.Key(number), 1, bound)); got != "keys-full not-run" {
				t.Errorf("key %d: %q", number, got)
			}
		}
	}
	renewed, _ := p.ledger.Issue(start.Add(80*time.Second), 3)
	if step := p.ledger.Arrive(start.Add(80*time.Second), renewed.Key(1), 1, bound); step != (ticket.StepRecord{}) {
		t.Errorf("a key of a new prefix: %#v, want StepRecord", step)
	}
}

// TestHandover: after a planned stop of the home, the witness gives kept
// answers, runs unused keys and refuses those that were refused.
func TestHandover(t *testing.T) {
	p := newPair(limits)
	p.run(t)
	p.records.Report(p.prefix.Key(1), ticket.Answered([]byte("answer")))
	p.ledger.Arrive(start, p.prefix.Key(2), 1, bound)
	p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
	p.ledger.Arrive(start, p.prefix.Key(3), 1, bound)
	handover, _ := p.ledger.Freeze(start)
	adopted := p.records.Adopt(handover, ticket.NewBudget(limits))
	p.ledger.Hand()
	if _, moved := p.ledger.Arrive(start, p.prefix.Key(3), 1, bound).(ticket.StepMoved); !moved {
		t.Error("the former home did not lead the request on")
	}
	for number, want := range map[uint64]string{1: "answer", 2: "lost-home not-run", 3: "not done", 4: "not done"} {
		if got := verdict(adopted.Arrive(start, p.prefix.Key(number), 1, bound)); got != want {
			t.Errorf("key %d: %q, want %q", number, got, want)
		}
	}
	if adopted.Running() != 2 {
		t.Errorf("%d requests run, want 2", adopted.Running())
	}
}

// TestRelease: after a planned stop of the witness, the home runs keys without
// acknowledgement, except those that were sealed.
func TestRelease(t *testing.T) {
	p := newPair(limits)
	p.records.Seal(start, p.prefix.Key(2), 1)
	release, _ := p.records.Release(start)
	if !p.ledger.Release(release) {
		t.Fatal("the home did not take the release")
	}
	if step := p.ledger.Arrive(start, p.prefix.Key(1), 1, bound); step != (ticket.StepRun{}) {
		t.Errorf("an unused key: %#v, want StepRun", step)
	}
	if got := verdict(p.ledger.Arrive(start, p.prefix.Key(2), 1, bound)); got != "lost-home not-run" {
		t.Errorf("a sealed key: %q", got)
	}
	if _, proved := p.records.Seal(start, p.prefix.Key(1), 1).(ticket.SealNotRun); proved {
		t.Error("the witness sealed a key after the release")
	}
	if _, ok := p.ledger.Issue(start, 2); ok {
		t.Error("the ledger gave out a prefix that names a stopped witness")
	}
}

// TestSweep: everything that was taken is given back.
func TestSweep(t *testing.T) {
	p := newPair(limits)
	p.run(t)
	p.ledger.Arrive(start, p.prefix.Key(2), 1, bound)
	p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
	if p.ledger.Sweep(start.Add(79 * time.Second)) {
		t.Error("the ledger may be dropped while a key is remembered")
	}
	if !p.ledger.Sweep(start.Add(80 * time.Second)) {
		t.Error("the ledger may not be dropped")
	}
	if p.budget.Keys() != 0 || p.budget.Refusals() != 0 || p.budget.Bytes() != 0 {
		t.Errorf("%d keys, %d refusals, %d bytes are left", p.budget.Keys(), p.budget.Refusals(), p.budget.Bytes())
	}
}

func BenchmarkArriveToFinish(b *testing.B) {
	limits := ticket.DefaultLimits()
	limits.KeysMax = int64(b.N) + 1
	p := newPair(limits)
	outcome := ticket.Answered([]byte("answer"))
	b.ReportAllocs()
	for i := range b.N {
		key := p.prefix.Key(uint64(i) + 1)
		p.ledger.Arrive(start, key, 1, bound)
		p.records.Record(start, key, 1, bound)
		p.ledger.Acknowledge(start, key)
		p.ledger.Finish(key, outcome)
		p.records.Report(key, outcome)
	}
}

// BenchmarkMemory measures the heap that a key takes at its home and at its
// witness, with an answer of 300 bytes.
//
//	go test ./ticket -run '^$' -bench Memory -benchtime 1x
func BenchmarkMemory(b *testing.B) {
	for _, keys := range []uint64{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for range b.N {
				home, witness := heapOf(keys)
				b.ReportMetric(home, "home-bytes/key")
				b.ReportMetric(witness, "witness-bytes/key")
			}
		})
	}
}

func heapOf(keys uint64) (home, witness float64) {
	p := newPair(ticket.DefaultLimits())
	before := heap()
	for i := range keys {
		p.ledger.Arrive(start, p.prefix.Key(i+1), 1, bound)
		p.ledger.Acknowledge(start, p.prefix.Key(i+1))
		p.ledger.Finish(p.prefix.Key(i+1), ticket.Answered(make([]byte, 300)))
	}
	middle := heap()
	for i := range keys {
		p.records.Record(start, p.prefix.Key(i+1), 1, bound)
		p.records.Report(p.prefix.Key(i+1), ticket.Answered(make([]byte, 300)))
	}
	after := heap()
	runtime.KeepAlive(p)
	return (middle - before) / float64(keys), (after - middle) / float64(keys)
}

func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkSweep measures a search for keys to forget that finds none, while
// no other request can be decided on.
func BenchmarkSweep(b *testing.B) {
	for _, keys := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			used := ticket.DefaultLimits()
			used.BytesMax = 100_000 * used.AnswerBytesMax
			p := newPair(used)
			for i := range keys {
				p.ledger.Arrive(start, p.prefix.Key(i+1), 1, bound)
				p.ledger.Acknowledge(start, p.prefix.Key(i+1))
				p.ledger.Finish(p.prefix.Key(i+1), ticket.Answered([]byte("answer")))
			}
			for b.Loop() {
				p.ledger.Sweep(start)
			}
		})
	}
}
