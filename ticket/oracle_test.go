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

// execution and told are the oracle's log: what targets ran, and what callers
// heard. The oracle looks at these only.
type execution struct {
	key    string
	digest ticket.Digest
	answer string
	began  int
}

type told struct {
	key    string
	digest ticket.Digest
	answer string
	notRun bool
	final  bool
	when   int
}

type job struct {
	node        *node
	incarnation uint64
	key         ticket.Key
	digest      ticket.Digest
	began       int
}

// message waits in the network; body is one of the types below.
type message struct {
	to   *node
	body any
}

type (
	lead     struct{ copied *copied }
	record   struct{ request *copied }
	recorded struct {
		request *copied
		reply   ticket.RecordReply
	}
	report struct {
		key     ticket.Key
		outcome ticket.Outcome
	}
	confirmed struct{ key ticket.Key }
	seal      struct{ copied *copied }
	handover  struct{ body ticket.Handover }
	handed    struct {
		body     ticket.Handover
		accepted bool
	}
	release struct{ body ticket.Release }
)

// copied is one copy of a request at an entry. stage 0 waits for the home, 1
// for the witness, 2 for the successor, 3 is over.
type copied struct {
	key    ticket.Key
	digest ticket.Digest
	stage  int
}

type node struct {
	world       *world
	id          ticket.ID
	ahead       time.Duration
	paused      bool
	stopping    bool
	ledgers     map[ticket.ID]map[ticket.ID]*ticket.Ledger
	records     map[ticket.ID]*ticket.Records
	handovers   map[*ticket.Ledger]ticket.Handover
	waiters     map[string][]*copied
	held        []*copied
	homeBudget  *ticket.Budget
	witnessPart *ticket.Budget
}

type world struct {
	t        *rapid.T
	now      time.Time
	step     int
	nodes    []*node
	prefixes []ticket.Prefix
	copies   []*copied
	net      []message
	jobs     []*job
	ran      []execution
	heard    []told
	started  uint64
}

var limits = ticket.Limits{PrefixLife: 20 * time.Second, KeepTime: 60 * time.Second, KeysMax: 4, AnswerBytesMax: 200, BytesMax: 700}

const bound = 10 * time.Second

func (n *node) start() {
	n.world.started++
	*n = node{
		world: n.world, ahead: n.ahead, id: ticket.NewID(n.id.Instance(), n.world.started),
		ledgers: map[ticket.ID]map[ticket.ID]*ticket.Ledger{}, records: map[ticket.ID]*ticket.Records{},
		handovers: map[*ticket.Ledger]ticket.Handover{}, waiters: map[string][]*copied{},
		homeBudget: ticket.NewBudget(limits), witnessPart: ticket.NewBudget(limits),
	}
}

// now is the time by the node's own clock.
func (n *node) now() time.Time { return n.world.now.Add(n.ahead) }

func (w *world) node(id ticket.ID) *node {
	for _, n := range w.nodes {
		if n.id.Instance() == id.Instance() {
			return n
		}
	}
	panic("no such instance")
}

func (w *world) send(to *node, body any) { w.net = append(w.net, message{to, body}) }

// tell gives a copy its end. Only the first end of a copy counts.
func (w *world) tell(c *copied, outcome ticket.Outcome, final bool) {
	if c.stage == 3 {
		return
	}
	c.stage = 3
	heard := told{key: c.key.String(), digest: c.digest, answer: string(outcome.Answer()), final: final, when: w.step}
	heard.notRun = outcome.Refusal() != nil && outcome.Refusal().Verdict() == errs.VerdictNotRun
	w.heard = append(w.heard, heard)
}

func unknown() ticket.Outcome {
	return ticket.Refused(errs.MayHaveRun(errs.ReasonLostHome, "unknown"))
}

func (n *node) ledger(key ticket.Key) *ticket.Ledger {
	return n.ledgers[key.Prefix().Home()][key.Prefix().Witness()]
}

func (n *node) own(l *ticket.Ledger) {
	if n.ledgers[l.Home()] == nil {
		n.ledgers[l.Home()] = map[ticket.ID]*ticket.Ledger{}
	}
	n.ledgers[l.Home()][l.Witness()] = l
}

// take leads a copy through the ledger of this node, if it has that.
func (n *node) take(c *copied) {
	l := n.ledger(c.key)
	if l == nil {
		n.world.next(c)
		return
	}
	n.follow(c, l.Arrive(n.now(), c.key, c.digest, bound))
}

