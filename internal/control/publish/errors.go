package publish

import (
	"fmt"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// ConflictError reports that another plan was published on the version that the
// delta was made for; this plan was not published.
type ConflictError struct {
	PlanID    string
	Wanted    uint64
	Published uint64
	// Winner is the plan that made the head's version.
	Winner string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("plan %s not published as version %d: version %d by plan %s came first",
		e.PlanID, e.Wanted, e.Published, e.Winner)
}

// AbandonedError reports that the plan was abandoned and can't be published.
type AbandonedError struct{ PlanID string }

func (e *AbandonedError) Error() string { return fmt.Sprintf("plan %s was abandoned", e.PlanID) }

// OutcomeUnknownError reports that the plan may or may not have been published;
// publishing it again, or calling Outcome, determines which.
type OutcomeUnknownError struct {
	PlanID string
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of plan %s unknown: %v", e.PlanID, e.Err)
}

// Unwrap returns why the outcome could not be read.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StepError reports that a call of Publish had no effect, and the step at which
// it failed.
type StepError struct {
	PlanID, Step string
	Err          error
}

func (e *StepError) Error() string {
	return fmt.Sprintf("plan %s not published: %s: %v", e.PlanID, e.Step, e.Err)
}

// Unwrap returns the store's error.
func (e *StepError) Unwrap() error { return e.Err }

// TooOldError reports that the deltas after a version are no longer stored;
// Load returns the newest version as a whole.
type TooOldError struct{ Held, Stored uint64 }

func (e *TooOldError) Error() string {
	return fmt.Sprintf("deltas from version %d to %d are no longer kept", e.Held, e.Stored)
}

// OlderError reports that the store was rolled back: its head has a lower version
// than one seen before, or the same version with other content. Restore repairs
// the store.
type OlderError struct {
	Held, Stored             uint64
	HeldDigest, StoredDigest snapshot.Digest
}

func (e *OlderError) Error() string {
	return fmt.Sprintf("store has version %d with %s, but version %d with %s was held",
		e.Stored, e.StoredDigest, e.Held, e.HeldDigest)
}

// NewerError reports a restore of a version lower than the store's.
type NewerError struct{ Stored, Restored uint64 }

func (e *NewerError) Error() string {
	return fmt.Sprintf("store has version %d, which is not older than %d", e.Stored, e.Restored)
}

// DamagedError reports that a value which the head refers to is missing or
// malformed.
type DamagedError struct {
	Key string
	Err error
}

func (e *DamagedError) Error() string { return fmt.Sprintf("store value %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the value.
func (e *DamagedError) Unwrap() error { return e.Err }

// MismatchError reports a delta and a snapshot of different versions.
type MismatchError struct{ Delta, Snapshot uint64 }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("delta leads to version %d, the snapshot is another version %d", e.Delta, e.Snapshot)
}

// PlanIDError reports a plan id that can't be part of a store key.
type PlanIDError struct{ PlanID string }

func (e *PlanIDError) Error() string {
	return fmt.Sprintf("plan id %q must be 1 to %d of a-z, A-Z, 0-9, - and _", e.PlanID, maxPlanIDBytes)
}

// PlanExistsError reports that the plan id is used by a plan with other
// content.
type PlanExistsError struct{ PlanID string }

func (e *PlanExistsError) Error() string { return fmt.Sprintf("plan %s exists already", e.PlanID) }

// PlanNotFoundError reports that the plan expired or never existed.
type PlanNotFoundError struct{ PlanID string }

func (e *PlanNotFoundError) Error() string {
	return fmt.Sprintf("plan %s expired or never was", e.PlanID)
}

// StalePlanError reports a plan made before the store was restored.
type StalePlanError struct{ PlanID string }

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("plan %s was made before the store was restored; make it anew", e.PlanID)
}

// TTLError reports a plan lifetime outside the allowed range.
type TTLError struct{ TTL, Max string }

func (e *TTLError) Error() string {
	return fmt.Sprintf("a plan's time of %s must be between 1ms and %s", e.TTL, e.Max)
}
