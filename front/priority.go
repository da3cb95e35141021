package front

import (
	"strconv"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/pick"
)

// fieldPriority is the label for the priority of a request.
const fieldPriority = "priority"

// priorityOf returns the priority that counts for the choice of a target. It is
// ignored where the contract is not in force.
func (s *Server) priorityOf(q *request) pick.Priority {
	if !s.underPressure() {
		return pick.Priority{}
	}
	return pick.NewPriority(q.priority())
}

// priorityLabelMax bounds the values of the label, which come from the configuration.
const priorityLabelMax = 15

// countRefusal counts a request by its priority if it was refused before it ran.
func (s *Server) countRefusal(q *request, refusal *errs.Refusal) {
	if !s.underPressure() || q.route == nil || q.detoured || refusal.Verdict() != errs.VerdictNotRun {
		return
	}
	label := "other"
	if p := q.priority(); p >= 0 && p <= priorityLabelMax {
		label = strconv.Itoa(p)
	}
	s.stats.refusals.WithLabelValues(label, string(refusal.Reason())).Inc()
}