func (n *node) follow(c *copied, step ticket.Step) {
	text := c.key.String()
	switch s := step.(type) {
	case ticket.StepRecord:
		n.waiters[text] = append(n.waiters[text], c)
		n.world.send(n.world.node(c.key.Prefix().Witness()), record{c})
	case ticket.StepRun:
		n.waiters[text] = append(n.waiters[text], c)
		n.world.jobs = append(n.world.jobs, &job{n, n.id.Incarnation(), c.key, c.digest, n.world.step})
	case ticket.StepJoin:
		n.waiters[text] = append(n.waiters[text], c)
	case ticket.StepHold:
		n.held = append(append(n.held, c), n.waiters[text]...)
		delete(n.waiters, text)
	case ticket.StepMoved:
		n.world.next(c)
	case ticket.StepDone:
		n.world.tell(c, s.Outcome(), false)
	}
}

// next is what an entry does when the home, and then the successor, is gone.
func (w *world) next(c *copied) {
	switch c.stage {
	case 0:
		c.stage = 1
		w.send(w.node(c.key.Prefix().Witness()), seal{c})
	case 1, 2:
		w.tell(c, unknown(), false)
	}
}

func (n *node) resolve(key ticket.Key, outcome ticket.Outcome) {
	for _, c := range n.waiters[key.String()] {
		n.world.tell(c, outcome, false)
	}
	delete(n.waiters, key.String())
}

func (n *node) witness(home ticket.ID) *ticket.Records {
	if n.records[home] == nil {
		n.records[home] = ticket.NewRecords(n.id, home, n.witnessPart)
	}
	return n.records[home]
}

func (n *node) receive(body any) {
	w := n.world
	switch m := body.(type) {
	case lead:
		n.take(m.copied)
	case record:
		key := m.request.key
		reply := n.witness(key.Prefix().Home()).Record(n.now(), key, m.request.digest, bound)
		w.send(w.node(key.Prefix().Home()), recorded{m.request, reply})
	case recorded:
		n.takeRecorded(m)
	case report:
		n.witness(m.key.Prefix().Home()).Report(m.key, m.outcome)
		if l := n.ledger(m.key); l != nil {
			if outcome, ended := l.Outcome(m.key); ended {
				n.resolve(m.key, outcome)
			}
		}
		w.send(w.node(m.key.Prefix().Home()), confirmed{m.key})
	case confirmed:
		if l := n.ledger(m.key); l != nil {
			l.Reported(m.key)
		}
	case seal:
		n.takeSeal(m.copied)
	case handover:
		n.takeHandover(m.body)
	case handed:
		n.takeHanded(m)
	case release:
		if l := n.ledgers[m.body.Home][m.body.Witness]; l != nil {
			l.Release(m.body)
		}
	}
}

func (n *node) takeRecorded(m recorded) {
	key := m.request.key
	l := n.ledger(key)
	if l == nil || key.Prefix().Home() != n.id {
		return
	}
	step := l.Acknowledge(n.now(), key)
	if m.reply != ticket.RecordAcknowledged {
		step = l.Refuse(n.now(), key, errs.ReasonNoWitness, m.reply.String())
	}
	n.takeStep(m.request, step)
}

// takeStep follows a step that concerns every waiter of a key.
func (n *node) takeStep(c *copied, step ticket.Step) {
	switch s := step.(type) {
	case ticket.StepRun:
		n.world.jobs = append(n.world.jobs, &job{n, n.id.Incarnation(), c.key, c.digest, n.world.step})
	case ticket.StepDone:
		n.resolve(c.key, s.Outcome())
	case ticket.StepHold:
		n.held = append(n.held, n.waiters[c.key.String()]...)
		delete(n.waiters, c.key.String())
	}
}

func (n *node) takeSeal(c *copied) {
	if c.stage != 1 {
		return
	}
	switch s := n.witness(c.key.Prefix().Home()).Seal(n.now(), c.key, c.digest).(type) {
	case ticket.SealNotRun:
		n.world.tell(c, ticket.Refused(errs.NotRun(errs.ReasonLostHome, 0, "sealed")), false)
	case ticket.SealKnown:
		n.world.tell(c, s.Outcome(), false)
	case ticket.SealUnknown:
		n.world.tell(c, unknown(), s.After() == 0 && strings.Contains(s.Why(), "handed the request on"))
	case ticket.SealActing:
		c.stage = 2
		n.take(c)
	}
}

func (n *node) takeHandover(body ticket.Handover) {
	accepted := false
	if body.Witness == n.id && !n.stopping {
		n.own(n.witness(body.Home).Adopt(body, n.homeBudget))
		accepted = true
	}
	if body.Witness == n.id {
		n.world.send(n.world.node(body.Home), handed{body, accepted})
	}
}

func (n *node) takeHanded(m handed) {
	l := n.ledgers[m.body.Home][m.body.Witness]
	if l == nil || m.body.Home != n.id {
		return
	}
	if m.accepted {
		l.Hand()
	}
	if !m.accepted {
		l.Thaw()
	}
	held := n.held
	n.held = nil
	for _, c := range held {
		n.take(c)
	}
}

