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
	// HeaderShed marks an answer by which the target says that it did not run
	// the request.
	HeaderShed = "X-Shed"
	// ShedBeforeRun is the value of HeaderShed.
	ShedBeforeRun = "before-run"

	headerKey      = "Endivechute-Key"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	coldFactor     = 4
	waitMax        = time.Minute
)

// Echo is the answer to a request that ran.
type Echo struct {
	Target   string `json:"target"`
	Service  string `json:"service"`
	Key      string `json:"key"`
	Request  string `json:"request"`
	BodyHash string `json:"body_hash"`
}

// HashBody returns the body_hash of an Echo.
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
	if status := t.take(r); status != http.StatusOK {
		t.refuse(w, status)
		return
	}
	t.run(r)
	t.answer(w, r, body)
}

func (t *target) isDown() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults.Down
}

func (t *target) refuse(w http.ResponseWriter, status int) {
	t.mutex.Lock()
	t.shed++
	t.mutex.Unlock()
	w.Header().Set(HeaderShed, ShedBeforeRun)
	http.Error(w, "not run", status)
}

// take waits for a slot and returns 200 once it has one, or the status of the
// refusal.
func (t *target) take(r *http.Request) int {
	wait := waitMax
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

// run spends the service time in the slot. A read (GET or HEAD) whose
// connection is closed is cut short; anything else runs to its end once begun.
func (t *target) run(r *http.Request) {
	index, spend := t.begin(r, time.Now())
	timer := time.NewTimer(spend)
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
	t.end(index, canceled, time.Now())
	<-t.slots
}

func (t *target) begin(r *http.Request, now time.Time) (int, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
	t.mostRunning = max(t.mostRunning, t.running)
	t.log = append(t.log, Execution{
		Key: r.Header.Get(headerKey), Request: r.Header.Get(headerRequest),
		Target: string(t.name), BeganMillis: now.UnixMilli(),
	})
	spend := t.serviceTime
	if now.Before(t.coldUntil) {
		spend *= coldFactor
	}
	return len(t.log) - 1, spend + time.Duration(t.faults.SlowMillis)*time.Millisecond
}

func (t *target) end(index int, canceled bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	t.log[index].EndedMillis = now.UnixMilli()
	t.log[index].Canceled = canceled
}

func (t *target) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	t.mutex.Lock()
	silent := t.faults.CloseAfterRun > 0
	cut := !silent && t.faults.CutAnswer > 0
	if silent {
		t.faults.CloseAfterRun--
	}
	if cut {
		t.faults.CutAnswer--
	}
	t.mutex.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
	echo := Echo{
		Target: string(t.name), Service: string(t.service), Key: r.Header.Get(headerKey),
		Request: r.Header.Get(headerRequest), BodyHash: HashBody(body),
	}
	w.Header().Set(headerRequest, echo.Request)
	if !cut {
		reply(w, echo)
		return
	}
	cutReply(w, echo)
}

// cutReply announces the whole answer, sends half of it and closes.
func cutReply(w http.ResponseWriter, echo Echo) {
	text, err := json.Marshal(echo)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
