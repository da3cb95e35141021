package sender_test

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The pool of fasthttp looks for idle connections until its clients are
	// unused for a while; it holds nothing of ours.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("time.Sleep"))
}
