package front

import (
	"sync"

	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
)

const (
	// connectionsLeast is how many connections to a target an entry may always
	// open.
	connectionsLeast = 4
	// connectionsUnknown is taken where the configuration doesn't say how many
	// connections a target accepts.
	connectionsUnknown = 16
)

// clients holds the connections to the targets.
type clients struct {
	mu      sync.Mutex
	targets map[place.Target]*processClient
}

// processClient is the client of one process of a target.
type processClient struct {
	process fleet.Process
	client  *sender.Client
}

func newClients() *clients { return &clients{targets: map[place.Target]*processClient{}} }

// of returns the client of the target's present process. connections bounds
// the connections that are open at once.
func (c *clients) of(m *fleet.Member, connections int) *sender.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, found := c.targets[m.Target()]
	if found && held.process == m.Process() {
		return held.client
	}
	if found {
		held.client.Close()
	}
	held = &processClient{process: m.Process(), client: sender.New(m.Target(), m.Address(), connections)}
	c.targets[m.Target()] = held
	return held.client
}

// keep closes the idle connections to targets that get no more requests.
func (c *clients) keep(view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, held := range c.targets {
		if m, found := view.Member(name); !found || m.Process() != held.process {
			held.client.Close()
			delete(c.targets, name)
		}
	}
}

// connectionShare returns how many connections to a target one of the entries
// may open, of those that the target accepts from all together.
func connectionShare(accepted, entries int) int {
	if accepted <= 0 {
		return connectionsUnknown
	}
	return max(accepted/(2*max(entries, 1)), connectionsLeast)
}
