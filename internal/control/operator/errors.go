package operator

import (
	"fmt"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// IntentError tells of an intent that can't be meant.
type IntentError struct{ Reason string }

func (e *IntentError) Error() string { return "the intent " + e.Reason }

// FormatRefusedError tells of a plan that a live node could not apply.
type FormatRefusedError struct {
	Need, Have uint32
	Node       string
}

func (e *FormatRefusedError) Error() string {
	return fmt.Sprintf("the plan needs format level %d, node %s applies up to %d: bring its program up to date first", e.Need, e.Node, e.Have)
}

// Conflict is one object that changed after a plan read it, with the version
// and the operator that changed it; version 0 is one no longer in the history.
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

// ConflictError tells of a plan that was not confirmed, and never will be,
// since what it was made from has changed.
type ConflictError struct {
	PlanID    string
	Conflicts []Conflict
	// Fault is what the plan would break now, if it is that which fails.
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

// Unwrap returns what the plan would break.
func (e *ConflictError) Unwrap() error { return e.Fault }

// ExpiredError tells of a plan that was not confirmed in time.
type ExpiredError struct {
	PlanID string
	At     time.Time
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("plan %s expired at %s and is not in force; plan again", e.PlanID, e.At.Format(time.RFC3339))
}

// PlanNotFoundError tells of a plan that is kept no longer, or never was.
type PlanNotFoundError struct{ PlanID string }

func (e *PlanNotFoundError) Error() string {
	return fmt.Sprintf("no plan %q is kept: it expired or never was; the history tells what is in force", e.PlanID)
}

// AbandonedError tells of a plan that was given up and never is in force.
type AbandonedError struct{ PlanID string }

func (e *AbandonedError) Error() string {
	return fmt.Sprintf("plan %s was abandoned and is not in force; plan again", e.PlanID)
}

// OutcomeUnknownError tells of a confirm that may or may not be in force, or
// may yet come into force.
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

// Unwrap returns why it is not known.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// UnavailableError tells of a step that certainly did not happen because the
// store, or the node that was asked, does not answer.
type UnavailableError struct {
	Step string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: not done, the store or node is unavailable: %v", e.Step, e.Err)
}

// Unwrap returns the failure.
func (e *UnavailableError) Unwrap() error { return e.Err }

// MovedError tells of a publish that did not happen since another plan made
// the next version first.
type MovedError struct{ Err error }

func (e *MovedError) Error() string { return fmt.Sprintf("another version came first: %v", e.Err) }

// Unwrap returns the store's error.
func (e *MovedError) Unwrap() error { return e.Err }

// BusyError tells of a plan that lost against unrelated ones too many times.
type BusyError struct {
	PlanID string
	Tries  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("plan %s is not in force: other plans came first %d times; confirm again", e.PlanID, e.Tries)
}

// TooLargeError tells of a plan or request above a bound.
type TooLargeError struct {
	What string
	Most int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.What, e.Most)
}

// LifeError tells of a step that a plan in its state can't take.
type LifeError struct {
	State State
	Err   error
}

func (e *LifeError) Error() string { return fmt.Sprintf("a plan that is %s: %v", e.State, e.Err) }

// Unwrap returns the state machine's error.
func (e *LifeError) Unwrap() error { return e.Err }

// DamagedPlanError tells of a stored plan that can't be read.
type DamagedPlanError struct {
	PlanID string
	Err    error
}

func (e *DamagedPlanError) Error() string {
	return fmt.Sprintf("the stored plan %s can't be read: %v", e.PlanID, e.Err)
}

// Unwrap returns what is wrong with it.
func (e *DamagedPlanError) Unwrap() error { return e.Err }
