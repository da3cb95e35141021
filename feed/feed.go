package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// kinds are the kinds of objects of which every process keeps a copy.
var kinds = []string{platform.KindConfig, platform.KindTargets, platform.KindEvacuations, platform.KindInstances}

// Fields of log lines.
const (
	fieldRevision = "revision" // of the store
	fieldKind     = "kind"     // of the store's objects
)

// Peers makes calls to other instances and knows which of them are live.
type Peers interface {
	// Call sends a message to an instance and waits for its answer.
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
	// Live returns the live instances of this availability zone, this one
	// included, ordered by name.
	Live() []place.Instance
	// InZone returns the other registered instances of this availability zone,
	// whether or not they are live.
	InZone() []place.Instance
	// OtherZones returns the known instances of other availability zones.
	OtherZones() []place.Instance
	// Resolve returns the instances that answer at the addresses, the nearest
	// first.
	Resolve(ctx context.Context, addresses []string) []place.Instance
	// SetInstances sets the instances that are registered at the platform.
	SetInstances(instances []platform.Instance)
}

// Feed keeps this process's copy of the platform's objects, and the routes and
// targets derived from it. It is safe for use by several goroutines.
type Feed struct {
	self   place.Instance
	seeds  []string
	isSeed bool
	// watchWait limits how long one watch waits for a change.
	watchWait time.Duration
	zones     map[string]place.Zone
	store     *platform.Store
	peers     Peers
	now       func() time.Time
	log       *logrus.Logger
	mirrors   map[string]*mirror

	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]

	// mu guards registry and decodeErrors, and the creation of tables and
	// views.
	mu             sync.Mutex
	registry       *fleet.Registry
	decodeErrors   map[place.Target]string
	viewListeners  []func(*fleet.View)
	tableListeners []func(*route.Table)
	changed        chan struct{}
	changeMu       sync.Mutex

	source source
	// followingPeer is set while this process follows the instance that watches
	// the store for the zone.
	followingPeer atomic.Bool
}

// New makes a Feed without data. Run fills it.
func New(settings *platform.Settings, store *platform.Store, peers Peers, now func() time.Time, log *logrus.Logger) *Feed {
	f := &Feed{
		self: settings.Instance(), seeds: settings.Seeds(), isSeed: settings.IsSeed(), zones: settings.Zones(), store: store, peers: peers, now: now, log: log,
		watchWait: min(watchWaitMax, time.Duration(watchHistoryFraction*float64(settings.History()))),
		mirrors:   map[string]*mirror{}, decodeErrors: map[place.Target]string{}, changed: make(chan struct{}),
	}
	for _, kind := range kinds {
		f.mirrors[kind] = newMirror(kind, fleet.RelistTime+fleet.RemovalHeartbeats*settings.Bounds().Heartbeat())
	}
	f.registry = fleet.NewRegistry(fleet.Timing{Heartbeat: settings.Bounds().Heartbeat(), ColdTime: f.coldTime})
	f.view.Store(f.registry.View())
	f.source.unconfirmedSince = now()
	f.source.heardAt = f.source.unconfirmedSince
	return f
}

// coldTimeDefault is the cold time of a service that the configuration doesn't
// contain.
const coldTimeDefault = 3 * time.Second

// coldTime returns how long a target of the service is cold after its start.
func (f *Feed) coldTime(service place.Service) time.Duration {
	if table := f.Table(); table != nil {
		if s, found := table.Service(service); found {
			return s.ColdTime()
		}
	}
	return coldTimeDefault
}

// OnView registers a listener for new Views. It must be called before Run.
// Calls of the listeners don't overlap.
func (f *Feed) OnView(listener func(*fleet.View)) {
	f.viewListeners = append(f.viewListeners, listener)
}

// OnTable registers a listener for new Tables. It must be called before Run.
// Calls of the listeners don't overlap.
func (f *Feed) OnTable(listener func(*route.Table)) {
	f.tableListeners = append(f.tableListeners, listener)
}

// Table returns the configuration in force, nil if there is none yet.
func (f *Feed) Table() *route.Table { return f.table.Load() }

// View returns the known targets.
func (f *Feed) View() *fleet.View { return f.view.Load() }

// Ready reports whether the configuration, the targets, the evacuations and the
// registered instances are known. Without the instances the process can't
// compute its share of fleet-wide limits.
func (f *Feed) Ready() bool {
	for _, kind := range kinds {
		if !f.mirrors[kind].isLoaded() {
			return false
		}
	}
	return f.Table() != nil
}

