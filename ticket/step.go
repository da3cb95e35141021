package ticket

import "time"

// Step is the next action of the home for a request.
type Step interface {
	step()
}

// StepRecord tells the home to ask the witness to record the key, then call
// Ledger.Acknowledge or Ledger.Refuse.
type StepRecord struct{}

// StepRun tells the home to send the request to a target, then call
// Ledger.Finish.
type StepRun struct{}

// StepJoin tells the home to wait for the outcome of the request that is
// already in progress under the key.
type StepJoin struct{}

// StepAwaitHandover tells the home to wait until the handover of the ledger has
// ended, then call Ledger.Admit again.
type StepAwaitHandover struct{}

// StepMoved tells the home to forward the request to the process that took over
// the ledger.
type StepMoved struct {
	to ID
}

// To returns the process that took over.
func (s StepMoved) To() ID { return s.to }

// StepDone tells the home to return the outcome to the caller.
type StepDone struct {
	outcome Outcome
}

// Outcome returns the outcome of the request.
func (s StepDone) Outcome() Outcome { return s.outcome }

func (StepRecord) step()        {}
func (StepRun) step()           {}
func (StepJoin) step()          {}
func (StepAwaitHandover) step() {}
func (StepMoved) step()         {}
func (StepDone) step()          {}

// Seal is the reply of the witness about a key whose home is gone.
type Seal interface {
	seal()
}

// SealNotRun says that the key was not recorded and never will be.
type SealNotRun struct{}

// SealKnown says that the outcome of the key is known.
type SealKnown struct {
	outcome Outcome
}

// Outcome returns the outcome that the home reported.
func (s SealKnown) Outcome() Outcome { return s.outcome }

// SealUnknown says that the request may have run.
type SealUnknown struct {
	after time.Duration
	why   string
}

// After returns the delay after which another call may give a more definite
// reply; zero means that none will.
func (s SealUnknown) After() time.Duration { return s.after }

// Why returns the cause as text.
func (s SealUnknown) Why() string { return s.why }

// SealTakenOver says that the witness took over the home's ledger and accepts its
// requests.
type SealTakenOver struct{}

func (SealNotRun) seal()    {}
func (SealKnown) seal()     {}
func (SealUnknown) seal()   {}
func (SealTakenOver) seal() {}

// NewSealKnown returns a SealKnown with the outcome.
func NewSealKnown(outcome Outcome) SealKnown { return SealKnown{outcome: outcome} }

// NewSealUnknown returns a SealUnknown. after is the delay after which another
// call may give a more definite reply, or zero; why is the cause as text.
func NewSealUnknown(after time.Duration, why string) SealUnknown {
	return SealUnknown{after: after, why: why}
}
