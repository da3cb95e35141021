package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wait"
)

// Fields of the log that are labels of the metrics too.
const (
	fieldAnswer  = "answer"
	fieldOutcome = "outcome"
)

// The final answers of the log and the metrics, beside a target's status.
const (
	answerRefused = "refused"
	answerDenied  = "denied"
	answerGone    = "gone"
)

// note logs and counts a request that no target answered.
func (s *Server) note(q *request, answer string, err error) {
	refusal := errs.AsRefusal(err)
	now := s.now()
	s.stats.requests.WithLabelValues(answer, string(refusal.Reason())).Inc()
	s.stats.latency.WithLabelValues(answer).Observe(now.Sub(q.arrived).Seconds())
	class := logs.ClassFailed
	if refusal.Verdict() == errs.VerdictNotRun {
		class = logs.ClassRefused
	}
	if !s.quota.Allow(class, now) {
		return
	}
	s.log.WithFields(s.fields(q, now)).WithFields(logrus.Fields{
		fieldAnswer: answer, "verdict": refusal.Verdict().String(), "reason": refusal.Reason(),
		"come_back_ms": refusal.ComeBack().Milliseconds(), "why": refusal.Message(),
	}).Warn("A request got no target's answer.")
}

// fields are what every line on a request says: its id and route, the version
// of the configuration and how old the knowledge is that decided.
func (s *Server) fields(q *request, now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"id": q.head.ID(), "took_ms": millis(now.Sub(q.arrived)), "knowledge_age_ms": s.feed.Age().Milliseconds(),
	}
	if q.table != nil {
		fields["version"] = q.table.Version()
	}
	if q.route != nil {
		fields["route"] = q.route.Name()
		fields["left_ms"] = millis(q.deadline.Sub(now))
	}
	return fields
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// answered counts a request that got a target's answer, and logs it if it is a
// failure or one of the sample.
func (s *Server) answered(q *request, status int) {
	now := s.now()
	s.stats.requests.WithLabelValues(strconv.Itoa(status), "").Inc()
	s.stats.latency.WithLabelValues("answered").Observe(now.Sub(q.arrived).Seconds())
	class := logs.ClassDone
	if status >= http.StatusBadRequest {
		class = logs.ClassFailed
	}
	if !q.sampled && class == logs.ClassDone || !s.quota.Allow(class, now) {
		return
	}
	s.log.WithFields(s.fields(q, now)).WithField(fieldAnswer, status).Info("A request got a target's answer.")
}

// sent logs and counts what became of a request at a target.
func (s *Server) sent(q *request, send *pick.Send, outcome pick.Outcome, answer sender.Answer, err error, now time.Time) {
	name, class := describe(outcome)
	s.stats.sends.WithLabelValues(name, distanceName(send.Distance())).Inc()
	allowed := s.quota.Allow(class, now)
	if class == logs.ClassDone {
		q.sampled = allowed
	}
	if !allowed {
		return
	}
	fields := s.fields(q, now)
	fields["target"] = send.Member().Target()
	fields["service"] = send.Member().Service()
	fields[fieldOutcome] = name
	fields["distance"] = distanceName(send.Distance())
	fields["load"] = send.Load()
	fields["load_age_ms"] = send.LoadAge().Milliseconds()
	fields["familiar"] = send.Familiar()
	fields["expected_ms"] = millis(send.Estimate().Total)
	fields["sent_for_ms"] = millis(now.Sub(send.At()))
	if answer.Status() != 0 {
		fields["status"] = answer.Status()
	}
	if err != nil {
		fields["why"] = errs.AsRefusal(err).Message()
	}
	s.log.WithFields(fields).Info("A target had a request.")
}

func describe(o pick.Outcome) (string, logs.Class) {
	switch o := o.(type) {
	case pick.Answered:
		if o.Failed {
			return "failed", logs.ClassFailed
		}
		return "answered", logs.ClassDone
	case pick.Rejected:
		return "rejected", logs.ClassRefused
	case pick.Unreachable:
		return "unreachable", logs.ClassFailed
	case pick.Broken:
		return "broken", logs.ClassFailed
	case pick.Abandoned:
		return "abandoned", logs.ClassFailed
	}
	return "unknown", logs.ClassFailed
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

// leftOutInterval is how often the log says what it left out.
const leftOutInterval = 5 * time.Second

// runLeftOut logs and counts the lines that the bounds of the log left out.
func (s *Server) runLeftOut(ctx context.Context) {
	for wait.For(ctx, leftOutInterval) {
		fields := logrus.Fields{}
		for class, n := range s.quota.TakeLeftOut() {
			s.stats.leftOut.WithLabelValues(string(class)).Add(float64(n))
			if class != logs.ClassDone {
				fields[string(class)] = n
			}
		}
		if len(fields) > 0 {
			s.log.WithFields(fields).Warn("Lines were left out of the log.")
		}
	}
}
