package pace

import "time"

// windowParts is into how many parts the windows here are divided. The counted
// span is longer than the bound's by one part, so that the bound holds for any
// span.
const windowParts = 20

// retryMargin is the part of the allowance that is used. Requests that are
// counted as the first of their kind here may count in a later window there.
const retryMargin = 0.8

// freshSlack is the part of the slack that is used within the first window after
// a start. The process before may have used its part in the same window, and
// what it counted is lost with it.
const freshSlack = 0.1

// Retries is this entry's part of the fleet's allowance of retries for one
// service: in any window the ratio of the requests, and a part of the slack. A
// request that was rejected by a target draws on it as any other retry.
type Retries struct {
	ratio    float64
	whole    time.Time
	requests *Window
	retries  *Window
}

// NewRetries makes the allowance for a window, in a process that started at the
// given time.
func NewRetries(ratio float64, window time.Duration, started time.Time) *Retries {
	return &Retries{
		ratio: ratio, whole: started.Add(window),
		requests: NewWindow(window, windowParts), retries: NewWindow(window, windowParts),
	}
}

// Request counts a request of a client.
func (r *Retries) Request(now time.Time) { r.requests.Add(1, now) }

// Take counts a retry if the allowance has room for it. slack is this entry's
// part of the fleet's slack.
func (r *Retries) Take(slack float64, now time.Time) bool {
	part := retryMargin
	if now.Before(r.whole) {
		part = freshSlack
	}
	most := retryMargin*r.ratio*float64(r.requests.Sum(now)) + part*slack
	return r.retries.TryAdd(int64(most), now)
}
