package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// The bounds of the contracts in the settings of the instances, and what the
// platform's pages allow beyond them.
const (
	recoverTime = 15 * time.Second
	stability   = 3 * time.Second
	configApply = 2 * time.Second
	rollback    = 250 * time.Millisecond
	timeoutMore = 500 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
	goneSlack   = 500 * time.Millisecond
	goneMost    = 3
	attempts    = 2
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 100
)

// check holds what clients, targets and the operator saw against what the pages
// promise.
func (w *world) check(t *testing.T) {
	t.Helper()
	r := w.record
	r.mu.Lock()
	defer r.mu.Unlock()
	arrivals := r.byID()
	known := make(map[string]*call, len(r.calls))
	for _, c := range r.calls {
		known[c.id] = c
		checkCall(t, r, c, arrivals[c.id])
	}
	for id := range arrivals {
		if known[id] == nil {
			t.Errorf("UNASKED: a target ran request %s, which no client sent", id)
		}
	}
	checkDrain(t, r, known)
	checkConfig(t, r, known)
	checkGone(t, r, known)
	checkBudget(t, arrivals)
}

func checkCall(t *testing.T, r *record, c *call, arrivals []*arrival) {
	t.Helper()
	runs := 0
	targets := map[string]bool{}
	for _, a := range arrivals {
		if a.ran {
			runs++
		}
		targets[a.target] = true
	}
	switch {
	case c.once && runs > 1:
		t.Errorf("TWICE: request %s ran %d times", c.id, runs)
	case len(targets) > attempts+1:
		t.Errorf("BUDGET: request %s reached %d targets, at most %d are allowed", c.id, len(targets), attempts)
	}
	switch c.status {
	case http.StatusOK:
		if c.body != answerTo(c.id) || runs == 0 {
			t.Errorf("MIXED: request %s ran %d times and got %q", c.id, runs, c.body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			t.Errorf("REFUSED: request %s got %d from %s, which says that it did not run, and ran", c.id, c.status, c.node)
		}
	case http.StatusNotFound:
		t.Errorf("DENIED: request %s got 404 from %s, though its route was always there", c.id, c.node)
	}
	checkEnd(t, r, c, len(arrivals) > 0)
	checkBrokenOff(t, r, c, arrivals)
}

// checkBrokenOff looks for requests that were given up, and answered in the
// target's place, while the target was at work on them.
func checkBrokenOff(t *testing.T, r *record, c *call, arrivals []*arrival) {
	t.Helper()
	own := c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout
	if !own || c.ended-c.begun > routeTimeout || !r.calm(c.begun-stability, c.ended, c.node, ownTime) {
		return
	}
	for _, a := range arrivals {
		if a.ran && a.at+a.work > c.ended && r.calm(c.begun, c.ended, a.target) {
			t.Errorf("LOST: request %s, sent to %s at %v, got %d after %v while target %s was at work", c.id, c.node, c.begun, c.status, c.ended-c.begun, a.target)
		}
	}
}

// checkEnd looks at how a call ended at an instance that nothing disturbed but
// a planned stop.
func checkEnd(t *testing.T, r *record, c *call, reached bool) {
	t.Helper()
	if c.ended == 0 || c.sent == 0 || !r.calm(c.begun-stability, c.ended, c.node, ownTime) {
		return
	}
	took := c.ended - c.sent
	switch {
	case c.status > 0 && took > routeTimeout+timeoutMore, c.left && took > routeTimeout+timeoutMore:
		t.Errorf("TIMEOUT: request %s, sent to %s at %v, had no answer %v after it was sent", c.id, c.node, c.begun, took)
	case c.err != nil && !c.left && (reached || took > lossSlack):
		t.Errorf("LOST: request %s, sent to %s at %v, ended after %v without an answer (at a target: %v): %v", c.id, c.node, c.begun, took, reached, c.err)
	}
}

func checkDrain(t *testing.T, r *record, known map[string]*call) {
	t.Helper()
	left := map[string]time.Duration{}
	for _, l := range r.leaving {
		left[l.target] = l.at
	}
	for _, a := range r.arrivals {
		at, leaving := left[a.target]
		c := known[a.id]
		if !leaving || c == nil || a.at <= at+drainTimeout {
			continue
		}
		if r.calm(min(c.begun, a.at)-stability, a.at, c.node, c.node+" stop", theStore, ownTime) {
			t.Errorf("DRAIN: request %s from %s reached target %s %v after its leaving was acknowledged", a.id, c.node, a.target, a.at-at)
		}
	}
}

// checkConfig looks for requests that ran as only an older version allows, and
// for instances that went back.
func checkConfig(t *testing.T, r *record, known map[string]*call) {
	t.Helper()
	type seen struct {
		at      time.Duration
		version int
	}
	newest := map[string]seen{}
	arrivals := slices.Clone(r.arrivals)
	slices.SortFunc(arrivals, func(a, b *arrival) int { return int(a.at - b.at) })
	for _, a := range arrivals {
		c := known[a.id]
		if c == nil {
			continue
		}
		version, due := 0, 0
		for _, v := range r.configs {
			if v.service == a.service && v.at <= a.at {
				version = v.version
			}
			if c.begun > v.at+configApply {
				due = v.version
			}
		}
		if version == 0 {
			t.Errorf("ROUTE: request %s ran at service %s, to which no version led yet", a.id, a.service)
		}
		if version < due && r.calm(c.begun-stability, a.at, c.node, c.node+" stop", theStore, ownTime) {
			t.Errorf("CONFIG: request %s, sent to %s at %v, ran as version %d has it, though %d was due", a.id, c.node, c.begun, version, due)
		}
		before := newest[c.node]
		if version < before.version && c.begun > before.at+rollback && r.calm(before.at, a.at, c.node, c.node+" stop") {
			t.Errorf("CONFIG: %s went back from version %d to %d at %v", c.node, before.version, version, a.at)
		}
		if version > before.version {
			newest[c.node] = seen{a.at, version}
		}
	}
}

func checkGone(t *testing.T, r *record, known map[string]*call) {
	t.Helper()
	late, lasting, lasted := 0, 0, 0
	for _, a := range r.arrivals {
		c := known[a.id]
		if c == nil || !c.left || !r.calm(c.begun-stability, max(a.at, c.ended+goneSlack), c.node, a.target, ownTime) {
			continue
		}
		if a.at > c.ended+goneSlack {
			late++
		}
		if !c.once && a.ran && a.at+a.work > c.ended+goneSlack {
			lasting++
			if a.ended > c.ended+goneSlack {
				lasted++
			}
		}
	}
	if late > goneMost {
		t.Errorf("GONE: %d requests reached a target over %v after their clients left", late, goneSlack)
	}
	if lasted > goneMost && lasted > lasting/4 {
		t.Errorf("GONE: targets were at work on %d of %d requests over %v after their clients left", lasted, lasting, goneSlack)
	}
}

// checkBudget counts the arrivals beyond the first of each request in windows.
func checkBudget(t *testing.T, arrivals map[string][]*arrival) {
	t.Helper()
	firsts, extras := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, each := range arrivals {
		slices.SortFunc(each, func(a, b *arrival) int { return int(a.at - b.at) })
		firsts[each[0].service] = append(firsts[each[0].service], each[0].at)
		for _, a := range each[1:] {
			extras[a.service] = append(extras[a.service], a.at)
		}
	}
	for service, times := range extras {
		for _, from := range times {
			within := func(times []time.Duration, from time.Duration) (n float64) {
				for _, at := range times {
					if at >= from && at < from+retryWindow {
						n++
					}
				}
				return n
			}
			asked := max(within(firsts[service], from), within(firsts[service], from-retryWindow), within(firsts[service], from-retryWindow/2))
			if extra := within(times, from); extra > retryRatio*asked+retrySlack {
				t.Errorf("BUDGET: service %s got %.0f repeats for %.0f requests in one window", service, extra, asked)
				break
			}
		}
	}
}
