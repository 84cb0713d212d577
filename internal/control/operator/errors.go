package operator

import (
	"fmt"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// IntentError reports an intent that is contradictory, empty or refers to
// objects that do not exist.
type IntentError struct{ Reason string }

func (e *IntentError) Error() string { return "the intent " + e.Reason }

// FormatRefusedError reports a plan that a live node could not apply, because
// the node supports only an older format level.
type FormatRefusedError struct {
	Need, Have uint32
	Node       string
}

func (e *FormatRefusedError) Error() string {
	return fmt.Sprintf("the plan needs format level %d, node %s applies up to %d: bring its program up to date first", e.Need, e.Node, e.Have)
}

// Conflict is one object that changed after a plan was made, with the version
// and the operator that changed it. The version is 0 if it is no longer in the
// history.
type Conflict struct {
	Object   snapshot.Key
	Version  uint64
	Operator string
	PlanID   string
}

func (c Conflict) String() string {
	if c.Version == 0 {
		return fmt.Sprintf("%s was changed by a version that is no longer in the history", c.Object)
	}
	return fmt.Sprintf("%s was changed in version %d by %s (plan %s)", c.Object, c.Version, c.Operator, c.PlanID)
}

// ConflictError reports a plan that was not made active because objects that it
// depends on have changed since.
type ConflictError struct {
	PlanID    string
	Conflicts []Conflict
	// Fault is the failed check, if the plan would now leave an invalid version.
	Fault error
}

func (e *ConflictError) Error() string {
	texts := make([]string, 0, len(e.Conflicts)+1)
	for _, c := range e.Conflicts {
		texts = append(texts, c.String())
	}
	if e.Fault != nil {
		texts = append(texts, e.Fault.Error())
	}
	return fmt.Sprintf("plan %s is not in force: %s; plan again", e.PlanID, strings.Join(texts, "; "))
}

// Unwrap returns the failed check, or nil.
func (e *ConflictError) Unwrap() error { return e.Fault }

// ExpiredError reports a plan that was not confirmed before its expiry.
type ExpiredError struct {
	PlanID string
	At     time.Time
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("plan %s expired at %s and is not in force; plan again", e.PlanID, e.At.Format(time.RFC3339))
}

// PlanNotFoundError reports a plan that is not stored, or no longer.
type PlanNotFoundError struct{ PlanID string }

func (e *PlanNotFoundError) Error() string {
	return fmt.Sprintf("no plan %q is kept: it expired or never was; the history tells what is in force", e.PlanID)
}

// AbandonedError reports a plan that was abandoned and can never become active.
type AbandonedError struct{ PlanID string }

func (e *AbandonedError) Error() string {
	return fmt.Sprintf("plan %s was abandoned and is not in force; plan again", e.PlanID)
}

// OutcomeUnknownError reports a confirm after which the plan may be active, or
// may still become so.
type OutcomeUnknownError struct {
	PlanID string
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	text := fmt.Sprintf("it is not known whether plan %s is in force; confirm it again to find out", e.PlanID)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns why the outcome is not known, or nil.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// UnavailableError reports a step that certainly had no effect because the
// store, or the node that was queried, did not respond.
type UnavailableError struct {
	Step string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: not done, the store or node is unavailable: %v", e.Step, e.Err)
}

// Unwrap returns the error of the store or node.
func (e *UnavailableError) Unwrap() error { return e.Err }

// MovedError reports a publish that had no effect because another plan created
// the next version first.
type MovedError struct{ Err error }

func (e *MovedError) Error() string { return fmt.Sprintf("another version came first: %v", e.Err) }

// Unwrap returns the store's error.
func (e *MovedError) Unwrap() error { return e.Err }

// BusyError reports a confirm whose publishes all failed because unrelated plans
// created the next version first.
type BusyError struct {
	PlanID string
	Tries  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("plan %s is not in force: other plans came first %d times; confirm again", e.PlanID, e.Tries)
}

// TooLargeError reports a plan or request that exceeds a size limit in bytes.
type TooLargeError struct {
	What  string
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.What, e.Limit)
}

// LifeError reports a transition that a plan's state does not permit.
type LifeError struct {
	State State
	Err   error
}

func (e *LifeError) Error() string { return fmt.Sprintf("a plan that is %s: %v", e.State, e.Err) }

// Unwrap returns the state machine's error.
func (e *LifeError) Unwrap() error { return e.Err }

// DamagedPlanError reports a stored plan that can't be decoded.
type DamagedPlanError struct {
	PlanID string
	Err    error
}

func (e *DamagedPlanError) Error() string {
	return fmt.Sprintf("the stored plan %s can't be read: %v", e.PlanID, e.Err)
}

// Unwrap returns the decoder's error.
func (e *DamagedPlanError) Unwrap() error { return e.Err }
