package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	// targetSlots is how many requests a target runs at once, the same number as
	// in the target's entry in the store; targetQueue is how many more may wait.
	targetSlots       = 4
	targetQueue       = 8
	targetServiceTime = 15 * time.Millisecond
)

// behavior is how a target handles requests. The shares are the shares of
// requests that get an error, no answer, a truncated answer, two answers and a malformed
// one.
type behavior struct {
	serviceTime                                                         time.Duration
	failShare, dropShare, truncateShare, duplicateShare, malformedShare float64
	// pause, if set, makes the target reject all requests and ask for a pause.
	pause time.Duration
	// announces makes the target announce in its answers that it leaves.
	announces bool
	// limit, if set, is the limit that the target names in its answers, in requests
	// per second.
	limit float64
}

// target is a simulated target behind a link.
type target struct {
	name, service, zone string
	fake                *fakes.Target
	link                *link
	record              *record
	slots               chan struct{}
	waiting             atomic.Int64
	behavior            atomic.Pointer[behavior]
	born                int
	crashing            atomic.Bool
	// restarted is called when another process of the target has started.
	restarted func()
	// leaving is set once the target was chosen to crash or to drain; no other
	// fault is injected into it from then on.
	leaving bool
	// state is the target's state in the store, "" if it isn't there. mu of the
	// testbed guards it.
	state string
}

func newTarget(name, service, zone string, r *record) (*target, error) {
	t := &target{name: name, service: service, zone: zone, fake: fakes.NewTarget(name), record: r, slots: make(chan struct{}, targetSlots), born: 1}
	t.behavior.Store(&behavior{serviceTime: targetServiceTime})
	t.fake.SetHandler(t.serve)
	var err error
	t.link, err = newLink(t.fake.Address())
	return t, err
}

// spec returns the target's entry in the store.
func (t *target) spec(state string) string {
	return fakes.SpecAt(t.link.address(), t.service, t.zone, state, 0, t.born)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path == "/health" || !t.fake.Accepts(r) {
		return false
	}
	a := &arrival{id: fakes.RequestID(r.Header), target: t.name, service: t.service, at: t.record.now()}
	t.record.update(func() { t.record.arrivals = append(t.record.arrivals, a) })
	if r.URL.Path == poisonPath {
		time.Sleep(targetServiceTime)
		t.record.update(func() { a.ran, a.crashed = true, t.record.now() })
		t.crash()
		panic(http.ErrAbortHandler)
	}
	conduct := t.behavior.Load()
	if conduct.announces {
		w.Header().Set("Server-Leaving", "1")
	}
	if conduct.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(conduct.limit, 'f', -1, 64))
		defer func() { t.record.update(func() { a.limit, a.limitNamed = conduct.limit, t.record.now() }) }()
	}
	if conduct.pause > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(conduct.pause.Seconds()))
		t.fake.RespondNotRun(w, r)
		t.record.update(func() { a.answered, a.pause, a.ended = true, conduct.pause, t.record.now() })
		return true
	}
	defer t.waiting.Add(-1)
	if t.waiting.Add(1) > targetSlots+targetQueue {
		t.fake.RespondNotRun(w, r)
		t.record.update(func() { a.answered = true })
		return true
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return true
	}
	defer func() { <-t.slots }()
	work := t.behavior.Load().serviceTime
	t.record.update(func() { a.ran, a.serviceTime = true, work })
	defer func() { t.record.update(func() { a.ended = t.record.now() }) }()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return true
	}
	t.answer(w, r, a)
	return true
}

// answer ends a request as the target's behavior says.
func (t *target) answer(w http.ResponseWriter, r *http.Request, a *arrival) {
	c, draw := t.behavior.Load(), rand.Float64()
	body := answerBody(a.id)
	running := len(t.slots)
	t.fake.SetLoad(running, max(0, int(t.waiting.Load())-running), targetSlots)
	fields := fakes.RequestIDHeader + a.id + "\r\n" + fakes.StampHeader + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\n" + fields
	switch {
	case draw < c.dropShare:
		writeRaw(w)
	case draw < c.dropShare+c.truncateShare:
		writeRaw(w, head+body[:len(body)/2])
	case draw < c.dropShare+c.truncateShare+c.duplicateShare:
		writeRaw(w, head+body, head+body)
	case draw < c.dropShare+c.truncateShare+c.duplicateShare+c.malformedShare:
		// The text isn't the one that a client takes for the answer.
		writeRaw(w, malformedHeads[rand.IntN(len(malformedHeads))]+fields+strings.ToUpper(body))
	case draw < c.dropShare+c.truncateShare+c.duplicateShare+c.malformedShare+c.failShare:
		t.fake.Respond(w, r, http.StatusInternalServerError, "failed")
	default:
		t.fake.Respond(w, r, http.StatusOK, body)
		t.record.update(func() { a.answered, a.announced = true, w.Header().Get("Server-Leaving") != "" })
	}
}

// malformedHeads begin answers that are not valid HTTP.
var malformedHeads = []string{
	"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 999 Trouble\r\n", "HTTP/1.1 200 OK\r\nX Bad: v\r\n", "HTTP/1.1 200 OK\r\nX-\x01Bad: v\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad: v\r\n Content-Length: 1\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding : chunked\r\n",
}

func answerBody(id string) string { return "answer to " + id }

// writeRaw writes each text to the connection in place of an answer and closes
// the connection. A second text may be read as the answer to the next request.
func writeRaw(w http.ResponseWriter, texts ...string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	for _, text := range texts {
		_, _ = io.WriteString(conn, text)
		time.Sleep(2 * targetServiceTime)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(targetServiceTime)
	_ = conn.Close()
}

func (t *target) close() {
	t.link.close()
	t.fake.Close()
}

func (t *target) String() string { return fmt.Sprintf("target %s of %s", t.name, t.service) }
