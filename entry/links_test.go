package entry

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
)

// fatal is the common subset of *testing.T and *rapid.T.
type fatal interface {
	Helper()
	Fatal(args ...any)
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

func linkFleet(t fatal, mbit int) *config.Fleet {
	t.Helper()
	fleet, err := config.ParseFleet(fmt.Appendf(nil, `{"regions":{"kigali":{"in_flight_limit":9},"huye":{"in_flight_limit":9}},"links":[{"from":"kigali","to":"huye","mbit_per_s":%d}]}`, mbit))
	if err != nil {
		t.Fatal(err)
	}
	return fleet
}

var bothRegions = []place.Region{"kigali", "huye"}

// The requests and answers that the entries of a region send never exceed the
// usable share of the link's rate plus, for each entry, one burst and the largest
// excess of an answer over its expected size.
func TestLinkNeverOverItsRate(t *testing.T) {
	full := 0
	rapid.Check(t, func(t *rapid.T) {
		const mbit = 8 // a million bytes per second
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		shares := make([]links, entries)
		now := time.Duration(1)
		for i := range shares {
			shares[i].update("kigali", bothRegions, linkFleet(t, mbit), entries, now)
		}
		began, sent, excess := now, 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			l := &shares[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			size := int64(rapid.IntRange(1, RequestBytesMax).Draw(t, "size"))
			if rapid.Bool().Draw(t, "request") {
				if err := l.chargeRequest("huye", size, now); err == nil {
					sent += float64(size)
				} else {
					full++
				}
				continue
			}
			expected := l.share("huye").meanAnswer.Load()
			if settle, err := l.reserveAnswer("huye", func() time.Duration { return now }); err == nil {
				settle(size)
				sent += float64(size)
				excess = max(excess, float64(size-expected))
			}
		}
		bound := mbit*bitsPerMegabit/bitsPerByte*linkUsableShare*(now-began).Seconds() + float64(entries)*(linkBurstBytesMin+excess)
		if sent > bound {
			t.Fatalf("%.0f bytes were sent in %v, at most %.0f are allowed", sent, now-began, bound)
		}
	})
	if full == 0 {
		t.Error("the link was never full, so the test checked no limit")
	}
}

// A request that exceeds this entry's share of a link is refused with the verdict
// not-run, and is accepted after the time that the refusal states.
func TestLinkRefusesBeforeRun(t *testing.T) {
	var l links
	l.update("kigali", bothRegions, linkFleet(t, 8), 1, 1)
	for l.chargeRequest("huye", RequestBytesMax, 1) == nil {
	}
	err := l.chargeRequest("huye", RequestBytesMax, 1)
	refusal := errs.AsRefusal(err)
	if refusal.Verdict() != errs.VerdictNotRun || refusal.Reason() != errs.ReasonLinkFull || refusal.RetryAfter() < DefaultRetryAfter {
		t.Errorf("chargeRequest returned %v with the retry time %v", err, refusal.RetryAfter())
	}
	if err := l.chargeRequest("huye", RequestBytesMax, time.Duration(1)+refusal.RetryAfter()); err != nil {
		t.Errorf("after the retry time: %v", err)
	}
	if err := l.chargeRequest("musanze", RequestBytesMax, 1); err != nil {
		t.Errorf("link without a limit: %v", err)
	}
}
