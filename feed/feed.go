package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/route"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// kinds are the objects that every process follows.
var kinds = []string{platform.KindConfig, platform.KindTargets, platform.KindEvacuations, platform.KindInstances}

// fieldRevision is the store's revision in the log.
const fieldRevision = "revision"

// Peers makes calls to other instances and knows which ones live.
type Peers interface {
	// Call sends a message to an instance and waits for its answer.
	Call(ctx context.Context, instance place.Instance, message wire.Message) (wire.Message, error)
	// Live returns the live instances of this availability zone, this one
	// among them, in the order of their names.
	Live() []place.Instance
	// Others returns the known instances of other availability zones.
	Others() []place.Instance
	// Find returns the instances that answer at the addresses.
	Find(ctx context.Context, addresses []string) []place.Instance
	// Learn takes in the instances that are registered at the platform.
	Learn(instances []platform.Instance)
}

// Feed is this process's copy of the platform's objects, and what is made from
// it. It is safe for use by several goroutines.
type Feed struct {
	self   place.Instance
	seeds  []string
	isSeed bool
	// watchWait is how long one watch waits for a change.
	watchWait time.Duration
	zones     map[string]place.Zone
	store     *platform.Store
	peers     Peers
	now       func() time.Time
	log       *logrus.Logger
	mirrors   map[string]*mirror

	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]

	// mu guards the book and the making of tables and views.
	mu       sync.Mutex
	book     *fleet.Book
	refused  map[place.Target]string
	onView   []func(*fleet.View)
	onTable  []func(*route.Table)
	changed  chan struct{}
	changeMu sync.Mutex

	source source
	// following tells that the instance of the zone that watches the store is
	// being followed.
	following atomic.Bool
}

// New makes a Feed that knows nothing yet.
func New(settings *platform.Settings, store *platform.Store, peers Peers, now func() time.Time, log *logrus.Logger) *Feed {
	f := &Feed{
		self: settings.Instance(), seeds: settings.Seeds(), isSeed: settings.IsSeed(), zones: settings.Zones(), store: store, peers: peers, now: now, log: log,
		watchWait: min(watchWaitMax, time.Duration(watchOfHistory*float64(settings.History()))),
		mirrors:   map[string]*mirror{}, refused: map[place.Target]string{}, changed: make(chan struct{}),
	}
	for _, kind := range kinds {
		f.mirrors[kind] = newMirror(kind)
	}
	f.book = fleet.NewBook(fleet.Times{Heartbeat: settings.Bounds().Heartbeat(), ColdTime: f.coldTime})
	f.view.Store(f.book.View())
	f.source.lost = now()
	return f
}

// coldTimeUnknown is taken for a service that the configuration doesn't name.
const coldTimeUnknown = 3 * time.Second

func (f *Feed) coldTime(service place.Service) time.Duration {
	if table := f.Table(); table != nil {
		if s, found := table.Service(service); found {
			return s.ColdTime()
		}
	}
	return coldTimeUnknown
}

// OnView makes the feed call listener with each new View. It has to be called
// before Run; the calls don't overlap.
func (f *Feed) OnView(listener func(*fleet.View)) { f.onView = append(f.onView, listener) }

// OnTable makes the feed call listener with each new Table. It has to be called
// before Run; the calls don't overlap.
func (f *Feed) OnTable(listener func(*route.Table)) { f.onTable = append(f.onTable, listener) }

// Table returns the configuration in force, nil before the first one.
func (f *Feed) Table() *route.Table { return f.table.Load() }

// View returns what is known of the targets.
func (f *Feed) View() *fleet.View { return f.view.Load() }

// Ready tells whether the process knows the configuration, the targets and the
// other instances, without which it can't tell its part of what they share.
func (f *Feed) Ready() bool {
	for _, kind := range kinds {
		if f.mirrors[kind].at() == 0 {
			return false
		}
	}
	return f.Table() != nil
}

// Run keeps the copy up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { f.runSource(ctx) })
	tasks.Go(func() { f.runRescue(ctx) })
	tasks.Go(func() { f.runCompare(ctx) })
	tasks.Go(func() { f.runExpiry(ctx) })
	tasks.Wait()
}

// expiryInterval is how often the feed looks for targets whose time to return
// is over.
const expiryInterval = 250 * time.Millisecond

func (f *Feed) runExpiry(ctx context.Context) {
	for wait.For(ctx, expiryInterval) {
		f.mu.Lock()
		if !f.book.NextExpiry().IsZero() && f.book.Expire(f.now()) {
			f.log.Info("Targets that the platform removed during its outage have not returned; they are taken as gone.")
			f.publishView()
		}
		f.mu.Unlock()
	}
}

