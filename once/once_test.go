package once_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// TestFailures checks requests with home a and witness b during failures. want is
// what a repeat at entry c returns, and runs is how often the request ran.
func TestFailures(t *testing.T) {
	const notRun, mayHaveRun = "not-run lost-home", "may-have-run lost-home"
	tests := map[string]struct {
		do   func(t *testing.T, f *fleet, key string)
		want string
		runs int
	}{
		"home killed before it begins": {
			do: func(_ *testing.T, f *fleet, _ string) { f.member("a").dead.Store(true) }, want: notRun,
		},
		"home killed before the acknowledgement": {
			do: func(_ *testing.T, f *fleet, key string) {
				f.setDelivery(func(from, _ place.Instance, m wire.Message) delivery {
					if isKind[*wire.KeyRecord](m) {
						f.member(from).dead.Store(true)
					}
					return delivered
				})
				f.sendWithin(200*time.Millisecond, "a", key)
			}, want: notRun,
		},
		"home killed after the acknowledgement": {
			do: func(t *testing.T, f *fleet, key string) {
				running, release := f.hang(t)
				var tasks conc.WaitGroup
				tasks.Go(func() { f.send("a", key) })
				<-running
				f.member("a").dead.Store(true)
				f.expect(t, "c", key, mayHaveRun+" again")
				close(release)
				tasks.Wait()
				f.clockOffset.Add(int64(time.Minute))
			}, want: mayHaveRun, runs: 1,
		},
		"home restarted under its name": {
			do: func(_ *testing.T, f *fleet, _ string) { f.start("a") }, want: notRun,
		},
		"home killed after it reported": {
			do: func(_ *testing.T, f *fleet, key string) {
				f.send("a", key)
				f.member("a").keys.Close()
				f.start("a")
			}, want: "answer to ", runs: 1,
		},
		"home paused past every timeout before the witness heard": {
			do: func(t *testing.T, f *fleet, key string) {
				f.pausedHome(t, key, "not-run lost-home", func() {})
			}, want: notRun,
		},
		"witness lost": {
			do: func(_ *testing.T, f *fleet, _ string) { f.member("b").dead.Store(true) }, want: "not-run no-witness",
		},
		"witness restarted": {
			do: func(_ *testing.T, f *fleet, _ string) { f.start("b") }, want: "not-run no-witness",
		},
		"acknowledgement lost": {
			do: func(_ *testing.T, f *fleet, _ string) {
				f.setDelivery(func(_, _ place.Instance, m wire.Message) delivery {
					if isKind[*wire.KeyRecord](m) {
						return replyLost
					}
					return delivered
				})
			}, want: "not-run no-witness",
		},
		"both lost": {
			do: func(_ *testing.T, f *fleet, _ string) { f.member("a").dead.Store(true); f.member("b").dead.Store(true) }, want: mayHaveRun + " again",
		},
		"home and witness cut from each other": {
			do: func(_ *testing.T, f *fleet, _ string) { f.partition("a", "b") }, want: "not-run no-witness",
		},
		"entry cut from the home": {
			do: func(_ *testing.T, f *fleet, key string) {
				f.send("a", key)
				f.member("a").keys.Close()
				f.partition("a", "c")
			}, want: "answer to ", runs: 1,
		},
		"entry cut from the home before it begins": {
			do: func(_ *testing.T, f *fleet, _ string) { f.partition("a", "c") }, want: notRun,
		},
		"answer cut": {
			do: func(_ *testing.T, f *fleet, _ string) {
				f.run = func(string) (*wire.Answer, error) { return nil, errs.MayHaveRun(errs.ReasonCutAnswer, "cut") }
			}, want: "may-have-run cut-answer", runs: 1,
		},
		"target refused": {
			do: func(_ *testing.T, f *fleet, _ string) {
				f.run = func(string) (*wire.Answer, error) { return nil, errs.NotRun(errs.ReasonTargetBusy, 0, "busy") }
			}, want: "not-run target-busy",
		},
		"clock far ahead": {
			do: func(_ *testing.T, f *fleet, _ string) { f.clockOffset.Add(int64(time.Minute)) }, want: "not-run key-expired",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			key := f.prefix(t) + ".1"
			test.do(t, f, key)
			want := test.want
			if want == "answer to " {
				want += key
			}
			f.expect(t, "c", key, want)
			f.run = answer
			f.setDelivery(func(place.Instance, place.Instance, wire.Message) delivery { return delivered })
			if got := f.send("c", key); strings.Fields(got)[0] != strings.Fields(want)[0] {
				t.Errorf("a later repeat returned %q, want the verdict of %q", got, want)
			}
			if runs := f.runs(key); runs != test.runs {
				t.Errorf("the request ran %d times, want %d", runs, test.runs)
			}
		})
	}
}

