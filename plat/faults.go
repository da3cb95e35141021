package plat

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/endivechute/endivechute/store"
)

// rosterHistoryMax is the number of lists of instances that are kept for the fault
// ListLagMillis.
const rosterHistoryMax = 1000

// Faults holds the faults that can be switched on while the fake platform runs.
type Faults struct {
	// Down closes every connection without a reply.
	Down bool `json:"down"`
	// SlowMillis delays each call, half of it before the call takes effect and
	// half after, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseReplies is how many of the next writes take effect without a reply.
	LoseReplies int `json:"lose_replies"`
	// ListLagMillis is the age of the list of instances, in milliseconds.
	ListLagMillis int `json:"list_lag_ms"`
	// FreezeList keeps the list of instances as it was when the fault was
	// switched on.
	FreezeList bool `json:"freeze_list"`
}

// control holds what the control calls change: the faults, the tokens and the list
// of instances. It also counts the calls.
type control struct {
	mutex   sync.Mutex
	faults  Faults
	changed chan struct{}
	tokens  map[string]string
	counts  map[string]uint64
	rosters []datedRoster
	frozen  *store.Roster
	now     func() time.Time
}

type datedRoster struct {
	since  time.Time
	roster store.Roster
}

func newControl(now func() time.Time) *control {
	return &control{changed: make(chan struct{}), counts: map[string]uint64{}, now: now}
}

func (c *control) setFaults(faults Faults) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if faults.FreezeList && c.frozen == nil {
		frozen := c.rosterLocked()
		c.frozen = &frozen
	}
	if !faults.FreezeList {
		c.frozen = nil
	}
	c.faults = faults
	close(c.changed)
	c.changed = make(chan struct{})
}

// currentFaults returns the current faults and a channel that is closed when they change.
func (c *control) currentFaults() (Faults, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faults, c.changed
}

// loseReply reports whether the reply to this write is to be lost, and counts it
// against LoseReplies.
func (c *control) loseReply() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults.LoseReplies <= 0 {
		return false
	}
	c.faults.LoseReplies--
	return true
}

func (c *control) setTokens(tokens map[string]string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tokens = tokens
}

// mayWrite reports whether the token permits writes to the path. A token permits
// one subtree or several, separated by commas. An empty subtree is the whole tree.
func (c *control) mayWrite(token, path string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.tokens) == 0 {
		return true
	}
	subtrees, found := c.tokens[token]
	if !found {
		return false
	}
	for subtree := range strings.SplitSeq(subtrees, ",") {
		if subtree == "" || path == subtree || strings.HasPrefix(path, strings.TrimSuffix(subtree, "/")+"/") {
			return true
		}
	}
	return false
}

func (c *control) countCall(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[kind]++
}

func (c *control) callCounts() map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}

func (c *control) setRoster(roster store.Roster) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rosters = append(c.rosters, datedRoster{since: c.now(), roster: roster})
	if len(c.rosters) > rosterHistoryMax {
		c.rosters = c.rosters[1:]
	}
}

func (c *control) roster() store.Roster {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rosterLocked()
}

func (c *control) rosterLocked() store.Roster {
	if c.frozen != nil {
		return *c.frozen
	}
	limit := c.now().Add(-time.Duration(c.faults.ListLagMillis) * time.Millisecond)
	for i := len(c.rosters) - 1; i >= 0; i-- {
		if !c.rosters[i].since.After(limit) || i == 0 {
			return c.rosters[i].roster
		}
	}
	return store.Roster{Entries: []store.Entry{}, Targets: []store.Target{}}
}
