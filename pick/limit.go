package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/fleet"
	"github.com/endivechute/endivechute/place"
)

// limitedRetryMax is the longest time after which a caller is told to return if the
// limits of all targets are used up. Other entries have their turns earlier.
const limitedRetryMax = time.Second

// shortestLimit returns after which time the limit of the first of the targets that
// the request may go to allows another request, 0 if no limit excludes any.
func (c *Chooser) shortestLimit(members []*fleet.Member, q Query, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, m := range members {
		if !q.Allowed(m.Region()) || slices.Contains(q.Tried, m.Target()) {
			continue
		}
		if limited := c.rateLimiter.Wait(m, now); limited > 0 && (shortest == 0 || limited < shortest) {
			shortest = limited
		}
	}
	return shortest
}

// limitedRefusal returns the refusal of a request all of whose targets have received
// as many requests as the limits that they name allow.
func limitedRefusal(service place.Service, limited time.Duration) error {
	retryAfter := time.Duration((jitterMin + rand.Float64()) * float64(min(limited, limitedRetryMax)))
	return errs.NotRun(errs.ReasonTargetBusy, retryAfter, "service %s: the limits that its targets name are used up; the first allows a request in %v", service, limited)
}
