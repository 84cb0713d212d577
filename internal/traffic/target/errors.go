package target

import (
	"fmt"
	"time"

	"banyanlug.example/banyanlug/internal/policy/admission"
)

// StrangerError tells of a connection that has not proved to be of the fleet.
type StrangerError struct{ From string }

func (e *StrangerError) Error() string { return "no proof of the fleet's key" }

// PoolError tells of a call for a pool that this target does not serve.
type PoolError struct{ Asked, Serves string }

func (e *PoolError) Error() string {
	return fmt.Sprintf("call for pool %s came to a target of %s", e.Asked, e.Serves)
}

// InstanceError tells of a call for another process than the one that runs
// beside this node now.
type InstanceError struct{ Asked, Runs string }

func (e *InstanceError) Error() string {
	return fmt.Sprintf("call for instance %s came to %q", e.Asked, e.Runs)
}

// TargetRefusedError tells of a call that the target itself certifies not to
// have run.
type TargetRefusedError struct{ Status int }

func (e *TargetRefusedError) Error() string {
	return fmt.Sprintf("the target refused the call with %d", e.Status)
}

// RefusedError tells of a call that the target's slots have no room for.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "the target takes no further call: " + e.Reason }

// DecisionError tells of a decision of a kind that this package does not know.
type DecisionError struct{ Decision admission.Decision }

func (e *DecisionError) Error() string { return fmt.Sprintf("decision of unknown kind %T", e.Decision) }
