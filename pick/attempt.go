package pick

import (
	"time"

	"github.com/endivechute/endivechute/fleet"
)

// Attempt is a request in flight to a target.
type Attempt struct {
	chooser      *Chooser
	member       *fleet.Member
	service      *serviceStats
	stats        *targetStats
	object       uint64
	keyed        bool
	likelyCached bool
	// choice says how a replica was chosen, nil unless the policy is Replicated and the
	// request concerns an object.
	choice *replicaChoice
	// workFactor is the expected work factor of the target's machine, 0 if unknown.
	workFactor float64
	// sampled is true if the duration of the request is a sample of the service
	// time: a slot was free, and it is certain whether the target has the object
	// cached.
	sampled  bool
	at       time.Time
	expected time.Duration
	estimate Estimate
	distance Distance
	load     float64
	loadAge  time.Duration
	// considered is the number of candidates, and unreachable how many of them were
	// found unreachable.
	considered, unreachable int
	// streamedAt is when the answer started to be streamed, zero if it isn't.
	streamedAt time.Time
}

// Member returns the chosen target.
func (a *Attempt) Member() *fleet.Member { return a.member }

// Estimate returns the estimate on which the target was chosen.
func (a *Attempt) Estimate() Estimate { return a.estimate }

// Distance returns the distance to the target.
func (a *Attempt) Distance() Distance { return a.distance }

// Load returns the estimated number of requests that were running or waiting at
// the target when it was chosen.
func (a *Attempt) Load() float64 { return a.load }

// At returns when the request was sent.
func (a *Attempt) At() time.Time { return a.at }

// LoadAge returns the age of the target's last load report when the request was
// sent, 0 if there was none.
func (a *Attempt) LoadAge() time.Duration { return a.loadAge }

// Considered returns how many targets the target was chosen from.
func (a *Attempt) Considered() int { return a.considered }

// Unreachable returns how many of these targets were found unreachable before.
func (a *Attempt) Unreachable() int { return a.unreachable }

// LikelyCached reports whether the target was assumed to have the object cached.
func (a *Attempt) LikelyCached() bool { return a.likelyCached }

// Done records the outcome of a request. report is the target's load report,
// nil if it sent none; rtt is the round-trip time to the target, 0 if unknown.
func (a *Attempt) Done(outcome Outcome, report *Report, rtt time.Duration, now time.Time) {
	l := a.stats
	l.mu.Lock()
	defer l.mu.Unlock()
	took := a.took(now)
	delete(l.running, a)
	l.decay(now)
	if rtt > 0 {
		l.rtt = rtt
	}
	if report != nil {
		l.otherLoad = max(0, float64(report.Running+report.Waiting-len(l.running)))
		l.reportedAt = now
		l.report = *report
		l.report.At = now
		a.service.observeLoad(l.otherLoad, a.member.Slots(), meanLoadGain, now)
		l.observeWorkFactor(report.WorkFactor, now)
	}
	switch o := outcome.(type) {
	case Answered:
		l.consecutiveBreaks = 0
		l.unreachable = false
		if o.Failed {
			l.updateFailureRate(1)
			return
		}
		l.updateFailureRate(0)
		// Work that takes longer because the machine is shared doesn't make the target slow.
		took = l.rtt + time.Duration(float64(took-l.rtt)/a.workFactorUntil(report))
		if a.choice != nil {
			l.observeReplica(a, took, report, now)
			return
		}
		l.observeDuration(took, a.expected)
		if a.sampled {
			a.service.observeServiceTime(took-l.rtt, a.likelyCached)
		}
	case Rejected:
		l.consecutiveBreaks = 0
		l.updateFailureRate(1)
	case Unreachable:
		l.updateFailureRate(1)
		l.markUnreachable(now)
	case Broken:
		l.updateFailureRate(1)
		if l.consecutiveBreaks++; l.consecutiveBreaks >= breaksMax {
			l.markUnreachable(now)
		}
	case Abandoned:
		took = l.rtt + time.Duration(float64(took-l.rtt)/a.workFactorUntil(nil))
		if took > a.expected {
			l.observeDuration(took, a.expected)
		}
	}
}
