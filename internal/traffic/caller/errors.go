package caller

import (
	"fmt"
	"time"

	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// UnauthenticatedError tells of a call without a known API key.
type UnauthenticatedError struct{ Shown bool }

func (e *UnauthenticatedError) Error() string {
	if e.Shown {
		return "the API key belongs to no organisation"
	}
	return "no API key in Authorization: Bearer or X-Api-Key"
}

// NoConfigurationError tells of a node that has no version in force yet.
type NoConfigurationError struct{}

func (e *NoConfigurationError) Error() string { return "this node has no configuration yet" }

// PathError tells of a path that can be read in two ways.
type PathError struct{ Path string }

func (e *PathError) Error() string {
	return fmt.Sprintf("path %q has empty or dot segments", e.Path)
}

// NoRouteError tells of a call that no route leads anywhere.
type NoRouteError struct{ Host, Method, Path string }

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for %s %s%s", e.Method, e.Host, e.Path)
}

// DepthError tells of calls that lead to calls too deep, as in a loop.
type DepthError struct{ Depth, Max int }

func (e *DepthError) Error() string {
	return fmt.Sprintf("call is %d deep, at most %d are allowed", e.Depth, e.Max)
}

// LimitError tells of an organisation that is at one of its limits.
type LimitError struct {
	Organisation string
	Quantity     limit.Quantity
	RetryAfter   time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is at its limit of %s", e.Organisation, e.Quantity)
}

// LimitDecisionError tells of a decision of a kind that this package does not
// know.
type LimitDecisionError struct{ Decision limit.Decision }

func (e *LimitDecisionError) Error() string {
	return fmt.Sprintf("decision of unknown kind %T", e.Decision)
}

// NoTargetError tells of a pool without a target that may be asked now.
type NoTargetError struct {
	Pool       string
	Reason     balance.Reason
	RetryAfter time.Duration
	// Last is how the attempt before ended, if there was one.
	Last error
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of pool %s can be asked: %s", e.Pool, e.Reason)
}

// TargetFailedError tells of an answer by which the target itself says that it
// failed.
type TargetFailedError struct{ Status int }

func (e *TargetFailedError) Error() string { return fmt.Sprintf("the target answered %d", e.Status) }

// GaveUpError tells of a call that gets no further attempt.
type GaveUpError struct {
	Err        error
	MayHaveRun bool
	RetryAfter time.Duration
}

func (e *GaveUpError) Error() string { return fmt.Sprintf("gave up: %v", e.Err) }

// Unwrap returns how the last attempt failed.
func (e *GaveUpError) Unwrap() error { return e.Err }

// ChoiceError tells of a choice of a kind that this package does not know.
type ChoiceError struct{ Choice balance.Choice }

func (e *ChoiceError) Error() string { return fmt.Sprintf("choice of unknown kind %T", e.Choice) }

// DecisionError tells of a decision of a kind that this package does not know.
type DecisionError struct{ Decision retry.Decision }

func (e *DecisionError) Error() string { return fmt.Sprintf("decision of unknown kind %T", e.Decision) }

// RefusedError holds what a target's node said in place of an answer.
type RefusedError struct {
	By      string
	Refusal *http1.Refusal
	// Load is the target's load as its node told it with the refusal, if Loaded.
	Load   float64
	Loaded bool
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %v", e.By, e.Refusal) }

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Refusal }

// load reports whether the refusal tells of load, and not of a target that is
// not there any more.
func (e *RefusedError) load() bool {
	switch e.Refusal.Type {
	case hop.KindDraining, hop.KindSuperseded, hop.KindWrongPool, hop.KindWrongInstance, hop.KindConnectionClosed, hop.KindUnreachable, hop.KindNotOfTheFleet:
		return false
	default:
		return true
	}
}
