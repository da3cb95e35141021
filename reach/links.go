// Package reach decides whether an entry still reaches the targets of a service, and
// through which other entry its requests go while it doesn't. It does no I/O and
// takes the current time as an argument.
package reach

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/place"
)

const (
	// missesMin is the number of different targets that an entry fails to reach, with
	// no answer from another one in between, from which its links count as cut. Of
	// fewer targets it is all.
	missesMin = 3
	// confirmTime is how long no target may have answered since the first of them was
	// missed. Targets that crash together are missed within milliseconds, while others
	// go on answering.
	confirmTime = 150 * time.Millisecond
	// provenMin is the number of different targets that have to answer probes until
	// the links count as sound again.
	provenMin = 2
	// provenGap is how long no target may answer a probe before the links have to be
	// proven anew. Some probes fail anyway, because targets are gone.
	provenGap = 750 * time.Millisecond
	// flapWindow is how soon after the end of a cut the next one counts as the same
	// fault that comes and goes.
	flapWindow = 10 * time.Second
	// holdMin and holdMax bound how long targets have to answer probes before links
	// that were cut repeatedly count as sound. The time doubles with each cut.
	holdMin = time.Second
	holdMax = 4 * time.Second
)

// Scope is a set of targets that requests may go to: those of a service, or those of
// them that are in certain regions.
type Scope struct {
	service place.Service
	// regions lists the regions in order, separated by commas. It is empty for all.
	regions string
}

// NewScope returns the Scope of the targets of a service in the regions, or in all if
// there are none.
func NewScope(service place.Service, regions []place.Region) Scope {
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	slices.Sort(names)
	return Scope{service: service, regions: strings.Join(names, ",")}
}

// Service returns the service of the targets.
func (s Scope) Service() place.Service { return s.service }

// Contains reports whether the targets of the service in a region are in the scope.
func (s Scope) Contains(region place.Region) bool {
	return s.regions == "" || slices.Contains(strings.Split(s.regions, ","), string(region))
}

// Links keeps track of which targets this entry reaches. It answers the load pattern
// of an entry whose links to targets are cut while callers and other entries still
// reach it: each request would wait for one connection after the other. Targets that
// are gone don't make it lose the others, because these answer meanwhile. It is safe
// for concurrent use.
type Links struct {
	// pending counts the parts that are suspected or lost, so that Pending needs no
	// lock.
	pending atomic.Int64

	mu sync.Mutex
	// all is the state of the targets of all services together.
	all    part
	scopes map[Scope]*part
	// provenAt is when a target of a service last answered over a new connection.
	provenAt map[place.Service]time.Time
}

// part is the state of a set of targets.
type part struct {
	answeredAt time.Time
	// missed are the targets that were missed since then, the first one at missedAt,
	// and services their services. needed is how many of them make a loss.
	missed   []place.Target
	missedAt time.Time
	services []place.Service
	needed   int
	lost     bool
	// lostAt and regainedAt are the times of the last changes.
	lostAt, regainedAt time.Time
	// hold is how long targets have to answer probes. proven are those that did
	// since provenAt, the last one at lastProvenAt.
	hold                   time.Duration
	proven                 []place.Target
	provenAt, lastProvenAt time.Time
}

// NewLinks returns Links to targets that are all in reach.
func NewLinks() *Links {
	return &Links{scopes: map[Scope]*part{}, provenAt: map[place.Service]time.Time{}}
}

// partOf returns the state of a scope. The caller holds l.mu.
func (l *Links) partOf(scope Scope) *part {
	p, found := l.scopes[scope]
	if !found {
		p = &part{}
		l.scopes[scope] = p
	}
	return p
}

// update applies a change to a part and keeps count of the pending ones. The caller
// holds l.mu.
func (l *Links) update(p *part, change func(*part)) {
	before := p.pending()
	change(p)
	switch after := p.pending(); {
	case after && !before:
		l.pending.Add(1)
	case before && !after:
		l.pending.Add(-1)
	}
}

func (p *part) pending() bool { return p.lost || len(p.missed) > 0 }

// suspected reports whether enough targets were missed for a loss.
func (p *part) suspected() bool { return len(p.missed) > 0 && len(p.missed) >= p.needed }

// Answered records that a target in the scope answered a request that was sent at the
// given time. An answer to a request that was sent after a loss ends it. It reports
// whether that was so.
func (l *Links) Answered(scope Scope, sent, now time.Time) (regained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range []*part{&l.all, l.partOf(scope)} {
		l.update(p, func(p *part) {
			p.answeredAt, p.missed, p.services = now, nil, nil
			if p.lost && sent.After(p.lostAt) {
				p.regain(now)
				regained = true
			}
		})
	}
	return regained
}

