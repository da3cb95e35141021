package sender_test

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The goroutine of fasthttp that closes idle connections ends only some time
	// after the last use of the client, and sleeps until then.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("time.Sleep"))
}
