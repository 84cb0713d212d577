package target

import (
	"fmt"
	"time"

	"banyanlug.example/banyanlug/internal/policy/admission"
)

// UnauthenticatedError reports a connection without the fleet's credential.
type UnauthenticatedError struct{ From string }

func (e *UnauthenticatedError) Error() string { return "no proof of the fleet's key" }

// WrongPoolError reports a call for a pool that this target does not serve.
type WrongPoolError struct{ Requested, Serves string }

func (e *WrongPoolError) Error() string {
	return fmt.Sprintf("call for pool %s came to a target of %s", e.Requested, e.Serves)
}

// WrongInstanceError reports a call for a target process other than the current
// one.
type WrongInstanceError struct{ Requested, Current string }

func (e *WrongInstanceError) Error() string {
	return fmt.Sprintf("call for instance %s came to %q", e.Requested, e.Current)
}

// TargetRejectedError reports a call that the target rejected and certifies not
// to have run.
type TargetRejectedError struct{ Status int }

func (e *TargetRejectedError) Error() string {
	return fmt.Sprintf("the target refused the call with %d", e.Status)
}

// RefusedError reports a call that this node did not admit to its target.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "the target takes no further call: " + e.Reason }

// DecisionError reports an admission decision of an unknown type.
type DecisionError struct{ Decision admission.Decision }

func (e *DecisionError) Error() string { return fmt.Sprintf("decision of unknown kind %T", e.Decision) }
