package target

import (
	"testing"
	"time"

	"github.com/endivechute/endivechute/errs"
)

// TestChoose counts which targets get requests after some of them failed or
// were slow. Each client is described by what this process saw of it.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	quick := func(o *observed) { o.answered(now, time.Millisecond) }
	nearly := func(o *observed) { o.answered(now, 1400*time.Microsecond) }
	quickLater := func(o *observed) { o.answered(now.Add(time.Minute), time.Millisecond) }
	slow := func(o *observed) { o.answered(now, 100*time.Millisecond) }
	unknown := func(*observed) {}
	dead := func(o *observed) { o.failed(now, errs.NotRun(errs.ReasonTargetError, 0, "refused"), 0) }
	busy := func(o *observed) { o.failed(now, errs.NotRun(errs.ReasonTargetBusy, 0, "busy"), 0) }
	canceled := func(o *observed) { o.failed(now, errs.MayHaveRun(errs.ReasonCanceled, "canceled"), 0) }
	once := func(o *observed) { o.failed(now, errs.MayHaveRun(errs.ReasonTargetError, "closed"), 0) }
	cut := func(o *observed) {
		for range failuresBad {
			o.failed(now, errs.MayHaveRun(errs.ReasonCutAnswer, "cut"), 0)
		}
	}
	hung := func(o *observed) {
		quick(o)
		for range 5 {
			o.failed(now, errs.MayHaveRun(errs.ReasonCanceled, "hedged"), 2*time.Millisecond)
		}
	}
	tests := map[string]struct {
		saw   []func(*observed)
		after time.Duration
		want  []bool
	}{
		"slow one is left to others":  {[]func(*observed){quick, slow}, 0, []bool{true, false}},
		"slow one is tried again":     {[]func(*observed){quickLater, slow}, time.Minute, []bool{false, true}},
		"nearly as quick":             {[]func(*observed){quick, nearly}, 0, []bool{true, true}},
		"hung, always hedged":         {[]func(*observed){quick, hung}, 0, []bool{true, false}},
		"unknown is tried":            {[]func(*observed){unknown, slow}, 0, []bool{true, false}},
		"half are gone":               {[]func(*observed){quick, dead, quick, dead}, 0, []bool{true, false, true, false}},
		"gone ones are tried later":   {[]func(*observed){quick, dead}, time.Minute, []bool{true, true}},
		"all are gone":                {[]func(*observed){dead, dead}, 0, []bool{true, true}},
		"one of three is bad":         {[]func(*observed){quick, quick, cut}, 0, []bool{true, true, false}},
		"two of three are bad":        {[]func(*observed){quick, cut, cut}, 0, []bool{true, true, true}},
		"full or canceled is not bad": {[]func(*observed){busy, unknown, canceled}, 0, []bool{true, true, true}},
		"one failure is not bad":      {[]func(*observed){once, once}, 0, []bool{true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clients := make([]*Client, 0, len(test.saw))
			for _, saw := range test.saw {
				c := &Client{}
				saw(&c.observed)
				clients = append(clients, c)
			}
			chosen := map[*Client]int{}
			for range 1000 {
				chosen[Choose(clients, now.Add(test.after))]++
			}
			for i, c := range clients {
				if (chosen[c] > 0) != test.want[i] {
					t.Errorf("target %d was chosen %d times of 1000, want any: %v", i, chosen[c], test.want[i])
				}
			}
			if c := Choose(clients, now, clients...); c != nil {
				t.Error("an excluded target was chosen")
			}
		})
	}
}
