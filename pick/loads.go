package pick

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// loadAgeMax is the age up to which a load report is told to other entries.
const loadAgeMax = time.Second

// heardLoadGain is the weight of a heard report in the mean load of the service. There are
// many more of them than of an entry's own.
const heardLoadGain = 0.02

// LoadReport is the load report of a target as entries tell it to each other. Born
// is the start of the target's process in Unix milliseconds.
type LoadReport struct {
	Target           place.Target
	Born             int64
	Running, Waiting int
	// WorkFactor is 0 if the target doesn't report one.
	WorkFactor float64
	Age        time.Duration
}

// Loads returns the load reports that this entry itself received within the last
// second from targets of services for which wanted returns true, at most limit of
// them, the newest first.
func (c *Chooser) Loads(limit int, wanted func(place.Service) bool, now time.Time) []LoadReport {
	// wanted is called without the lock, because it may call the Chooser.
	c.mu.Lock()
	services := slices.Collect(maps.Keys(c.services))
	c.mu.Unlock()
	services = slices.DeleteFunc(services, func(s place.Service) bool { return !wanted(s) })
	if len(services) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var loads []LoadReport
	for target, k := range c.targets {
		report, age, found := k.stats.ownReport(now)
		if !found || age > loadAgeMax || !slices.Contains(services, k.service) {
			continue
		}
		loads = append(loads, LoadReport{
			Target: target, Born: k.process.Born(), Running: report.Running, Waiting: report.Waiting, WorkFactor: report.WorkFactor, Age: age,
		})
	}
	slices.SortFunc(loads, func(a, b LoadReport) int { return int(a.Age - b.Age) })
	return loads[:min(limit, len(loads))]
}

func (l *targetStats) ownReport(now time.Time) (report Report, age time.Duration, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, now.Sub(l.report.At), !l.report.At.IsZero()
}

// HearLoads takes in load reports that another entry received. Those of other
// processes than the present ones, and those that aren't newer than what this entry
// knows, are ignored.
func (c *Chooser) HearLoads(view *fleet.View, loads []LoadReport, now time.Time) {
	for _, r := range loads {
		m, found := view.Member(r.Target)
		if !found || m.Process().Born() != r.Born || r.Age < 0 || r.Age > 2*loadAgeMax || r.Running < 0 || r.Waiting < 0 || math.IsNaN(r.WorkFactor) {
			continue
		}
		c.mu.Lock()
		service, known := c.services[m.Service()]
		if !known {
			c.mu.Unlock()
			continue
		}
		l := c.statsFor(m, service, now)
		c.mu.Unlock()
		l.hearReport(r, m.Slots(), now)
	}
}

// hearReport takes in a newer report. Its load includes those of this entry's
// requests that had been sent before it.
func (l *targetStats) hearReport(r LoadReport, slots int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now.Add(-r.Age)
	if !at.After(l.reportedAt) {
		return
	}
	own := 0
	for a := range l.running {
		if a.at.Before(at) {
			own++
		}
	}
	l.otherLoad = max(0, float64(r.Running+r.Waiting-own))
	l.reportedAt = at
	l.service.observeLoad(l.otherLoad, slots, heardLoadGain, now)
	if at.After(l.factorAt) {
		l.observeWorkFactor(r.WorkFactor, at)
	}
}

// ReportsWorkFactor reports whether a target of the service has reported a work factor
// to this entry or to one that told it within the last 10 s.
func (c *Chooser) ReportsWorkFactor(name place.Service, now time.Time) bool {
	c.mu.Lock()
	s, found := c.services[name]
	c.mu.Unlock()
	if !found {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.factorAt.IsZero() && now.Sub(s.factorAt) < factorSeenFor
}
