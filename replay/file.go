// Package replay plays a written load against a model of a deployment, in which
// the program's own decisions (packages pick and pace) choose the targets. It
// answers what a policy does to callers under a load pattern without a network:
// entries, targets and their queues are modelled, the time is simulated.
package replay

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Millis is a time in milliseconds, as files give it.
type Millis float64

// Duration returns the time.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Load is a deployment and what is asked of it.
type Load struct {
	Name   string `json:"name"`
	Length Millis `json:"length_ms"`
	// Regions have as many availability zones each, and these as many entries.
	Regions     []string `json:"regions"`
	ZonesEach   int      `json:"zones_each"`
	EntriesEach int      `json:"entries_each"`
	// Trips are the times of a packet there and back.
	ZoneTrip   Millis    `json:"zone_trip_ms"`
	RegionTrip Millis    `json:"region_trip_ms"`
	WorldTrip  Millis    `json:"world_trip_ms"`
	Services   []Service `json:"services"`
	Kinds      []Kind    `json:"kinds"`
	Patterns   []Pattern `json:"patterns"`
}

// Service is a set of alike targets.
type Service struct {
	Name string `json:"name"`
	// TargetsEach is how many targets there are in each availability zone, and
	// Slots and Queue are how many requests run and wait at each.
	TargetsEach int `json:"targets_each"`
	Slots       int `json:"slots"`
	Queue       int `json:"queue"`
	// Keeps is how many objects a target knows at most.
	Keeps int `json:"keeps"`
}

// Kind is a kind of request.
type Kind struct {
	Name      string  `json:"name"`
	Service   string  `json:"service"`
	PerSecond float64 `json:"per_second"`
	// Work is the mean time that a target works that doesn't know the object,
	// and KnownPart the part of it where it does. Spread is the standard
	// deviation as a part of the mean.
	Work      Millis  `json:"work_ms"`
	Spread    float64 `json:"spread"`
	KnownPart float64 `json:"known_part"`
	// Objects is how many different objects each region's callers ask for.
	Objects  int    `json:"objects"`
	Aim      Millis `json:"aim_ms"`
	Timeout  Millis `json:"timeout_ms"`
	Deadline Millis `json:"deadline_ms"`
	// Once tells that a request may run at most once.
	Once bool `json:"once"`
	// Attempts is how many targets one request may be sent to, and Returns how
	// often a caller comes back.
	Attempts int `json:"attempts"`
	Returns  int `json:"returns"`
	// Worth is what an answer within the aim is worth, and Late one after it.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late_worth"`
}

// The kinds of patterns.
const (
	// PatternBurst multiplies the requests by X.
	PatternBurst = "burst"
	// PatternShift moves a share of a zone's callers to another zone.
	PatternShift = "shift"
	// PatternRepeat makes a share of the callers send X further requests at
	// once.
	PatternRepeat = "repeat"
	// PatternSlow makes a share of the targets X times slower.
	PatternSlow = "slow"
	// PatternFail makes a share of the targets fail the part X of their
	// requests.
	PatternFail = "fail"
	// PatternHang makes a share of the targets take requests and never answer.
	PatternHang = "hang"
	// PatternDown takes a share of the targets away; they return knowing
	// nothing.
	PatternDown = "down"
)

var patterns = []string{PatternBurst, PatternShift, PatternRepeat, PatternSlow, PatternFail, PatternHang, PatternDown}

// Pattern is a trouble for some time.
type Pattern struct {
	Kind  string  `json:"kind"`
	At    Millis  `json:"at_ms"`
	For   Millis  `json:"for_ms"`
	Share float64 `json:"share"`
	X     float64 `json:"x"`
	// Zone, as "region/number", is where it happens, and To where a shift
	// leads; empty means everywhere.
	Zone string `json:"zone"`
	To   string `json:"to_zone"`
}

func (p Pattern) active(now time.Duration) bool {
	return now >= p.At.Duration() && now < (p.At+p.For).Duration()
}

func (p Pattern) in(zone string) bool { return p.Zone == "" || p.Zone == zone }

// Parse reads a load. The error names the field, what it holds and what is
// allowed.
func Parse(text []byte) (*Load, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	l := &Load{}
	if err := decoder.Decode(l); err != nil {
		return nil, errors.Wrap(err, "replay file")
	}
	return l, l.check()
}

func (l *Load) check() error {
	switch {
	case l.Length <= 0:
		return errors.Newf("length_ms: %v is given; want more than 0", l.Length)
	case len(l.Regions) == 0 || l.ZonesEach < 1 || l.EntriesEach < 1:
		return errors.New("regions, zones_each, entries_each: want at least one of each")
	}
	var names []string
	for _, s := range l.Services {
		if s.Name == "" || s.TargetsEach < 1 || s.Slots < 1 || s.Queue < 0 || s.Keeps < 0 {
			return errors.Newf("service %q: want a name, targets_each and slots of 1 or more, queue and keeps of 0 or more", s.Name)
		}
		names = append(names, s.Name)
	}
	for _, k := range l.Kinds {
		if err := k.check(names); err != nil {
			return err
		}
	}
	for _, p := range l.Patterns {
		if !slices.Contains(patterns, p.Kind) {
			return errors.Newf("pattern %q: want one of %v", p.Kind, patterns)
		}
	}
	return nil
}

func (k Kind) check(services []string) error {
	switch {
	case !slices.Contains(services, k.Service):
		return errors.Newf("kind %q: service %q is not one of %v", k.Name, k.Service, services)
	case k.PerSecond <= 0 || k.Work <= 0 || k.Timeout <= 0 || k.Deadline <= 0:
		return errors.Newf("kind %q: per_second, work_ms, timeout_ms, deadline_ms: want more than 0", k.Name)
	case k.Objects < 1 || k.Attempts < 1:
		return errors.Newf("kind %q: objects, attempts: want 1 or more", k.Name)
	}
	return nil
}
