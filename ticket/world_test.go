package ticket_test

import (
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/ticket"
)

// execution is a run of a request at a target. began is the step at which the
// home sent it. The checks use executions and responses only.
type execution struct {
	key    string
	digest ticket.Digest
	answer string
	began  int
}

// response is what a caller was told about one copy of a request. final means
// that the request may have run but will not start later; when is the step.
type response struct {
	key    string
	digest ticket.Digest
	answer string
	notRun bool
	final  bool
	when   int
}

// job is a request that a home sent to a target and that has not ended.
type job struct {
	node        *node
	incarnation uint64
	key         ticket.Key
	digest      ticket.Digest
	began       int
}

// message is in transit on the network. body is one of the types below.
type message struct {
	to   *node
	body any
}

type (
	forward  struct{ request *requestCopy }
	record   struct{ request *requestCopy }
	recorded struct {
		request *requestCopy
		reply   ticket.RecordReply
	}
	report struct {
		key     ticket.Key
		outcome ticket.Outcome
	}
	confirmed     struct{ key ticket.Key }
	seal          struct{ request *requestCopy }
	handover      struct{ body ticket.Handover }
	handoverReply struct {
		body     ticket.Handover
		accepted bool
	}
	release struct{ body ticket.Release }
)

// requestCopy is one copy of a request at an entry. Its stage is 0 while it waits
// for the home, 1 for the witness, 2 for the successor, and 3 once it has ended.
type requestCopy struct {
	key    ticket.Key
	digest ticket.Digest
	stage  int
}

// node is an entry process with its home and witness parts.
type node struct {
	world         *world
	id            ticket.ID
	clockOffset   time.Duration
	paused        bool
	stopping      bool
	ledgers       map[ticket.ID]map[ticket.ID]*ticket.Ledger
	records       map[ticket.ID]*ticket.Records
	handovers     map[*ticket.Ledger]ticket.Handover
	waiters       map[string][]*requestCopy
	held          []*requestCopy
	homeBudget    *ticket.Budget
	witnessBudget *ticket.Budget
}

// world is the state of the simulation.
type world struct {
	t          *rapid.T
	now        time.Time
	step       int
	nodes      []*node
	prefixes   []ticket.Prefix
	copies     []*requestCopy
	network    []message
	jobs       []*job
	executions []execution
	responses  []response
	counter    uint64
}

var limits = ticket.Limits{PrefixLife: 20 * time.Second, KeepTime: 60 * time.Second, KeysMax: 4, AnswerBytesMax: 200, BytesMax: 700}

const bound = 10 * time.Second

// start replaces the process of the node by a new one with empty state.
func (n *node) start() {
	n.world.counter++
	*n = node{
		world: n.world, clockOffset: n.clockOffset, id: ticket.NewID(n.id.Instance(), n.world.counter),
		ledgers: map[ticket.ID]map[ticket.ID]*ticket.Ledger{}, records: map[ticket.ID]*ticket.Records{},
		handovers: map[*ticket.Ledger]ticket.Handover{}, waiters: map[string][]*requestCopy{},
		homeBudget: ticket.NewBudget(limits), witnessBudget: ticket.NewBudget(limits),
	}
}

// now returns the time by the node's clock.
func (n *node) now() time.Time { return n.world.now.Add(n.clockOffset) }

func (w *world) node(id ticket.ID) *node {
	for _, n := range w.nodes {
		if n.id.Instance() == id.Instance() {
			return n
		}
	}
	panic("no such instance")
}

func (w *world) send(to *node, body any) { w.network = append(w.network, message{to, body}) }

// respond ends a copy with an outcome. Only the first outcome of a copy counts.
func (w *world) respond(c *requestCopy, outcome ticket.Outcome, final bool) {
	if c.stage == 3 {
		return
	}
	c.stage = 3
	r := response{key: c.key.String(), digest: c.digest, answer: string(outcome.Answer()), final: final, when: w.step}
	r.notRun = outcome.Refusal() != nil && outcome.Refusal().Verdict() == errs.VerdictNotRun
	w.responses = append(w.responses, r)
}

func unknown() ticket.Outcome {
	return ticket.Refused(errs.MayHaveRun(errs.ReasonLostHome, "unknown"))
}

func (n *node) ledger(key ticket.Key) *ticket.Ledger {
	return n.ledgers[key.Prefix().Home()][key.Prefix().Witness()]
}

func (n *node) addLedger(l *ticket.Ledger) {
	if n.ledgers[l.Home()] == nil {
		n.ledgers[l.Home()] = map[ticket.ID]*ticket.Ledger{}
	}
	n.ledgers[l.Home()][l.Witness()] = l
}

