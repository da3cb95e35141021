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

// pair is a ledger with the budget it uses, the records of its witness, and one
// issued prefix.
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

// run runs the request of key 1, which leaves a kept answer.
func (p *pair) run(t *testing.T) {
	t.Helper()
	key := p.prefix.Key(1)
	if step := p.ledger.Admit(start, key, 1, bound); step != (ticket.StepRecord{}) {
		t.Fatalf("Arrive returned %#v, want StepRecord", step)
	}
	if reply := p.records.Record(start, key, 1, bound); reply != ticket.RecordAcknowledged {
		t.Fatalf("Record returned %v, want RecordAcknowledged", reply)
	}
	if step := p.ledger.Acknowledge(start, key); step != (ticket.StepRun{}) {
		t.Fatalf("Acknowledge returned %#v, want StepRun", step)
	}
	p.ledger.Finish(key, ticket.Answered([]byte("answer")))
}

// verdict returns the answer of a StepDone, or the reason and the verdict of its
// refusal. For other steps, it returns "not done".
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
				p.ledger.Admit(start, p.prefix.Key(2), 1, bound)
				p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
			},
			key: 2, digest: 1, want: "no-witness not-run",
		},
		"acknowledged late": {
			do: func(p *pair) {
				p.ledger.Admit(start, p.prefix.Key(2), 1, bound)
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
			if got := verdict(p.ledger.Admit(start.Add(test.after), p.prefix.Key(test.key), test.digest, bound)); got != test.want {
				t.Errorf("Arrive returned %q, want %q", got, test.want)
			}
		})
	}
}

// TestFull fills the budget with one key. Requests that are refused for this
// reason must still be refused when there is room again. This includes requests
// whose refusal could not be stored: their prefix is withdrawn.
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
			if got := verdict(p.ledger.Admit(at, p.prefix.Key(number), 1, bound)); got != "keys-full not-run" {
				t.Errorf("key %d: %q, want a refusal", number, got)
			}
		}
	}
	renewed, _ := p.ledger.Issue(start.Add(80*time.Second), 3)
	if step := p.ledger.Admit(start.Add(80*time.Second), renewed.Key(1), 1, bound); step != (ticket.StepRecord{}) {
		t.Errorf("a key of a new prefix: %#v, want StepRecord", step)
	}
}

// TestHandover checks that after a planned stop of the home the witness returns
// kept answers, runs unused keys and refuses those that the home refused.
func TestHandover(t *testing.T) {
	p := newPair(limits)
	p.run(t)
	p.records.Report(p.prefix.Key(1), ticket.Answered([]byte("answer")))
	p.ledger.Admit(start, p.prefix.Key(2), 1, bound)
	p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
	p.ledger.Admit(start, p.prefix.Key(3), 1, bound)
	handover, _ := p.ledger.Freeze(start)
	adopted := p.records.Adopt(handover, ticket.NewBudget(limits))
	p.ledger.MarkMoved()
	if _, moved := p.ledger.Admit(start, p.prefix.Key(3), 1, bound).(ticket.StepMoved); !moved {
		t.Error("the former home did not forward the request to the witness")
	}
	for number, want := range map[uint64]string{1: "answer", 2: "lost-home not-run", 3: "not done", 4: "not done"} {
		if got := verdict(adopted.Admit(start, p.prefix.Key(number), 1, bound)); got != want {
			t.Errorf("key %d: %q, want %q", number, got, want)
		}
	}
	if adopted.Running() != 2 {
		t.Errorf("%d requests are running, want 2", adopted.Running())
	}
}

// TestRelease checks that after a planned stop of the witness the home runs keys
// without acknowledgement, except those that the witness sealed.
func TestRelease(t *testing.T) {
	p := newPair(limits)
	p.records.Seal(start, p.prefix.Key(2), 1)
	release, _ := p.records.Release(start)
	if !p.ledger.Release(release) {
		t.Fatal("the ledger did not accept the release")
	}
	if step := p.ledger.Admit(start, p.prefix.Key(1), 1, bound); step != (ticket.StepRun{}) {
		t.Errorf("an unused key: %#v, want StepRun", step)
	}
	if got := verdict(p.ledger.Admit(start, p.prefix.Key(2), 1, bound)); got != "lost-home not-run" {
		t.Errorf("a sealed key: %q, want a refusal", got)
	}
	if _, proved := p.records.Seal(start, p.prefix.Key(1), 1).(ticket.SealNotRun); proved {
		t.Error("the witness sealed a key after the release")
	}
	if _, ok := p.ledger.Issue(start, 2); ok {
		t.Error("the ledger issued a prefix that names a stopped witness")
	}
}

// TestSweep checks that sweeping a ledger after KeepTime releases all that its
// keys took from the budget.
func TestSweep(t *testing.T) {
	p := newPair(limits)
	p.run(t)
	p.ledger.Admit(start, p.prefix.Key(2), 1, bound)
	p.ledger.Refuse(start, p.prefix.Key(2), errs.ReasonNoWitness, "")
	if p.ledger.Sweep(start.Add(79 * time.Second)) {
		t.Error("Sweep reported that the ledger can be dropped while it keeps a key")
	}
	if !p.ledger.Sweep(start.Add(80 * time.Second)) {
		t.Error("Sweep reported that the ledger can't be dropped after KeepTime")
	}
	if p.budget.Keys() != 0 || p.budget.Refusals() != 0 || p.budget.Bytes() != 0 {
		t.Errorf("the budget still counts %d keys, %d refusals, %d bytes", p.budget.Keys(), p.budget.Refusals(), p.budget.Bytes())
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
		p.ledger.Admit(start, key, 1, bound)
		p.records.Record(start, key, 1, bound)
		p.ledger.Acknowledge(start, key)
		p.ledger.Finish(key, outcome)
		p.records.Report(key, outcome)
	}
}

// BenchmarkMemory measures the heap bytes that a key with an answer of 300 bytes
// takes at its home and at its witness.
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
		p.ledger.Admit(start, p.prefix.Key(i+1), 1, bound)
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

// BenchmarkSweep measures a sweep that finds no expired key. A ledger can't
// decide on requests during a sweep.
func BenchmarkSweep(b *testing.B) {
	for _, keys := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			used := ticket.DefaultLimits()
			used.BytesMax = 100_000 * used.AnswerBytesMax
			p := newPair(used)
			for i := range keys {
				p.ledger.Admit(start, p.prefix.Key(i+1), 1, bound)
				p.ledger.Acknowledge(start, p.prefix.Key(i+1))
				p.ledger.Finish(p.prefix.Key(i+1), ticket.Answered([]byte("answer")))
			}
			for b.Loop() {
				p.ledger.Sweep(start)
			}
		})
	}
}
