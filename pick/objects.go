package pick

import (
	"sync"
	"time"

	"github.com/endivechute/endivechute/fleet"
)

const (
	// objectRows is the size of the table of recently used objects. Two objects
	// that map to the same row evict each other.
	objectRows = 4096
	// objectTargets is the number of targets recorded for an object.
	objectTargets = 3
	// objectAge is how long after the last request for an object its target is
	// assumed to have the object cached.
	objectAge = 30 * time.Second
)

type recentProcess struct {
	process fleet.Process
	at      time.Time
}

type objectRow struct {
	object uint64
	recent [objectTargets]recentProcess
}

// objectTable records which targets recently handled an object, and so probably
// have it cached.
type objectTable struct {
	mu   sync.Mutex
	rows map[uint64]*objectRow
}

func newObjectTable() *objectTable { return &objectTable{rows: map[uint64]*objectRow{}} }

func (o *objectTable) record(object uint64, process fleet.Process, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	row := o.rows[object%objectRows]
	if row == nil || row.object != object {
		row = &objectRow{object: object}
		o.rows[object%objectRows] = row
	}
	oldest := 0
	for i := range row.recent {
		if row.recent[i].process == process {
			oldest = i
			break
		}
		if row.recent[i].at.Before(row.recent[oldest].at) {
			oldest = i
		}
	}
	row.recent[oldest] = recentProcess{process: process, at: now}
}

// recentProcesses returns the target processes that recently handled the object.
// Unused elements are zero.
func (o *objectTable) recentProcesses(object uint64, now time.Time) [objectTargets]fleet.Process {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found [objectTargets]fleet.Process
	row := o.rows[object%objectRows]
	if row == nil || row.object != object {
		return found
	}
	for i, s := range row.recent {
		if now.Sub(s.at) < objectAge {
			found[i] = s.process
		}
	}
	return found
}
