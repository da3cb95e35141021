package model

import (
	"fmt"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/steer"
)

// sendToKeeper lets package steer choose a target by the entry's view, and sends
// the request to the keeper of that target.
func (w *world) sendToKeeper(entry int, r request) {
	i := w.choose(entry)
	if w.keepers[i] == entry {
		w.enqueue(i, r)
		return
	}
	w.views[entry][i].sent++
	w.result.messages += 2
	r.onEnd = func() {
		current := w.currentView(i)
		w.events.After(MessageDelay, func() { w.views[entry][i] = current })
	}
	w.events.After(MessageDelay, func() { w.enqueue(i, r) })
}

func (w *world) choose(entry int) int {
	candidates := make([]steer.Candidate, len(w.queues))
	for i := range w.queues {
		c := steer.NewCandidate(place.Target(fmt.Sprint(i)), "keeper")
		v := w.views[entry][i]
		if w.keepers[i] == entry {
			v = w.currentView(i)
		}
		if v.known {
			c = c.WithView(v.free, v.wait, 0, false, w.events.Now()-v.observedAt, v.sent)
		}
		candidates[i] = c
	}
	chosen := steer.Choose(candidates, w.parameters.service, w.random.IntN)[0].Target()
	for i := range candidates {
		if candidates[i].Target() == chosen {
			return i
		}
	}
	return 0
}

// currentView returns the current state of a target, which only its keeper knows.
func (w *world) currentView(i int) view {
	q := &w.queues[i]
	free := max(0, q.slots-q.running-len(q.waiting))
	return view{known: true, free: free, wait: q.expectedWait(w.parameters.service), observedAt: w.events.Now()}
}

// pollViews makes an entry ask PolledEntries random entries, every PollPeriod,
// for the state of the targets that they keep.
func (w *world) pollViews(entry int) {
	asked := w.random.Perm(w.parameters.entries)[:min(PolledEntries, w.parameters.entries-1)]
	for _, other := range asked {
		w.result.messages += 2
		for i, k := range w.keepers {
			if k != other || other == entry {
				continue
			}
			current := w.currentView(i)
			w.events.After(MessageDelay, func() { w.views[entry][i] = current })
		}
	}
	w.events.After(PollPeriod, func() { w.pollViews(entry) })
}

// renewLeases counts, every RenewalPeriod, the messages that renew the keepers'
// leases.
func (w *world) renewLeases() {
	w.result.messages += 2 * electors * min(w.parameters.targets, w.parameters.entries)
	w.events.After(RenewalPeriod, w.renewLeases)
}

// Deadline is the time from arrival within which a request of the comparison
// needs a slot.
const Deadline = 10 * time.Second
