package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// Evidence is a failure to reach a member.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceRefused: nothing listens at its address, so its process is gone.
	EvidenceRefused Evidence = iota
	// EvidenceReset: its connection broke, which a process that ends causes,
	// but a device on the way can cause too.
	EvidenceReset
)

// Tick is to be called every Interval. It judges who did not answer and
// returns the heartbeats to send.
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

// wake gives every member the time anew that it has to answer or contradict:
// their answers could not be heard in the pause.
func (v *View) wake(now time.Time) {
	v.awake = now
	for _, r := range v.records {
		r.asked = time.Time{}
		if r.rumour.Health == wire.MemberHealthSuspect {
			r.since = now
		}
	}
}

// review suspects those who did not answer, gives up suspects, and forgets.
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

// shouts tells whether this tick's heartbeat goes to all members. That is for
// what first became known here, so that no two views differ for long; such news
// is rare.
func (v *View) shouts(now time.Time) bool {
	if !v.urgent || len(v.ring) < 2 || now.Sub(v.shouted) < shoutEvery {
		return false
	}
	v.urgent, v.shouted = false, now
	return true
}

// chosen returns the members that get a heartbeat in this tick: the next one
// in the ring, then in turns the one above in the tree or a random one, and now
// and then one that is lost but listed; or all.
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

// lost returns the listed entries that are not present, in a fixed order.
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

// join returns heartbeats to random listed entries, for a process that knows
// no member.
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

// Receive takes in the heartbeat of another entry and returns the answer.
func (v *View) Receive(beat *wire.MemberBeat, now time.Time) *wire.MemberBeat {
	v.take(beat, now)
	answer := v.beat(beat.Sender.Instance, beat.Zone)
	if beat.Zone == v.zone && beat.Pull {
		answer.Rumours = v.everything()
	}
	return answer
}

// Answered takes in the answer to a heartbeat.
func (v *View) Answered(answer *wire.MemberBeat, now time.Time) {
	v.take(answer, now)
	if v.joining && len(answer.Rumours) > 0 {
		v.joining, v.urgent = false, true
	}
}

// Failed takes in that an entry could not be reached. A mere timeout is no
// evidence and needs no call.
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

// comparePulled makes the next heartbeat ask for everything when the sender
// counts other members than this process and no news is under way that could
// explain it.
func (v *View) comparePulled(beat *wire.MemberBeat, now time.Time) {
	if beat.View == v.digest() || len(beat.Rumours) > 0 || now.Sub(v.pulled) < pullEvery {
		return
	}
	if len(v.news()) == 0 {
		v.pulled = now
		v.pull = true
	}
}

func (v *View) beatTo(r *record) Outgoing {
	beat := v.beat(r.rumour.Instance, v.zone)
	beat.Pull = v.pull
	v.pull = false
	return Outgoing{To: Peer{instance: r.rumour.Instance, address: r.rumour.Address}, Beat: beat}
}

// beat makes a heartbeat for the entry.
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

// news returns the records whose rumours have not been passed on often enough,
// those passed on least first.
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

// rumours chooses what a heartbeat tells the entry of members. What it has to
// contradict comes first.
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

// everything returns all that is known of the zone, the dead included.
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
