// Package quota keeps the requests of a tenant, at all entry instances together,
// within the tenant's quota. It does no I/O and takes the current time as an
// argument.
package quota

// Quota is the limit on the requests of a tenant at all instances together.
type Quota struct {
	perSecond, burst float64
}

// New returns a Quota of requests per second and of a burst of requests beyond them.
// With a rate of 0 there is no limit.
func New(perSecond, burst float64) Quota { return Quota{perSecond: perSecond, burst: burst} }

// PerSecond returns the requests per second that are allowed, 0 if there is no limit.
func (q Quota) PerSecond() float64 { return q.perSecond }

// Burst returns the requests that are allowed at once in addition.
func (q Quota) Burst() float64 { return q.burst }

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.perSecond > 0 }

// Bounds are the limits within which the fleet has to keep each quota: in any window,
// the requests that run must not exceed
// (rate x window + burst) x (1 + overage) + slack.
type Bounds struct {
	// Window is the length of the window, in seconds.
	Window float64
	// Overage is a fraction of the quota, and Slack a number of requests.
	Overage, Slack float64
}