// check is the oracle.
func (w *world) check() {
	ran := map[string]execution{}
	for _, e := range w.ran {
		if first, twice := ran[e.key]; twice {
			w.t.Fatalf("key ran twice: %+v and %+v", first, e)
		}
		ran[e.key] = e
	}
	for _, h := range w.heard {
		e, ok := ran[h.key]
		switch {
		case h.notRun && ok && e.digest == h.digest:
			w.t.Fatalf("not run was told and it ran: %+v, %+v", h, e)
		case h.answer != "" && (!ok || e.digest != h.digest || e.answer != h.answer):
			w.t.Fatalf("the answer is not of the request: %+v, %+v", h, e)
		case h.final && ok && e.began > h.when:
			w.t.Fatalf("it began after the final word: %+v, %+v", h, e)
		}
	}
}

func pick[T any](t *rapid.T, from []T, what string) T {
	if len(from) == 0 {
		t.Skip("none")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)]
}

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
		home.own(l)
	}
	w.started++
	if prefix, ok := l.Issue(home.now(), w.started); ok {
		w.prefixes = append(w.prefixes, prefix)
	}
}

func (w *world) request(t *rapid.T) {
	key := pick(t, w.prefixes, "prefix").Key(uint64(rapid.IntRange(1, 3).Draw(t, "number")))
	digest := ticket.Digest(max(1, rapid.IntRange(-6, 2).Draw(t, "digest")))
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		c := &copied{key: key, digest: digest}
		w.copies = append(w.copies, c)
		w.toHome(c)
	}
}

// toHome is what an entry does with a fresh copy.
func (w *world) toHome(c *copied) {
	home := w.node(c.key.Prefix().Home())
	if home.id != c.key.Prefix().Home() {
		w.next(c)
		return
	}
	w.send(home, lead{c})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.net) == 0 {
		t.Skip("none")
	}
	at := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
	m := w.net[at]
	if m.to.paused {
		t.Skip("paused")
	}
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		w.net = append(w.net[:at:at], w.net[at+1:]...)
	}
	if fate != 1 {
		m.to.receive(m.body)
	}
}

func (w *world) work(t *rapid.T) {
	if len(w.jobs) == 0 {
		t.Skip("none")
	}
	at := rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")
	j := w.jobs[at]
	w.jobs = append(w.jobs[:at:at], w.jobs[at+1:]...)
	fate := rapid.SampledFrom([]string{"answered", "answered", "long", "ran and lost", "not run", "lost"}).Draw(t, "fate")
	outcome := unknown()
	answer := fmt.Sprintf("%s %d %d", j.key, j.digest, len(w.ran))
	if fate == "long" {
		answer += strings.Repeat("-", 300)
	}
	switch fate {
	case "answered", "long":
		outcome = ticket.Answered([]byte(answer))
	case "not run":
		outcome = ticket.Refused(errs.NotRun(errs.ReasonTargetBusy, 0, "busy"))
	}
	if fate != "not run" && fate != "lost" {
		w.ran = append(w.ran, execution{j.key.String(), j.digest, answer, j.began})
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

func (w *world) timeout(t *rapid.T) {
	c := pick(t, w.copies, "copy")
	home := w.node(c.key.Prefix().Home())
	if rapid.Bool().Draw(t, "at the home") && home.id == c.key.Prefix().Home() && !home.paused && home.ledger(c.key) != nil && len(home.waiters[c.key.String()]) > 0 {
		home.takeStep(home.waiters[c.key.String()][0], home.ledger(c.key).Refuse(home.now(), c.key, errs.ReasonNoWitness, "no acknowledgement"))
		return
	}
	w.next(c)
}

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

// TestAtMostOnce drives homes, witnesses and entries over a network that
// loses, doubles and reorders, with kills, restarts, pauses and planned stops,
// and checks what callers heard against what targets ran.
func TestAtMostOnce(t *testing.T) {
	answered, refusals, finals := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.UnixMilli(1_000_000)}
		for _, name := range []string{"a", "b", "c"} {
			ahead := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 25, 70}).Draw(t, "ahead")) * time.Second
			n := &node{world: w, ahead: ahead, id: ticket.NewID(place.Instance(name), 0)}
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
		for _, h := range w.heard {
			answered += count(h.answer != "")
			refusals += count(h.notRun)
			finals += count(h.final)
		}
	})
	t.Logf("answers %d, not run %d, final %d", answered, refusals, finals)
	if min(answered, refusals, finals) < 50 {
		t.Error("the runs reached too little")
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
