package front

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/sender"
)

// note logs and counts a request that no target answered.
func (s *Server) note(q *request, answer string, err error) {
	refusal := errs.AsRefusal(err)
	s.stats.requests.WithLabelValues(answer, string(refusal.Reason())).Inc()
	s.stats.latency.WithLabelValues(answer).Observe(s.now().Sub(q.arrived).Seconds())
	s.log.WithFields(s.fields(q)).WithFields(logrus.Fields{
		"answer": answer, "verdict": refusal.Verdict().String(), "reason": refusal.Reason(), "come_back": refusal.ComeBack().String(), "why": refusal.Message(),
	}).Warn("A request got no target's answer.")
}

func (s *Server) fields(q *request) logrus.Fields {
	fields := logrus.Fields{
		"id": q.head.ID(), "took": s.now().Sub(q.arrived).String(),
		"age": s.feed.Age().String(), "left": q.deadline.Sub(s.now()).String(),
	}
	if q.table != nil {
		fields["version"] = q.table.Version()
	}
	if q.route != nil {
		fields["route"] = q.route.Name()
	}
	return fields
}

// answered counts a request that got a target's answer.
func (s *Server) answered(q *request, status int) {
	s.stats.requests.WithLabelValues(strconv.Itoa(status), "").Inc()
	s.stats.latency.WithLabelValues("answered").Observe(s.now().Sub(q.arrived).Seconds())
}

// sent logs and counts what became of a request at a target.
func (s *Server) sent(q *request, send *pick.Send, outcome pick.Outcome, answer sender.Answer, err error, now time.Time) {
	name := outcomeName(outcome)
	s.stats.sends.WithLabelValues(name, distanceName(send.Distance())).Inc()
	if name == "answered" && !s.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	s.log.WithFields(s.fields(q)).WithFields(logrus.Fields{
		"target": send.Member().Target(), "outcome": name, "status": answer.Status(), "load": send.Load(),
		"familiar": send.Familiar(), "expected": send.Estimate().Total.String(), "error": err,
	}).Info("A target had a request.")
}

func outcomeName(o pick.Outcome) string {
	switch o := o.(type) {
	case pick.Answered:
		if o.Failed {
			return "failed"
		}
		return "answered"
	case pick.Rejected:
		return "rejected"
	case pick.Unreachable:
		return "unreachable"
	case pick.Broken:
		return "broken"
	case pick.Abandoned:
		return "abandoned"
	}
	return "unknown"
}

func distanceName(d pick.Distance) string {
	switch d {
	case pick.SameZone:
		return "zone"
	case pick.SameRegion:
		return "region"
	case pick.OtherRegion:
		return "world"
	}
	return "unknown"
}
