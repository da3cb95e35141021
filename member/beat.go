package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// Evidence is the way in which an attempt to reach a member failed.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceRefused: the connection was refused. Nothing listens at its address,
	// so its process has stopped.
	EvidenceRefused Evidence = iota
	// EvidenceReset: the connection was reset. The process may have stopped, but a
	// network device in between can also cause this.
	EvidenceReset
)

// Tick marks members that did not answer as suspect or dead and returns the
// heartbeats to send. The caller calls it once every Interval.
func (v *View) Tick(now time.Time) []Outgoing {
	v.ticks++
	if now.Sub(v.ticked) > PauseAfter {
		v.wake(now)
	}
	v.ticked = now
	v.review(now)
	v.arrange()
	v.publish(now)
	v.shouting = v.shouts(now)
	above := v.above()
	beats := []Outgoing{}
	for _, r := range v.chosen(above) {
		if r.asked.IsZero() {
			r.asked = now
		}
		out := v.beatTo(r)
		if r == above {
			sum := v.sums.total(v.self.rumour.Leaving, now)
			out.Beat.Sum = &sum
		}
		beats = append(beats, out)
	}
	if len(beats) == 0 {
		beats = v.join()
	}
	v.shouting = false
	return append(beats, v.outerBeat()...)
}

// restartTimeouts restarts the timeouts of all members after a pause of this
// process, which could not receive their answers meanwhile.
func (v *View) wake(now time.Time) {
	v.awake = now
	for _, r := range v.records {
		r.asked = time.Time{}
		if r.rumour.Health == wire.MemberHealthSuspect {
			r.since = now
		}
	}
}

// checkTimeouts marks members as suspect that did not answer, as dead that did not
// refute the suspicion, and deletes old records that the platform does not list.
func (v *View) review(now time.Time) {
	for instance, r := range v.records {
		if r == v.self {
			continue
		}
		switch r.rumour.Health {
		case wire.MemberHealthAlive:
			if r.present() && !r.asked.IsZero() && now.Sub(r.asked) > SuspectAfter {
				v.judge(r, wire.MemberHealthSuspect, now)
				v.urgent = true
			}
		case wire.MemberHealthSuspect:
			if now.Sub(r.since) > DeadAfter {
				v.judge(r, wire.MemberHealthDead, now)
			}
		case wire.MemberHealthDead:
			r.asked = time.Time{}
		}
		if !r.present() && !r.listed && now.Sub(r.since) > ForgetAfter {
			delete(v.records, instance)
			v.version++
		}
	}
}

// startBroadcast reports whether this tick's heartbeat goes to all members, and if
// so, notes the time. It does for changes that this process is the first to know,
// so that views differ only briefly; such changes are rare.
func (v *View) shouts(now time.Time) bool {
	if !v.urgent || len(v.ring) < 2 || now.Sub(v.shouted) < shoutEvery {
		return false
	}
	v.urgent, v.shouted = false, now
	return true
}

// recipients returns the members that get a heartbeat in this tick: the next one
// in the ring, the parent in the tree or else a random member, and in one of
// deadProbeTicks ticks an entry that is listed but not present. A broadcast goes
// to all members.
func (v *View) chosen(above *record) []*record {
	at, count := v.position(), len(v.ring)
	if v.shouting {
		return slices.DeleteFunc(slices.Clone(v.ring), func(r *record) bool { return r == v.self })
	}
	chosen := []*record{}
	if count > 1 {
		chosen = append(chosen, v.ring[(at+1)%count])
	}
	switch {
	case above != nil:
		chosen = append(chosen, above)
	case count > 2:
		chosen = append(chosen, v.ring[(at+2+v.random.IntN(count-2))%count])
	}
	if count > 1 && v.random.IntN(probeDead) == 0 {
		if lost := v.lost(); len(lost) > 0 {
			chosen = append(chosen, lost[v.random.IntN(len(lost))])
		}
	}
	return chosen
}

// absent returns the listed entries that are not present, in the order of their
// hashes.
func (v *View) lost() []*record {
	lost := []*record{}
	for _, r := range v.records {
		if r.listed && !r.present() && r != v.self {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *record) int { return cmp.Compare(a.order, b.order) })
	return lost
}

// joinBeats returns heartbeats that ask random listed entries for all rumours. It
// serves a process that knows no other member.
func (v *View) join() []Outgoing {
	lost := v.lost()
	v.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	lost = lost[:min(joinPeers, len(lost))]
	beats := make([]Outgoing, 0, len(lost))
	for _, r := range lost {
		beat := v.beatTo(r)
		beat.Beat.Pull = true
		beats = append(beats, beat)
	}
	return beats
}

