// Package replay simulates a deployment under a load that is described in a
// file, and measures what callers get under a policy. The routing decisions are
// those of packages pick and pace; entries, targets and their queues are
// simulated in virtual time, without a network.
package replay

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/pick"
)

// Milliseconds is a duration in milliseconds, as used in scenario files.
type Milliseconds float64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Scenario describes a deployment, the requests sent to it and the disturbances
// during the run.
type Scenario struct {
	Name     string       `json:"name"`
	Duration Milliseconds `json:"length_ms"`
	// Regions are the names of the regions. Each has ZonesPerRegion availability
	// zones, and each zone has EntriesPerZone entries.
	Regions        []string `json:"regions"`
	ZonesPerRegion int      `json:"zones_each"`
	EntriesPerZone int      `json:"entries_each"`
	// ZoneRTT, RegionRTT and RemoteRTT are the round-trip times within a
	// zone, between zones of a region, and between regions.
	ZoneRTT      Milliseconds  `json:"zone_trip_ms"`
	RegionRTT    Milliseconds  `json:"region_trip_ms"`
	RemoteRTT    Milliseconds  `json:"world_trip_ms"`
	Services     []Service     `json:"services"`
	Kinds        []RequestKind `json:"kinds"`
	Disturbances []Disturbance `json:"patterns"`
	// Policy is the policy by which entries choose targets, "single" or "replicated";
	// empty means single.
	Policy string `json:"policy"`
}

// The values of Scenario.Policy.
const (
	PolicySingle     = "single"
	PolicyReplicated = "replicated"
)

// Service is a set of identical targets.
type Service struct {
	Name string `json:"name"`
	// TargetsPerZone is the number of targets in each availability zone. Slots
	// and Queue are the most requests that run and wait at one target.
	TargetsPerZone int `json:"targets_each"`
	Slots          int `json:"slots"`
	Queue          int `json:"queue"`
	// CacheSize is the number of objects that a target caches.
	CacheSize int `json:"keeps"`
	// TargetsIn overrides TargetsPerZone in the zones of some regions.
	TargetsIn map[string]int `json:"targets_in"`
	// SlotSizes, if not empty, are the slots of the targets of each zone in turn, in
	// place of Slots.
	SlotSizes []int  `json:"slot_sizes"`
	Noise     *Noise `json:"noise"`
}

// Noise is the load of others on the machines of a service's targets. In each
// interval, work takes Factor times as long on a share of the targets, which is drawn
// anew each time. The targets report it.
type Noise struct {
	Share    float64      `json:"share"`
	Factor   float64      `json:"x"`
	Interval Milliseconds `json:"interval_ms"`
}

// targetsIn returns the number of targets in each zone of a region.
func (s *Service) targetsIn(region string) int {
	if n, found := s.TargetsIn[region]; found {
		return n
	}
	return s.TargetsPerZone
}

// slotsOf returns the slots of the target with the number in its zone.
func (s *Service) slotsOf(number int) int {
	if len(s.SlotSizes) > 0 {
		return s.SlotSizes[number%len(s.SlotSizes)]
	}
	return s.Slots
}

func (s *Service) check() error {
	if s.Name == "" || s.TargetsPerZone < 1 || s.Slots < 1 || s.Queue < 0 || s.CacheSize < 0 {
		return errors.Newf("service %q: want a name, targets_each and slots of 1 or more, queue and keeps of 0 or more", s.Name)
	}
	for region, n := range s.TargetsIn {
		if n < 0 {
			return errors.Newf("service %q: targets_in: invalid value %d of region %s; want 0 or more", s.Name, n, region)
		}
	}
	for _, slots := range s.SlotSizes {
		if slots < 1 {
			return errors.Newf("service %q: slot_sizes: invalid value %d; want 1 or more", s.Name, slots)
		}
	}
	if n := s.Noise; n != nil && (n.Share < 0 || n.Share > 1 || n.Factor <= 0 || n.Interval <= 0) {
		return errors.Newf("service %q: noise: want a share from 0 to 1, x and interval_ms of more than 0", s.Name)
	}
	return nil
}

// RequestKind describes requests of one kind to one service. PerSecond is their
// rate over all zones.
type RequestKind struct {
	Name      string  `json:"name"`
	Service   string  `json:"service"`
	PerSecond float64 `json:"per_second"`
	// ServiceTime is the mean service time of a target that has not cached the
	// object; a target that has cached it takes CachedFactor of that time.
	// Spread is the standard deviation as a fraction of the mean.
	ServiceTime  Milliseconds `json:"work_ms"`
	Spread       float64      `json:"spread"`
	CachedFactor float64      `json:"known_part"`
	// Objects is the number of different objects that the callers of each
	// region request. Aim is the latency that the caller wants, Timeout the
	// most time that an entry spends on a request, and Deadline how long the
	// caller waits in all, with all its resends.
	Objects int `json:"objects"`
	// Skew is the exponent of the Zipf distribution of the requests over the objects; 0
	// means that all are as popular. With SharedObjects the callers of all regions
	// request the same objects.
	Skew          float64      `json:"skew"`
	SharedObjects bool         `json:"shared_objects"`
	Aim           Milliseconds `json:"aim_ms"`
	Timeout       Milliseconds `json:"timeout_ms"`
	Deadline      Milliseconds `json:"deadline_ms"`
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce bool `json:"once"`
	// Attempts is the most targets that an entry sends one request to. Resends
	// is how often a caller sends a request again after an entry failed it.
	Attempts int `json:"attempts"`
	Resends  int `json:"returns"`
	// Worth is the value of an answer within Aim, and LateWorth of a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	// Priority is the priority, 0 being the highest. Without it priorities are
	// ignored.
	Priority *int `json:"priority"`
}

