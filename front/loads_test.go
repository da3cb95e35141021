package front_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/wire"
)

// TestPolicy checks where objects are kept on several targets. Elsewhere the choice of
// targets must stay as it was.
func TestPolicy(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lines string
		work  int
		want  []place.Service
	}{
		"neither":             {"", 0, nil},
		"targets report work": {"", 250, []place.Service{"svc"}},
		"slots are short":     {"contracts = pressure\n", 250, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnvWith(t, test.lines, fakes.Config(1, timeoutMillis))
			for _, target := range w.targets {
				if test.work > 0 {
					target.SetLoadWithWork(1, 0, 4, test.work)
				}
			}
			if got := w.do(t, "POST", "/read/x", "r1"); got.status != 200 {
				t.Fatalf("status %d", got.status)
			}
			if got := w.server.Dump().Replicated; !slices.Equal(got, test.want) {
				t.Errorf("the replicated services are %v, want %v", got, test.want)
			}
		})
	}
}

// TestHearsLoads sends an instance the load reports that another one received. A
// report that it ignored would leave it with the service's mean load.
func TestHearsLoads(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	if got := w.do(t, "POST", "/read/x", "r1"); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	time.Sleep(2 * time.Millisecond)
	reports := []wire.TargetLoad{{Target: "t1", Born: 1, Running: 4, Waiting: 5}, {Target: "t2", Born: 1, Running: 4, Waiting: 5}, {Target: "unknown"}}
	answer := w.server.Handle(context.Background(), wire.Hello{Instance: "i2", Zone: "a1"}, &wire.Loads{Reports: reports})
	if _, ok := answer.(*wire.Ack); !ok {
		t.Errorf("the answer is %T, want an Ack", answer)
	}
	states := w.server.Dump().Targets
	if len(states) != 2 || slices.ContainsFunc(states, func(s pick.TargetState) bool { return s.Load < 8.9 }) {
		t.Errorf("the targets are %+v, want loads of 9", states)
	}
}