// listed takes in all objects of a kind as of a revision.
func (f *Feed) listed(kind string, objects []platform.Object, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mirrors[kind].reset(objects, revision) {
		return
	}
	now := f.now()
	if kind == platform.KindTargets {
		reports := make([]fleet.Report, 0, len(objects))
		for _, o := range objects {
			if report, ok := f.report(o); ok {
				reports = append(reports, report)
			}
		}
		f.book.Reset(reports, now)
		f.publishView()
	} else {
		f.take(kind, objects)
	}
	f.signal()
}

// advanced takes in the changes of a kind between two revisions.
func (f *Feed) advanced(kind string, objects []platform.Object, after, to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.mirrors[kind].apply(objects, after, to)
	if len(news) == 0 {
		return
	}
	f.take(kind, news)
	f.signal()
}

// take makes from the objects what requests need.
func (f *Feed) take(kind string, objects []platform.Object) {
	switch kind {
	case platform.KindTargets:
		f.takeTargets(objects)
	case platform.KindConfig:
		for _, o := range objects {
			f.takeConfig(o)
		}
	case platform.KindEvacuations:
		f.takeEvacuations()
	case platform.KindInstances:
		f.takeInstances()
	}
}

func (f *Feed) takeTargets(objects []platform.Object) {
	now := f.now()
	for _, o := range objects {
		name := place.Target(o.Name())
		if o.Deleted() {
			delete(f.refused, name)
			f.book.Remove(name, now)
			f.log.WithFields(logrus.Fields{"target": name, fieldRevision: o.Revision()}).Info("A target was removed.")
			continue
		}
		report, ok := f.report(o)
		if !ok {
			f.book.Remove(name, now)
			continue
		}
		f.book.Put(report, now)
		f.log.WithFields(logrus.Fields{
			"target": name, "service": report.Service, "zone": report.Zone, "leaving": report.Leaving,
			"cold": report.Cold, "born": report.Born, fieldRevision: o.Revision(),
		}).Info("A target changed.")
	}
	f.publishView()
}

// report reads the entry of a target. One that can't be read is named in the
// log once.
func (f *Feed) report(o platform.Object) (fleet.Report, bool) {
	report, err := platform.DecodeTarget(o, f.zones)
	name := place.Target(o.Name())
	if err == nil {
		delete(f.refused, name)
		return report, true
	}
	if text := err.Error(); f.refused[name] != text {
		f.refused[name] = text
		f.log.WithError(err).WithField(fieldRevision, o.Revision()).Warn("An entry names no target that can be used.")
	}
	return report, false
}

// takeConfig puts a configuration into force if its version is greater than the
// present one's.
func (f *Feed) takeConfig(o platform.Object) {
	if !platform.IsConfig(o) {
		return
	}
	table, err := platform.DecodeTable(o)
	if err != nil {
		f.log.WithError(err).WithField(fieldRevision, o.Revision()).Error("A configuration is refused; the last good one stays in force.")
		return
	}
	if present := f.Table(); present != nil && table.Version() <= present.Version() {
		return
	}
	f.table.Store(table)
	f.log.WithFields(logrus.Fields{"version": table.Version(), "routes": table.Routes(), fieldRevision: o.Revision()}).Info("A configuration is in force.")
	for _, listener := range f.onTable {
		listener(table)
	}
}

func (f *Feed) takeEvacuations() {
	evacuations := f.mirrors[platform.KindEvacuations].list()
	names := make([]string, 0, len(evacuations))
	for _, o := range evacuations {
		names = append(names, o.Name())
	}
	zones := platform.DecodeEvacuations(names, f.zones)
	f.book.Evacuate(zones, f.now())
	f.publishView()
	f.log.WithField("zones", zones).Info("The evacuated zones changed.")
}

func (f *Feed) takeInstances() {
	var instances []platform.Instance
	for _, o := range f.mirrors[platform.KindInstances].list() {
		instance, err := platform.DecodeInstance(o)
		if err != nil {
			f.log.WithError(err).Warn("An entry names no instance that can be used.")
			continue
		}
		instances = append(instances, instance)
	}
	f.peers.Learn(instances)
}

// Chill notes that a target said of itself that it is cold for so long.
func (f *Feed) Chill(target place.Target, cold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Chill(target, f.now().Add(cold))
	f.publishView()
}

func (f *Feed) publishView() {
	view := f.book.View()
	f.view.Store(view)
	for _, listener := range f.onView {
		listener(view)
	}
}

// signal wakes those who wait for a change.
func (f *Feed) signal() {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) changes() <-chan struct{} {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	return f.changed
}