// Missed records that a connection to a target in the scope could not be opened, or
// that nothing came back on it until the deadline, in an attempt that began at the given time.
// targets is the number of targets in the scope. Attempts that began before the last
// answer don't count.
func (l *Links) Missed(scope Scope, target place.Target, targets int, began, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range []*part{&l.all, l.partOf(scope)} {
		if p.lost || !began.After(p.answeredAt) {
			continue
		}
		l.update(p, func(p *part) {
			if len(p.missed) == 0 {
				p.missedAt, p.needed = now, missesMin
			}
			if p != &l.all {
				p.needed = max(min(missesMin, targets), 1)
			}
			if !slices.Contains(p.missed, target) {
				p.missed = append(p.missed, target)
			}
			if !slices.Contains(p.services, scope.service) {
				p.services = append(p.services, scope.service)
			}
		})
	}
}

// Check reports whether targets are out of reach from now on that weren't at the last
// call.
func (l *Links) Check(now time.Time) (lost bool) {
	if !l.Pending() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lost = l.check(&l.all, now) && len(l.all.services) > 1
	if lost {
		l.lose(&l.all, now)
	}
	for _, p := range l.scopes {
		if l.check(p, now) {
			l.lose(p, now)
			lost = true
		}
	}
	return lost
}

func (l *Links) check(p *part, now time.Time) bool {
	return !p.lost && p.suspected() && now.Sub(p.missedAt) >= confirmTime
}

// lose begins the loss of a part. The caller holds l.mu.
func (l *Links) lose(p *part, now time.Time) {
	l.update(p, func(p *part) {
		p.hold = min(max(2*p.hold, holdMin), holdMax)
		if p.regainedAt.IsZero() || now.Sub(p.regainedAt) > flapWindow {
			p.hold = 0
		}
		p.lost, p.lostAt, p.missed, p.services, p.proven = true, now, nil, nil, nil
	})
}

// Proven records that a target in the scope answered a probe over a new connection. It
// reports whether that ended a loss.
func (l *Links) Proven(scope Scope, target place.Target, targets int, now time.Time) (regained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.provenAt[scope.service] = now
	for _, p := range []*part{&l.all, l.partOf(scope)} {
		l.update(p, func(p *part) {
			p.answeredAt, p.missed, p.services = now, nil, nil
			if !p.lost {
				return
			}
			if len(p.proven) == 0 || now.Sub(p.lastProvenAt) > provenGap {
				p.proven, p.provenAt = nil, now
			}
			p.lastProvenAt = now
			if !slices.Contains(p.proven, target) {
				p.proven = append(p.proven, target)
			}
			if len(p.proven) >= min(provenMin, targets) && now.Sub(p.provenAt) >= p.hold {
				p.regain(now)
				regained = true
			}
		})
	}
	return regained
}

// regain ends the loss of a part. Attempts that began during it don't count any more.
func (p *part) regain(now time.Time) {
	p.lost, p.regainedAt, p.answeredAt, p.proven = false, now, now, nil
}

// Pending reports whether any targets are out of reach, or may be. It takes no lock.
func (l *Links) Pending() bool { return l.pending.Load() > 0 }

// Doubtful returns the scopes that are out of reach or may be, and have to be probed.
func (l *Links) Doubtful() []Scope {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubtful []Scope
	for scope, p := range l.scopes {
		if p.lost || p.suspected() || l.all.lost {
			doubtful = append(doubtful, scope)
		}
	}
	return doubtful
}

// Forget drops what is known of the scopes for which gone returns true.
func (l *Links) Forget(gone func(Scope) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for scope, p := range l.scopes {
		if gone(scope) {
			l.update(p, func(p *part) { *p = part{} })
			delete(l.scopes, scope)
		}
	}
}

// Lost reports whether the targets in the scope are out of reach.
func (l *Links) Lost(scope Scope) bool {
	if !l.Pending() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p, found := l.scopes[scope]
	return l.all.lost || found && p.lost
}

// LostService reports whether any targets of the service are out of reach.
func (l *Links) LostService(service place.Service) bool {
	if !l.Pending() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all.lost {
		return true
	}
	for scope, p := range l.scopes {
		if scope.service == service && p.lost {
			return true
		}
	}
	return false
}

// LostAll reports whether this entry reaches no target at all: all that it has sent
// requests to are out of reach.
func (l *Links) LostAll() bool {
	if !l.Pending() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all.lost {
		return true
	}
	for _, p := range l.scopes {
		if !p.lost {
			return false
		}
	}
	return len(l.scopes) > 0
}

// LostAt returns when targets of the service were last lost, the zero time if they
// never were.
func (l *Links) LostAt(service place.Service) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.all.lostAt
	for scope, p := range l.scopes {
		if scope.service == service && p.lostAt.After(latest) {
			latest = p.lostAt
		}
	}
	return latest
}

// ProvenSince reports whether a target of the service has answered over a new connection
// since the given time. Otherwise what this entry failed to reach then says nothing
// about the targets; kept connections may live on while no new ones can be opened.
func (l *Links) ProvenSince(service place.Service, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provenAt[service].After(at)
}
