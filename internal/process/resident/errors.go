package resident

import "fmt"

// UnsavedDepartureError reports a target's departure that the store has not taken. This process
// passes no more calls to the target, but one that replaces it would not know.
type UnsavedDepartureError struct {
	Target string
	Err    error
}

func (e *UnsavedDepartureError) Error() string {
	return fmt.Sprintf("the departure of target %s is not stored: %v", e.Target, e.Err)
}

// Unwrap returns the error of the wait.
func (e *UnsavedDepartureError) Unwrap() error { return e.Err }
