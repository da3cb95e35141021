package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

// Check returns an error if an object with the value must not come into force.
// It validates objects whose format this package does not know.
type Check func(value []byte) error

// Tables is an immutable snapshot of all objects in force, so that readers need
// no lock. Apply returns the next snapshot. The version in force of an object
// never decreases: an object is accepted only if its version is greater, and if
// it fails its checks the last valid version stays in force.
type Tables struct {
	region   place.Region
	checks   map[string]Check
	items    map[string]item
	policies map[place.Service]*Policy
	fleet    *Fleet
	buckets  [BucketCount]uint64
	highest  uint64
}

// parsedObject is the parsed form of the object in force and the time since
// which it is in force.
type parsedObject struct {
	body     *body
	fleet    *Fleet
	envelope *Envelope
	since    time.Time
}

// NewTables returns empty tables for a process in the region. checks maps path
// prefixes to the checks of objects whose format this package does not know;
// such objects are accepted unchecked if no prefix matches.
func NewTables(region place.Region, checks map[string]Check) *Tables {
	return &Tables{
		region: region, checks: checks, items: map[string]item{}, policies: map[place.Service]*Policy{},
		fleet: &Fleet{},
	}
}

// OutcomeKind is the result of offering an object to the tables.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OutcomeNotNewer means that the object changes nothing: its version is not
	// newer than the one in force, or it is invalid and not newer than the
	// refused one.
	OutcomeNotNewer OutcomeKind = iota
	// OutcomeAccepted means that the object is in force.
	OutcomeAccepted
	// OutcomeRefused means that the object failed its checks and the version in
	// force stays.
	OutcomeRefused
)

// Outcome describes the result of offering one object to the tables.
type Outcome struct {
	kind    OutcomeKind
	path    string
	version uint64
	problem error
}

// Kind returns the result.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Path returns the path of the object.
func (o Outcome) Path() string { return o.path }

// Version returns the version of the object.
func (o Outcome) Version() uint64 { return o.version }

// Problem returns the reason why the object was refused, nil if it was not.
func (o Outcome) Problem() error { return o.problem }

// Apply offers the objects in their order and returns the resulting tables and
// one outcome per object. Objects that come into force are marked with the time
// now. The receiver is not modified.
func (t *Tables) Apply(objects []store.Object, now time.Time) (*Tables, []Outcome) {
	next := *t
	next.items = maps.Clone(t.items)
	outcomes := make([]Outcome, 0, len(objects))
	changedTeams := map[place.Team]bool{}
	for _, o := range objects {
		outcome := next.applyObject(o, now)
		outcomes = append(outcomes, outcome)
		if outcome.kind == OutcomeAccepted {
			next.markChanged(o.Path(), changedTeams)
		}
	}
	if len(changedTeams) > 0 {
		next.policies = next.resolveTeams(changedTeams)
	}
	return &next, outcomes
}

// applyObject applies one object to the tables in place. The caller must have
// copied them.
func (t *Tables) applyObject(o store.Object, now time.Time) Outcome {
	outcome := Outcome{path: o.Path(), version: o.Version()}
	old := t.items[o.Path()]
	if o.Version() <= old.inForce.Version() || o.Version() == old.refused.Version() {
		return outcome
	}
	if _, err := KindOf(o.Path()); err != nil {
		outcome.kind = OutcomeRefused
		outcome.problem = err
		return outcome
	}
	parsed, err := t.parseObject(o)
	next := old
	if err != nil {
		if o.Version() < old.refused.Version() {
			return outcome
		}
		outcome.kind = OutcomeRefused
		outcome.problem = err
		next.refused = o
		next.problem = err
	} else {
		outcome.kind = OutcomeAccepted
		parsed.since = now
		next.inForce = o
		next.parsed = parsed
		if old.refused.Version() < o.Version() {
			next.refused = store.Object{}
			next.problem = nil
		}
	}
	bucket := bucketOf(o.Path())
	t.buckets[bucket] += next.version(o.Path()).hash() - old.version(o.Path()).hash()
	t.highest = max(t.highest, o.Version())
	t.items[o.Path()] = next
	return outcome
}

// parseObject parses and validates one object.
func (t *Tables) parseObject(o store.Object) (parsedObject, error) {
	if o.Deleted() {
		return parsedObject{}, nil
	}
	kind, err := KindOf(o.Path())
	if err != nil {
		return parsedObject{}, err
	}
	if kind == KindOther {
		for prefix, check := range t.checks {
			if strings.HasPrefix(o.Path(), prefix) {
				return parsedObject{}, check(o.Value())
			}
		}
		return parsedObject{}, nil
	}
	envelope, err := ParseEnvelope(o.Value())
	if err != nil {
		return parsedObject{}, errors.Wrap(err, o.Path())
	}
	object := parsedObject{envelope: envelope}
	if kind == KindFleet {
		object.fleet, err = ParseFleet(envelope.body)
	} else {
		object.body, err = parseBody(envelope.body, kind == KindService)
	}
	return object, errors.Wrap(err, o.Path())
}

