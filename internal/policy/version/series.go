package version

import (
	"math"
	"slices"
	"time"
)

const (
	// pauseFactor is the pause after a version, in units of the time that it took: in a
	// series, applying versions takes at most a third of a node's time.
	pauseFactor = 2
	// maxPause bounds the pause, as a version must be active everywhere within 2 s, also where
	// each of several levels of nodes passes it on only once it is active.
	maxPause = 300 * time.Millisecond
)

// Series decides when a node applies the versions of a series, each of which is complete
// by itself, so that applying them leaves most of the node's time to calls. The newest one
// goes first, so that those before it are skipped, unless it turns out to be invalid. It is
// not safe for concurrent use.
type Series struct {
	pending  []uint64 // the versions that wait or are being applied
	applying bool
	ended    time.Time // when the last version was applied
	pause    time.Duration
}

// Unknown is the number of a version that is known only after decoding. It counts as the
// newest.
const Unknown = 0

// Offer adds a version that Next is then called for until it returns Skip or Start.
func (s *Series) Offer(number uint64) { s.pending = append(s.pending, rank(number)) }

// Turn is what a node does with a version that it has been offered.
type Turn uint8

const (
	// Start says to apply the version now and then to call Done.
	Start Turn = iota
	// Skip says that the version is not needed, as it or a later one is active.
	Skip
	// Await says to ask again after the returned time, or if that is 0, after the next Done.
	Await
)

// Next returns what to do with an offered version while another one is active.
func (s *Series) Next(now time.Time, number, active uint64) (Turn, time.Duration) {
	switch {
	case rank(number) <= active:
		s.remove(number)
		return Skip, 0
	case s.applying || slices.Max(s.pending) > rank(number):
		return Await, 0
	}
	if wait := s.Wait(now); wait > 0 {
		return Await, wait
	}
	s.applying = true
	return Start, 0
}

// Wait returns how long the next version waits because of the last one.
func (s *Series) Wait(now time.Time) time.Duration {
	return min(s.pause, max(0, s.pause-now.Sub(s.ended)))
}

// Done records that applying a version has ended, successfully or not, and how long it took.
func (s *Series) Done(now time.Time, number uint64, took time.Duration) {
	s.remove(number)
	s.applying = false
	s.ended, s.pause = now, min(maxPause, pauseFactor*max(0, took))
}

func (s *Series) remove(number uint64) {
	i := slices.Index(s.pending, rank(number))
	s.pending = slices.Delete(s.pending, i, i+1)
}

func rank(number uint64) uint64 {
	if number == Unknown {
		return math.MaxUint64
	}
	return number
}
