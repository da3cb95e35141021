package model

import (
	"fmt"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/steer"
)

// handOver chooses a target by what the entry knows, as package steer does, and
// sends the request to its keeper.
func (w *world) handOver(entry int, r request) {
	i := w.choose(entry)
	if w.keepers[i] == entry {
		w.enqueue(i, r)
		return
	}
	w.views[entry][i].sent++
	w.result.messages += 2
	r.ended = func() {
		told := w.look(i)
		w.events.After(Hop, func() { w.views[entry][i] = told })
	}
	w.events.After(Hop, func() { w.enqueue(i, r) })
}

func (w *world) choose(entry int) int {
	candidates := make([]steer.Candidate, len(w.queues))
	for i := range w.queues {
		c := steer.NewCandidate(place.Target(fmt.Sprint(i)), "keeper")
		v := w.views[entry][i]
		if w.keepers[i] == entry {
			v = w.look(i)
		}
		if v.known {
			c = c.WithView(v.free, v.wait, 0, false, w.events.Now()-v.at, v.sent)
		}
		candidates[i] = c
	}
	chosen := steer.Choose(candidates, w.setting.service, w.random.IntN)[0].Target()
	for i := range candidates {
		if candidates[i].Target() == chosen {
			return i
		}
	}
	return 0
}

// look returns the state of the target as its keeper has it.
func (w *world) look(i int) view {
	q := &w.queues[i]
	free := max(0, q.slots-q.running-len(q.waiting))
	return view{known: true, free: free, wait: q.expected(w.setting.service), at: w.events.Now()}
}

// askViews lets an entry ask a few others what they keep.
func (w *world) askViews(entry int) {
	asked := w.random.Perm(w.setting.entries)[:min(ViewsAsked, w.setting.entries-1)]
	for _, other := range asked {
		w.result.messages += 2
		for i, k := range w.keepers {
			if k != other || other == entry {
				continue
			}
			told := w.look(i)
			w.events.After(Hop, func() { w.views[entry][i] = told })
		}
	}
	w.events.After(ViewPeriod, func() { w.askViews(entry) })
}

// beat counts the messages that renew the leases.
func (w *world) beat() {
	w.result.messages += 2 * electors * min(w.setting.targets, w.setting.entries)
	w.events.After(BeatPeriod, w.beat)
}

// Deadline is the deadline of the requests in the comparison.
const Deadline = 10 * time.Second
