package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/endivechute/endivechute/replay"
)

// seeds are played for each load; the mean of them is compared.
var seeds = []uint64{1, 2, 3}

func read(t *testing.T, name string) *replay.Load {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "examples", "replay", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	load, err := replay.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return load
}

// worth returns what callers got between two seconds, in the mean of the seeds.
func worth(load *replay.Load, policy replay.Policy, from, to int) float64 {
	sum := 0.0
	for _, seed := range seeds {
		sum += replay.Run(load, policy, seed).Between(from, to)
	}
	return sum / float64(len(seeds))
}

// In the examples the trouble begins at 10 s and is over by 18 s.
const (
	troubleFrom, troubleTo = 10, 16
	afterFrom, afterTo     = 18, 25
)

// TestPatterns: while a trouble lasts, callers get most of what they would get
// at best, and a few seconds after it nearly all again: a queue that has grown
// must not stay.
func TestPatterns(t *testing.T) {
	const during, after = 0.7, 0.9
	for _, name := range []string{
		"steady", "burst", "burst-one-zone", "shift", "repeats", "fewer-slots", "slow", "very-slow", "failing", "hanging", "zone-back",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := read(t, name)
			if got := worth(load, replay.Policy{}, troubleFrom, troubleTo); got < during {
				t.Errorf("worth %.3f during the trouble, want %.2f", got, during)
			}
			if got := worth(load, replay.Policy{}, afterFrom, afterTo); got < after {
				t.Errorf("worth %.3f after the trouble, want %.2f", got, after)
			}
		})
	}
}

// TestAllBack: every target has lost its process and knows nothing, and is
// learned anew under the load.
func TestAllBack(t *testing.T) {
	const after = 0.9
	if got := worth(read(t, "all-back"), replay.Policy{}, afterFrom, afterTo); got < after {
		t.Errorf("worth %.3f after all targets returned, want %.2f", got, after)
	}
}

// TestOverload: of a load above what targets can do that know every object,
// callers get at least a third of what could be served in time. With waits
// bounded by the route's time-out alone and unknown targets taken as idle it
// was 0.13 and 0.08.
func TestOverload(t *testing.T) {
	for name, possible := range map[string]float64{"overload-1.2": 1 / 1.2, "overload-2": 1.0 / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := worth(read(t, name), replay.Policy{}, troubleFrom, afterTo); got < possible/3 {
				t.Errorf("worth %.3f, want a third of %.2f", got, possible)
			}
		})
	}
}

// TestPlacement: to choose the same target for an object everywhere is worth
// more than to choose the least loaded.
func TestPlacement(t *testing.T) {
	load := read(t, "steady")
	by, blind := worth(load, replay.Policy{}, troubleFrom, afterTo), worth(load, replay.Policy{BlindToObjects: true}, troubleFrom, afterTo)
	if by < 2*blind {
		t.Errorf("worth %.3f by object and %.3f by load alone, want twice as much", by, blind)
	}
}

func TestParseRefuses(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"no JSON":         {`{`, "replay file"},
		"unknown field":   {`{"size_ms":1}`, "size_ms"},
		"no length":       {`{}`, "length_ms"},
		"no zones":        {`{"length_ms":1}`, "zones_each"},
		"no slots":        {`{"length_ms":1,"regions":["a"],"zones_each":1,"entries_each":1,"services":[{"name":"s","targets_each":1}]}`, "slots"},
		"unknown service": {`{"length_ms":1,"regions":["a"],"zones_each":1,"entries_each":1,"kinds":[{"name":"k","service":"s"}]}`, `"s"`},
		"unknown pattern": {`{"length_ms":1,"regions":["a"],"zones_each":1,"entries_each":1,"patterns":[{"kind":"flood"}]}`, "flood"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := replay.Parse([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("Parse gave %v, want an error that names %s", err, test.want)
			}
		})
	}
}

// TestReports: every request is in the table once, and the plot is a picture.
func TestReports(t *testing.T) {
	result := replay.Run(read(t, "burst"), replay.Policy{}, 1)
	all := result.All()
	if sum := all.InAim + all.Late + all.Refused + all.Failed; sum != all.Asked || all.Asked == 0 {
		t.Errorf("%d requests were asked and %d counted", all.Asked, sum)
	}
	var table, plot strings.Builder
	if err := result.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	result.WritePlot(&plot)
	if !strings.Contains(table.String(), "lookup") || !strings.Contains(plot.String(), "<polyline") {
		t.Errorf("table:\n%s\nplot:\n%s", table.String(), plot.String())
	}
}
