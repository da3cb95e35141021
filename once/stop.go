package once

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/ticket"
	"github.com/endivechute/endivechute/wait"
	"github.com/endivechute/endivechute/wire"
)

// stopPollInterval is the time between two checks of whether a process that stops
// is still needed.
const stopPollInterval = 20 * time.Millisecond

// Run removes expired keys every SweepInterval until ctx ends.
func (k *Keys) Run(ctx context.Context) {
	ticker := time.NewTicker(SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.home.sweep()
			k.witness.sweep()
		}
	}
}

// Close cancels the requests that are being recorded or run here and waits until
// they have ended.
func (k *Keys) Close() {
	k.home.cancel()
	k.home.tasks.Wait()
}

// Stop prepares the process for its end. It hands over the ledgers of this home
// to their witnesses, and releases the homes for which this process is the
// witness from the need for acknowledgements. It returns once no key needs this
// process, or with an error when ctx ends. Requests are answered during and after
// the call.
func (k *Keys) Stop(ctx context.Context) error {
	k.home.stopping.Store(true)
	messages := k.witness.release()
	var tasks conc.WaitGroup
	for _, message := range messages {
		tasks.Go(func() { k.release(ctx, message) })
	}
	for id, l := range *k.home.ledgers.Load() {
		if id.home == k.home.self {
			tasks.Go(func() { k.home.handOver(ctx, l) })
		}
	}
	tasks.Wait()
	for !k.idle(ctx) {
		if !wait.Sleep(ctx, stopPollInterval) {
			return errors.Wrap(ctx.Err(), "keys are still in use")
		}
	}
	return nil
}

// release tells a home that this witness stops. A home that can't be reached
// either needs no witness, or learns of it when it asks for an acknowledgement.
func (k *Keys) release(ctx context.Context, message ticket.Release) {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	for {
		reply, err := k.network.Call(ctx, message.Home.Instance(), &wire.KeyRelease{
			Home: processToWire(message.Home), Witness: processToWire(message.Witness),
			Sealed: rowsToWire(message.Sealed), ClosedUntil: message.ClosedUntil,
		})
		if taken, ok := reply.(*wire.KeyAccepted); err == nil && ok && taken.Accepted {
			return
		}
		if !wait.Sleep(ctx, stopPollInterval) {
			k.log.WithField("instance", message.Home.Instance()).Warn("A home did not confirm that this process stops as its witness.")
			return
		}
	}
}

// idle reports whether no request runs here and no unexpired key needs this
// process. It also sends unreported outcomes to the witnesses.
func (k *Keys) idle(ctx context.Context) bool {
	idle := true
	for id, l := range *k.home.ledgers.Load() {
		l.mu.Lock()
		running := l.ledger.Running() > 0 || l.ledger.Alive(k.home.now())
		keys := l.ledger.Unreported()
		l.mu.Unlock()
		idle = idle && !running
		if id.home == k.home.self {
			k.home.reportAll(ctx, l, keys)
		}
	}
	return idle
}

// reportAll sends the outcomes of the keys to the witness once more. It counts
// them as confirmed in any case, since the witness may be gone.
func (h *home) reportAll(ctx context.Context, l *lockedLedger, keys []ticket.Key) {
	for _, key := range keys {
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		outcome, ended := l.ledger.Outcome(key)
		l.mu.Unlock()
		if ended {
			h.report(l, key, outcome)
		}
		l.mu.Lock()
		l.ledger.Reported(key)
		l.mu.Unlock()
	}
}

// handOver hands over a ledger to its witness. While it is unknown whether the
// witness accepted, no request of the ledger starts here. handOver gives up when
// all keys have expired: if the witness stops at the same time, no reply comes.
func (h *home) handOver(ctx context.Context, l *lockedLedger) {
	l.mu.Lock()
	handover, ok := l.ledger.Freeze(h.now())
	l.mu.Unlock()
	if !ok {
		return
	}
	maybeAccepted := false
	for {
		taken, err := h.offer(ctx, handover)
		switch {
		case err == nil && taken:
			l.endHandover((*ticket.Ledger).MarkMoved)
			return
		case err == nil, errors.Is(err, wire.ErrNotSent) && !maybeAccepted:
			l.endHandover((*ticket.Ledger).Unfreeze)
			return
		}
		maybeAccepted = true
		if !h.alive(l) {
			return
		}
		if !wait.Sleep(ctx, stopPollInterval) {
			h.log.WithField("instance", handover.Witness.Instance()).Warn("The witness did not confirm the handover of the keys and may have accepted it.")
			return
		}
	}
}

// alive reports whether there may be unexpired keys that need this process.
func (h *home) alive(l *lockedLedger) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Alive(h.now())
}

// offer sends a handover once. Without an error, the result reports whether the
// witness accepted it; a witness that declined never accepts it later.
func (h *home) offer(ctx context.Context, handover ticket.Handover) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	reply, err := h.network.Call(ctx, handover.Witness.Instance(), handoverToWire(handover))
	if err != nil {
		return false, errors.Wrap(err, "hand over keys")
	}
	taken, ok := reply.(*wire.KeyAccepted)
	if !ok {
		return false, errors.Newf("instance %s is no longer the witness", handover.Witness.Instance())
	}
	return taken.Accepted, nil
}

// endHandover ends a handover by the given method of the ledger and wakes the
// requests that wait for it.
func (l *lockedLedger) endHandover(end func(*ticket.Ledger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(l.ledger)
	close(l.handoverEnded)
	l.handoverEnded = make(chan struct{})
}

// Dump holds the counts of keys and bytes in both roles, for operators.
type Dump struct {
	Witness      string `json:"witness"`
	Ledgers      int    `json:"ledgers"`
	HomeKeys     int64  `json:"home_keys"`
	HomeRefused  int64  `json:"home_refused"`
	HomeBytes    int64  `json:"home_answer_bytes"`
	Recorded     int64  `json:"recorded_keys"`
	Sealed       int64  `json:"sealed_keys"`
	WitnessBytes int64  `json:"recorded_answer_bytes"`
}

// Dump returns the current counts.
func (k *Keys) Dump() Dump {
	dump := Dump{
		Ledgers: len(*k.home.ledgers.Load()), HomeKeys: k.home.budget.Keys(), HomeRefused: k.home.budget.Refusals(), HomeBytes: k.home.budget.Bytes(),
		Recorded: k.witness.budget.Keys(), Sealed: k.witness.budget.Refusals(), WitnessBytes: k.witness.budget.Bytes(),
	}
	if chosen := k.chosen.Load(); chosen != nil {
		dump.Witness = string(chosen.witness.Instance())
	}
	return dump
}