// markChanged updates the fleet's settings if the path is theirs, and otherwise
// adds the team of the path to changedTeams: the policies of its services have
// to be resolved again.
func (t *Tables) markChanged(path string, changedTeams map[place.Team]bool) {
	if path == PathFleet {
		t.fleet = &Fleet{}
		if fleet := t.items[path].parsed.fleet; fleet != nil {
			t.fleet = fleet
		}
	}
	if rest, found := strings.CutPrefix(path, PrefixTeams); found {
		team, _, _ := strings.Cut(rest, "/")
		changedTeams[place.Team(team)] = true
	}
}

// resolveTeams returns a copy of the policies in which those of the changed
// teams are resolved anew.
func (t *Tables) resolveTeams(changedTeams map[place.Team]bool) map[place.Service]*Policy {
	policies := maps.Clone(t.policies)
	for path, i := range t.items {
		service, found := strings.CutPrefix(path, PrefixTeams)
		name := place.Service(service)
		if !found || name.Name() == "" || !changedTeams[name.Team()] {
			continue
		}
		delete(policies, name)
		if i.parsed.body != nil {
			policies[name] = t.resolve(name, t.region)
		}
	}
	return policies
}

// resolve resolves the policy of a service, which must have an object in
// force, for a region.
func (t *Tables) resolve(service place.Service, region place.Region) *Policy {
	teamPath := TeamPath(service.Team())
	servicePath := ServicePath(service)
	teamItem := t.items[teamPath]
	teamBody := teamItem.parsed.body
	if teamBody == nil {
		teamBody = &body{}
	}
	serviceItem := t.items[servicePath]
	return resolvePolicy(teamBody, serviceItem.parsed.body,
		Origin{path: teamPath, version: teamItem.inForce.Version()}, Origin{path: servicePath, version: serviceItem.inForce.Version()}, region)
}

// Policy returns the policy of a service in the region of the process, and
// false if the service has no settings.
func (t *Tables) Policy(service place.Service) (*Policy, bool) {
	policy, found := t.policies[service]
	return policy, found
}

// PolicyIn returns the policy of a service in the given region, and false if
// the service has no settings. It resolves the policy at each call and is too
// slow for the request path.
func (t *Tables) PolicyIn(service place.Service, region place.Region) (*Policy, bool) {
	if _, found := t.policies[service]; !found {
		return nil, false
	}
	return t.resolve(service, region), true
}

// CheckCaps returns an error that lists the diversions and allotments of a
// service above a cap that it inherits, nil if there are none. They are in
// force scaled down to the cap.
func (t *Tables) CheckCaps(service place.Service) error {
	serviceBody := t.items[ServicePath(service)].parsed.body
	if serviceBody == nil {
		return nil
	}
	return errors.Wrap(excess(t.resolve(service, ""), serviceBody), ServicePath(service))
}

// Services returns the sorted services that have settings.
func (t *Tables) Services() []place.Service { return slices.Sorted(maps.Keys(t.policies)) }

// Fleet returns the settings that belong to no team.
func (t *Tables) Fleet() *Fleet { return t.fleet }

// Object returns the object in force at a path, and false if there is none or
// it was deleted.
func (t *Tables) Object(path string) (store.Object, bool) {
	i, found := t.items[path]
	return i.inForce, found && i.inForce.Version() > 0 && !i.inForce.Deleted()
}

// Envelope returns the envelope of the object in force, nil if there is none.
func (t *Tables) Envelope(path string) *Envelope { return t.items[path].parsed.envelope }

// Since returns the time at which the object in force came into force in this
// process.
func (t *Tables) Since(path string) time.Time { return t.items[path].parsed.since }

// Problem returns the reason why the newest known version of the object was
// refused, nil if that version is in force.
func (t *Tables) Problem(path string) error { return t.items[path].problem }

// Paths returns the sorted paths with the prefix of all known objects,
// including deleted and refused ones.
func (t *Tables) Paths(prefix string) []string {
	var paths []string
	for path := range t.items {
		if strings.HasPrefix(path, prefix) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Version returns the versions of an object that the tables hold.
func (t *Tables) Version(path string) Version { return t.items[path].version(path) }

// HeldObjects returns every version of the object that the tables hold: the one
// in force, and the newest refused one if it is newer.
func (t *Tables) HeldObjects(path string) []store.Object {
	var held []store.Object
	i := t.items[path]
	for _, o := range []store.Object{i.inForce, i.refused} {
		if o.Version() > 0 {
			held = append(held, o)
		}
	}
	return held
}

// Digest returns the digest of the versions that the tables hold.
func (t *Tables) Digest() Digest {
	var hash uint64
	for _, bucket := range t.buckets {
		hash += bucket
	}
	return Digest{highest: t.highest, hash: hash}
}

// Buckets returns the hash of the versions in each bucket.
func (t *Tables) Buckets() [BucketCount]uint64 { return t.buckets }

// Versions returns the versions of the objects in buckets whose hash differs
// from the given one, sorted by path.
func (t *Tables) Versions(other [BucketCount]uint64) []Version {
	var versions []Version
	for path, i := range t.items {
		if bucket := bucketOf(path); t.buckets[bucket] != other[bucket] {
			versions = append(versions, i.version(path))
		}
	}
	slices.SortFunc(versions, func(a, b Version) int { return strings.Compare(a.path, b.path) })
	return versions
}
