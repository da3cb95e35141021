package soak

import (
	"slices"
	"sync"
	"time"
)

// span is a stretch of the run; times are counted from its start.
type span struct{ from, to time.Duration }

// forever ends a span that is still open.
const forever = time.Hour

// call is one attempt of a client.
type call struct {
	id string
	// once tells that the request may run once only.
	once bool
	node string
	// sent is when the last byte left, 0 if none did, and ended when the answer
	// was there or the connection failed.
	begun, sent, ended time.Duration
	status             int
	body               string
	err                error
	// left tells that the client closed the connection by itself.
	left bool
}

// arrival is a request at a target.
type arrival struct {
	id, target, service string
	at                  time.Duration
	ran                 bool
	// work is how long the request would take, and ended when the target was
	// done with it.
	work, ended time.Duration
	// answered tells that the target ended the request with an answer.
	answered bool
}

// change is one change by the operator or of a target, with the time of the
// store's acknowledgement.
type change struct {
	at      time.Duration
	version int
	service string
	target  string
}

// record is all that clients, targets and the operator saw, and when something
// was disturbed.
type record struct {
	start time.Time

	mu       sync.Mutex
	calls    []*call
	arrivals []*arrival
	configs  []change
	leaving  []change
	troubles map[string][]span
	story    []string
}

func newRecord() *record { return &record{start: time.Now(), troubles: map[string][]span{}} }

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) note(run func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run()
}

// trouble notes that something is disturbed until the function that it returns
// is called.
func (r *record) trouble(who, what string) (over func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.troubles[who] = append(r.troubles[who], span{now, forever})
	i := len(r.troubles[who]) - 1
	r.story = append(r.story, now.Round(time.Millisecond).String()+" "+who+": "+what)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.troubles[who][i].to = r.now()
		r.story = append(r.story, r.troubles[who][i].to.Round(time.Millisecond).String()+" "+who+": end of "+what)
	}
}

// calm tells whether none of those named was disturbed between the times.
func (r *record) calm(from, to time.Duration, who ...string) bool {
	for _, name := range who {
		if slices.ContainsFunc(r.troubles[name], func(s span) bool { return s.from <= to && from <= s.to }) {
			return false
		}
	}
	return true
}

// at returns the arrivals of each request.
func (r *record) byID() map[string][]*arrival {
	found := map[string][]*arrival{}
	for _, a := range r.arrivals {
		found[a.id] = append(found[a.id], a)
	}
	return found
}
