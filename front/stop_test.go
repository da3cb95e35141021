package front_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/platform/fakes"
)

// TestStopUnderLoad stops an instance while clients go on sending requests: on kept
// connections until they are closed, and on new ones, which they open as long as
// look-ups may name the instance. The first request on a new connection comes up
// to 100 ms later. Each request that was sent must be answered.
func TestStopUnderLoad(t *testing.T) {
	const (
		kept    = 20
		fresh   = 20
		workers = kept + fresh
		running = 5 * time.Millisecond
		delay   = 100 * time.Millisecond
		// lookupsExpire is half of the grace period, 2 s here.
		lookupsExpire = time.Second
		margin        = 20 * time.Millisecond
	)
	w := newTestEnv(t)
	w.handleAll(func(*fakes.Target, http.ResponseWriter, *http.Request) bool {
		time.Sleep(running)
		return false
	})
	var stopped atomic.Bool
	var stoppedAt time.Time
	var mu sync.Mutex
	answered, cut := 0, map[string]int{}
	var tasks conc.WaitGroup
	for i := range workers {
		tasks.Go(func() {
			var conn net.Conn
			for n := 0; ; n++ {
				reused := conn != nil
				if !reused {
					if stopped.Load() && time.Since(stoppedAt) > lookupsExpire-margin {
						return
					}
					var err error
					if conn, err = net.Dial("tcp", w.address()); err != nil {
						t.Errorf("the port is closed although look-ups may name it: %v", err)
						return
					}
					time.Sleep(time.Duration(rand.Int64N(int64(delay))))
				}
				status, closes, err := exchange(conn, fmt.Sprintf("r%d-%d", i, n))
				mu.Lock()
				if err == nil && status == http.StatusOK {
					answered++
				} else {
					cut[fmt.Sprintf("status %d, on a reused connection: %v, %.30v", status, reused, err)]++
				}
				mu.Unlock()
				if err != nil || closes || i >= kept {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stoppedAt = time.Now()
	stopped.Store(true)
	w.stop()
	tasks.Wait()
	<-w.ended
	if len(cut) > 0 || answered < workers {
		t.Errorf("%d requests were answered; not answered: %v", answered, cut)
	}
}

// exchange sends a request on a connection and reads its answer. closes reports
// whether the answer says that the connection is closed after it.
func exchange(conn net.Conn, id string) (status int, closes bool, err error) {
	const timeout = 3 * time.Second
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, false, err
	}
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\n%s%s\r\nContent-Length: 4\r\n\r\nbody", fakes.RequestIDHeader, id)
	if err != nil {
		return 0, false, fmt.Errorf("writing failed: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, fmt.Errorf("reading failed: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}
