package pick

import (
	"testing"
	"time"
)

// TestStreaming lets a caller take long to read a streamed answer. It guards against
// targets that then look slow and loaded, to this entry and to those that it tells.
func TestStreaming(t *testing.T) {
	const readTime = 10 * time.Second
	c, members, now := newTestChooser(), testFleet(1), time.Unix(1000, 0)
	attempt, err := c.Choose(members, testQuery("x"), now)
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(attempt.expected)
	attempt.Streaming(now)
	check := func(when string) {
		t.Helper()
		l := attempt.stats
		if load, slowdown := l.load(now), l.currentSlowdown(now); load != 0 || slowdown > 1.1 {
			t.Errorf("%s: load %v and slowdown %v, want 0 and 1", when, load, slowdown)
		}
	}
	now = now.Add(readTime)
	check("while it is read")
	attempt.Done(Answered{}, nil, 0, now)
	check("after it was read")
	if told := c.Observations(1, anyObservation, now); len(told) > 0 {
		t.Errorf("others are told of %+v", told)
	}
}
