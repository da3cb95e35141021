package stub

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeaderShed is the header of an answer to a request that the target rejected
	// without running it.
	HeaderShed = "X-Shed"
	// ShedBeforeRun is the value of HeaderShed.
	ShedBeforeRun = "before-run"

	headerKey      = "Endivechute-Key"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerLimit    = "Server-Limit"
	coldFactor     = 4
	queueWaitMax   = time.Minute
	// crashTime is how long the port of a crashed target stays closed.
	crashTime = 300 * time.Millisecond
)

// Echo is the body of the answer to a request that ran.
type Echo struct {
	Target   string `json:"target"`
	Service  string `json:"service"`
	Key      string `json:"key"`
	Request  string `json:"request"`
	BodyHash string `json:"body_hash"`
}

// HashBody returns the body_hash of an Echo: the XXH64 hash of body in hexadecimal.
func HashBody(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (t *target) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if t.isDown() {
		panic(http.ErrAbortHandler)
	}
	if limit := t.namedLimit(); limit != "" {
		w.Header().Set(headerLimit, limit)
	}
	if status := t.acquireSlot(r); status != http.StatusOK {
		t.shedRequest(w, status)
		return
	}
	t.execute(r)
	if t.crashesUnder(r) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, body)
}

func (t *target) isDown() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults.Down
}

func (t *target) crashesUnder(r *http.Request) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults.CrashPath != "" && r.URL.Path == t.faults.CrashPath
}

func (t *target) namedLimit() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults.Limit
}

func (t *target) shedRequest(w http.ResponseWriter, status int) {
	t.mutex.Lock()
	t.shed++
	t.mutex.Unlock()
	w.Header().Set(HeaderShed, ShedBeforeRun)
	http.Error(w, "not run", status)
}

// acquireSlot waits for a slot and returns 200 when it has one. Otherwise it returns
// 503 if the queue is full, or 504 if the deadline passes first or is invalid.
func (t *target) acquireSlot(r *http.Request) int {
	wait := queueWaitMax
	if text := r.Header.Get(headerDeadline); text != "" {
		millis, err := strconv.Atoi(text)
		if err != nil || millis <= 0 {
			return http.StatusGatewayTimeout
		}
		wait = time.Duration(millis) * time.Millisecond
	}
	select {
	case t.slots <- struct{}{}:
		return http.StatusOK
	default:
	}
	if !t.joinQueue() {
		return http.StatusServiceUnavailable
	}
	defer t.leaveQueue()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case t.slots <- struct{}{}:
		return http.StatusOK
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
}

func (t *target) joinQueue() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.waiting >= t.queueMax {
		return false
	}
	t.waiting++
	return true
}

func (t *target) leaveQueue() {
	t.mutex.Lock()
	t.waiting--
	t.mutex.Unlock()
}

// execute simulates a run: it waits for the service time and then releases the slot.
// A GET or HEAD is canceled when its connection is closed; any other method runs to
// completion.
func (t *target) execute(r *http.Request) {
	index, duration := t.startExecution(r, time.Now())
	timer := time.NewTimer(duration)
	defer timer.Stop()
	canceled := false
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		select {
		case <-timer.C:
		case <-r.Context().Done():
			canceled = true
		}
	} else {
		<-timer.C
	}
	t.endExecution(index, canceled, time.Now())
	<-t.slots
}

func (t *target) startExecution(r *http.Request, now time.Time) (int, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
	t.mostRunning = max(t.mostRunning, t.running)
	t.log = append(t.log, Execution{
		Key: r.Header.Get(headerKey), Request: r.Header.Get(headerRequest),
		Target: string(t.name), BeganMillis: now.UnixMilli(),
	})
	duration := t.serviceTime
	if now.Before(t.coldUntil) {
		duration *= coldFactor
	}
	return len(t.log) - 1, duration + time.Duration(t.faults.SlowMillis)*time.Millisecond
}

func (t *target) endExecution(index int, canceled bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	t.log[index].EndedMillis = now.UnixMilli()
	t.log[index].Canceled = canceled
}

func (t *target) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	t.mutex.Lock()
	closeOnly := t.faults.CloseAfterRun > 0
	truncate := !closeOnly && t.faults.CutAnswer > 0
	if closeOnly {
		t.faults.CloseAfterRun--
	}
	if truncate {
		t.faults.CutAnswer--
	}
	t.mutex.Unlock()
	if closeOnly {
		panic(http.ErrAbortHandler)
	}
	echo := Echo{
		Target: string(t.name), Service: string(t.service), Key: r.Header.Get(headerKey),
		Request: r.Header.Get(headerRequest), BodyHash: HashBody(body),
	}
	w.Header().Set(headerRequest, echo.Request)
	if !truncate {
		writeJSON(w, echo)
		return
	}
	writeTruncated(w, echo)
}

// writeTruncated sends the Content-Length of the whole answer and half of its body,
// and closes the connection.
func writeTruncated(w http.ResponseWriter, echo Echo) {
	text, err := json.Marshal(echo)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
