package hold_test

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/hold"
)

func ExampleBudget() {
	budget := hold.New(100)
	first, second := budget.Share(), budget.Share()
	fmt.Println(first.Take(60), second.Take(60), budget.Used())
	first.Release()
	fmt.Println(second.Take(60), budget.Used())
	// Output:
	// true false 60
	// true 60
}

// TestReadAll reads a text whose rest, if it isn't read whole, must still be in
// the reader.
func TestReadAll(t *testing.T) {
	const free = 8 << 10
	tests := map[string]struct {
		length, budget, limit int
		// stated is the length that ReadAll is told.
		stated int64
		whole  bool
	}{
		"empty":                  {0, 0, 1 << 20, -1, true},
		"empty, stated":          {0, 0, 1 << 20, 0, true},
		"short, no room":         {free - 1, 0, 1 << 20, -1, true},
		"short, stated":          {100, 0, 1 << 20, 100, true},
		"longer than stated":     {5000, 0, 1 << 20, 100, true},
		"longer, no room":        {free + 1, 0, 1 << 20, -1, false},
		"longer, room":           {free + 1, 1 << 20, 1 << 20, free + 1, true},
		"more than the room":     {1 << 20, 100 << 10, 1 << 20, -1, false},
		"more than the limit":    {64<<10 + 1, 1 << 20, 64 << 10, -1, false},
		"less than first buffer": {100, 0, 1000, -1, true},
		"more than small limit":  {2000, 0, 1000, -1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat("x", test.length)
			budget := hold.New(int64(test.budget))
			share := budget.Share()
			reader := strings.NewReader(text)
			data, whole, err := hold.ReadAll(iotest.HalfReader(reader), share, test.stated, test.limit, free)
			if err != nil || whole != test.whole {
				t.Errorf("whole %v, error %v; want %v", whole, err, test.whole)
			}
			rest, err := io.ReadAll(reader)
			if err != nil || !bytes.Equal(append(data, rest...), []byte(text)) {
				t.Errorf("read %d bytes, the rest has %d, error %v; want %d in all", len(data), len(rest), err, test.length)
			}
			if budget.Used() > budget.Limit() || cap(data) > free+int(budget.Used()) {
				t.Errorf("a buffer of %d bytes, %d of %d bytes are counted as used", cap(data), budget.Used(), budget.Limit())
			}
			share.Release()
			if budget.Used() != 0 {
				t.Errorf("%d bytes are used after the release", budget.Used())
			}
		})
	}
}

func TestBudgetIsShared(t *testing.T) {
	const limit, takers = 1000, 50
	budget := hold.New(limit)
	var tasks conc.WaitGroup
	for range takers {
		tasks.Go(func() {
			share := budget.Share()
			for n := 0; share.Take(7); n++ {
				if n > limit {
					t.Error("one share took more than the budget has")
					break
				}
			}
			share.Release()
		})
	}
	tasks.Wait()
	if budget.Used() != 0 {
		t.Errorf("%d bytes are used after all releases", budget.Used())
	}
}

// TestReadAllTakesAllOrNothing reads more bodies of known length at once than fit. It
// guards against a budget that is spent on parts of bodies, none of which is whole.
func TestReadAllTakesAllOrNothing(t *testing.T) {
	const length, free, fit, bodies = 500_000, 8 << 10, 3, 20
	budget := hold.New(fit * (length + 1 - free))
	var tasks conc.WaitGroup
	var whole atomic.Int64
	for range bodies {
		tasks.Go(func() {
			data, ok, err := hold.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", length))), budget.Share(), length, 1<<20, free)
			if err != nil {
				t.Error(err)
			}
			if ok {
				whole.Add(1)
			} else if cap(data) > free {
				t.Errorf("a body that doesn't fit has a buffer of %d bytes, want at most %d", cap(data), free)
			}
		})
	}
	tasks.Wait()
	if whole.Load() != fit {
		t.Errorf("%d bodies are whole, want %d", whole.Load(), fit)
	}
}

// TestReserve guards against shares that take the reserve of others, and against bytes
// that are not returned with those of the share.
func TestReserve(t *testing.T) {
	budget := hold.New(100)
	share := budget.Share()
	leaving := share.Leaving(30)
	if leaving.Take(71) || !leaving.Take(70) || leaving.Take(1) || !share.Take(30) {
		t.Errorf("%d bytes are used, want 70 and then 100", budget.Used())
	}
	share.Release()
	if budget.Used() != 0 {
		t.Errorf("%d bytes are used after the release", budget.Used())
	}
}

// TestLongestLength guards against a length to which nothing can be added, and for which
// room was taken all the same.
func TestLongestLength(t *testing.T) {
	budget := hold.New(1 << 20)
	for name, share := range map[string]*hold.Share{"no limit": nil, "limit": budget.Share()} {
		t.Run(name, func(t *testing.T) {
			for _, free := range []int{0, 8 << 10} {
				data, whole, err := hold.ReadAll(strings.NewReader("part"), share, math.MaxInt64, 1<<10, free)
				if string(data) != "part" || !whole || err != nil {
					t.Errorf("ReadAll returns %q, whole: %v, error %v; want the part", data, whole, err)
				}
			}
			if used := budget.Used(); used < 0 || used > budget.Limit() {
				t.Errorf("%d bytes of the budget of %d are used", used, budget.Limit())
			}
		})
	}
}
