package caller

import (
	"fmt"
	"time"

	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/drain"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// UnauthenticatedError reports a call without a valid API key.
type UnauthenticatedError struct{ KeyPresent bool }

func (e *UnauthenticatedError) Error() string {
	if e.KeyPresent {
		return "the API key belongs to no organisation"
	}
	return "no API key in Authorization: Bearer or X-Api-Key"
}

// NoConfigurationError reports that the node has no active configuration yet.
type NoConfigurationError struct{ RetryAfter time.Duration }

func (e *NoConfigurationError) Error() string { return "this node has no configuration yet" }

// PathError reports an ambiguous path, which the target could normalise to another
// one.
type PathError struct{ Path string }

func (e *PathError) Error() string {
	return fmt.Sprintf("path %q has empty or dot segments", e.Path)
}

// NoRouteError reports a call that matches no route.
type NoRouteError struct{ Host, Method, Path string }

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for %s %s%s", e.Method, e.Host, e.Path)
}

// DepthError reports a call that is nested too deeply, as in a loop of services.
type DepthError struct{ Depth, Max int }

func (e *DepthError) Error() string {
	return fmt.Sprintf("call is %d deep, at most %d are allowed", e.Depth, e.Max)
}

// OverloadedError reports a call with less time left than this node needs to carry it.
type OverloadedError struct{ Delay, Remaining time.Duration }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("this node is overloaded: it would delay the call by %v, which has %v left", e.Delay, e.Remaining)
}

// StoppingError reports a call that could outlast the process of this node, which is
// stopping.
type StoppingError struct{}

func (e *StoppingError) Error() string {
	return "this node is stopping and has no time left for the call"
}

// DrainDecisionError reports a decision of the drain gate of an unknown type.
type DrainDecisionError struct{ Decision drain.Decision }

func (e *DrainDecisionError) Error() string {
	return fmt.Sprintf("decision of unknown kind %T", e.Decision)
}

// LimitError reports an organisation that has reached one of its limits.
type LimitError struct {
	Organisation string
	Quantity     limit.Quantity
	RetryAfter   time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is at its limit of %s", e.Organisation, e.Quantity)
}

// LimitDecisionError reports a limit decision of an unknown type.
type LimitDecisionError struct{ Decision limit.Decision }

func (e *LimitDecisionError) Error() string {
	return fmt.Sprintf("decision of unknown kind %T", e.Decision)
}

// NoTargetError reports that no target of the pool can take the call now.
type NoTargetError struct {
	Pool       string
	Reason     balance.Reason
	RetryAfter time.Duration
	// Last is the error of the call's previous attempt, nil if there was none.
	Last error
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of pool %s can be asked: %s", e.Pool, e.Reason)
}

// TargetFailedError reports a response of the target with a 5xx status.
type TargetFailedError struct{ Status int }

func (e *TargetFailedError) Error() string { return fmt.Sprintf("the target answered %d", e.Status) }

// GaveUpError reports a call that gets no further attempt. MayHaveRun is true
// unless all of its attempts are known not to have run.
type GaveUpError struct {
	Err        error
	MayHaveRun bool
	RetryAfter time.Duration
}

func (e *GaveUpError) Error() string { return fmt.Sprintf("gave up: %v", e.Err) }

// Unwrap returns the error of the last attempt.
func (e *GaveUpError) Unwrap() error { return e.Err }

// ChoiceError reports a balancer choice of an unknown type.
type ChoiceError struct{ Choice balance.Choice }

func (e *ChoiceError) Error() string { return fmt.Sprintf("choice of unknown kind %T", e.Choice) }

// DecisionError reports a retry decision of an unknown type.
type DecisionError struct{ Decision retry.Decision }

func (e *DecisionError) Error() string {
	return fmt.Sprintf("decision of unknown kind %T", e.Decision)
}

// RefusedError is the refusal that a target's node, By, sent instead of a response.
type RefusedError struct {
	By      string
	Refusal *http1.Refusal
	// Load is the target's load that its node reported with the refusal; valid if
	// HasLoad.
	Load    float64
	HasLoad bool
	// Crashed is set if the target's process ended while it ran the call.
	Crashed bool
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %v", e.By, e.Refusal) }

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Refusal }

// overload reports whether the refusal is a sign of load. The other types mean that
// the target is stopping, was replaced, is the wrong one or can't be reached.
func (e *RefusedError) overload() bool {
	switch e.Refusal.Type {
	case hop.KindDraining, hop.KindStarting, hop.KindSuperseded, hop.KindWrongPool, hop.KindWrongInstance, hop.KindConnectionClosed, hop.KindUnreachable, hop.KindUnauthenticated:
		return false
	default:
		return true
	}
}
