package sender_test

import (
	"testing"
	"time"

	"github.com/endivechute/endivechute/sender"
)

// TestKeepsConnectionPastDeadline checks that the deadline of a request is cleared
// when its connection returns to the pool, so that the next request can reuse it.
func TestKeepsConnectionPastDeadline(t *testing.T) {
	address := startStub(t, 4, 0)
	c := client(t, address, 4)
	const deadline = 30 * time.Millisecond
	for range 3 {
		if _, err := c.Do(t.Context(), sender.NewRequest("GET", "/loans", time.Now().Add(deadline))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * deadline)
	}
	if got := c.Dials(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
}