func TestBadKeys(t *testing.T) {
	f := newFleet(t)
	tests := map[string]struct{ key, want string }{
		"no prefix": {".1", "not-run (no-witness)"},
		"nonsense":  {"nonsense", "not-run (key-invalid)"},
		"no number": {f.prefix(t), "not-run (key-invalid)"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := f.send("a", test.key); !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// hang makes the target wait for release. running receives the key of each
// request that started.
func (f *fleet) hang(t *testing.T) (running chan string, release chan struct{}) {
	t.Helper()
	running, release = make(chan string, 100), make(chan struct{})
	f.run = func(key string) (*wire.Answer, error) {
		running <- key
		<-release
		return answer(key)
	}
	return running, release
}

// partition drops all messages between the two instances.
func (f *fleet) partition(one, other place.Instance) {
	f.setDelivery(func(from, to place.Instance, _ wire.Message) delivery {
		if (from == one && to == other) || (from == other && to == one) {
			return requestLost
		}
		return delivered
	})
}

// pausedHome pauses the home before it sends its record, sends a repeat to entry
// c, calls meanwhile, and resumes the home.
func (f *fleet) pausedHome(t *testing.T, key, want string, meanwhile func()) {
	t.Helper()
	paused, resume := make(chan struct{}, 1), make(chan struct{})
	f.setDelivery(func(_, to place.Instance, m wire.Message) delivery {
		switch {
		case isKind[*wire.KeyRecord](m):
			paused <- struct{}{}
			<-resume
		case to == "a":
			return requestLost
		}
		return delivered
	})
	var tasks conc.WaitGroup
	tasks.Go(func() {
		if got := f.send("a", key); got != "not-run no-witness" {
			t.Errorf("the resumed home returned %q, want a refusal", got)
		}
	})
	<-paused
	f.expect(t, "c", key, want)
	meanwhile()
	close(resume)
	tasks.Wait()
}

// TestRepeats sends copies of each request to three entries at once, on a network
// that duplicates messages and loses replies. Each request must run once.
func TestRepeats(t *testing.T) {
	f := newFleet(t)
	var count atomic.Int64
	f.setDelivery(func(_, _ place.Instance, m wire.Message) delivery {
		if isKind[*wire.Forward](m) || isKind[*wire.KeyRecord](m) || isKind[*wire.KeyReport](m) {
			return []delivery{delivered, duplicated, replyLost, duplicated, delivered}[count.Add(1)%5]
		}
		return delivered
	})
	prefix := f.prefix(t)
	var tasks conc.WaitGroup
	var answers atomic.Int64
	for number := range 100 {
		key := fmt.Sprintf("%s.%d", prefix, number+1)
		for _, entry := range []place.Instance{"a", "b", "c"} {
			tasks.Go(func() {
				got := f.send(entry, key)
				if isAnswer(got, key) && f.runs(key) == 1 {
					answers.Add(1)
				} else if got != "not-run no-witness" && got != "may-have-run lost-home again" {
					t.Errorf("entry %s returned %q", entry, got)
				}
			})
		}
	}
	tasks.Wait()
	if answers.Load() < 250 {
		t.Errorf("%d of 300 copies got the answer, want at least 250", answers.Load())
	}
}

// TestPlannedStop stops the home or the witness under load. No request may be
// refused or run twice, and keys of a prefix issued before must work afterwards.
func TestPlannedStop(t *testing.T) {
	for _, stopping := range []place.Instance{"a", "b"} {
		t.Run(string(stopping), func(t *testing.T) {
			f := newFleet(t)
			prefix := f.prefix(t)
			running, release := f.hang(t)
			var tasks conc.WaitGroup
			for number := range 20 {
				key := fmt.Sprintf("%s.%d", prefix, number+1)
				tasks.Go(func() { f.expect(t, "c", key, "answer to "+key) })
			}
			for range 10 {
				<-running
			}
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			tasks.Go(func() { stopped <- f.member(stopping).keys.Stop(ctx) })
			for number := range 20 {
				key := fmt.Sprintf("%s.%d", prefix, number+21)
				tasks.Go(func() { f.expect(t, "b", key, "answer to "+key) })
			}
			close(release)
			if err := <-stopped; err != nil {
				t.Fatal(err)
			}
			if _, ok := f.member("a").keys.Prefix(); ok {
				t.Error("a prefix was issued that names a stopping process")
			}
			tasks.Wait()
			f.member(stopping).keys.Close()
			f.member(stopping).dead.Store(true)
			for _, number := range []int{1, 30, 50} {
				key := fmt.Sprintf("%s.%d", prefix, number)
				f.expect(t, "c", key, "answer to "+key)
			}
			for key, runs := range f.ran {
				if runs != 1 {
					t.Errorf("%s ran %d times", key, runs)
				}
			}
		})
	}
}

// TestHandoverUnknown loses every reply to the handover. The home must not run an
// unused key, since the witness may have accepted the handover and run it.
func TestHandoverUnknown(t *testing.T) {
	f := newFleet(t)
	prefix := f.prefix(t)
	f.setDelivery(func(_, _ place.Instance, m wire.Message) delivery {
		if isKind[*wire.KeyHandover](m) {
			return replyLost
		}
		return delivered
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := f.member("a").keys.Stop(ctx); err == nil {
		t.Error("Stop returned no error")
	}
	if got := f.sendWithin(200*time.Millisecond, "a", prefix+".1"); got != "may-have-run stopping again" {
		t.Errorf("the home returned %q, want a refusal to repeat later", got)
	}
	f.member("a").dead.Store(true)
	f.expect(t, "c", prefix+".1", "answer to "+prefix+".1")
}

// TestStopEndsWithTheKeys loses every reply to the handover, as happens when home
// and witness stop at once. Stop must return when all keys have expired.
func TestStopEndsWithTheKeys(t *testing.T) {
	f := newFleet(t)
	f.prefix(t)
	f.setDelivery(func(_, _ place.Instance, m wire.Message) delivery {
		if isKind[*wire.KeyHandover](m) {
			f.clockOffset.Store(int64(time.Minute))
			return replyLost
		}
		return delivered
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := f.member("a").keys.Stop(ctx); err != nil || ctx.Err() != nil {
		t.Errorf("Stop did not return after all keys expired: %v, %v", err, ctx.Err())
	}
}
