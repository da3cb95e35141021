package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/endivechute/endivechute/wait"
)

func TestWoken(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	woken := make(chan struct{}, 1)
	woken <- struct{}{}
	tests := map[string]struct {
		ctx   context.Context
		pause time.Duration
		wake  chan struct{}
		want  bool
	}{
		"time over":       {context.Background(), time.Nanosecond, nil, true},
		"woken":           {context.Background(), time.Hour, woken, true},
		"context over":    {canceled, time.Hour, nil, false},
		"both are over":   {canceled, time.Nanosecond, nil, false},
		"no pause at all": {context.Background(), 0, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := wait.SleepOrWake(test.ctx, test.pause, test.wake); got != test.want {
				t.Errorf("Woken() = %v, want %v", got, test.want)
			}
		})
	}
}
