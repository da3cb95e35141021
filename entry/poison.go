package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/peers"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/sender"
	"github.com/endivechute/endivechute/wire"
)

// callerHeaders are the headers by which callers differ.
var callerHeaders = []string{"Cookie", "Authorization"}

// fingerprint returns the fingerprint that all attempts at the request have.
func (r *Request) fingerprint() poison.Fingerprint {
	parts := []string{string(r.service), r.method, r.path}
	for _, name := range callerHeaders {
		for _, h := range r.headers {
			if strings.EqualFold(h.Name, name) {
				parts = append(parts, name, h.Value)
			}
		}
	}
	return poison.FingerprintOf(r.body, parts...)
}

// checkQuarantine returns a refusal if the request is quarantined.
func (e *Entry) checkQuarantine(r *Request) error {
	if e.guard.Empty() {
		return nil
	}
	held := e.guard.Held(r.fingerprint(), e.now())
	if held == 0 {
		return nil
	}
	return errs.NotRun(errs.ReasonQuarantined, held, "targets crashed under the request %v; it is quarantined for another %v", r.fingerprint(), held)
}

// judgeRequest tells the guard how a request that was sent at the given time ended at
// a target that this entry keeps: with an answer, or with a connection that broke
// because the target crashed.
func (e *Entry) judgeRequest(ctx context.Context, k *targetState, name place.Target, client *sender.Client, r *Request, answer sender.Answer, err error, sent time.Time) {
	broken := e.now()
	if err == nil {
		if !e.guard.Empty() {
			e.guard.Clear(r.fingerprint(), e.now())
		}
		return
	}
	if !sender.MayHaveCrashed(answer, err) || k.leaving.Load() {
		return
	}
	crash, crashed := client.Crashed(context.WithoutCancel(ctx))
	if !crashed || !e.limits.isWitness(context.WithoutCancel(ctx), name) {
		return
	}
	// The keeper alone sends to the target, so that its numbers identify the crashes.
	process := xxhash.Sum64String(fmt.Sprint(name, " ", e.self.Instance, " ", e.self.Incarnation, " ", crash))
	now := e.now()
	blamed := poison.Crash{Process: process, Age: now.Sub(broken), Ran: broken.Sub(sent), Target: name, Witness: e.self.Instance}
	if e.guard.Blame(r.fingerprint(), blamed, now) {
		e.logQuarantine(r.fingerprint(), logrus.Fields{"target": name, "service": r.service})
	}
}

// hearSuspects takes in the suspected requests in another entry's heartbeat.
// Heartbeats go to all entries, so that nothing has to be told on.
func (e *Entry) hearSuspects(heartbeat *wire.Heartbeat) {
	_, quarantined := peers.HearSuspects(e.guard, heartbeat, false, e.now())
	for _, f := range quarantined {
		e.logQuarantine(f, logrus.Fields{"peer": heartbeat.Instance})
	}
}

func (e *Entry) logQuarantine(f poison.Fingerprint, fields logrus.Fields) {
	e.log.WithFields(fields).WithField("fingerprint", f).Warn("A request is quarantined, because targets crashed under it.")
}

// LiftQuarantine ends the quarantine of a request for an operator, as poison.Guard.Lift
// does.
func (e *Entry) LiftQuarantine(fingerprint string) (bool, error) {
	lifted, err := e.guard.Lift(fingerprint, e.now())
	if lifted {
		e.log.WithField("fingerprint", fingerprint).Warn("An operator ended the quarantine of a request.")
	}
	return lifted, err //nolint:wrapcheck // it names the setting
}
