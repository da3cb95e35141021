package ticket_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/ticket"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "6623", "rapid.checks": "8000", "rapid.steps": "200", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// check compares what callers were told with what targets ran: no key runs
// twice, no request runs that was reported as "not run", each answer belongs to
// its request, and none starts after a final "may have run".
func (w *world) check() {
	ran := map[string]execution{}
	for _, e := range w.executions {
		if first, twice := ran[e.key]; twice {
			w.t.Fatalf("a key ran twice: %+v and %+v", first, e)
		}
		ran[e.key] = e
	}
	for _, h := range w.responses {
		e, ok := ran[h.key]
		switch {
		case h.notRun && ok && e.digest == h.digest:
			w.t.Fatalf("a request ran that was reported as not run: %+v, %+v", h, e)
		case h.answer != "" && (!ok || e.digest != h.digest || e.answer != h.answer):
			w.t.Fatalf("an answer does not belong to the request: %+v, %+v", h, e)
		case h.final && ok && e.began > h.when:
			w.t.Fatalf("a request started after a final reply: %+v, %+v", h, e)
		}
	}
}

// pick draws an element of the slice. With an empty slice, it skips the action.
func pick[T any](t *rapid.T, from []T, what string) T {
	if len(from) == 0 {
		t.Skip("none")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)]
}

// rarely skips five of six calls of an action.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rarely") != 0 {
		t.Skip("rare")
	}
}

func (w *world) issue(t *rapid.T) {
	home, witness := pick(t, w.nodes, "home"), pick(t, w.nodes, "witness")
	if home == witness || home.paused || home.stopping || witness.stopping {
		t.Skip("no pair")
	}
	l := home.ledgers[home.id][witness.id]
	if l == nil {
		l = ticket.NewLedger(home.id, witness.id, "kigali/a", home.homeBudget)
		home.addLedger(l)
	}
	w.counter++
	if prefix, ok := l.Issue(home.now(), w.counter); ok {
		w.prefixes = append(w.prefixes, prefix)
	}
}

func (w *world) request(t *rapid.T) {
	key := pick(t, w.prefixes, "prefix").Key(uint64(rapid.IntRange(1, 3).Draw(t, "number")))
	digest := ticket.Digest(max(1, rapid.IntRange(-6, 2).Draw(t, "digest")))
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		c := &requestCopy{key: key, digest: digest}
		w.copies = append(w.copies, c)
		w.toHome(c)
	}
}

// toHome sends a new copy to its home, or to the witness if the home was
// restarted.
func (w *world) toHome(c *requestCopy) {
	home := w.node(c.key.Prefix().Home())
	if home.id != c.key.Prefix().Home() {
		w.failOver(c)
		return
	}
	w.send(home, forward{c})
}

// deliver hands a message of the network to its receiver. A tenth of the messages
// is duplicated and a tenth lost.
func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		t.Skip("none")
	}
	at := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	m := w.network[at]
	if m.to.paused {
		t.Skip("paused")
	}
	action := rapid.IntRange(0, 9).Draw(t, "fate")
	if action != 0 {
		w.network = append(w.network[:at:at], w.network[at+1:]...)
	}
	if action != 1 {
		m.to.receive(m.body)
	}
}

// work ends a job at a target and reports its outcome to the ledger and the
// witness.
func (w *world) work(t *rapid.T) {
	if len(w.jobs) == 0 {
		t.Skip("none")
	}
	at := rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")
	j := w.jobs[at]
	w.jobs = append(w.jobs[:at:at], w.jobs[at+1:]...)
	result := rapid.SampledFrom([]string{"answered", "answered", "long", "ran and lost", "not run", "lost"}).Draw(t, "fate")
	outcome := unknown()
	answer := fmt.Sprintf("%s %d %d", j.key, j.digest, len(w.executions))
	if result == "long" {
		answer += strings.Repeat("-", 300)
	}
	switch result {
	case "answered", "long":
		outcome = ticket.Answered([]byte(answer))
	case "not run":
		outcome = ticket.Refused(errs.NotRun(errs.ReasonTargetBusy, 0, "busy"))
	}
	if result != "not run" && result != "lost" {
		w.executions = append(w.executions, execution{j.key.String(), j.digest, answer, j.began})
	}
	l := j.node.ledger(j.key)
	if j.incarnation != j.node.id.Incarnation() || j.node.paused || l == nil {
		return
	}
	if kept, ok := l.Finish(j.key, outcome); ok {
		j.node.resolve(j.key, outcome)
		w.send(w.node(j.key.Prefix().Witness()), report{j.key, kept})
	}
}

