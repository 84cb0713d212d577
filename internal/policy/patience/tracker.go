package patience

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is how many calls of a route are remembered, enough to rank them.
	window = 32
	// outliers is how many of them, at either end, are set aside: a few callers
	// allow far more than their like.
	outliers = 3
	// noise is what a fresh call loses on its way.
	noise = 20 * time.Millisecond
)

// Tracker remembers what the calls of each route allow.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds the calls that came on kept connections, which are fresh, and those
// that came on new ones, of which some have come back.
type route struct{ kept, opened sample }

// maxRoutes bounds the memory; beyond it all is learned anew.
const maxRoutes = 1024

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{routes: map[string]*route{}} }

// Waited takes in a call that allows so long, and returns how long its caller
// has been waiting: 0 for a fresh call, or while too few are known.
//
// A caller that comes back opens a connection, so a call on a kept one is fresh
// whatever it allows. Callers differ in what they allow; judged by that alone, many
// fresh calls would pass for late ones, be placed behind those and refused without
// need.
func (t *Tracker) Waited(name string, allowed time.Duration, kept bool) time.Duration {
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
	if kept {
		r.kept.take(allowed)
		return 0
	}
	r.opened.take(allowed)
	switch {
	case r.kept.full():
		return since(allowed, r.kept.low, r.kept.middle)
	case r.opened.full():
		// Nobody keeps connections here. A fresh call allows the most.
		return since(allowed, r.opened.high, r.opened.high)
	default:
		return 0
	}
}

// since returns how long a caller has waited that allows so much, where fresh
// calls allow at least low and usual ones usual.
func since(allowed, low, usual time.Duration) time.Duration {
	if low-allowed <= noise {
		return 0
	}
	return usual - allowed
}

// sample is the last calls of one kind, and how much they allow.
type sample struct {
	allowed           [window]time.Duration
	next, seen        int
	low, middle, high time.Duration
}

func (s *sample) full() bool { return s.seen == window }

func (s *sample) take(allowed time.Duration) {
	s.allowed[s.next] = allowed
	s.next = (s.next + 1) % window
	s.seen = min(s.seen+1, window)
	sorted := s.allowed
	slices.Sort(sorted[:])
	s.low, s.middle, s.high = sorted[outliers], sorted[window/2], sorted[window-1-outliers]
}