func (k RequestKind) pickPriority() pick.Priority {
	if k.Priority == nil {
		return pick.Priority{}
	}
	return pick.NewPriority(*k.Priority)
}

// The values of Disturbance.Kind.
const (
	// DisturbanceBurst multiplies the request rate by Factor.
	DisturbanceBurst = "burst"
	// DisturbanceShift moves a share of a zone's callers to another zone.
	DisturbanceShift = "shift"
	// DisturbanceRepeat makes a share of the callers send Factor duplicates
	// along with each request.
	DisturbanceRepeat = "repeat"
	// DisturbanceSlow makes a share of the targets Factor times slower.
	DisturbanceSlow = "slow"
	// DisturbanceFail makes a share of the targets fail the fraction Factor of
	// their requests.
	DisturbanceFail = "fail"
	// DisturbanceHang makes a share of the targets accept requests and never
	// answer them.
	DisturbanceHang = "hang"
	// DisturbanceDown stops a share of the targets; they restart with an empty
	// cache.
	DisturbanceDown = "down"
)

var disturbanceKinds = []string{DisturbanceBurst, DisturbanceShift, DisturbanceRepeat, DisturbanceSlow, DisturbanceFail, DisturbanceHang, DisturbanceDown}

// Disturbance is a disturbance that lasts from At for the time For.
type Disturbance struct {
	Kind   string       `json:"kind"`
	At     Milliseconds `json:"at_ms"`
	For    Milliseconds `json:"for_ms"`
	Share  float64      `json:"share"`
	Factor float64      `json:"x"`
	// Zone, as "region/number", limits the disturbance to one zone; empty means
	// all zones. To is the zone that receives the callers of a shift.
	Zone string `json:"zone"`
	To   string `json:"to_zone"`
}

func (d Disturbance) active(now time.Duration) bool {
	return now >= d.At.Duration() && now < (d.At+d.For).Duration()
}

func (d Disturbance) in(zone string) bool { return d.Zone == "" || d.Zone == zone }

// Parse decodes and validates a scenario file. The error names the field, its
// value and what is allowed.
func Parse(text []byte) (*Scenario, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	l := &Scenario{}
	if err := decoder.Decode(l); err != nil {
		return nil, errors.Wrap(err, "replay file")
	}
	return l, l.check()
}

func (l *Scenario) check() error {
	switch {
	case l.Duration <= 0:
		return errors.Newf("length_ms: invalid value %v; want more than 0", l.Duration)
	case len(l.Regions) == 0 || l.ZonesPerRegion < 1 || l.EntriesPerZone < 1:
		return errors.New("regions, zones_each, entries_each: want at least one of each")
	}
	if !slices.Contains([]string{"", PolicySingle, PolicyReplicated}, l.Policy) {
		return errors.Newf("policy: unknown policy %q; want %s or %s", l.Policy, PolicySingle, PolicyReplicated)
	}
	var names []string
	for _, s := range l.Services {
		if err := s.check(); err != nil {
			return err
		}
		names = append(names, s.Name)
	}
	for _, k := range l.Kinds {
		if err := k.check(names); err != nil {
			return err
		}
	}
	for _, p := range l.Disturbances {
		if !slices.Contains(disturbanceKinds, p.Kind) {
			return errors.Newf("pattern: unknown kind %q; want one of %v", p.Kind, disturbanceKinds)
		}
	}
	return nil
}

func (k RequestKind) check(services []string) error {
	switch {
	case !slices.Contains(services, k.Service):
		return errors.Newf("kind %q: unknown service %q; want one of %v", k.Name, k.Service, services)
	case k.PerSecond <= 0 || k.ServiceTime <= 0 || k.Timeout <= 0 || k.Deadline <= 0:
		return errors.Newf("kind %q: per_second, work_ms, timeout_ms, deadline_ms: want more than 0", k.Name)
	case k.Objects < 1 || k.Attempts < 1:
		return errors.Newf("kind %q: objects, attempts: want 1 or more", k.Name)
	case k.Skew < 0:
		return errors.Newf("kind %q: skew: invalid value %v; want 0 or more", k.Name, k.Skew)
	}
	return nil
}
