package entry

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/shift"
	"github.com/endivechute/endivechute/steer"
)

// meter counts the requests of one service that arrive at this entry, and holds
// the diversions that are in effect for it.
type meter struct {
	shift.Meter
	follower     shift.Follower // accessed only by limits.run, like version and shares
	version      uint64
	shares       shift.Shares
	regionShares atomic.Pointer[[]shift.RegionShare]
}

// updateShares applies this entry's share of its region's in-flight limit and of
// the links that leave the region.
func (l *limits) updateShares(v *view, now time.Duration) {
	e := l.entry
	if !e.synced() {
		return
	}
	fleet := e.relay.Tables().Fleet()
	home := e.self.Zone.Region()
	limit, limited := fleet.InFlightLimit(home)
	var members []place.Instance
	var regions []place.Region
	for zone, entries := range v.zoneEntries {
		regions = append(regions, zone.Region())
		if zone.Region() != home {
			continue
		}
		for _, listed := range entries {
			members = append(members, listed.Instance)
		}
	}
	l.admission.SetShare(steer.ShareOfLimit(limit, e.self.Instance, members), limited, now)
	l.links.update(home, regions, fleet, len(members), now)
}

// updateMeters moves the diversions of each service by at most one step towards
// its policy.
func (l *limits) updateMeters(now time.Duration) {
	e := l.entry
	previous := *l.meters.Load()
	tables := e.relay.Tables()
	services := tables.Services()
	next := make(map[place.Service]*meter, len(services))
	for _, service := range services {
		policy, found := tables.Policy(service)
		if !found {
			continue
		}
		m := previous[service]
		if m == nil {
			m = &meter{}
		}
		shares := shift.Shares{}
		for _, d := range policy.Diversions() {
			if d.From() == e.self.Zone.Region() {
				shares[shift.Direction{From: d.From(), To: d.To()}] = shift.ShareOf(d.Percent())
			}
		}
		if !maps.Equal(shares, m.shares) || m.version == 0 {
			m.version++
			m.shares = shares
		}
		m.follower.SetPlan(shift.NewPlan(m.version, m.shares), shift.ShareOf(policy.StepPercent()), now, now)
		regionShares := make([]shift.RegionShare, 0, len(shares))
		for direction, share := range m.follower.InForce(now) {
			regionShares = append(regionShares, shift.NewRegionShare(direction.To, share))
		}
		m.regionShares.Store(&regionShares)
		next[service] = m
	}
	l.meters.Store(&next)
}