// Run keeps the copy up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { f.runSource(ctx) })
	tasks.Go(func() { f.runFallback(ctx) })
	tasks.Go(func() { f.runCompare(ctx) })
	tasks.Go(func() { f.runExpiry(ctx) })
	tasks.Wait()
}

// expiryInterval is the time between two checks for targets that the platform
// removed during an outage of its store, and that have not returned within
// fleet.RelistTime.
const expiryInterval = 250 * time.Millisecond

// runExpiry removes what has not returned after an outage of the store, until ctx
// ends.
func (f *Feed) runExpiry(ctx context.Context) {
	for wait.Sleep(ctx, expiryInterval) {
		f.mu.Lock()
		if !f.registry.NextExpiry().IsZero() && f.registry.Expire(f.now()) {
			f.log.Info("Targets that the platform removed during its outage have not returned and are dropped.")
			f.publishView()
		}
		for _, kind := range kinds {
			if changed := f.mirrors[kind].expire(f.now()); len(changed) > 0 {
				f.log.WithFields(logrus.Fields{fieldKind: kind, "objects": len(changed)}).Info("The restored store's state of objects that were not written again is in force.")
				f.update(kind, changed)
			}
		}
		f.mu.Unlock()
	}
}

// applyList replaces the copy of a kind by all its objects at a position.
func (f *Feed) applyList(kind string, objects []platform.Object, position platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	now := f.now()
	before := m.position()
	if kind == platform.KindConfig {
		objects = f.keepNewerConfig(objects, position)
	}
	accepted, restored := m.reset(objects, position, now)
	if !accepted {
		return
	}
	if restored {
		f.log.WithFields(logrus.Fields{fieldKind: kind, "era": position.Era(), fieldRevision: position.Revision(), "era_before": before.Era(), "revision_before": before.Revision()}).
			Warn("The store was restored from a copy.")
	}
	if kind == platform.KindTargets {
		if restored {
			f.registry.StoreRestored(now)
		}
		effective := m.list()
		reports := make([]fleet.Report, 0, len(effective))
		for _, o := range effective {
			if report, ok := f.decodeTarget(o); ok {
				reports = append(reports, report)
			}
		}
		f.registry.Reset(reports, now)
		f.publishView()
	} else {
		f.update(kind, m.list())
	}
	f.notifyChanged()
}

// keepNewerConfig replaces a restored configuration that is older than the one in
// force by the latter, so that other instances don't get the older one from here.
func (f *Feed) keepNewerConfig(objects []platform.Object, position platform.Position) []platform.Object {
	m := f.mirrors[platform.KindConfig]
	current := f.Table()
	if current == nil || position.Era() == m.position().Era() {
		return objects
	}
	kept := slices.Clone(objects)
	for i, o := range kept {
		if !platform.IsConfig(o) {
			continue
		}
		table, _, err := platform.DecodeTable(o)
		inForce, found := m.object(o.Name())
		if found && (err != nil || table.Version() < current.Version()) {
			kept[i] = platform.NewObject(o.Name(), o.Revision(), inForce.Spec(), false)
		}
	}
	return kept
}

// applyChanges applies the changes of a kind between two positions.
func (f *Feed) applyChanges(kind string, objects []platform.Object, after, to platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.mirrors[kind].apply(objects, after, to, f.now())
	if len(changed) == 0 {
		return
	}
	f.update(kind, changed)
	f.notifyChanged()
}

// update derives what requests need from objects that changed.
func (f *Feed) update(kind string, objects []platform.Object) {
	switch kind {
	case platform.KindTargets:
		f.updateTargets(objects)
	case platform.KindConfig:
		for _, o := range objects {
			f.updateConfig(o)
		}
	case platform.KindEvacuations:
		f.updateEvacuations()
	case platform.KindInstances:
		f.updateInstances()
	}
}

func (f *Feed) updateTargets(objects []platform.Object) {
	now := f.now()
	for _, o := range objects {
		name := place.Target(o.Name())
		if o.Deleted() {
			delete(f.decodeErrors, name)
			f.registry.Remove(name, now)
			f.log.WithFields(logrus.Fields{"target": name, fieldRevision: o.Revision()}).Info("A target was removed.")
			continue
		}
		report, ok := f.decodeTarget(o)
		if !ok {
			f.registry.Remove(name, now)
			continue
		}
		f.registry.Put(report, now)
		f.log.WithFields(logrus.Fields{
			"target": name, "service": report.Service, "zone": report.Zone, "leaving": report.Leaving,
			"cold": report.Cold, "born": report.Born, fieldRevision: o.Revision(),
		}).Info("A target changed.")
	}
	f.publishView()
}

