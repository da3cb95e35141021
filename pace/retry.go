package pace

import "time"

// windowParts is the number of parts of the windows of a retry budget. A Window
// covers one more part than its span, so that the bound holds for any interval
// of that length.
const windowParts = 20

// retryMargin is the fraction of the budget that is used. The platform may count
// a first attempt in a later window than this entry does.
const retryMargin = 0.8

// startupSlack is the fraction of the slack that is used in the first window
// after a start. The previous process may have used its slack in the same window,
// and its counts are lost.
const startupSlack = 0.1

// RetryBudget is this entry's share of the fleet's retry budget for one
// service. In any window it allows a fraction (the ratio) of this entry's
// requests plus this entry's share of the slack, a constant number of retries.
// Retrying a request that a target rejected counts like any other retry.
type RetryBudget struct {
	ratio        float64
	startupUntil time.Time
	requests     *Window
	retries      *Window
}

// NewRetryBudget returns a budget over the given window, for a process that
// started at the given time.
func NewRetryBudget(ratio float64, window time.Duration, started time.Time) *RetryBudget {
	return &RetryBudget{
		ratio: ratio, startupUntil: started.Add(window),
		requests: NewWindow(window, windowParts), retries: NewWindow(window, windowParts),
	}
}

// AddRequest counts a client request, which adds to the budget.
func (r *RetryBudget) AddRequest(now time.Time) { r.requests.Add(1, now) }

// Take counts a retry and returns true, or returns false if the budget is used
// up. slack is this entry's share of the fleet's slack, in retries per window.
func (r *RetryBudget) Take(slack float64, now time.Time) bool {
	slackFactor := retryMargin
	if now.Before(r.startupUntil) {
		slackFactor = startupSlack
	}
	limit := retryMargin*r.ratio*float64(r.requests.Sum(now)) + slackFactor*slack
	return r.retries.TryAdd(int64(limit), now)
}
