package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

// Failure is the way in which an attempt to reach a member failed.
type Failure uint8

// The kinds of evidence.
const (
	// FailureRefused: the connection was refused. Nothing listens at its address,
	// so its process has stopped.
	FailureRefused Failure = iota
	// FailureReset: the connection was reset. The process may have stopped, but a
	// network device in between can also cause this.
	FailureReset
)

// Tick marks members that did not answer as suspect or dead and returns the
// heartbeats to send. The caller calls it once every Interval.
func (v *View) Tick(now time.Time) []Outgoing {
	v.tickCount++
	if now.Sub(v.lastTick) > PauseThreshold {
		v.restartTimeouts(now)
	}
	v.lastTick = now
	v.checkTimeouts(now)
	v.rebuildRing()
	v.publishZoneSum(now)
	v.broadcasting = v.startBroadcast(now)
	parent := v.parent()
	heartbeats := []Outgoing{}
	for _, r := range v.recipients(parent) {
		if r.unansweredSince.IsZero() {
			r.unansweredSince = now
		}
		out := v.heartbeatTo(r)
		if r == parent {
			sum := v.sums.total(v.self.update.Leaving, now)
			out.Heartbeat.Sum = &sum
		}
		heartbeats = append(heartbeats, out)
	}
	if len(heartbeats) == 0 {
		heartbeats = v.joinHeartbeats()
	}
	v.broadcasting = false
	return append(heartbeats, v.crossZoneHeartbeat()...)
}

// restartTimeouts restarts the timeouts of all members after a pause of this
// process, which could not receive their answers meanwhile.
func (v *View) restartTimeouts(now time.Time) {
	v.awakeSince = now
	for _, r := range v.records {
		r.unansweredSince = time.Time{}
		if r.update.Health == wire.MemberHealthSuspect {
			r.since = now
		}
	}
}

