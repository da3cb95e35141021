package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/stub"
)

const (
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
	microsPerMilli     = 1000.0
	logTimeout         = 10 * time.Second
	logBytesMax        = 1 << 30
	examplesMax        = 10
)

// KindSummary summarizes the requests of one kind. Latencies are from the time at
// which a request was due to its complete answer, including all attempts.
type KindSummary struct {
	Sent       int         `json:"sent"`
	Ran        int         `json:"ran"`
	NotRun     int         `json:"not_run"`
	MayHaveRun int         `json:"may_have_run"`
	Unknown    int         `json:"unknown"`
	Skipped    int         `json:"skipped"`
	Attempts   int         `json:"attempts"`
	Repeats    int         `json:"repeats"`
	P50Millis  float64     `json:"p50_ms"`
	P99Millis  float64     `json:"p99_ms"`
	P999Millis float64     `json:"p999_ms"`
	MaxMillis  float64     `json:"max_ms"`
	Reasons    ReasonCount `json:"reasons,omitempty"`
	histogram  *hdrhistogram.Histogram
}

// ReasonCount counts the requests with another outcome than OutcomeRan, by
// reason.
type ReasonCount map[errs.Reason]int

// Verification is the comparison of the callers' verdicts with the targets' logs.
type Verification struct {
	// Complete reports whether the logs of all targets were read.
	Complete bool `json:"done"`
	// Unread is the number of targets whose logs could not be read, because the
	// targets are gone. What they ran is unknown, so Lost is not counted.
	Unread int `json:"unread"`
	// Lost is the number of attempts that were reported as run although no
	// target ran them.
	Lost int `json:"lost"`
	// RanTwice is the number of non-idempotent requests that ran more than once.
	RanTwice int `json:"doubled"`
	// NotRunThatRan is the number of attempts that were reported as not run
	// although a target ran them.
	NotRunThatRan int `json:"not_run_that_ran"`
	// WrongAnswers is the number of answers that belong to another request or are
	// incomplete.
	WrongAnswers int `json:"wrong"`
	// Executions is how often the targets started a request of this run.
	Executions int `json:"executions"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// Summary holds the results of a run.
type Summary struct {
	Mix           string                  `json:"mix"`
	Baseline      bool                    `json:"baseline"`
	Seconds       float64                 `json:"seconds"`
	Sent          int                     `json:"sent"`
	UsefulPercent float64                 `json:"useful_percent"`
	Kinds         map[string]*KindSummary `json:"kinds"`
	// Idempotent and NonIdempotent summarize the idempotent and the
	// non-idempotent requests of all kinds.
	Idempotent    *KindSummary `json:"idempotent"`
	NonIdempotent *KindSummary `json:"non_idempotent"`
	Verification  Verification `json:"verification"`
}

// Violated reports whether a guarantee was violated: a request was lost, ran
// twice, ran although it was reported as not run, or got an incomplete answer
// or that of another request.
func (s *Summary) Violated() bool {
	v := s.Verification
	return v.Lost+v.RanTwice+v.NotRunThatRan+v.WrongAnswers > 0
}

func newKindSummary() *KindSummary {
	return &KindSummary{
		histogram: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		Reasons:   ReasonCount{},
	}
}

func (k *KindSummary) add(s *sentRequest) {
	k.Sent++
	switch s.outcome {
	case OutcomeRan:
		k.Ran++
		_ = k.histogram.RecordValue(min(s.latency.Microseconds(), histogramMaxMicros))
	case OutcomeNotRun:
		k.NotRun++
	case OutcomeMayHaveRun:
		k.MayHaveRun++
	case OutcomeUnknown:
		k.Unknown++
	case OutcomeSkipped:
		k.Skipped++
	}
	if s.outcome != OutcomeRan && s.reason != "" {
		k.Reasons[s.reason]++
	}
	k.Attempts += len(s.attempts)
	for _, a := range s.attempts {
		k.Repeats += a.repeats
	}
}

func (k *KindSummary) computeQuantiles() {
	k.P50Millis = float64(k.histogram.ValueAtQuantile(50)) / microsPerMilli
	k.P99Millis = float64(k.histogram.ValueAtQuantile(99)) / microsPerMilli
	k.P999Millis = float64(k.histogram.ValueAtQuantile(99.9)) / microsPerMilli
	k.MaxMillis = float64(k.histogram.Max()) / microsPerMilli
}

func (c *caller) summarize(took time.Duration) Summary {
	summary := Summary{
		Mix: c.options.Mix.Name, Baseline: c.options.Baseline, Seconds: took.Seconds(), Sent: len(c.requests),
		Kinds: map[string]*KindSummary{}, Idempotent: newKindSummary(), NonIdempotent: newKindSummary(),
	}
	for _, k := range c.options.Mix.Kinds {
		summary.Kinds[k.Name] = newKindSummary()
	}
	for _, s := range c.requests {
		summary.Kinds[s.kind.Name].add(s)
		if s.kind.NonIdempotent {
			summary.NonIdempotent.add(s)
		} else {
			summary.Idempotent.add(s)
		}
		if s.problem != "" {
			summary.Verification.WrongAnswers++
			summary.Verification.addExample("%s", s.problem)
		}
	}
	for _, k := range summary.Kinds {
		k.computeQuantiles()
	}
	summary.Idempotent.computeQuantiles()
	summary.NonIdempotent.computeQuantiles()
	if summary.Sent > 0 {
		summary.UsefulPercent = 100 * float64(summary.Idempotent.Ran+summary.NonIdempotent.Ran) / float64(summary.Sent)
	}
	return summary
}

func (v *Verification) addExample(format string, args ...any) {
	if len(v.Examples) < examplesMax {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// verify compares the outcome of each attempt with the targets' logs.
func (c *caller) verify(summary *Summary) error {
	ran, unread, err := c.executions()
	if err != nil {
		return err
	}
	v := &summary.Verification
	v.Complete = unread == 0
	v.Unread = unread
	for _, s := range c.requests {
		count := 0
		for _, a := range s.attempts {
			count += ran[a.id]
			if a.outcome == OutcomeNotRun && ran[a.id] > 0 {
				v.NotRunThatRan++
				v.addExample("request %s, key %q: reported as not run, but ran %d times", a.id, a.key, ran[a.id])
			}
			if a.outcome == OutcomeRan && ran[a.id] == 0 && v.Complete {
				v.Lost++
				v.addExample("request %s, key %q: reported as run, but no target ran it", a.id, a.key)
			}
		}
		v.Executions += count
		if s.kind.NonIdempotent && count > 1 {
			v.RanTwice++
			v.addExample("request %s: non-idempotent, ran %d times in %d attempts", s.id, count, len(s.attempts))
		}
	}
	return nil
}

// executions returns how often targets started each attempt of this run, by id,
// and the number of targets that are unreachable.
func (c *caller) executions() (ran map[string]int, unread int, err error) {
	ran = map[string]int{}
	for service, addresses := range c.options.Targets {
		for _, address := range addresses {
			log, err := ReadLog(address)
			if err != nil && errs.VerdictOf(err) == errs.VerdictNotRun {
				unread++
				continue
			}
			if err != nil {
				return nil, unread, errors.Wrapf(err, "service %s", service)
			}
			for _, e := range log.Executions {
				if strings.HasPrefix(e.Request, c.run) {
					ran[e.Request]++
				}
			}
		}
	}
	return ran, unread, nil
}

// ReadLog reads the log of executions of the target at the address.
func ReadLog(address string) (stub.Log, error) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	client := sender.New("", address, 1, sender.DialTCP)
	defer client.Close()
	answer, err := client.Do(ctx, sender.NewRequest("GET", "/control/log", time.Time{}).WithAnswerBytesMax(logBytesMax))
	if err != nil {
		return stub.Log{}, errors.Wrapf(err, "read the log of the target at %s", address)
	}
	var log stub.Log
	if err := json.Unmarshal(answer.Body(), &log); err != nil {
		return stub.Log{}, errors.Wrapf(err, "decode the log of the target at %s", address)
	}
	return log, nil
}

// WriteTable writes the summary as a table for people to read.
func (s *Summary) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tsent\tran\tnot run\tmay have run\tunknown\tattempts\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, name := range slices.Sorted(maps.Keys(s.Kinds)) {
		s.Kinds[name].writeRow(w, name)
	}
	s.Idempotent.writeRow(w, "(idempotent)")
	s.NonIdempotent.writeRow(w, "(non-idempotent)")
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	v := s.Verification
	_, err := fmt.Fprintf(out, "useful %.2f %%, executions %d, lost %d, doubled %d, not run that ran %d, wrong %d, checked against logs: %v\n",
		s.UsefulPercent, v.Executions, v.Lost, v.RanTwice, v.NotRunThatRan, v.WrongAnswers, v.Complete)
	return errors.Wrap(err, "write the table")
}

func (k *KindSummary) writeRow(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n",
		name, k.Sent, k.Ran, k.NotRun, k.MayHaveRun, k.Unknown, k.Attempts, k.P50Millis, k.P99Millis, k.P999Millis)
}
