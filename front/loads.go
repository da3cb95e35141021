package front

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

const (
	// loadsInterval is the time between two messages with load reports.
	loadsInterval = 200 * time.Millisecond
	// loadsMax limits the reports in a message, which then has up to 2.5 KB.
	loadsMax = 64
	// loadsPeers is how many random instances of the zone get each message. In a zone of
	// 18 instances, all of them would cost each 170 calls a second, which is too much for
	// a tenth of a core. A report is told for a second, so that three quarters of them
	// get it.
	loadsPeers = 4
	// loadsPauseMin and loadsPauseMax bound the pause before an instance whose call
	// failed gets another message. The pause doubles with each failure. An instance of an
	// earlier release closes the connection on a message that it doesn't know.
	loadsPauseMin = 5 * time.Second
	loadsPauseMax = 5 * time.Minute
)

// policy returns the policy by which the targets of a service are chosen. Under the
// contract pressure slots are short, and not the room in caches: each further replica
// then costs slots that its misses take from other requests.
func (s *Server) policy(service place.Service, now time.Time) pick.Policy {
	if !s.underPressure() && s.chooser.ReportsWorkFactor(service, now) {
		return pick.Replicated{}
	}
	return pick.Single{}
}

// replicatedServices returns the services whose policy is Replicated, sorted.
func (s *Server) replicatedServices(now time.Time) []place.Service {
	services := slices.DeleteFunc(s.feed.View().Services(), func(service place.Service) bool {
		return s.policy(service, now) != pick.Replicated{}
	})
	slices.Sort(services)
	return services
}

// loadsPause is the pause of an instance that failed to take load reports.
type loadsPause struct {
	until time.Time
	pause time.Duration
}

// loadsPauses holds the pauses of instances that failed to take load reports. It is
// safe for concurrent use.
type loadsPauses struct {
	mu     sync.Mutex
	byName map[place.Instance]loadsPause
}

func newLoadsPauses() *loadsPauses {
	return &loadsPauses{byName: map[place.Instance]loadsPause{}}
}

func (p *loadsPauses) paused(name place.Instance, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.byName[name].until)
}

func (p *loadsPauses) record(name place.Instance, ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		delete(p.byName, name)
		return
	}
	pause := min(max(2*p.byName[name].pause, loadsPauseMin), loadsPauseMax)
	p.byName[name] = loadsPause{until: now.Add(pause), pause: pause}
}

// runLoads tells some live instances of the zone the recent load reports of targets
// of services whose policy is Replicated, until ctx ends.
func (s *Server) runLoads(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	pauses := newLoadsPauses()
	for wait.Sleep(ctx, loadsInterval) {
		now := s.now()
		message := s.loads(now)
		if len(message.Reports) == 0 {
			continue
		}
		for _, peer := range s.loadsReceivers(pauses, now) {
			calls.Go(func() { s.tellLoads(ctx, peer, message, pauses) })
		}
	}
}

// loads returns the recent load reports to tell other instances.
func (s *Server) loads(now time.Time) *wire.Loads {
	message := &wire.Loads{}
	wanted := func(service place.Service) bool { return s.policy(service, now) == pick.Replicated{} }
	for _, r := range s.chooser.Loads(loadsMax, wanted, now) {
		message.Reports = append(message.Reports, wire.TargetLoad{
			Target: r.Target, Born: r.Born, Running: r.Running, Waiting: r.Waiting,
			WorkPercent: int(math.Round(100 * r.WorkFactor)), AgeMillis: r.Age.Milliseconds(),
		})
	}
	return message
}

// loadsReceivers returns the instances that get the next message.
func (s *Server) loadsReceivers(pauses *loadsPauses, now time.Time) []place.Instance {
	peers := slices.DeleteFunc(s.instances.Live(), func(name place.Instance) bool {
		return name == s.self.Instance || pauses.paused(name, now)
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), loadsPeers)]
}

func (s *Server) tellLoads(ctx context.Context, peer place.Instance, message *wire.Loads, pauses *loadsPauses) {
	ctx, cancel := context.WithTimeout(ctx, loadsInterval*2)
	defer cancel()
	_, err := s.instances.Call(ctx, peer, message)
	pauses.record(peer, err == nil, s.now())
	if err != nil {
		s.log.WithError(err).WithField(fieldPeer, peer).Debug("Telling another instance the load reports of targets failed.")
	}
}

// hearLoads takes in the load reports that another instance of the zone received.
func (s *Server) hearLoads(message *wire.Loads) {
	loads := make([]pick.LoadReport, 0, min(len(message.Reports), loadsMax))
	for _, r := range message.Reports[:min(len(message.Reports), loadsMax)] {
		loads = append(loads, pick.LoadReport{
			Target: r.Target, Born: r.Born, Running: r.Running, Waiting: r.Waiting,
			WorkFactor: float64(r.WorkPercent) / 100, Age: time.Duration(r.AgeMillis) * time.Millisecond,
		})
	}
	s.chooser.HearLoads(s.feed.View(), loads, s.now())
}

// replicaName returns the position of a replica in the log and the metrics.
func replicaName(r pick.Replica) string {
	const numbered = 4
	switch {
	case r.Foreign:
		return "other_region"
	case r.Position < numbered:
		return strconv.Itoa(r.Position)
	}
	return "other"
}
