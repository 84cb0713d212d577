package patience

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is how many calls of a route are remembered: a quarter of a second
	// of the users' busiest routes at one node, and enough to rank them.
	window = 32
	// most is which of them, counted from the longest, is taken for what a fresh
	// call allows. A fresh call allows the most, but one caller in twenty-five
	// allows more than its like; three in 32 may.
	most = 3
	// noise is what a fresh call loses on its way.
	noise = 20 * time.Millisecond
)

// Tracker remembers what the calls of each route allow.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*route
}

type route struct {
	allowed [window]time.Duration
	next    int
	seen    int
	fresh   time.Duration
}

// maxRoutes bounds the memory to some 300 KB; beyond it all is learned anew.
const maxRoutes = 1024

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{routes: map[string]*route{}} }

// Waited takes in a call that allows so long, and returns how long its caller
// has been waiting: 0 for a fresh call, or while too few are known.
func (t *Tracker) Waited(name string, allowed time.Duration) time.Duration {
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
	r.take(allowed)
	if r.seen < window || r.fresh-allowed <= noise {
		return 0
	}
	return r.fresh - allowed
}

func (r *route) take(allowed time.Duration) {
	r.allowed[r.next] = allowed
	r.next = (r.next + 1) % window
	r.seen = min(r.seen+1, window)
	sorted := r.allowed
	slices.Sort(sorted[:])
	r.fresh = sorted[window-1-most]
}