// checkTimeouts marks members as suspect that did not answer, as dead that did not
// refute the suspicion, and deletes old records that the platform does not list.
func (v *View) checkTimeouts(now time.Time) {
	for instance, r := range v.records {
		if r == v.self {
			continue
		}
		switch r.update.Health {
		case wire.MemberHealthAlive:
			if r.present() && !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) > SuspectAfter {
				v.setHealth(r, wire.MemberHealthSuspect, now)
				v.broadcastDue = true
			}
		case wire.MemberHealthSuspect:
			if now.Sub(r.since) > DeadAfter {
				v.setHealth(r, wire.MemberHealthDead, now)
			}
		case wire.MemberHealthDead:
			r.unansweredSince = time.Time{}
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
func (v *View) startBroadcast(now time.Time) bool {
	if !v.broadcastDue || len(v.ring) < 2 || now.Sub(v.lastBroadcast) < broadcastInterval {
		return false
	}
	v.broadcastDue, v.lastBroadcast = false, now
	return true
}

// recipients returns the members that get a heartbeat in this tick: the next one
// in the ring, the parent in the tree or else a random member, and in one of
// deadProbeTicks ticks an entry that is listed but not present. A broadcast goes
// to all members.
func (v *View) recipients(parent *record) []*record {
	index, count := v.ringIndex(), len(v.ring)
	if v.broadcasting {
		return slices.DeleteFunc(slices.Clone(v.ring), func(r *record) bool { return r == v.self })
	}
	recipients := []*record{}
	if count > 1 {
		recipients = append(recipients, v.ring[(index+1)%count])
	}
	switch {
	case parent != nil:
		recipients = append(recipients, parent)
	case count > 2:
		recipients = append(recipients, v.ring[(index+2+v.random.IntN(count-2))%count])
	}
	if count > 1 && v.random.IntN(deadProbeTicks) == 0 {
		if absent := v.absent(); len(absent) > 0 {
			recipients = append(recipients, absent[v.random.IntN(len(absent))])
		}
	}
	return recipients
}

// absent returns the listed entries that are not present, in the order of their
// hashes.
func (v *View) absent() []*record {
	absent := []*record{}
	for _, r := range v.records {
		if r.listed && !r.present() && r != v.self {
			absent = append(absent, r)
		}
	}
	slices.SortFunc(absent, func(a, b *record) int { return cmp.Compare(a.ringHash, b.ringHash) })
	return absent
}

// joinHeartbeats returns heartbeats that ask random listed entries for all
// updates. It serves a process that knows no other member.
func (v *View) joinHeartbeats() []Outgoing {
	absent := v.absent()
	v.random.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	absent = absent[:min(joinPeers, len(absent))]
	heartbeats := make([]Outgoing, 0, len(absent))
	for _, r := range absent {
		heartbeat := v.heartbeatTo(r)
		heartbeat.Heartbeat.Pull = true
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// Receive applies the heartbeat of another entry and returns the answer to it.
func (v *View) Receive(heartbeat *wire.MemberHeartbeat, now time.Time) *wire.MemberHeartbeat {
	v.applyHeartbeat(heartbeat, now)
	answer := v.newHeartbeat(heartbeat.Sender.Instance, heartbeat.Zone)
	if heartbeat.Zone == v.zone && heartbeat.Pull {
		answer.Updates = v.allUpdates()
	}
	return answer
}

// HandleAnswer applies the answer to a heartbeat.
func (v *View) HandleAnswer(answer *wire.MemberHeartbeat, now time.Time) {
	v.applyHeartbeat(answer, now)
	if v.joining && len(answer.Updates) > 0 {
		v.joining, v.broadcastDue = false, true
	}
}

// HandleFailure records that an entry could not be reached: it becomes dead if
// it refused the connection, else suspect. Not to be called for a timeout,
// which Tick handles.
func (v *View) HandleFailure(instance place.Instance, failure Failure, now time.Time) {
	r, known := v.records[instance]
	if !known || r == v.self || !r.present() {
		return
	}
	switch failure {
	case FailureRefused:
		v.setHealth(r, wire.MemberHealthDead, now)
	case FailureReset:
		if r.update.Health == wire.MemberHealthAlive {
			v.setHealth(r, wire.MemberHealthSuspect, now)
		}
	}
	v.broadcastDue = true
	v.rebuildRing()
}

// applyHeartbeat applies a heartbeat or an answer: updates and digest only if
// it comes from this zone, sums from any zone.
func (v *View) applyHeartbeat(heartbeat *wire.MemberHeartbeat, now time.Time) {
	if heartbeat.Zone == v.zone {
		v.merge(heartbeat.Sender, now)
		for _, update := range heartbeat.Updates {
			v.applyUpdate(update, now)
		}
		if r, known := v.records[heartbeat.Sender.Instance]; known {
			r.unansweredSince = time.Time{}
		}
		v.pullOnMismatch(heartbeat, now)
	}
	v.sums.applyHeartbeat(heartbeat, now)
}

// pullOnMismatch makes the next heartbeat ask for all updates if the sender
// counts other members as running than this process does, and neither side has
// updates to send that could explain it.
func (v *View) pullOnMismatch(heartbeat *wire.MemberHeartbeat, now time.Time) {
	if heartbeat.View == v.digest() || len(heartbeat.Updates) > 0 || now.Sub(v.lastPull) < pullInterval {
		return
	}
	if len(v.pending()) == 0 {
		v.lastPull = now
		v.pullNext = true
	}
}

// heartbeatTo returns a heartbeat to the member, which asks for all updates if
// the last digests differed.
func (v *View) heartbeatTo(r *record) Outgoing {
	heartbeat := v.newHeartbeat(r.update.Instance, v.zone)
	heartbeat.Pull = v.pullNext
	v.pullNext = false
	return Outgoing{To: Peer{instance: r.update.Instance, address: r.update.Address}, Heartbeat: heartbeat}
}

// newHeartbeat returns a heartbeat, or an answer to one, for the entry in the
// given zone.
func (v *View) newHeartbeat(to place.Instance, zone place.Zone) *wire.MemberHeartbeat {
	heartbeat := &wire.MemberHeartbeat{Sender: v.self.update, Zone: v.zone, Settings: v.settings}
	if zone != v.zone {
		heartbeat.Zones = v.sums.sumsForZone(zone)
		return heartbeat
	}
	heartbeat.View = v.digest()
	heartbeat.Updates = v.updatesFor(to)
	heartbeat.Zones = v.sums.sumsWithinZone()
	return heartbeat
}

// pending returns the records whose updates have not been sent often enough yet,
// those sent least often first.
func (v *View) pending() []*record {
	limit := v.sendLimit()
	pending := []*record{}
	for _, r := range v.records {
		if r.update.Incarnation != 0 && r.sendCount < limit && r != v.self {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		if c := cmp.Compare(a.sendCount, b.sendCount); c != 0 {
			return c
		}
		return cmp.Compare(a.ringHash, b.ringHash)
	})
	return pending
}

// updatesFor returns the updates for a heartbeat to the entry, maxUpdates at
// most. An update that the entry itself is suspect or dead comes first, so that
// it can refute it.
func (v *View) updatesFor(to place.Instance) []wire.MemberUpdate {
	updates := []wire.MemberUpdate{}
	if r, known := v.records[to]; known && r.update.Incarnation != 0 && r.update.Health != wire.MemberHealthAlive {
		updates = append(updates, r.update)
	}
	for _, r := range v.pending() {
		if len(updates) == maxUpdates {
			break
		}
		if r.update.Instance != to {
			updates = append(updates, r.update)
			if !v.broadcasting {
				r.sendCount++
			}
		}
	}
	return updates
}

// allUpdates returns the updates about all known processes of the zone but this
// one, the dead ones included.
func (v *View) allUpdates() []wire.MemberUpdate {
	updates := make([]wire.MemberUpdate, 0, len(v.records))
	for _, r := range v.records {
		if r.update.Incarnation != 0 && r != v.self {
			updates = append(updates, r.update)
		}
	}
	slices.SortFunc(updates, func(a, b wire.MemberUpdate) int { return cmp.Compare(a.Instance, b.Instance) })
	return updates
}
