package ticket

import "time"

// Step is what the home has to do next with a request.
type Step interface {
	step()
}

// StepRecord asks the witness to record the key, and then tells the ledger.
type StepRecord struct{}

// StepRun hands the request on to a target, and then tells the ledger.
type StepRun struct{}

// StepJoin waits for the request that already runs under the key.
type StepJoin struct{}

// StepHold waits until the ledger's handover has ended, and arrives again.
type StepHold struct{}

// StepMoved leads the request to the process that took over the ledger.
type StepMoved struct {
	to ID
}

// To returns the process that took over.
func (s StepMoved) To() ID { return s.to }

// StepDone gives the caller the outcome.
type StepDone struct {
	outcome Outcome
}

// Outcome returns what became of the request.
func (s StepDone) Outcome() Outcome { return s.outcome }

func (StepRecord) step() {}
func (StepRun) step()    {}
func (StepJoin) step()   {}
func (StepHold) step()   {}
func (StepMoved) step()  {}
func (StepDone) step()   {}

// Seal is what the witness says of a key whose home is gone.
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

// After returns when asking again may tell more; zero means never.
func (s SealUnknown) After() time.Duration { return s.after }

// Why returns the cause in words.
func (s SealUnknown) Why() string { return s.why }

// SealActing says that the witness took over the home's ledger and takes requests.
type SealActing struct{}

func (SealNotRun) seal()  {}
func (SealKnown) seal()   {}
func (SealUnknown) seal() {}
func (SealActing) seal()  {}

// NewSealKnown makes a SealKnown.
func NewSealKnown(outcome Outcome) SealKnown { return SealKnown{outcome: outcome} }

// NewSealUnknown makes a SealUnknown. after is when asking again may tell more.
func NewSealUnknown(after time.Duration, why string) SealUnknown {
	return SealUnknown{after: after, why: why}
}
