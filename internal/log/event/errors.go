package event

import "fmt"

// StalledError reports that the last lines of the log could not be written before the
// stop, since its reader stalled.
type StalledError struct{ Dropped uint64 }

func (e *StalledError) Error() string {
	return fmt.Sprintf("reader of the log stalled; %d lines were dropped before the stop", e.Dropped)
}
