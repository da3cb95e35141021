package front

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/pick"
	"github.com/endivechute/endivechute/pipe"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wait"
)

// Log fields that are also labels of metrics.
const (
	fieldAnswer  = "answer"
	fieldReason  = "reason"
	fieldOutcome = "outcome"
)

// Log fields for the name of a target and of its service.
const (
	fieldTarget  = "target"
	fieldService = "service"
)

// fieldReplica is the log field and the label of metrics for the position of a target
// among the replicas of an object.
const fieldReplica = "replica"

// fieldPeer is the log field for another instance.
const fieldPeer = "peer"

// fieldFingerprint is the log field that all attempts at a request share.
const fieldFingerprint = "fingerprint"

// fieldLimit is the log field for the limit that a target names, in requests per
// second.
const fieldLimit = "per_second"

// Values of the answer in the log and the metrics, beside a target's status.
const (
	answerRefused = "refused"
	answerDenied  = "denied"
	answerGone    = "gone"
	answerBroken  = "broken"
)

// recordRefusal logs and counts a request whose client got no target's answer.
func (s *Server) recordRefusal(q *request, answer string, err error) {
	refusal := errs.AsRefusal(err)
	now := s.now()
	s.countRequest(q, answer, string(refusal.Reason()), answer, now)
	if answer == answerRefused {
		s.countRefusal(q, refusal)
	}
	class := logs.ClassFailed
	if refusal.Verdict() == errs.VerdictNotRun {
		class = logs.ClassRefused
	}
	if !s.logQuota.Allow(class, now) {
		return
	}
	s.log.WithFields(s.logFields(q, now)).WithFields(logrus.Fields{
		fieldAnswer: answer, "verdict": refusal.Verdict().String(), fieldReason: refusal.Reason(),
		"come_back_ms": refusal.RetryAfter().Milliseconds(), "why": refusal.Message(),
	}).Warn("A request got no target's answer.")
}

// countRequest counts a request by its answer and the reason of a refusal. Those that
// other instances passed on are counted apart.
func (s *Server) countRequest(q *request, answer, reason, latencyLabel string, now time.Time) {
	if q.detoured {
		s.stats.detoured.WithLabelValues(answer, reason).Inc()
		return
	}
	s.stats.requests.WithLabelValues(answer, reason).Inc()
	if q.tenant != nil {
		s.stats.tenantRequests.WithLabelValues(s.tenantLabels.label(q.tenant.Name()), answer).Inc()
	}
	s.stats.latency.WithLabelValues(latencyLabel).Observe(now.Sub(q.arrived).Seconds())
}

// logFields returns the fields of every log line about a request: its id, tenant and
// route, the version of the configuration, and the age of the data that the
// routing used.
func (s *Server) logFields(q *request, now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"id": q.head.ID(), "took_ms": milliseconds(now.Sub(q.arrived)), "knowledge_age_ms": s.feed.Age().Milliseconds(),
	}
	if pipe.IsEarly(q.http.Context()) {
		fields["early"] = true
	}
	if q.table != nil {
		fields["version"] = q.table.Version()
	}
	if q.tenant != nil {
		fields[fieldTenant] = q.tenant.Name()
	}
	if q.route != nil {
		fields["route"] = q.route.Name()
		if s.underPressure() {
			fields[fieldPriority] = q.priority()
		}
		fields["left_ms"] = milliseconds(q.deadline.Sub(now))
	}
	return fields
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// recordAnswer counts a request that got a target's answer. It logs the answer
// if that is a failure or the request is in the sample.
func (s *Server) recordAnswer(q *request, status int) {
	now := s.now()
	s.countRequest(q, strconv.Itoa(status), "", "answered", now)
	class := logs.ClassDone
	if status >= http.StatusBadRequest {
		class = logs.ClassFailed
	}
	if !q.sampled && class == logs.ClassDone || !s.logQuota.Allow(class, now) {
		return
	}
	s.log.WithFields(s.logFields(q, now)).WithField(fieldAnswer, status).Info("A request got a target's answer.")
}

// recordAttempt logs and counts the outcome of sending a request to a target.
func (s *Server) recordAttempt(q *request, attempt *pick.Attempt, outcome pick.Outcome, answer sender.Answer, err error, now time.Time) {
	name, class := classifyOutcome(outcome)
	s.stats.sends.WithLabelValues(name, distanceName(attempt.Distance())).Inc()
	replica, replicated := attempt.Replica()
	if replicated {
		s.stats.replicaSends.WithLabelValues(replicaName(replica)).Inc()
	}
	allowed := s.logQuota.Allow(class, now)
	if class == logs.ClassDone {
		q.sampled = allowed
	}
	if !allowed {
		return
	}
	fields := s.logFields(q, now)
	fields[fieldTarget] = attempt.Member().Target()
	fields[fieldService] = attempt.Member().Service()
	fields[fieldOutcome] = name
	fields["distance"] = distanceName(attempt.Distance())
	fields["considered"] = attempt.Considered()
	fields["unreachable"] = attempt.Unreachable()
	fields["load"] = attempt.Load()
	fields["load_age_ms"] = attempt.LoadAge().Milliseconds()
	fields["familiar"] = attempt.LikelyCached()
	if replicated {
		fields[fieldReplica] = replicaName(replica)
		fields["hit_probability"] = math.Round(100*attempt.HitProbability()) / 100
	}
	fields["expected_ms"] = milliseconds(attempt.Estimate().Total)
	fields["sent_for_ms"] = milliseconds(now.Sub(attempt.At()))
	if answer.Status() != 0 {
		fields["status"] = answer.Status()
	}
	if err != nil {
		fields["why"] = errs.AsRefusal(err).Message()
		fields[fieldFingerprint] = q.fingerprint()
	}
	s.log.WithFields(fields).Info("A target had a request.")
}

// classifyOutcome returns the name of an outcome in the log and the metrics,
// and the class of its log lines.
func classifyOutcome(o pick.Outcome) (string, logs.Class) {
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

// distanceName returns the name of a distance in the log and the metrics.
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

// suppressedInterval is the time between two reports on suppressed log lines.
const suppressedInterval = 5 * time.Second

// reportSuppressed logs and counts the lines that the log quota suppressed,
// until ctx ends. Those of successful requests are only counted, because the
// log holds just a sample of them anyway.
func (s *Server) reportSuppressed(ctx context.Context) {
	for wait.Sleep(ctx, suppressedInterval) {
		fields := logrus.Fields{}
		for class, n := range s.logQuota.TakeLeftOut() {
			s.stats.suppressedLines.WithLabelValues(string(class)).Add(float64(n))
			if class != logs.ClassDone {
				fields[string(class)] = n
			}
		}
		if len(fields) > 0 {
			s.log.WithFields(fields).Warn("Log lines were suppressed.")
		}
	}
}
