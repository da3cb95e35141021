package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivechute/endivechute/budget"
	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/shift"
	"github.com/endivechute/endivechute/steer"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// keeperRetryDelay is the time before a request is retried that failed because
// its target has no keeper, for instance after an instance was lost.
const keeperRetryDelay = 100 * time.Millisecond

// countArrival adds a caller's request to the credit for diversions.
func (l *limits) countArrival(service place.Service, policy *config.Policy) {
	m := (*l.meters.Load())[service]
	if m == nil {
		return
	}
	m.Arrive(shift.ShareOf(policy.CapPercentOf(l.entry.self.Zone.Region())), *m.regionShares.Load())
}

// noCredit allows no diversion.
type noCredit struct{}

func (noCredit) Divert(place.Region) bool { return false }
func (noCredit) Spill() bool              { return false }

// credit returns the credit that decides whether the request may leave the
// region, and the regions that the policy diverts to. Only the entry that received
// the request from the caller may divert it.
func (l *limits) credit(r *Request) (steer.Credit, []place.Region) {
	m := (*l.meters.Load())[r.service]
	if m == nil || r.hops > 0 {
		return noCredit{}, nil
	}
	regionShares := *m.regionShares.Load()
	regions := make([]place.Region, 0, len(regionShares))
	for _, w := range regionShares {
		regions = append(regions, w.To())
	}
	return m, regions
}

// route tries the availability zones in order until one has run the request or
// may have run it. It starts again after keeperRetryDelay while a keeper is being
// replaced.
func (e *Entry) route(ctx context.Context, v *view, policy *config.Policy, r *Request) (*wire.Answer, error) {
	credit, regions := e.limits.credit(r)
	zones := e.zones(v, policy, r)
	planned := steer.PlannedRegion(credit, regions, zones)
	for {
		answer, err := e.routeOnce(ctx, v, policy, r, credit, planned, zones)
		if err == nil || !e.shouldRetry(r, err) || !wait.Sleep(ctx, keeperRetryDelay) {
			return answer, err
		}
	}
}

// shouldRetry reports whether the request did not run because a keeper is missing,
// unreachable or has just started, and its deadline leaves time for a retry. Only the entry that
// received the request from the caller retries it.
func (e *Entry) shouldRetry(r *Request, err error) bool {
	refusal := errs.AsRefusal(err)
	if r.hops > 0 || refusal.Verdict() != errs.VerdictNotRun || r.deadline.Sub(e.now()) < 2*keeperRetryDelay {
		return false
	}
	reasons := []errs.Reason{errs.ReasonLostKeeper, errs.ReasonPeerFailed, errs.ReasonNotReady}
	return slices.Contains(reasons, refusal.Reason())
}

// routeOnce tries each availability zone once. The error is that of the last zone
// tried.
func (e *Entry) routeOnce(ctx context.Context, v *view, policy *config.Policy, r *Request, credit steer.Credit, planned place.Region, zones []steer.Zone) (*wire.Answer, error) {
	var lastErr error = errs.NotRun(errs.ReasonNoTarget, DefaultRetryAfter, "no availability zone has a usable target of service %s", r.service)
	home := v.hasTargets(r.service, e.self.Zone.Region())
	for _, zone := range steer.TryOrder(e.self.Zone, planned, zones, rand.IntN) {
		if home && steer.NeedsSpill(e.self.Zone, planned, zone) && !credit.Spill() {
			return nil, lastErr
		}
		answer, err := e.tryZone(ctx, v, policy, r, zone)
		if err == nil || errs.VerdictOf(err) != errs.VerdictNotRun {
			return answer, err
		}
		lastErr = err
		if errs.AsRefusal(err).Reason() == errs.ReasonRegionFull {
			e.limits.regionFullAt.Store(zone.Region(), e.limits.clock())
		}
		if ctx.Err() != nil {
			return nil, errs.NotRun(errs.ReasonDeadline, 0, "the deadline passed before a target ran the request")
		}
	}
	return nil, lastErr
}