// Receive applies the heartbeat of another entry and returns the answer to it.
func (v *View) Receive(beat *wire.MemberBeat, now time.Time) *wire.MemberBeat {
	v.take(beat, now)
	answer := v.beat(beat.Sender.Instance, beat.Zone)
	if beat.Zone == v.zone && beat.Pull {
		answer.Rumours = v.everything()
	}
	return answer
}

// Answered applies the answer to a heartbeat.
func (v *View) Answered(answer *wire.MemberBeat, now time.Time) {
	v.take(answer, now)
	if v.joining && len(answer.Rumours) > 0 {
		v.joining, v.urgent = false, true
	}
}

// Failed records that an entry could not be reached: it becomes dead if it refused
// the connection, else suspect. Not to be called for a timeout, which Tick handles.
func (v *View) Failed(instance place.Instance, evidence Evidence, now time.Time) {
	r, known := v.records[instance]
	if !known || r == v.self || !r.present() {
		return
	}
	switch evidence {
	case EvidenceRefused:
		v.judge(r, wire.MemberHealthDead, now)
	case EvidenceReset:
		if r.rumour.Health == wire.MemberHealthAlive {
			v.judge(r, wire.MemberHealthSuspect, now)
		}
	}
	v.urgent = true
	v.arrange()
}

// applyBeat applies a heartbeat or an answer: rumours and digest only if it comes
// from this zone, sums from any zone.
func (v *View) take(beat *wire.MemberBeat, now time.Time) {
	if beat.Zone == v.zone {
		v.merge(beat.Sender, now)
		for _, rumour := range beat.Rumours {
			v.believe(rumour, now)
		}
		if r, known := v.records[beat.Sender.Instance]; known {
			r.asked = time.Time{}
		}
		v.comparePulled(beat, now)
	}
	v.sums.take(beat, now)
}

// pullOnMismatch makes the next heartbeat ask for all rumours if the sender counts
// other members as running than this process does, and neither side has rumours
// to send that could explain it.
func (v *View) comparePulled(beat *wire.MemberBeat, now time.Time) {
	if beat.View == v.digest() || len(beat.Rumours) > 0 || now.Sub(v.pulled) < pullEvery {
		return
	}
	if len(v.news()) == 0 {
		v.pulled = now
		v.pull = true
	}
}

// beatTo returns a heartbeat to the member, which asks for all rumours if the last
// digests differed.
func (v *View) beatTo(r *record) Outgoing {
	beat := v.beat(r.rumour.Instance, v.zone)
	beat.Pull = v.pull
	v.pull = false
	return Outgoing{To: Peer{instance: r.rumour.Instance, address: r.rumour.Address}, Beat: beat}
}

// newBeat returns a heartbeat, or an answer to one, for the entry in the given zone.
func (v *View) beat(to place.Instance, zone place.Zone) *wire.MemberBeat {
	beat := &wire.MemberBeat{Sender: v.self.rumour, Zone: v.zone, Settings: v.settings}
	if zone != v.zone {
		beat.Zones = v.sums.outer(zone)
		return beat
	}
	beat.View = v.digest()
	beat.Rumours = v.rumours(to)
	beat.Zones = v.sums.inner()
	return beat
}

// pending returns the records whose rumours have not been sent often enough yet,
// those sent least often first.
func (v *View) news() []*record {
	limit := v.sentMax()
	news := []*record{}
	for _, r := range v.records {
		if r.rumour.Incarnation != 0 && r.sent < limit && r != v.self {
			news = append(news, r)
		}
	}
	slices.SortFunc(news, func(a, b *record) int {
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	return news
}

// rumoursFor returns the rumours for a heartbeat to the entry, maxRumours at most.
// A rumour that the entry itself is suspect or dead comes first, so that it can
// refute it.
func (v *View) rumours(to place.Instance) []wire.MemberRumour {
	rumours := []wire.MemberRumour{}
	if r, known := v.records[to]; known && r.rumour.Incarnation != 0 && r.rumour.Health != wire.MemberHealthAlive {
		rumours = append(rumours, r.rumour)
	}
	for _, r := range v.news() {
		if len(rumours) == rumoursMax {
			break
		}
		if r.rumour.Instance != to {
			rumours = append(rumours, r.rumour)
			if !v.shouting {
				r.sent++
			}
		}
	}
	return rumours
}

// allRumours returns the rumours about all known processes of the zone but this
// one, the dead ones included.
func (v *View) everything() []wire.MemberRumour {
	rumours := make([]wire.MemberRumour, 0, len(v.records))
	for _, r := range v.records {
		if r.rumour.Incarnation != 0 && r != v.self {
			rumours = append(rumours, r.rumour)
		}
	}
	slices.SortFunc(rumours, func(a, b wire.MemberRumour) int { return cmp.Compare(a.Instance, b.Instance) })
	return rumours
}
