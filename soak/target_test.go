package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/platform/fakes"
)

const (
	// targetSlots is how many requests a target runs at once, as the stand-in's
	// entry in the store says, and targetQueue how many more wait.
	targetSlots = 4
	targetQueue = 8
	targetWork  = 15 * time.Millisecond
)

// conduct is how a target behaves; the shares are parts of its requests.
type conduct struct {
	work                      time.Duration
	fail, lose, spoil, double float64
}

// target is a stand-in of a target behind a link.
type target struct {
	name, service, zone string
	fake                *fakes.Target
	link                *link
	record              *record
	slots               chan struct{}
	waiting             atomic.Int64
	conduct             atomic.Pointer[conduct]
	born                int
	// gone tells that nothing may be changed about the target any more.
	gone bool
}

func newTarget(name, service, zone string, r *record) (*target, error) {
	t := &target{name: name, service: service, zone: zone, fake: fakes.NewTarget(name), record: r, slots: make(chan struct{}, targetSlots), born: 1}
	t.conduct.Store(&conduct{work: targetWork})
	t.fake.Serve(t.serve)
	var err error
	t.link, err = newLink(t.fake.Address())
	return t, err
}

// spec returns the target's entry in the store.
func (t *target) spec(state string) string {
	return fakes.SpecAt(t.link.address(), t.service, t.zone, state, 0, t.born)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path == "/health" || !t.fake.Meant(r) {
		return false
	}
	a := &arrival{id: fakes.RequestID(r.Header), target: t.name, service: t.service, at: t.record.now()}
	t.record.note(func() { t.record.arrivals = append(t.record.arrivals, a) })
	defer t.waiting.Add(-1)
	if t.waiting.Add(1) > targetSlots+targetQueue {
		t.fake.Shed(w, r)
		t.record.note(func() { a.answered = true })
		return true
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return true
	}
	defer func() { <-t.slots }()
	work := t.conduct.Load().work
	t.record.note(func() { a.ran, a.work = true, work })
	defer func() { t.record.note(func() { a.ended = t.record.now() }) }()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return true
	}
	t.answer(w, r, a)
	return true
}

// answer ends a request as the target's conduct has it.
func (t *target) answer(w http.ResponseWriter, r *http.Request, a *arrival) {
	c, draw := t.conduct.Load(), rand.Float64()
	body := answerTo(a.id)
	running := len(t.slots)
	t.fake.Tell(running, max(0, int(t.waiting.Load())-running), targetSlots)
	head := "HTTP/1.1 200 OK\r\n" + fakes.Names + a.id + "\r\n" + fakes.Signed + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch {
	case draw < c.lose:
		raw(w)
	case draw < c.lose+c.spoil:
		raw(w, head+body[:len(body)/2])
	case draw < c.lose+c.spoil+c.double:
		raw(w, head+body, head+body)
	case draw < c.lose+c.spoil+c.double+c.fail:
		t.fake.Answer(w, r, http.StatusInternalServerError, "failed")
	default:
		t.fake.Answer(w, r, http.StatusOK, body)
		t.record.note(func() { a.answered = true })
	}
}

func answerTo(id string) string { return "answer to " + id }

// raw writes texts in place of an answer, one after the other, and closes the
// connection. The second may come where the next answer is due.
func raw(w http.ResponseWriter, texts ...string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	for _, text := range texts {
		_, _ = io.WriteString(conn, text)
		time.Sleep(2 * targetWork)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(targetWork)
	_ = conn.Close()
}

func (t *target) close() {
	t.link.close()
	t.fake.Close()
}

func (t *target) String() string { return fmt.Sprintf("target %s of %s", t.name, t.service) }
