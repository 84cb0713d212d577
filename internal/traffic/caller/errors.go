package caller

import (
	"fmt"
	"time"

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
	What         string
	RetryAfter   time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is at its limit of %s", e.Organisation, e.What)
}

// NoTargetError tells of a pool without a ready target.
type NoTargetError struct{ Pool string }

func (e *NoTargetError) Error() string { return fmt.Sprintf("pool %s has no ready target", e.Pool) }

// RefusedError holds what a target's node said in place of an answer.
type RefusedError struct {
	By      string
	Refusal *http1.Refusal
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %v", e.By, e.Refusal) }

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Refusal }
