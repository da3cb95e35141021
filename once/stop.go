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

// stopPoll is the time between two looks at what keeps the process from
// stopping.
const stopPoll = 20 * time.Millisecond

// Run forgets keys whose time is past, until ctx ends.
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

// Close cancels the requests that were handed on and waits for their ends.
func (k *Keys) Close() {
	k.home.cancel()
	k.home.tasks.Wait()
}

// Stop hands over the keys: those of which this process is the home to their
// witnesses, and those that it recorded back to their homes. It returns once
// nobody needs the process for keys, or with an error when ctx ends. Requests
// are answered meanwhile and afterwards.
func (k *Keys) Stop(ctx context.Context) error {
	k.home.stopping.Store(true)
	messages := k.witness.release()
	var tasks conc.WaitGroup
	for _, message := range messages {
		tasks.Go(func() { k.release(ctx, message) })
	}
	for p, b := range *k.home.books.Load() {
		if p.home == k.home.self {
			tasks.Go(func() { k.home.handOver(ctx, b) })
		}
	}
	tasks.Wait()
	for !k.idle(ctx) {
		if !wait.For(ctx, stopPoll) {
			return errors.Wrap(ctx.Err(), "keys are still in use")
		}
	}
	return nil
}

// release tells a home that this witness stops. A home that can't be reached
// needs no witness, or finds out when it asks for an acknowledgement.
func (k *Keys) release(ctx context.Context, message ticket.Release) {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	for {
		reply, err := k.network.Call(ctx, message.Home.Instance(), &wire.KeyRelease{
			Home: processToWire(message.Home), Witness: processToWire(message.Witness),
			Sealed: rowsToWire(message.Sealed), ClosedUntil: message.ClosedUntil,
		})
		if taken, ok := reply.(*wire.KeyTaken); err == nil && ok && taken.Taken {
			return
		}
		if !wait.For(ctx, stopPoll) {
			k.log.WithField("instance", message.Home.Instance()).Warn("A home did not confirm that its witness stops.")
			return
		}
	}
}

// idle tells whether no request runs here, every outcome is with the witness,
// and no key that only this process can run is alive.
func (k *Keys) idle(ctx context.Context) bool {
	idle := true
	for p, b := range *k.home.books.Load() {
		b.mu.Lock()
		running := b.ledger.Running() > 0 || b.ledger.Alive(k.home.now())
		keys := b.ledger.Unreported()
		b.mu.Unlock()
		idle = idle && !running
		if p.home == k.home.self {
			k.home.reportAll(ctx, b, keys)
		}
	}
	return idle
}

// reportAll tries once more to tell the witness the outcomes that it has not
// confirmed. One that is gone gets none.
func (h *home) reportAll(ctx context.Context, b *book, keys []ticket.Key) {
	for _, key := range keys {
		if ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		outcome, ended := b.ledger.Outcome(key)
		b.mu.Unlock()
		if ended {
			h.report(b, key, outcome)
		}
		b.mu.Lock()
		b.ledger.Reported(key)
		b.mu.Unlock()
	}
}

// handOver gives a ledger to its witness. As long as it is unknown whether the
// witness took it, no key of it runs here. It ends at the latest with the life
// of the keys: the witness may stop at the same time, and then nobody answers.
func (h *home) handOver(ctx context.Context, b *book) {
	b.mu.Lock()
	handover, ok := b.ledger.Freeze(h.now())
	b.mu.Unlock()
	if !ok {
		return
	}
	perhaps := false
	for {
		taken, err := h.offer(ctx, handover)
		switch {
		case err == nil && taken:
			b.settle((*ticket.Ledger).Hand)
			return
		case err == nil, errors.Is(err, wire.ErrNotSent) && !perhaps:
			b.settle((*ticket.Ledger).Thaw)
			return
		}
		perhaps = true
		if !h.alive(b) {
			return
		}
		if !wait.For(ctx, stopPoll) {
			h.log.WithField("instance", handover.Witness.Instance()).Warn("It is unknown whether the witness took the keys over.")
			return
		}
	}
}

func (h *home) alive(b *book) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Alive(h.now())
}

// offer sends a handover once. Without error, the result tells whether the
// witness took it; a witness that declined never takes it later.
func (h *home) offer(ctx context.Context, handover ticket.Handover) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, RecordTimeout)
	defer cancel()
	reply, err := h.network.Call(ctx, handover.Witness.Instance(), handoverToWire(handover))
	if err != nil {
		return false, errors.Wrap(err, "hand over keys")
	}
	taken, ok := reply.(*wire.KeyTaken)
	if !ok {
		return false, errors.Newf("instance %s is not the witness any more", handover.Witness.Instance())
	}
	return taken.Taken, nil
}

// settle ends a handover and lets the requests that were held go on.
func (b *book) settle(end func(*ticket.Ledger)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end(b.ledger)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Dump is the state of the keys, for operators.
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

// Dump returns the present state.
func (k *Keys) Dump() Dump {
	dump := Dump{
		Ledgers: len(*k.home.books.Load()), HomeKeys: k.home.budget.Keys(), HomeRefused: k.home.budget.Refusals(), HomeBytes: k.home.budget.Bytes(),
		Recorded: k.witness.budget.Keys(), Sealed: k.witness.budget.Refusals(), WitnessBytes: k.witness.budget.Bytes(),
	}
	if chosen := k.choice.Load(); chosen != nil {
		dump.Witness = string(chosen.witness.Instance())
	}
	return dump
}
