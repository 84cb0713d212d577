package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// canaryPart is the part of the bound on exposure that is spent before the shift;
	// the rest is for the time that finding a fault in the shift takes.
	canaryPart = 0.8
	// doubling is how fast the share grows in the shift.
	doubling = 350 * time.Millisecond
	// focusEvery is how long the calls to the new version go to all of its targets, and
	// then to the canaries alone, by turns. All of them together show that it is slow, as
	// the targets of one version differ in speed; a few show what happens under load.
	focusEvery = 1500 * time.Millisecond
)

// Share returns the share of a pool's calls that may go to the new version so long
// after the shift has begun, 0 before it.
func Share(limit float64, stage Stage, sinceShift time.Duration) float64 {
	canary := limit * canaryPart
	switch stage {
	case StageCanary:
		return canary
	case StageShift:
		return min(1, canary*math.Exp2(sinceShift.Seconds()/doubling.Seconds()))
	default:
		return 0
	}
}

// ShiftTime returns how long the share takes to grow to all.
func ShiftTime(limit float64) time.Duration {
	return time.Duration(math.Log2(1/(limit*canaryPart)) * float64(doubling))
}

// Exposure is what one sender may still send to the new version of a pool. It is safe
// for concurrent use.
//
// It begins anew with the sender's process: what is sent keeps the bound over each span
// between two starts, and so over all of them.
type Exposure struct {
	mu     sync.Mutex
	credit float64
}

// NewExposure returns an exposure for a number drawn from 0 to 1. Senders that began
// with nothing would all send their first calls late, and together.
func NewExposure(draw float64) *Exposure { return &Exposure{credit: draw} }

// maxCredit bounds what is saved up while the new version has no room, which would
// go there at once afterwards.
const maxCredit = 2

// Reached notes a call that reached a target of the pool, of which a share may go to
// the new version.
func (e *Exposure) Reached(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.credit = min(e.credit+share, maxCredit)
}

// Take reports whether the next call may go to the new version, and counts it.
func (e *Exposure) Take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// Focused reports whether calls to the new version go to the canaries alone, so long
// after the order was heard of.
func Focused(since time.Duration) bool { return since/focusEvery%2 == 1 }
