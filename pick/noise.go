package pick

import (
	"math"
	"time"
)

const (
	// factorHalfLife is the half-life of a reported work factor. The load on shared
	// machines changes several times a second.
	factorHalfLife = 300 * time.Millisecond
	// factorGain applies to the mean work factor of a service.
	factorGain = 0.02
	// factorMin and factorMax bound a reported work factor.
	factorMin = 0.1
	factorMax = 20
	// factorSeenFor is how long after a report of a work factor the targets of a
	// service count as reporting it.
	factorSeenFor = 10 * time.Second
)

func halfLifeWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// observeWorkFactor records the work factor that a target reported. The caller holds
// l.mu.
func (l *targetStats) observeWorkFactor(factor float64, at time.Time) {
	if factor <= 0 || math.IsNaN(factor) {
		return
	}
	l.factor, l.factorAt = min(max(factor, factorMin), factorMax), at
	l.service.observeWorkFactor(l.factor, at)
}

func (s *serviceStats) observeWorkFactor(factor float64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanFactor == 0 {
		s.meanFactor = 1
	}
	s.meanFactor += factorGain * (factor - s.meanFactor)
	if at.After(s.factorAt) {
		s.factorAt = at
	}
}

// workFactor returns the expected work factor of the target's machine, 0 if none of
// the service has been reported. A reported factor approaches the mean of the service
// as it ages. The caller holds l.mu.
func (l *targetStats) workFactor(now time.Time) float64 {
	l.service.mu.Lock()
	mean := l.service.meanFactor
	l.service.mu.Unlock()
	if l.factor == 0 || mean == 0 {
		return mean
	}
	return mean + halfLifeWeight(now.Sub(l.factorAt), factorHalfLife)*(l.factor-mean)
}

// workFactorUntil returns the factor by which the machine is taken to have prolonged
// the work on the request: the mean of the one expected at its start and the one in
// the report at its end.
func (a *Attempt) workFactorUntil(report *Report) float64 {
	switch {
	case report != nil && report.WorkFactor > 0:
		end := min(max(report.WorkFactor, factorMin), factorMax)
		if a.workFactor > 0 {
			return (a.workFactor + end) / 2
		}
		return end
	case a.workFactor > 0:
		return a.workFactor
	}
	return 1
}