// arrive passes a copy to its ledger at this node, if there is one.
func (n *node) arrive(c *requestCopy) {
	l := n.ledger(c.key)
	if l == nil {
		n.world.failOver(c)
		return
	}
	n.applyStep(c, l.Admit(n.now(), c.key, c.digest, bound))
}

// applyStep executes the step that the ledger returned for a copy.
func (n *node) applyStep(c *requestCopy, step ticket.Step) {
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
	case ticket.StepAwaitHandover:
		n.held = append(append(n.held, c), n.waiters[text]...)
		delete(n.waiters, text)
	case ticket.StepMoved:
		n.world.failOver(c)
	case ticket.StepDone:
		n.world.respond(c, s.Outcome(), false)
	}
}

// failOver continues a copy at an entry after the home did not answer. If the
// witness or the successor did not answer either, the outcome is unknown.
func (w *world) failOver(c *requestCopy) {
	switch c.stage {
	case 0:
		c.stage = 1
		w.send(w.node(c.key.Prefix().Witness()), seal{c})
	case 1, 2:
		w.respond(c, unknown(), false)
	}
}

// resolve ends all copies that wait for the key.
func (n *node) resolve(key ticket.Key, outcome ticket.Outcome) {
	for _, c := range n.waiters[key.String()] {
		n.world.respond(c, outcome, false)
	}
	delete(n.waiters, key.String())
}

func (n *node) recordsOf(home ticket.ID) *ticket.Records {
	if n.records[home] == nil {
		n.records[home] = ticket.NewRecords(n.id, home, n.witnessBudget)
	}
	return n.records[home]
}

func (n *node) receive(body any) {
	w := n.world
	switch m := body.(type) {
	case forward:
		n.arrive(m.request)
	case record:
		key := m.request.key
		reply := n.recordsOf(key.Prefix().Home()).Record(n.now(), key, m.request.digest, bound)
		w.send(w.node(key.Prefix().Home()), recorded{m.request, reply})
	case recorded:
		n.handleRecorded(m)
	case report:
		n.recordsOf(m.key.Prefix().Home()).Report(m.key, m.outcome)
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
		n.handleSeal(m.request)
	case handover:
		n.handleHandover(m.body)
	case handoverReply:
		n.handleHandoverReply(m)
	case release:
		if l := n.ledgers[m.body.Home][m.body.Witness]; l != nil {
			l.Release(m.body)
		}
	}
}

func (n *node) handleRecorded(m recorded) {
	key := m.request.key
	l := n.ledger(key)
	if l == nil || key.Prefix().Home() != n.id {
		return
	}
	step := l.Acknowledge(n.now(), key)
	if m.reply != ticket.RecordAcknowledged {
		step = l.Refuse(n.now(), key, errs.ReasonNoWitness, m.reply.String())
	}
	n.applyStepToAll(m.request, step)
}

// applyStepToAll executes a step that concerns all copies that wait for a key.
func (n *node) applyStepToAll(c *requestCopy, step ticket.Step) {
	switch s := step.(type) {
	case ticket.StepRun:
		n.world.jobs = append(n.world.jobs, &job{n, n.id.Incarnation(), c.key, c.digest, n.world.step})
	case ticket.StepDone:
		n.resolve(c.key, s.Outcome())
	case ticket.StepAwaitHandover:
		n.held = append(n.held, n.waiters[c.key.String()]...)
		delete(n.waiters, c.key.String())
	}
}

func (n *node) handleSeal(c *requestCopy) {
	if c.stage != 1 {
		return
	}
	switch s := n.recordsOf(c.key.Prefix().Home()).Seal(n.now(), c.key, c.digest).(type) {
	case ticket.SealNotRun:
		n.world.respond(c, ticket.Refused(errs.NotRun(errs.ReasonLostHome, 0, "sealed")), false)
	case ticket.SealKnown:
		n.world.respond(c, s.Outcome(), false)
	case ticket.SealUnknown:
		n.world.respond(c, unknown(), s.After() == 0 && strings.Contains(s.Why(), "may have sent the request"))
	case ticket.SealTakenOver:
		c.stage = 2
		n.arrive(c)
	}
}

func (n *node) handleHandover(body ticket.Handover) {
	accepted := false
	if body.Witness == n.id && !n.stopping {
		n.addLedger(n.recordsOf(body.Home).Adopt(body, n.homeBudget))
		accepted = true
	}
	if body.Witness == n.id {
		n.world.send(n.world.node(body.Home), handoverReply{body, accepted})
	}
}

func (n *node) handleHandoverReply(m handoverReply) {
	l := n.ledgers[m.body.Home][m.body.Witness]
	if l == nil || m.body.Home != n.id {
		return
	}
	if m.accepted {
		l.MarkMoved()
	}
	if !m.accepted {
		l.Unfreeze()
	}
	held := n.held
	n.held = nil
	for _, c := range held {
		n.arrive(c)
	}
}
