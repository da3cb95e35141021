package pick

import "time"

const (
	// initialHitFactor and initialMissFactor give the initial service times of a
	// route, as factors of its aim.
	initialHitFactor  = 0.5
	initialMissFactor = 1.3
	// routesMax limits the routes of a service whose service times are kept.
	routesMax = 256
)

// ServiceTimes holds the service times of a route: how long its service's targets
// work on a request, without queueing.
type ServiceTimes struct {
	// Hit is the service time if the target has the object cached, Miss if not.
	Hit, Miss time.Duration
	// Queued is the mean service time of a hit over all routes of the service.
	Queued time.Duration
}

func initialTimes(aim time.Duration) ServiceTimes {
	hit := time.Duration(initialHitFactor * float64(aim))
	return ServiceTimes{Hit: hit, Miss: time.Duration(initialMissFactor * float64(aim)), Queued: hit}
}

// routeTimes holds the estimated service times of a route. The mutex of its
// serviceStats protects it.
type routeTimes struct {
	hit, miss movingAverage
}

// movingAverage is an exponential moving average. At first it is the mean of the
// samples so far, each of which counts for twice the average at most: they may come
// from a slow target, and with an estimate above a route's time-out all its requests
// would be refused.
type movingAverage struct {
	value   time.Duration
	samples int
}

func (a *movingAverage) add(sample time.Duration) {
	a.samples++
	gain := 1 / float64(a.samples)
	if gain > serviceTimeGain {
		sample = min(sample, 2*a.value)
	}
	a.value += time.Duration(max(gain, serviceTimeGain) * float64(sample-a.value))
}

// timesOf returns the statistics of a route and the service times that they imply
// now. If there are too many routes, as after many configurations, it starts
// anew.
func (s *serviceStats) timesOf(route string, aim time.Duration) (*routeTimes, ServiceTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.routes[route]
	if !found {
		if len(s.routes) >= routesMax {
			clear(s.routes)
		}
		initial := initialTimes(aim)
		r = &routeTimes{hit: movingAverage{value: initial.Hit}, miss: movingAverage{value: initial.Miss}}
		s.routes[route] = r
	}
	return r, ServiceTimes{Hit: r.hit.value, Miss: r.miss.value, Queued: s.queued}
}

// observeServiceTime updates the service time of a route for cache hits or misses
// from a request that didn't queue. likelyCached says whether it hit the cache.
func (s *serviceStats) observeServiceTime(r *routeTimes, took time.Duration, likelyCached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if likelyCached {
		r.hit.add(took)
		s.queued += time.Duration(serviceTimeGain * float64(took-s.queued))
	} else {
		r.miss.add(took)
	}
	r.miss.value = max(r.miss.value, r.hit.value)
}
