package front

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

const (
	// crashCheckTimeout limits the connection that shows whether a target's port is
	// still open. It covers the longest round trip between regions.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckAge is how long the result of such a check is used for other
	// requests whose connections to the same process broke.
	crashCheckAge = time.Second
	// suspectsMax limits the suspects in a heartbeat, which then take up to 4 KB of
	// it, and quarantinedMax those that an instance stores as quarantined.
	suspectsMax    = 32
	quarantinedMax = 32
)

// crashCheck is a check whether a process of a target has crashed.
type crashCheck struct {
	at      time.Time
	done    chan struct{}
	crashed bool
}

// crashChecks holds the recent checks. A crash breaks many requests at once, for
// which one check is enough.
type crashChecks struct {
	mu        sync.Mutex
	byProcess map[fleet.Process]*crashCheck
}

func newCrashChecks() *crashChecks {
	return &crashChecks{byProcess: map[fleet.Process]*crashCheck{}}
}

// crashed reports whether the target's port is closed. Only a refused connection
// shows that: a broken one may have been reset on the way.
func (c *crashChecks) crashed(ctx context.Context, m *fleet.Member, now time.Time) bool {
	c.mu.Lock()
	check, found := c.byProcess[m.Process()]
	if found && now.Sub(check.at) < crashCheckAge {
		c.mu.Unlock()
		<-check.done
		return check.crashed
	}
	for process, old := range c.byProcess {
		if now.Sub(old.at) >= crashCheckAge {
			delete(c.byProcess, process)
		}
	}
	check = &crashCheck{at: now, done: make(chan struct{})}
	c.byProcess[m.Process()] = check
	c.mu.Unlock()
	defer close(check.done)
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Address())
	if err == nil {
		_ = conn.Close()
	}
	check.crashed = errors.Is(err, syscall.ECONNREFUSED)
	return check.crashed
}

// judgeRequest tells the guard how a request ended at a target: with an answer, or
// with a connection that broke because the target crashed. A target that leaves ends
// by itself.
func (s *Server) judgeRequest(q *request, m *fleet.Member, answer sender.Answer, err error, now time.Time) {
	switch refusal := errs.AsRefusal(err); {
	case err == nil:
		if !s.guard.Empty() {
			s.guard.Clear(q.fingerprint(), now)
		}
	case refusal.Verdict() == errs.VerdictMayHaveRun && refusal.Reason() == errs.ReasonTargetFailed && answer.Status() == 0:
		f := q.fingerprint()
		s.crashTasks.Go(func() { s.blameIfCrashed(f, m) })
	}
}

func (s *Server) blameIfCrashed(f poison.Fingerprint, m *fleet.Member) {
	if !s.crashChecks.crashed(s.sendContext, m, s.now()) {
		return
	}
	present, found := s.feed.View().Member(m.Target())
	if !found || present.Process() != m.Process() {
		return
	}
	defer s.signalNews()
	if s.guard.Blame(f, processHash(m.Process()), s.now()) {
		s.logQuarantine(f, logrus.Fields{fieldTarget: m.Target(), fieldService: m.Service()})
	}
}

// processHash returns a hash of a target's process that is the same at all instances.
func processHash(p fleet.Process) uint64 {
	const bits = 64
	hash := xxhash.Sum64String(string(p.Target()))
	return hash ^ (uint64(p.Born())<<(bits/2) | uint64(p.Born())>>(bits/2))
}

func (s *Server) logQuarantine(f poison.Fingerprint, fields logrus.Fields) {
	s.stats.quarantined.Inc()
	s.log.WithFields(fields).WithField(fieldFingerprint, f).Warn("A request is quarantined, because targets crashed under it.")
}

// checkQuarantine returns a refusal if the request is quarantined.
func (s *Server) checkQuarantine(q *request, now time.Time) error {
	if s.guard.Empty() {
		return nil
	}
	held := s.guard.Held(q.fingerprint(), now)
	if held == 0 {
		return nil
	}
	return errs.NotRun(errs.ReasonQuarantined, held, "targets crashed under the request %v; it is quarantined for another %v", q.fingerprint(), held)
}

// suspectsToWire returns what heartbeats tell of suspected requests.
func (s *Server) suspectsToWire() []wire.Suspect {
	news := s.guard.News(suspectsMax, s.now())
	suspects := make([]wire.Suspect, 0, len(news))
	for _, n := range news {
		told := wire.Suspect{Fingerprint: uint64(n.Fingerprint), Cleared: n.Cleared, ClearedAgeMillis: n.ClearedAge.Milliseconds()}
		for _, c := range n.Crashes {
			told.Crashes = append(told.Crashes, wire.Crash{Process: c.Process, AgeMillis: c.Age.Milliseconds()})
		}
		suspects = append(suspects, told)
	}
	return suspects
}

// hearSuspects takes in the suspected requests in another instance's heartbeat. If
// relay is set, what is new is told on.
func (s *Server) hearSuspects(heartbeat *wire.Heartbeat, relay bool) {
	for _, told := range heartbeat.Suspects[:min(len(heartbeat.Suspects), suspectsMax)] {
		heard := poison.Suspect{Fingerprint: poison.Fingerprint(told.Fingerprint), Cleared: told.Cleared, ClearedAge: time.Duration(told.ClearedAgeMillis) * time.Millisecond}
		for _, c := range told.Crashes {
			heard.Crashes = append(heard.Crashes, poison.Crash{Process: c.Process, Age: time.Duration(c.AgeMillis) * time.Millisecond})
		}
		changed, quarantined := s.guard.Hear(heard, relay, s.now())
		if quarantined {
			s.logQuarantine(heard.Fingerprint, logrus.Fields{fieldPeer: heartbeat.Instance})
		}
		if changed && relay {
			s.signalNews()
		}
	}
}

// adoptQuarantined takes in the requests that instances stored as quarantined, this
// one's previous process included.
func (s *Server) adoptQuarantined(instances []platform.Instance) {
	for _, i := range instances {
		for _, f := range i.Quarantined() {
			if s.guard.Adopt(f, i.Name() == s.self.Instance, s.now()) {
				s.logQuarantine(f, logrus.Fields{fieldPeer: i.Name()})
			}
		}
	}
}
