package callerwait

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleSize is how many timeouts of a route are kept for each kind of
	// connection.
	sampleSize = 32
	// trimmed is how many of them are ignored at either end, since a few callers have
	// far longer timeouts than the others.
	trimmed = 3
	// transitAllowance is by how much a new call's timeout may shrink in transit.
	transitAllowance = 20 * time.Millisecond
)

// Tracker holds the latest timeouts of each route's calls. It is safe for concurrent
// use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds the timeouts of calls on reused connections, which are new calls, and
// of calls on new connections, some of which are retries.
type route struct{ reusedConn, newConn sample }

// maxRoutes bounds the memory; beyond it all routes are dropped.
const maxRoutes = 1024

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{routes: map[string]*route{}} }

// EstimateWait records the remaining timeout of a call and returns how long its caller
// has been waiting: 0 for a new call, or while too few calls are recorded.
//
// A caller that retries after a refusal opens a connection, so a call on a reused
// connection is a new one. Callers differ in their timeouts; by these alone, many new
// calls would be taken for retries and refused needlessly.
func (t *Tracker) EstimateWait(name string, timeout time.Duration, onReusedConn bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &route{}
		t.routes[name] = r
	}
	if onReusedConn {
		r.reusedConn.add(timeout)
		return 0
	}
	r.newConn.add(timeout)
	switch {
	case r.reusedConn.full():
		return estimate(timeout, r.reusedConn.low, r.reusedConn.median)
	case r.newConn.full():
		// With too few reused connections, the longest timeouts count as those of new
		// calls.
		return estimate(timeout, r.newConn.high, r.newConn.high)
	default:
		return 0
	}
}

// estimate returns how long the caller of a call with this timeout has waited, given
// the lowest and the typical timeout of new calls.
func estimate(timeout, lowest, typical time.Duration) time.Duration {
	if lowest-timeout <= transitAllowance {
		return 0
	}
	return typical - timeout
}

// sample is a ring of the latest timeouts on one kind of connection, with their
// trimmed minimum, median and trimmed maximum.
type sample struct {
	timeouts          [sampleSize]time.Duration
	next, size        int
	low, median, high time.Duration
}

func (s *sample) full() bool { return s.size == sampleSize }

func (s *sample) add(timeout time.Duration) {
	s.timeouts[s.next] = timeout
	s.next = (s.next + 1) % sampleSize
	s.size = min(s.size+1, sampleSize)
	sorted := s.timeouts
	slices.Sort(sorted[:])
	s.low, s.median, s.high = sorted[trimmed], sorted[sampleSize/2], sorted[sampleSize-1-trimmed]
}
