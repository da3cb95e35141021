package pick

import (
	"sync"
	"time"

	"github.com/endivechute/endivechute/fleet"
)

const (
	// objectRows bounds what is kept of which target knows which object. Two
	// objects that share a row push each other out.
	objectRows = 4096
	// objectTargets is how many targets are kept for an object.
	objectTargets = 3
	// objectAge is how long a target is taken to know an object that it was not
	// sent again.
	objectAge = 30 * time.Second
)

type sighting struct {
	process fleet.Process
	at      time.Time
}

type objectRow struct {
	object uint64
	seen   [objectTargets]sighting
}

// objects keeps which targets handled an object of late.
type objects struct {
	mu   sync.Mutex
	rows map[uint64]*objectRow
}

func newObjects() *objects { return &objects{rows: map[uint64]*objectRow{}} }

func (o *objects) note(object uint64, process fleet.Process, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	row := o.rows[object%objectRows]
	if row == nil || row.object != object {
		row = &objectRow{object: object}
		o.rows[object%objectRows] = row
	}
	oldest := 0
	for i := range row.seen {
		if row.seen[i].process == process {
			oldest = i
			break
		}
		if row.seen[i].at.Before(row.seen[oldest].at) {
			oldest = i
		}
	}
	row.seen[oldest] = sighting{process: process, at: now}
}

// familiar returns which processes know the object.
func (o *objects) familiar(object uint64, now time.Time) [objectTargets]fleet.Process {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found [objectTargets]fleet.Process
	row := o.rows[object%objectRows]
	if row == nil || row.object != object {
		return found
	}
	for i, s := range row.seen {
		if now.Sub(s.at) < objectAge {
			found[i] = s.process
		}
	}
	return found
}
