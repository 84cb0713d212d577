package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// canaryFraction is the fraction of the bound on exposure that is used before the
	// shift; the rest is for calls during the shift until a fault is detected.
	canaryFraction = 0.8
	// shiftDoublingTime is the time in which the share of calls doubles during the
	// shift.
	shiftDoublingTime = 350 * time.Millisecond
	// groupInterval is how long calls to the new version go to all of its targets
	// before they go to the canaries alone, and vice versa. Calls to all targets
	// reveal slowness, as targets of one version differ in speed; calls to a few
	// reveal faults under load.
	groupInterval = 1500 * time.Millisecond
)

// Share returns the share, from 0 to 1, of a pool's calls that may go to the new
// version: constant before the shift, growing exponentially with the time since the
// shift began, and 0 in other stages.
func Share(limit float64, stage Stage, sinceShift time.Duration) float64 {
	canary := limit * canaryFraction
	switch stage {
	case StageCanary:
		return canary
	case StageShift:
		return min(1, canary*math.Exp2(sinceShift.Seconds()/shiftDoublingTime.Seconds()))
	default:
		return 0
	}
}

// ShiftTime returns how long the share takes to grow to 1.
func ShiftTime(limit float64) time.Duration {
	return time.Duration(math.Log2(1/(limit*canaryFraction)) * float64(shiftDoublingTime))
}

// Exposure limits how many calls one sender sends to the new version of a pool, as a
// token bucket filled by the sender's calls. It is safe for concurrent use.
//
// Its state is lost when the sender's process restarts. The bound holds for each process
// and so for all of them.
type Exposure struct {
	mu     sync.Mutex
	credit float64
}

// NewExposure returns an exposure with an initial credit from 0 to 1, which should be
// random: if all senders began with 0, their first calls to the new version would be
// late and at the same time.
func NewExposure(initialCredit float64) *Exposure { return &Exposure{credit: initialCredit} }

// maxCredit bounds the burst of calls after the new version had no capacity for a while.
const maxCredit = 2

// Credit adds, for one call that reached a target of the pool, the share of calls that
// may go to the new version.
func (e *Exposure) Credit(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.credit = min(e.credit+share, maxCredit)
}

// Take reports whether the next call may go to the new version, and if so deducts one
// call from the credit.
func (e *Exposure) Take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// CanariesOnly reports whether calls to the new version go to the canaries alone.
// sinceOrder is the time since the sender received the order.
func CanariesOnly(sinceOrder time.Duration) bool { return sinceOrder/groupInterval%2 == 1 }
