package pick

import (
	"slices"
	"sync"
	"time"
)

const (
	// competitionTime is how long after a request of its priority a service counts
	// as asked for at this priority.
	competitionTime = time.Second
	// leastWaitShare is the part of the longest wait that requests of the lowest
	// priority may wait, and reservedShare the part of the slots that they leave
	// free. Those between the lowest and the highest get evenly spaced parts.
	leastWaitShare = 0.25
	reservedShare  = 0.25
	// shortLoad is the mean load per slot from which a service is short of room. From
	// 0.95 and 1 on, more requests of lower priority are refused than the others use
	// the room of.
	shortLoad = 1.2
	// levelsMax bounds the priorities that are tracked for a service.
	levelsMax = 16
)

// Priority is the priority of a request. The zero Priority means that priorities are
// ignored.
type Priority struct {
	level int
	known bool
}

// NewPriority returns the Priority of a level, 0 being the highest.
func NewPriority(level int) Priority { return Priority{level: level, known: true} }

// competition tracks the priorities of the recent requests for a service.
type competition struct {
	mu sync.Mutex
	// levels are sorted, the highest priority first.
	levels []level
}

// level is what is known of the requests of one priority.
type level struct {
	priority int
	seenAt   time.Time
	// aim is the shortest aim of its recent requests, as of aimAt.
	aim   time.Duration
	aimAt time.Time
}

// claim is what a request may take from a service that is short of room. The zero
// claim has no limit.
type claim struct {
	// limited is true if the service gets requests of higher priority.
	limited bool
	// rank is the position of the priority among those in use, from 0 for the
	// highest to 1 for the lowest.
	rank float64
	// shortestAim is the shortest aim of this and the higher priorities in use, and
	// longestAim the longest of this and the lower ones, 0 if none is known.
	shortestAim, longestAim time.Duration
}

// observe records a request and returns what it may take.
func (c *competition) observe(q Query, now time.Time) claim {
	if !q.Priority.known {
		return claim{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(q, now)
	result, position, inUse := claim{shortestAim: q.Aim, longestAim: q.Aim}, 0, 0
	for _, l := range c.levels {
		if now.Sub(l.seenAt) >= competitionTime {
			continue
		}
		inUse++
		switch {
		case l.priority > q.Priority.level:
			result.longestAim = max(result.longestAim, l.aim)
		case l.priority < q.Priority.level:
			position++
			if l.aim > 0 && (result.shortestAim <= 0 || l.aim < result.shortestAim) {
				result.shortestAim = l.aim
			}
		}
	}
	if position > 0 {
		result.limited, result.rank = true, float64(position)/float64(inUse-1)
	}
	return result
}

// record updates the level of a request. The caller holds c.mu.
func (c *competition) record(q Query, now time.Time) {
	i, found := slices.BinarySearchFunc(c.levels, q.Priority.level, func(l level, priority int) int { return l.priority - priority })
	if !found {
		if len(c.levels) >= levelsMax {
			c.levels = slices.DeleteFunc(c.levels, func(l level) bool { return now.Sub(l.seenAt) >= competitionTime })
		}
		if len(c.levels) >= levelsMax {
			// So many priorities at once are not told apart further.
			return
		}
		i, _ = slices.BinarySearchFunc(c.levels, q.Priority.level, func(l level, priority int) int { return l.priority - priority })
		c.levels = slices.Insert(c.levels, i, level{priority: q.Priority.level})
	}
	l := &c.levels[i]
	l.seenAt = now
	if q.Aim > 0 && (q.Aim <= l.aim || now.Sub(l.aimAt) >= competitionTime) {
		l.aim, l.aimAt = q.Aim, now
	}
}

// waitAim returns the aim that bounds the wait of a request in a standing queue. It is
// that of a request of lower priority if that is longer: otherwise the requests with the
// shorter aim would be refused first, whatever their priority.
func (q Query) waitAim() time.Duration { return max(q.Aim, q.claim.longestAim) }

// isShort reports whether a service with the mean load per target is short of room,
// or a target because of its standing queue.
func isShort(meanLoad float64, slots int, standing bool) bool {
	return standing || meanLoad >= shortLoad*float64(slots)
}

// mayTake reports whether the priority of a request lets it take room at a candidate
// (trunk reservation). While the candidate is short of room and the service gets
// requests of higher priority, the slots that are reserved for these count as taken,
// and the request may wait for a part of the shortest aim. The aim is what bounds the
// wait, and not the time left, because requests of higher priority would otherwise
// wait longer than their aim behind those of lower priority.
func (q Query) mayTake(x Candidate, e Estimate, times ServiceTimes) bool {
	if !q.claim.limited || !x.Short {
		return true
	}
	x.Load += reservedShare * float64(max(x.Member.Slots(), 1)) * q.claim.rank
	wait := Expect(x, times).Wait
	if wait == 0 {
		return true
	}
	longest := q.TimeLeft - (e.Total - e.Wait)
	if q.claim.shortestAim > 0 {
		longest = min(longest, q.claim.shortestAim)
	}
	return float64(wait) <= (1-(1-leastWaitShare)*q.claim.rank)*float64(longest)
}
