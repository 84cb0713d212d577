package event

import "fmt"

// StalledError tells of a log whose reader took nothing to the end.
type StalledError struct{ Dropped uint64 }

func (e *StalledError) Error() string {
	return fmt.Sprintf("the reader of the log stalled; %d lines were dropped before", e.Dropped)
}
