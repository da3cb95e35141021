package once

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wire"
)

// packOutcome returns the outcome of a run with the answer encoded for storage.
func packOutcome(answer *wire.Answer, err error) ticket.Outcome {
	if err != nil {
		return ticket.OutcomeOf(nil, err)
	}
	packed, err := msgpack.Marshal(answer)
	if err != nil {
		return ticket.Refused(errs.MayHaveRun(errs.ReasonAnswerNotKept, "the request ran, but its answer can't be encoded to keep it: %v", err))
	}
	return ticket.Answered(packed)
}

// unpackOutcome decodes the kept answer of an outcome, or returns the refusal.
func unpackOutcome(outcome ticket.Outcome) (*wire.Answer, error) {
	packed, err := outcome.Result()
	if err != nil {
		return nil, errors.Wrap(err, "the outcome of the key")
	}
	answer := &wire.Answer{}
	if err := msgpack.Unmarshal(packed, answer); err != nil {
		return nil, errs.MayHaveRun(errs.ReasonAnswerNotKept, "the request ran, but its kept answer can't be decoded: %v", err)
	}
	return answer, nil
}

func outcomeToWire(outcome ticket.Outcome) wire.KeyOutcome {
	refusal := outcome.Refusal()
	if refusal == nil {
		return wire.KeyOutcome{Answer: outcome.Answer()}
	}
	return wire.KeyOutcome{
		Verdict: refusal.Verdict(), Reason: refusal.Reason(), Text: refusal.Message(), RetryAfterMillis: refusal.RetryAfter().Milliseconds(),
	}
}

func outcomeFromWire(o wire.KeyOutcome) ticket.Outcome {
	if len(o.Answer) > 0 {
		return ticket.Answered(o.Answer)
	}
	return ticket.Refused(errs.New(o.Verdict, o.Reason, time.Duration(o.RetryAfterMillis)*time.Millisecond, "%s", o.Text))
}

func refusalFromWire(r *wire.Refused) *errs.Refusal {
	return errs.New(r.Verdict, r.Reason, time.Duration(r.RetryAfterMillis)*time.Millisecond, "%s", r.Text)
}

// refusalToWire returns the reply to a request that failed.
func refusalToWire(err error) *wire.Refused {
	refusal := errs.AsRefusal(err)
	return &wire.Refused{Verdict: refusal.Verdict(), Reason: refusal.Reason(), Text: refusal.Message(), RetryAfterMillis: refusal.RetryAfter().Milliseconds()}
}

func sealToWire(sealed ticket.Seal) *wire.KeySealed {
	switch s := sealed.(type) {
	case ticket.SealNotRun:
		return &wire.KeySealed{State: wire.KeyStateNotRun}
	case ticket.SealKnown:
		return &wire.KeySealed{State: wire.KeyStateKnown, Outcome: outcomeToWire(s.Outcome())}
	case ticket.SealTakenOver:
		return &wire.KeySealed{State: wire.KeyStateTakenOver}
	case ticket.SealUnknown:
		return &wire.KeySealed{State: wire.KeyStateUnknown, AfterMillis: s.After().Milliseconds(), Cause: s.Why()}
	}
	return &wire.KeySealed{}
}

func sealFromWire(m *wire.KeySealed) ticket.Seal {
	switch m.State {
	case wire.KeyStateNotRun:
		return ticket.SealNotRun{}
	case wire.KeyStateKnown:
		return ticket.NewSealKnown(outcomeFromWire(m.Outcome))
	case wire.KeyStateTakenOver:
		return ticket.SealTakenOver{}
	case wire.KeyStateUnknown:
	}
	return ticket.NewSealUnknown(time.Duration(m.AfterMillis)*time.Millisecond, m.Cause)
}

func processToWire(id ticket.ID) wire.KeyProcess {
	return wire.KeyProcess{Instance: id.Instance(), Incarnation: id.Incarnation()}
}

func processFromWire(p wire.KeyProcess) ticket.ID { return ticket.NewID(p.Instance, p.Incarnation) }

func rowsToWire(keys []ticket.HandoverKey) []wire.KeyRow {
	rows := make([]wire.KeyRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, wire.KeyRow{Nonce: k.Nonce, Number: k.Number, Expires: k.Expires, Digest: uint64(k.Digest)})
	}
	return rows
}

func rowsFromWire(rows []wire.KeyRow) []ticket.HandoverKey {
	keys := make([]ticket.HandoverKey, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, ticket.HandoverKey{Nonce: r.Nonce, Number: r.Number, Expires: r.Expires, Digest: ticket.Digest(r.Digest)})
	}
	return keys
}

func handoverToWire(h ticket.Handover) *wire.KeyHandover {
	return &wire.KeyHandover{
		Home: processToWire(h.Home), Witness: processToWire(h.Witness), Zone: h.Zone,
		LastExpires: h.LastExpires, ClosedUntil: h.ClosedUntil, Refused: rowsToWire(h.Refused), Unused: rowsToWire(h.Unused),
	}
}

func handoverFromWire(m *wire.KeyHandover) ticket.Handover {
	return ticket.Handover{
		Home: processFromWire(m.Home), Witness: processFromWire(m.Witness), Zone: m.Zone,
		LastExpires: m.LastExpires, ClosedUntil: m.ClosedUntil, Refused: rowsFromWire(m.Refused), Unused: rowsFromWire(m.Unused),
	}
}
