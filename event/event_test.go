package event_test

import (
	"fmt"
	"time"

	"github.com/endivechute/endivechute/event"
)

// ExampleQueue shows that functions of the same time run in the order in which
// they were scheduled.
func ExampleQueue() {
	var q event.Queue
	say := func(what string) func() { return func() { fmt.Println(q.Now(), what) } }
	q.After(2*time.Second, say("last"))
	q.After(time.Second, say("first"))
	q.After(time.Second, func() {
		fmt.Println(q.Now(), "second")
		q.After(time.Hour, say("after the end"))
	})
	q.Run(time.Minute)
	// Output:
	// 1s first
	// 1s second
	// 2s last
}
