package publish

import (
	"fmt"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// ConflictError tells of a delta that does not follow the head: another plan
// was published first, and this one was not.
type ConflictError struct {
	PlanID    string
	Wanted    uint64
	Published uint64
	// Winner is the plan of the head's version.
	Winner string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("plan %s not published as version %d: version %d by plan %s came first",
		e.PlanID, e.Wanted, e.Published, e.Winner)
}

// AbandonedError tells of a plan that was given up and can't be published.
type AbandonedError struct{ PlanID string }

func (e *AbandonedError) Error() string { return fmt.Sprintf("plan %s was abandoned", e.PlanID) }

// OutcomeUnknownError tells of a publish that may or may not have happened;
// publishing the same plan again, or Outcome, settles it.
type OutcomeUnknownError struct {
	PlanID string
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of plan %s unknown: %v", e.PlanID, e.Err)
}

// Unwrap returns why it could not be looked up.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StepError tells of a call of Publish that certainly had no effect, and at
// which step it stopped.
type StepError struct {
	PlanID, Step string
	Err          error
}

func (e *StepError) Error() string {
	return fmt.Sprintf("plan %s not published: %s: %v", e.PlanID, e.Step, e.Err)
}

// Unwrap returns the store's error.
func (e *StepError) Unwrap() error { return e.Err }

// TooOldError tells of a version whose following deltas are no longer kept;
// Load gives the newest version whole.
type TooOldError struct{ Held, Stored uint64 }

func (e *TooOldError) Error() string {
	return fmt.Sprintf("deltas from version %d to %d are no longer kept", e.Held, e.Stored)
}

// OlderError tells of a store that went back: its head has a lower version
// than one held, or another content for it. Restore mends it.
type OlderError struct {
	Held, Stored             uint64
	HeldDigest, StoredDigest snapshot.Digest
}

func (e *OlderError) Error() string {
	return fmt.Sprintf("store has version %d with %s, but version %d with %s was held",
		e.Stored, e.StoredDigest, e.Held, e.HeldDigest)
}

// NewerError tells of a restore that would put back a lower version than the
// store's.
type NewerError struct{ Stored, Restored uint64 }

func (e *NewerError) Error() string {
	return fmt.Sprintf("store has version %d, which is not older than %d", e.Stored, e.Restored)
}

// DamagedError tells of a value that the head leads to and that is missing or
// malformed.
type DamagedError struct {
	Key string
	Err error
}

func (e *DamagedError) Error() string { return fmt.Sprintf("store value %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the value.
func (e *DamagedError) Unwrap() error { return e.Err }

// MismatchError tells of a delta and a snapshot that are not of one version.
type MismatchError struct{ Delta, Snapshot uint64 }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("delta leads to version %d, the snapshot is another version %d", e.Delta, e.Snapshot)
}

// PlanIDError tells of a plan id that can't be part of a key.
type PlanIDError struct{ PlanID string }

func (e *PlanIDError) Error() string {
	return fmt.Sprintf("plan id %q must be 1 to %d of a-z, A-Z, 0-9, - and _", e.PlanID, maxPlanIDBytes)
}

// PlanExistsError tells of a plan id that names another plan already.
type PlanExistsError struct{ PlanID string }

func (e *PlanExistsError) Error() string { return fmt.Sprintf("plan %s exists already", e.PlanID) }

// PlanNotFoundError tells of a plan that expired or never was.
type PlanNotFoundError struct{ PlanID string }

func (e *PlanNotFoundError) Error() string {
	return fmt.Sprintf("plan %s expired or never was", e.PlanID)
}

// StalePlanError tells of a plan made before the store was restored.
type StalePlanError struct{ PlanID string }

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("plan %s was made before the store was restored; make it anew", e.PlanID)
}

// TTLError tells of a plan that would live longer than outcomes are kept for.
type TTLError struct{ TTL, Most string }

func (e *TTLError) Error() string {
	return fmt.Sprintf("a plan's time of %s must be between 1ms and %s", e.TTL, e.Most)
}