// timeout ends the wait of a home for an acknowledgement, or of an entry for a
// reply.
func (w *world) timeout(t *rapid.T) {
	c := pick(t, w.copies, "copy")
	home := w.node(c.key.Prefix().Home())
	if rapid.Bool().Draw(t, "at the home") && home.id == c.key.Prefix().Home() && !home.paused && home.ledger(c.key) != nil && len(home.waiters[c.key.String()]) > 0 {
		home.applyStepToAll(home.waiters[c.key.String()][0], home.ledger(c.key).Refuse(home.now(), c.key, errs.ReasonNoWitness, "no acknowledgement"))
		return
	}
	w.failOver(c)
}

// stop starts or continues the planned stop of a node.
func (w *world) stop(t *rapid.T) {
	rarely(t)
	n := pick(t, w.nodes, "node")
	if n.paused {
		t.Skip("paused")
	}
	n.stopping = true
	for _, l := range sorted(n.ledgers[n.id]) {
		if body, ok := l.Freeze(n.now()); ok {
			n.handovers[l] = body
		}
		if body, ok := n.handovers[l]; ok {
			w.send(w.node(l.Witness()), handover{body})
		}
	}
	for _, r := range sorted(n.records) {
		if body, ok := r.Release(n.now()); ok {
			w.send(w.node(body.Home), release{body})
		}
	}
}

// sorted returns the values in a fixed order, so that stored failures replay.
func sorted[T any](from map[ticket.ID]T) []T {
	ids := make([]ticket.ID, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Incarnation() < ids[j].Incarnation() })
	values := make([]T, 0, len(ids))
	for _, id := range ids {
		values = append(values, from[id])
	}
	return values
}

func (w *world) sweep(*rapid.T) {
	for _, n := range w.nodes {
		for home, ledgers := range n.ledgers {
			for witness, l := range ledgers {
				if l.Sweep(n.now()) {
					delete(n.ledgers[home], witness)
				}
			}
		}
		for home, r := range n.records {
			if r.Sweep(n.now()) {
				delete(n.records, home)
			}
		}
	}
}

// TestAtMostOnce simulates homes, witnesses and entries on a network that loses,
// duplicates and reorders messages, with kills, restarts, pauses and planned
// stops. After each step it checks what callers were told against what targets
// ran.
func TestAtMostOnce(t *testing.T) {
	answered, refusals, finals := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.UnixMilli(1_000_000)}
		for _, name := range []string{"a", "b", "c"} {
			clockOffset := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 25, 70}).Draw(t, "ahead")) * time.Second
			n := &node{world: w, clockOffset: clockOffset, id: ticket.NewID(place.Instance(name), 0)}
			n.start()
			w.nodes = append(w.nodes, n)
		}
		actions := map[string]func(*rapid.T){
			"issue": w.issue, "request": w.request, "work": w.work, "timeout": w.timeout, "stop": w.stop, "sweep": w.sweep,
			"deliver": w.deliver, "deliver 2": w.deliver, "deliver 3": w.deliver, "deliver 4": w.deliver, "deliver 5": w.deliver,
			"issue 2": w.issue, "request 2": w.request, "work 2": w.work, "work 3": w.work,
			"kill":  func(t *rapid.T) { rarely(t); pick(t, w.nodes, "node").start() },
			"pause": func(t *rapid.T) { rarely(t); n := pick(t, w.nodes, "node"); n.paused = !n.paused },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 11, 21, 70}).Draw(t, "s")) * time.Second)
			},
			"": func(*rapid.T) { w.step++; w.check() },
		}
		t.Repeat(actions)
		for _, h := range w.responses {
			answered += count(h.answer != "")
			refusals += count(h.notRun)
			finals += count(h.final)
		}
	})
	t.Logf("answers: %d, not run: %d, final: %d", answered, refusals, finals)
	if min(answered, refusals, finals) < 50 {
		t.Error("want at least 50 answers, 50 replies \"not run\" and 50 final replies")
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