// decodeTarget decodes the store's entry of a target. It logs an invalid entry
// once, and again if the error changes.
func (f *Feed) decodeTarget(o platform.Object) (fleet.Report, bool) {
	report, err := platform.DecodeTarget(o, f.zones)
	name := place.Target(o.Name())
	if err == nil {
		delete(f.decodeErrors, name)
		return report, true
	}
	if text := err.Error(); f.decodeErrors[name] != text {
		f.decodeErrors[name] = text
		f.log.WithError(err).WithField(fieldRevision, o.Revision()).Warn("The entry of a target is invalid; the target is not used.")
	}
	return report, false
}

// updateConfig puts a configuration into force if its version is greater than
// the current one's.
func (f *Feed) updateConfig(o platform.Object) {
	if !platform.IsConfig(o) {
		return
	}
	table, problems, err := platform.DecodeTable(o)
	if err != nil {
		f.log.WithError(err).WithField(fieldRevision, o.Revision()).Error("A configuration is invalid; the last valid one stays in force.")
		return
	}
	if current := f.Table(); current != nil && table.Version() <= current.Version() {
		return
	}
	for _, problem := range problems {
		f.log.WithError(problem).WithField(fieldRevision, o.Revision()).Warn("A part of a configuration is invalid; the other parts are in force.")
	}
	f.table.Store(table)
	f.log.WithFields(logrus.Fields{"version": table.Version(), "routes": table.Routes(), "tenants": len(table.Tenants().Tenants()), fieldRevision: o.Revision()}).Info("A configuration is in force.")
	for _, listener := range f.tableListeners {
		listener(table)
	}
}

func (f *Feed) updateEvacuations() {
	evacuations := f.mirrors[platform.KindEvacuations].list()
	names := make([]string, 0, len(evacuations))
	for _, o := range evacuations {
		names = append(names, o.Name())
	}
	zones := platform.DecodeEvacuations(names, f.zones)
	f.registry.Evacuate(zones, f.now())
	f.publishView()
	f.log.WithField("zones", zones).Info("The evacuated zones changed.")
}

func (f *Feed) updateInstances() {
	var instances []platform.Instance
	for _, o := range f.mirrors[platform.KindInstances].list() {
		instance, err := platform.DecodeInstance(o)
		if err != nil {
			f.log.WithError(err).Warn("The entry of an instance is invalid; the instance is not used.")
			continue
		}
		instances = append(instances, instance)
	}
	f.peers.SetInstances(instances)
}

// MarkLeaving records that a process of a target announced in an answer that it
// leaves. It reports whether that was unknown.
func (f *Feed) MarkLeaving(process fleet.Process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.registry.MarkLeaving(process, f.now()) {
		return false
	}
	f.publishView()
	return true
}

// LeavingListed returns at most limit processes of targets that announced that they
// leave and are still in the platform's list, the last ones first.
func (f *Feed) LeavingListed(limit int) []fleet.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.LeavingListed(limit)
}

// Leaving returns the number of processes of targets that are known to leave,
// whatever the platform's list says.
func (f *Feed) Leaving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Leaving()
}

// SetCold records that a target reported itself cold for the given time.
func (f *Feed) SetCold(target place.Target, cold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.SetColdUntil(target, f.now().Add(cold))
	f.publishView()
}

func (f *Feed) publishView() {
	view := f.registry.View()
	f.view.Store(view)
	for _, listener := range f.viewListeners {
		listener(view)
	}
}

// notifyChanged wakes the goroutines that wait for a change.
func (f *Feed) notifyChanged() {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// changedChannel returns a channel that is closed at the next change.
func (f *Feed) changedChannel() <-chan struct{} {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	return f.changed
}

// Era returns the earliest era of the store that a kind of objects here is from.
func (f *Feed) Era() uint64 {
	era := f.mirrors[kinds[0]].position().Era()
	for _, kind := range kinds[1:] {
		era = min(era, f.mirrors[kind].position().Era())
	}
	return era
}

// KnowsInstances reports whether the registered instances are known.
func (f *Feed) KnowsInstances() bool { return f.mirrors[platform.KindInstances].isLoaded() }

// Registered returns the instance as it is registered in the store, and whether it
// is.
func (f *Feed) Registered(name place.Instance) (platform.Instance, bool) {
	for _, o := range f.mirrors[platform.KindInstances].stored() {
		if registered, err := platform.DecodeInstance(o); err == nil && registered.Name() == name {
			return registered, true
		}
	}
	return platform.Instance{}, false
}

// IsRegistered reports whether the store has the instance with exactly these
// values. A registration that a restored store lacks doesn't count.
func (f *Feed) IsRegistered(own platform.Instance) bool {
	registered, found := f.Registered(own.Name())
	return found && registered == own
}
