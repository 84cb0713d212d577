package fleet

import (
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/control/platform"
)

// mode is how a node gets what changes in the store.
type mode uint8

const (
	// reading takes in all that the store holds, once.
	reading mode = iota
	// watching waits for changes, each of which comes as it was written.
	watching
	// catching takes in all that the store holds until it finds no newer version.
	//
	// A watch brings each version of a row of changes whole. Where they come faster
	// than a narrow link carries them, each answer takes longer than the one before,
	// until one outlasts its watch and the next one starts from the same change, and
	// the node is seconds late; reading brings just the newest.
	catching
)

// answer is what came of one call in a mode.
type answer struct {
	// versions is how many versions a watch brought, or 1 if a reading brought a
	// newer one.
	versions int
	err      error
}

// rowVersions is how many versions in one answer of a watch are taken for a row
// of changes: one alone is a usual change, and reading it would cost one more call
// and all of the configuration.
const rowVersions = 2

// next returns the mode that follows an answer.
func (m mode) next(a answer) mode {
	var gone *platform.CompactedError
	switch {
	case errors.As(a.err, &gone):
		return reading
	case a.err != nil && m == watching:
		// The answer was too long for the link, or the store was out: asked to
		// watch while it is silent it never answers, and a watch is given up only
		// seconds after its wait. A reading that gets no answer is given up and
		// made again within 1.7 s.
		return catching
	case a.err != nil:
		return m
	case m == watching && a.versions >= rowVersions, m == catching && a.versions > 0:
		return catching
	default:
		return watching
	}
}

// pause returns how long a node leaves the store alone after an answer.
func (m mode) pause(changes int, a answer) time.Duration {
	switch {
	case a.err != nil || changes == 0 || m == reading:
		return 0
	case m == watching && a.versions == 1:
		return versionPause
	default:
		return watchPause
	}
}
