package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/steer"
)

// TestRecoveredTarget sends 200 requests a second to three targets for 6 s. The
// first answers of one of them take 150 ms, all others 5 ms. That target must get
// at least half of its equal part of the requests: its slow start lasts for a
// small part of the run only.
func TestRecoveredTarget(t *testing.T) {
	const (
		interval    = 5 * time.Millisecond
		requests    = 1200
		targets     = 3
		quick, slow = 5 * time.Millisecond, 150 * time.Millisecond
	)
	for slowAnswers := 1; slowAnswers <= 4; slowAnswers++ {
		t.Run(fmt.Sprint(slowAnswers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(slowAnswers)))
			var ledgers [targets]*keeper.Ledger
			var sent [targets]int
			ends := map[time.Duration][]func(){}
			for i := range ledgers {
				ledgers[i] = keeper.NewLedger(keeper.NewLimits(40, 100, time.Second))
			}
			for n := range requests {
				now := time.Duration(n) * interval
				for _, end := range ends[now] {
					end()
				}
				candidates := make([]steer.Candidate, 0, targets)
				for i, l := range ledgers {
					c := steer.NewCandidate(place.Target(fmt.Sprint(i)), "e1")
					candidates = append(candidates, c.WithView(l.Free(now), l.Wait(now), 0, false, 0, 0).WithService(l.AnswerTime(now)))
				}
				var i int
				chosen := steer.Choose(candidates, keeper.InitialServiceTime, random.IntN)[0]
				if _, err := fmt.Sscan(string(chosen.Target()), &i); err != nil {
					t.Fatal(err)
				}
				took := quick
				if i == 0 && sent[i] < slowAnswers {
					took = slow
				}
				sent[i]++
				id := uint64(n + 1)
				ledgers[i].Arrive(id, time.Hour, now)
				ends[now+took] = append(ends[now+took], func() { ledgers[i].Finish(id, keeper.OutcomeRan, now+took) })
			}
			if sent[0] < requests/targets/2 {
				t.Errorf("the target with %d slow answers got %d of %d requests, want %d or more; all: %v", slowAnswers, sent[0], requests, requests/targets/2, sent)
			}
		})
	}
}

// TestFirstAnswer: before its first answer a target counts with
// InitialServiceTime, and an answer at the time at which the clock starts
// updates the mean like any other.
func TestFirstAnswer(t *testing.T) {
	l := keeper.NewLedger(keeper.NewLimits(1, 9, second))
	if got := l.AnswerTime(0); got != keeper.InitialServiceTime {
		t.Errorf("AnswerTime = %v before the first answer, want %v", got, keeper.InitialServiceTime)
	}
	if got := l.AnswerTime(keeper.ServiceTimeHalfLife - 1); got != keeper.InitialServiceTime {
		t.Errorf("AnswerTime = %v within the first half-life, want %v", got, keeper.InitialServiceTime)
	}
	l.Arrive(1, second, 0)
	l.Finish(1, keeper.OutcomeRan, 0)
	if got := l.ServiceTime(); got <= 0 || got > keeper.InitialServiceTime {
		t.Errorf("ServiceTime = %v after an answer that took no time, want at most %v", got, keeper.InitialServiceTime)
	}
}
