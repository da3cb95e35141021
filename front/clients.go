package front

import (
	"sync"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
)

const (
	// connectionsMin is how many connections to a target an entry may open
	// whatever its share is.
	connectionsMin = 4
	// connectionsDefault is how many connections an entry may open if the
	// configuration doesn't say how many the target accepts.
	connectionsDefault = 16
)

// targetClients holds one HTTP client for each target. It is safe for use by
// several goroutines.
type targetClients struct {
	dial     sender.DialFunc
	mu       sync.Mutex
	byTarget map[place.Target]*processClient
}

// processClient is the client of one process of a target. A target that
// restarts gets a new client.
type processClient struct {
	process fleet.Process
	client  *sender.Client
}

func newTargetClients(dial sender.DialFunc) *targetClients {
	return &targetClients{dial: dial, byTarget: map[place.Target]*processClient{}}
}

// get returns the client of the target's current process. It makes the client
// on first use, and closes the client of an earlier process. connections limits
// the connections that a new client keeps open at once.
func (c *targetClients) get(m *fleet.Member, connections int) *sender.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, found := c.byTarget[m.Target()]
	if found && cached.process == m.Process() {
		return cached.client
	}
	if found {
		cached.client.Close()
	}
	cached = &processClient{process: m.Process(), client: sender.New(m.Target(), m.Address(), connections, c.dial)}
	c.byTarget[m.Target()] = cached
	return cached.client
}

// closeStale removes the clients of targets that are no longer in the view or
// have another process now, and closes their idle connections.
func (c *targetClients) closeStale(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, cached := range c.byTarget {
		if m, found := view.Member(name); !found || m.Process() != cached.process {
			cached.client.Close()
			delete(c.byTarget, name)
		}
	}
}

// connectionShare returns how many connections to a target one entry may open.
// The entries divide half of what the target accepts equally among them, but
// each may open connectionsMin.
func connectionShare(accepted, entries int) int {
	if accepted <= 0 {
		return connectionsDefault
	}
	return max(accepted/(2*max(entries, 1)), connectionsMin)
}