// hasTargets reports whether the region has targets of the service, usable or
// not. A request that leaves a region without targets needs no credit.
func (v *view) hasTargets(service place.Service, region place.Region) bool {
	for zone := range v.targets[service] {
		if zone.Region() == region {
			return true
		}
	}
	return false
}

// zones returns the availability zones with usable targets of the request's
// service, with the age of the last refusal by their region. A request that
// another entry forwarded stays in this zone.
func (e *Entry) zones(v *view, policy *config.Policy, r *Request) []steer.Zone {
	var zones []steer.Zone
	now := e.limits.clock()
	for _, name := range slices.Sorted(maps.Keys(v.targets[r.service])) {
		if r.hops > 0 && name != e.self.Zone || len(v.usable(r.service, policy, name)) == 0 {
			continue
		}
		zone := steer.NewZone(name)
		if refused, found := e.limits.regionFullAt.Load(name.Region()); found {
			zone = zone.WithRefusal(now - refused.(time.Duration))
		}
		zones = append(zones, zone)
	}
	return zones
}

// distanceCount is the number of values that distance returns.
const distanceCount = 3

// distance returns 0 if two availability zones are the same, 1 if they are in the
// same region, and 2 otherwise.
func distance(from, to place.Zone) int {
	switch {
	case to == from:
		return 0
	case to.Region() == from.Region():
		return 1
	}
	return 2
}

// tryZone sends the request to a target in the zone, through another entry unless
// it is this entry's zone. The first entry that handles the request in a region
// counts it against the region's in-flight limit.
func (e *Entry) tryZone(ctx context.Context, v *view, policy *config.Policy, r *Request, zone place.Zone) (*wire.Answer, error) {
	if zone.Region() == e.self.Zone.Region() && !r.admitted {
		if !e.limits.admission.Admit(e.limits.clock()) {
			return nil, errs.NotRun(errs.ReasonRegionFull, DefaultRetryAfter, "region %s: instance %s has used up its share of the in-flight limit", zone.Region(), e.self.Instance)
		}
		defer e.limits.admission.Done()
	}
	if zone == e.self.Zone {
		return e.tryTarget(ctx, v, policy, r)
	}
	if zone.Region() != e.self.Zone.Region() {
		if err := e.limits.links.chargeRequest(zone.Region(), requestBytes(r), e.limits.clock()); err != nil {
			return nil, err
		}
	}
	return e.forwardToZone(ctx, v, r, zone)
}

