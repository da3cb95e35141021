package front

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// quarantinedMax limits the requests that an instance stores as quarantined.
const quarantinedMax = 32

const (
	// crashVerdictTime is how long a target may stay listed after its process crashed.
	crashVerdictTime = 6 * time.Second
	// crashCheckInterval is the time between two looks at the list.
	crashCheckInterval = 100 * time.Millisecond
	// blamesMax limits the requests that wait for the verdict on a target.
	blamesMax = 4096
)

// crashVerdicts holds the verdicts on targets that may have crashed, one for all
// requests that a process had.
type crashVerdicts struct {
	mu      sync.Mutex
	waiting int
	latest  map[fleet.Process]*crashVerdict
}

// crashVerdict is set when done is closed.
type crashVerdict struct {
	done    chan struct{}
	crashed bool
}

// get returns the verdict on a process, and whether the caller has to find it. The
// verdict is nil if too many requests wait for one.
func (v *crashVerdicts) get(p fleet.Process) (verdict *crashVerdict, find bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.waiting >= blamesMax {
		return nil, false
	}
	v.waiting++
	if verdict, found := v.latest[p]; found {
		return verdict, false
	}
	verdict = &crashVerdict{done: make(chan struct{})}
	v.latest[p] = verdict
	return verdict, true
}

// release ends the use of a verdict. The next request whose connection breaks needs a
// new one if the target hasn't crashed.
func (v *crashVerdicts) release(p fleet.Process, verdict *crashVerdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting--
	if v.latest[p] == verdict {
		delete(v.latest, p)
	}
}

// judgeRequest tells the guard how a request that was sent at the given time ended at
// a target: with an answer, or with a connection that broke because the target crashed.
// A target that leaves ends by itself.
func (s *Server) judgeRequest(q *request, m *fleet.Member, answer sender.Answer, err error, sent, now time.Time) {
	switch {
	case err == nil:
		if !s.guard.Empty() && s.guard.Clear(q.fingerprint(), now) {
			s.storeQuarantines()
		}
	case sender.MayHaveCrashed(answer, err):
		verdict, find := s.crashVerdicts.get(m.Process())
		if verdict == nil {
			return
		}
		f := q.fingerprint()
		s.linkTasks.Go(func() {
			defer s.crashVerdicts.release(m.Process(), verdict)
			if find {
				verdict.crashed = s.hasCrashed(m)
				close(verdict.done)
			}
			<-verdict.done
			if verdict.crashed {
				s.blame(f, m, sent, now)
			}
		})
	}
}

// hasCrashed reports whether the process of a target crashed: it refuses connections,
// and either another target answers or the platform's list shows that the process is
// gone. If neither is so, this instance's own links may be cut.
func (s *Server) hasCrashed(m *fleet.Member) bool {
	if _, crashed := s.clientFor(m).Crashed(s.sendContext); !crashed || s.isGone(m) {
		return false
	}
	if s.isWitness(m) {
		return true
	}
	ticker := time.NewTicker(crashCheckInterval)
	defer ticker.Stop()
	for end := time.Now().Add(crashVerdictTime); time.Now().Before(end); {
		select {
		case <-s.sendContext.Done():
			return false
		case <-ticker.C:
		}
		if s.isGone(m) {
			return true
		}
	}
	return false
}

// isGone reports whether the platform's list doesn't have the target's process any
// more.
func (s *Server) isGone(m *fleet.Member) bool {
	present, found := s.feed.View().Member(m.Target())
	return !found || present.Process() != m.Process()
}

// blame holds a crash against a request that was sent at a time and whose connection
// broke at another.
func (s *Server) blame(f poison.Fingerprint, m *fleet.Member, sent, broken time.Time) {
	now := s.now()
	crash := poison.Crash{Process: processHash(m.Process()), Age: now.Sub(broken), Ran: broken.Sub(sent), Target: m.Target(), Witness: s.self.Instance}
	if s.guard.Blame(f, crash, now) {
		s.logQuarantine(f, logrus.Fields{fieldTarget: m.Target(), fieldService: m.Service()})
	}
	if s.guard.Repeated(f) {
		s.signalNews()
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
	s.storeQuarantines()
	s.log.WithFields(fields).WithField(fieldFingerprint, f).Warn("A request is quarantined, because targets crashed under it.")
}

// checkQuarantine returns a refusal if the request is quarantined. One instance, the
// same for all, may send it to one more target once, to find out whether the targets
// crashed for another reason.
func (s *Server) checkQuarantine(q *request, now time.Time) error {
	if s.guard.Empty() {
		return nil
	}
	held := s.guard.Held(q.fingerprint(), now)
	if held == 0 {
		return nil
	}
	if s.guard.MayTry(q.fingerprint(), now) && s.instances.IsChosen(q.fingerprint().String()) && s.guard.Try(q.fingerprint(), now) {
		q.trial = true
		s.log.WithField(fieldFingerprint, q.fingerprint()).Info("A quarantined request is tried at one target.")
		return nil
	}
	return errs.NotRun(errs.ReasonQuarantined, held, "targets crashed under the request %v; it is quarantined for another %v", q.fingerprint(), held)
}

// endTrial takes back the trial of a quarantined request that reached no target.
func (s *Server) endTrial(q *request, state *retryState) {
	if q.trial && state.reached == 0 {
		s.guard.Untry(q.fingerprint())
	}
}

// liftQuarantine ends the quarantine of a request for an operator, as poison.Guard.Lift
// does.
func (s *Server) liftQuarantine(fingerprint string) (bool, error) {
	lifted, err := s.guard.Lift(fingerprint, s.now())
	if lifted {
		s.log.WithField(fieldFingerprint, fingerprint).Warn("An operator ended the quarantine of a request.")
		s.storeQuarantines()
		s.signalNews()
	}
	return lifted, err //nolint:wrapcheck // it names the setting
}

// storeQuarantines makes the store's object of this instance follow a change.
func (s *Server) storeQuarantines() {
	select {
	case s.quarantineChanged <- struct{}{}:
	default:
	}
}

// hearSuspects takes in the suspected requests in another instance's heartbeat. If
// relay is set, what is new is told on at once.
func (s *Server) hearSuspects(heartbeat *wire.Heartbeat, relay bool) {
	urgent, quarantined := peers.HearSuspects(s.guard, heartbeat, relay, s.now())
	for _, f := range quarantined {
		s.logQuarantine(f, logrus.Fields{fieldPeer: heartbeat.Instance})
	}
	if slices.ContainsFunc(heartbeat.Suspects, func(told wire.Suspect) bool { return told.Cleared }) {
		s.storeQuarantines()
	}
	if urgent && relay {
		s.signalNews()
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
