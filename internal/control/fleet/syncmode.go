package fleet

import (
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
)

// syncMode is how a reader gets changes from the store.
type syncMode uint8

const (
	// fullRead reads everything that the store holds, once.
	fullRead syncMode = iota
	// watching waits for changes and receives each one.
	watching
	// catchingUp reads everything repeatedly until a read finds no newer version.
	//
	// A watch delivers each version of a burst in full. On a link too narrow for that,
	// responses grow until one exceeds its timeout and the next watch starts from the
	// same revision, so the node falls behind; a read returns only the newest version.
	catchingUp
)

// syncResult is the result of one call to the store.
type syncResult struct {
	// versions is the number of versions that a watch returned, or 1 if a read returned
	// a newer one.
	versions int
	err      error
}

// burstVersions is the number of versions in one watch response that counts as a burst.
// After a single version, a read would only repeat the transfer of the configuration.
const burstVersions = 2

// next returns the mode of the next call.
func (m syncMode) next(result syncResult) syncMode {
	var compacted *platform.CompactedError
	switch {
	case errors.As(result.err, &compacted):
		return fullRead
	case result.err != nil && m == watching:
		// Either the response was too long for the link or the store was unavailable. A watch
		// requested during an outage is never answered and times out only after its wait and
		// the call timeout; a read times out earlier and is retried.
		return catchingUp
	case result.err != nil:
		return m
	case m == watching && result.versions >= burstVersions, m == catchingUp && result.versions > 0:
		return catchingUp
	default:
		return watching
	}
}

// pause returns the delay before the next call to the store.
func (m syncMode) pause(changes int, result syncResult) time.Duration {
	switch {
	case result.err != nil || changes == 0 || m == fullRead:
		return 0
	case m == watching && result.versions == 1:
		return versionPause
	default:
		return watchPause
	}
}