// forwardToZone forwards the request to an entry of another zone, and to the next
// one if that entry can't be reached.
func (e *Entry) forwardToZone(ctx context.Context, v *view, r *Request, zone place.Zone) (*wire.Answer, error) {
	var lastErr error = errs.NotRun(errs.ReasonPeerFailed, DefaultRetryAfter, "no instance of availability zone %s is reachable", zone)
	for _, entry := range e.forwardCandidates(v.zoneEntries[zone]) {
		answer, err := e.forward(ctx, entry.Instance, r.toWire(wire.ScopeZone, e.now()))
		if err == nil || errs.VerdictOf(err) != errs.VerdictNotRun || errs.AsRefusal(err).Reason() != errs.ReasonPeerFailed {
			return answer, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// tryTarget sends the request to the better of two random targets of the zone,
// through its keeper. It retries at other targets within the budgets of the
// service.
func (e *Entry) tryTarget(ctx context.Context, v *view, policy *config.Policy, r *Request) (*wire.Answer, error) {
	candidates := e.limits.candidates(v, policy, r.service)
	if len(candidates) == 0 {
		return nil, errs.NotRun(errs.ReasonNoTarget, DefaultRetryAfter, "no target of service %s is usable in availability zone %s", r.service, e.self.Zone)
	}
	route := budget.Route[place.Target, *wire.Answer]{
		Pick: func(tried []place.Target) (place.Target, bool) {
			untried := slices.DeleteFunc(slices.Clone(candidates), func(c steer.Candidate) bool { return slices.Contains(tried, c.Target()) })
			chosen := steer.Choose(untried, keeper.InitialServiceTime, rand.IntN)
			if len(chosen) == 0 {
				return "", false
			}
			return chosen[0].Target(), true
		},
		Send: func(ctx context.Context, name place.Target) (*wire.Answer, error) {
			return e.sendViaKeeper(ctx, v, policy, r, name)
		},
	}
	idempotent := r.key == "" && !policy.NonIdempotent(r.method, r.pathWithoutQuery())
	return budget.Run(ctx, e.budgets.forService(r.service, policy, e.now()), &e.budgets.hedges, idempotent, route)
}

// sendViaKeeper sends the request to a target directly if this entry is its
// keeper, and forwards it to the keeper otherwise.
func (e *Entry) sendViaKeeper(ctx context.Context, v *view, policy *config.Policy, r *Request, name place.Target) (*wire.Answer, error) {
	k := (*e.limits.targets.Load())[name]
	if k == nil {
		return nil, e.targetMissing(name)
	}
	current := *k.keeper.Load()
	if k.lease.Held(e.limits.clock()) || current == e.self.Instance {
		return e.sendToTarget(ctx, v, policy, r, name)
	}
	k.sent.Add(1)
	message := r.toWire(wire.ScopeTarget, e.now())
	message.Target = name
	return e.forward(ctx, current, message)
}

// targetMissing returns the refusal for a target that this entry's list doesn't
// have. The sender's list is newer, as while this process starts, so the refusal is
// that of an entry that isn't the keeper yet.
func (e *Entry) targetMissing(name place.Target) error {
	return errs.NotRun(errs.ReasonLostKeeper, DefaultRetryAfter, "instance %s has no target %s in its list", e.self.Instance, name)
}

// candidates returns the usable targets of the service in this zone, each with
// the state that its keeper reported.
func (l *limits) candidates(v *view, policy *config.Policy, service place.Service) []steer.Candidate {
	e := l.entry
	now := l.clock()
	targets := *l.targets.Load()
	usable := v.usable(service, policy, e.self.Zone)
	candidates := make([]steer.Candidate, 0, len(usable))
	for _, t := range usable {
		k := targets[t.Target]
		if k == nil {
			continue
		}
		if k.lease.Held(now) {
			keptView := k.limiter.View()
			c := steer.NewCandidate(t.Target, e.self.Instance)
			candidates = append(candidates, c.WithView(keptView.Free, keptView.Wait, keptView.Failing, keptView.Leaving, 0, 0).WithService(keptView.Service))
			continue
		}
		c := steer.NewCandidate(t.Target, *k.keeper.Load())
		if received := k.view.Load(); received != nil {
			wait := time.Duration(received.WaitMicros) * time.Microsecond
			c = c.WithView(received.Free, wait, received.Failures, received.Leaving || k.leaving.Load(), now-received.receivedAt, int(k.sent.Load()))
			c = c.WithService(time.Duration(received.ServiceMicros) * time.Microsecond)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// keeperOf returns the presumed keeper of a target and the target's mean answer
// time in milliseconds, or 0 if no keeper reported it.
func (l *limits) keeperOf(name place.Target) (place.Instance, float64) {
	k := (*l.targets.Load())[name]
	if k == nil {
		return "", 0
	}
	if k.lease.Held(l.clock()) {
		return l.entry.self.Instance, milliseconds(k.limiter.View().Service)
	}
	received := k.view.Load()
	if received == nil {
		return *k.keeper.Load(), 0
	}
	return *k.keeper.Load(), milliseconds(time.Duration(received.ServiceMicros) * time.Microsecond)
}

// applyZoneView applies the view that came with an answer if the sender is in
// this zone.
func (l *limits) applyZoneView(from place.Instance, keeperView *wire.KeeperView) {
	if entry, found := l.entry.view.Load().entries[from]; found && entry.Zone == l.entry.self.Zone {
		l.applyView(from, keeperView)
	}
}

// sendToTarget sends the request to a target that this entry keeps.
func (e *Entry) sendToTarget(ctx context.Context, v *view, policy *config.Policy, r *Request, name place.Target) (*wire.Answer, error) {
	k := (*e.limits.targets.Load())[name]
	client := v.clients[name]
	if k == nil || client == nil {
		return nil, e.targetMissing(name)
	}
	if err := e.checkQuarantine(r); err != nil {
		return nil, err
	}
	if err := e.limits.checkReach(); err != nil {
		return nil, err
	}
	deadline := e.limits.clock() + r.deadline.Sub(e.now())
	permit, err := k.acquireSlot(ctx, deadline)
	if err != nil {
		return nil, err
	}
	if !permit.Held() {
		e.limits.releaseSlot(ctx, name, k, permit, keeper.OutcomeUnused)
		return nil, errs.NotRun(errs.ReasonLostKeeper, DefaultRetryAfter, "instance %s is no longer the keeper of target %s", e.self.Instance, name)
	}
	sent, began := e.limits.clock(), e.now()
	answer, err := client.Do(ctx, targetRequest(policy, r))
	e.limits.observeReach(name, answer, err, began)
	e.observeLimit(k, name, answer, sent)
	e.limits.releaseSlot(ctx, name, k, permit, outcomeOf(err, !policy.NonIdempotent(r.method, r.pathWithoutQuery())))
	e.judgeRequest(ctx, k, name, client, r, answer, err, began)
	if err != nil {
		return nil, err
	}
	message := answerToWire(answer)
	message.Target = name
	return message, nil
}

// observeLimit records whether a target that this entry keeps names a limit in the
// answer to a request that was sent at the given time on the clock of limits. A
// limit that is invalid changes nothing.
func (e *Entry) observeLimit(k *targetState, name place.Target, answer sender.Answer, sent time.Duration) {
	perSecond, named, err := sender.ReadLimit(answer)
	switch {
	case err != nil:
		e.log.WithError(err).WithField("target", name).Warn("A header of a target is invalid.")
	case answer.Status() == 0:
		// There is no answer.
	case named:
		k.limiter.NameLimit(perSecond)
	default:
		k.limiter.UnnameLimit(sent)
	}
}

// targetRequest returns the request to a target. Its ID, which targets repeat in
// their answers, is the caller's or a new one, so that an answer to an earlier
// request on the connection isn't taken for its own.
func targetRequest(policy *config.Policy, r *Request) sender.Request {
	headers := make([]sender.Header, 0, len(r.headers)+1)
	id := ""
	for _, h := range r.headers {
		headers = append(headers, sender.NewHeader(h.Name, h.Value))
		if strings.EqualFold(h.Name, sender.HeaderRequestID) {
			id = h.Value
		}
	}
	if id == "" {
		id = strconv.FormatUint(rand.Uint64(), 16)
		headers = append(headers, sender.NewHeader(sender.HeaderRequestID, id))
	}
	request := sender.NewRequest(r.method, r.path, r.deadline).WithKey(r.key).WithHeadersAndBody(headers, r.body).WithPolicy(policy).
		WithOptionalEcho(sender.NewHeader(sender.HeaderRequestID, id))
	if policy.NonIdempotent(r.method, r.pathWithoutQuery()) {
		request = request.WithAwaitSilent()
	}
	return request
}

// outcomeOf returns the outcome of a request for its slot. Targets stop an
// idempotent request when its connection is closed, so the slot of one that was
// given up becomes free soon.
func outcomeOf(err error, idempotent bool) keeper.Outcome {
	if err == nil {
		return keeper.OutcomeRan
	}
	refusal := errs.AsRefusal(err)
	aborted := refusal.Reason() == errs.ReasonCanceled || refusal.Reason() == errs.ReasonDeadline
	switch {
	case refusal.Verdict() != errs.VerdictNotRun && idempotent && aborted:
		return keeper.OutcomeCanceled
	case refusal.Verdict() != errs.VerdictNotRun:
		return keeper.OutcomeUnknown
	}
	switch refusal.Reason() {
	case errs.ReasonTargetBusy:
		return keeper.OutcomeShed
	case errs.ReasonTargetFailed:
		return keeper.OutcomeFailed
	default:
		return keeper.OutcomeUnused
	}
}