// Follow answers an instance that follows this one.
func (f *Feed) Follow(ctx context.Context, ask *wire.Follow) *wire.Followed {
	timer := time.NewTimer(time.Duration(ask.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := f.changes()
		if answer, news := f.answer(ask); news {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			answer, _ := f.answer(ask)
			return answer
		case <-ctx.Done():
			return &wire.Followed{}
		}
	}
}

// answerBytesMax bounds the objects in one answer. What doesn't fit is asked
// for again.
const answerBytesMax = 3 << 20

func (f *Feed) answer(ask *wire.Follow) (answer *wire.Followed, news bool) {
	answer = &wire.Followed{AgeMillis: f.Age().Milliseconds()}
	left := answerBytesMax
	for _, kind := range kinds {
		objects, revision, whole, known := f.mirrors[kind].since(ask.After[kind])
		if !known || (len(objects) == 0 && !whole && revision <= ask.After[kind]) {
			continue
		}
		part := f.part(kind, objects, revision, whole)
		if left -= size(part); left < 0 && len(answer.Kinds) > 0 {
			break
		}
		news = news || whole || len(objects) > 0
		answer.Kinds = append(answer.Kinds, part)
	}
	return answer, news
}

// packLeast is from how many objects on a whole list is compressed: below, it
// fits into few packets as it is.
const packLeast = 50

// part makes the answer for one kind. A whole list is compressed once for all
// that ask for it within packedTime, though it has changed since: they ask for
// the changes next.
func (f *Feed) part(kind string, objects []platform.Object, revision uint64, whole bool) wire.FollowedKind {
	part := wire.FollowedKind{Kind: kind, Revision: revision, Whole: whole}
	if !whole || len(objects) < packLeast {
		part.Objects = pack(objects)
		return part
	}
	m := f.mirrors[kind]
	if packed, at, held := m.packedList(f.now()); held {
		part.Packed, part.Revision = packed, at
		return part
	}
	packed, err := wire.PackObjects(pack(objects))
	if err != nil {
		f.log.WithError(err).WithField("kind", kind).Error("A list can't be compressed; it is sent as it is.")
		part.Objects = pack(objects)
		return part
	}
	m.keepPacked(packed, revision, f.now())
	part.Packed = packed
	return part
}

func pack(objects []platform.Object) []wire.FollowedObject {
	packed := make([]wire.FollowedObject, 0, len(objects))
	for _, o := range objects {
		packed = append(packed, wire.FollowedObject{Name: o.Name(), Revision: o.Revision(), Deleted: o.Deleted(), Spec: o.Spec()})
	}
	return packed
}

func size(part wire.FollowedKind) int {
	total := len(part.Packed)
	for _, o := range part.Objects {
		total += len(o.Name) + len(o.Spec)
	}
	return total
}

// followed takes in what another instance knows.
func (f *Feed) followed(ask *wire.Follow, answer *wire.Followed) {
	for _, k := range answer.Kinds {
		if !slices.Contains(kinds, k.Kind) {
			continue
		}
		came, err := unpacked(k)
		if err != nil {
			f.log.WithError(err).WithField("kind", k.Kind).Warn("What another instance sent can't be read; it is asked again.")
			continue
		}
		objects := make([]platform.Object, 0, len(came))
		for _, o := range came {
			objects = append(objects, platform.NewObject(o.Name, o.Revision, o.Spec, o.Deleted))
		}
		if k.Whole {
			f.listed(k.Kind, objects, k.Revision)
		} else {
			f.advanced(k.Kind, objects, ask.After[k.Kind], k.Revision)
		}
	}
}

func unpacked(k wire.FollowedKind) ([]wire.FollowedObject, error) {
	if len(k.Packed) == 0 {
		return k.Objects, nil
	}
	objects, err := wire.UnpackObjects(k.Packed)
	return objects, errors.Wrap(err, "read a list")
}

func (f *Feed) ask(patience time.Duration) *wire.Follow {
	after := make(map[string]uint64, len(kinds))
	for _, kind := range kinds {
		after[kind] = f.mirrors[kind].at()
	}
	return &wire.Follow{After: after, WaitMillis: patience.Milliseconds()}
}

// Knows tells whether the registered instances are known.
func (f *Feed) Knows() bool { return f.mirrors[platform.KindInstances].at() > 0 }

// Registered tells whether the store holds the instance just so.
func (f *Feed) Registered(own platform.Instance) bool {
	for _, o := range f.mirrors[platform.KindInstances].list() {
		if held, err := platform.DecodeInstance(o); err == nil && held == own {
			return true
		}
	}
	return false
}
