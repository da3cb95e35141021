package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivechute/endivechute/place"
)

const (
	// unableTime is how long an entry that couldn't take a request for a service isn't
	// asked again, and ableTime how long one that took a request counts as able.
	unableTime = time.Second
	ableTime   = time.Second
	// blindMax is how many entries are asked for a request of which it isn't known
	// whether they are able, while able ones are known.
	blindMax = 3
	// refusalsMax is the number of different entries that in a row couldn't take a
	// request for a service, from which none is asked for pauseTime: the targets
	// themselves are gone.
	refusalsMax = 6
	pauseTime   = 300 * time.Millisecond
	// soundShare is the share of the entries nearby that must be able to take requests.
	// If fewer are, those farther away share the load.
	soundShare = 0.5
)

// Peer is another entry of the fleet.
type Peer struct {
	Instance place.Instance
	Zone     place.Zone
	// Unable is true if it is known to take no requests: it leaves, is silent, or
	// reaches no target itself.
	Unable bool
	// Able is true if it is known to reach targets.
	Able bool
}

// Peers chooses the entry through which a request goes whose targets this one doesn't
// reach. It answers the load pattern of many entries that lose their links at once:
// the others share their requests, and none gets those of a whole zone. It is safe for
// concurrent use.
type Peers struct {
	zone place.Zone

	mu       sync.Mutex
	unable   map[peerService]time.Time
	able     map[peerService]time.Time
	services map[place.Service]*refusals
}

type peerService struct {
	peer    place.Instance
	service place.Service
}

// refusals holds the entries that refused in a row, and until when none is asked.
type refusals struct {
	peers       []place.Instance
	pausedUntil time.Time
}

// NewPeers returns the Peers of an entry in the availability zone.
func NewPeers(zone place.Zone) *Peers {
	return &Peers{zone: zone, unable: map[peerService]time.Time{}, able: map[peerService]time.Time{}, services: map[place.Service]*refusals{}}
}

// Choose returns a random entry for a request among the nearest ones that can take
// it. Those that were asked for the request before are passed over, and after each of
// them so is the nearest remaining distance, and other entries of their availability
// zones if there are any: a cut rarely ends at one entry. allowed reports whether the
// request may be sent to a region.
func (p *Peers) Choose(peers []Peer, service place.Service, allowed func(place.Region) bool, asked []place.Instance, now time.Time) (place.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, found := p.services[service]; found && now.Before(r.pausedUntil) {
		return "", false
	}
	var askedZones []place.Zone
	for _, peer := range peers {
		if slices.Contains(asked, peer.Instance) {
			askedZones = append(askedZones, peer.Zone)
		}
	}
	var open []Peer
	known := 0
	for d := range distanceCount {
		for _, peer := range peers {
			if p.distance(peer.Zone) != d || !allowed(peer.Zone.Region()) {
				continue
			}
			known++
			if !peer.Unable && !slices.Contains(asked, peer.Instance) && !now.Before(p.unable[peerService{peer.Instance, service}]) {
				open = append(open, peer)
			}
		}
		if len(open) > 0 && float64(len(open)) >= soundShare*float64(known) && d >= len(asked) {
			break
		}
	}
	if len(asked) >= blindMax {
		open = narrow(open, func(peer Peer) bool {
			return peer.Able || now.Before(p.able[peerService{peer.Instance, service}])
		})
	}
	open = narrow(open, func(peer Peer) bool { return !slices.Contains(askedZones, peer.Zone) })
	if len(open) == 0 {
		return "", false
	}
	return open[rand.IntN(len(open))].Instance, true
}

// narrow returns the entries that match, or all if none does.
func narrow(peers []Peer, match func(Peer) bool) []Peer {
	matching := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if match(peer) {
			matching = append(matching, peer)
		}
	}
	if len(matching) == 0 {
		return peers
	}
	return matching
}

// distanceCount is the number of values that distance returns.
const distanceCount = 3

// distance returns 0 for this entry's availability zone, 1 for others of the region
// and 2 for other regions.
func (p *Peers) distance(zone place.Zone) int {
	switch {
	case zone == p.zone:
		return 0
	case zone.Region() == p.zone.Region():
		return 1
	}
	return 2
}

// Refused records that an entry couldn't take a request for the service.
func (p *Peers) Refused(peer place.Instance, service place.Service, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.unable, func(_ peerService, until time.Time) bool { return !now.Before(until) })
	p.unable[peerService{peer, service}] = now.Add(unableTime)
	delete(p.able, peerService{peer, service})
	r, found := p.services[service]
	if !found {
		r = &refusals{}
		p.services[service] = r
	}
	if !slices.Contains(r.peers, peer) {
		r.peers = append(r.peers, peer)
	}
	if len(r.peers) >= refusalsMax {
		r.peers, r.pausedUntil = r.peers[:0], now.Add(pauseTime)
	}
}

// Took records that an entry took a request for the service.
func (p *Peers) Took(peer place.Instance, service place.Service, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.able[peerService{peer, service}] = now.Add(ableTime)
	delete(p.services, service)
}
