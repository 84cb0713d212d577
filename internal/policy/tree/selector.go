package tree

import (
	"math/rand/v2"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// staleAfter is when a parent's word from the root counts as too old. A
	// healthy one is at most one heartbeat behind for each of four levels; one
	// in a loop, or below one that stalls, falls further behind each second.
	staleAfter = 6 * membership.Heartbeat
	// holdDown keeps a node from going back at once to a parent that failed or
	// stalled, and again, and again: each change of parent costs a resume.
	holdDown = 30 * time.Second
	// worthWaiting is how long a node waits for a busy parent before it tries
	// another: in a storm the others are as busy, and asking them all would
	// multiply it.
	worthWaiting = time.Second
	// aloneAfter is how long all parents must have failed before a node acts
	// as a root itself: one heartbeat, so that a lost reader is replaced before
	// its silence is judged.
	aloneAfter = membership.Heartbeat
)

// Selector picks the parent that a node pulls from now. It is not safe for
// concurrent use.
type Selector struct {
	rand    *rand.Rand
	parents []membership.Record
	tries   map[string]*try
	// pause is until when a busy parent asked to be left alone.
	pause time.Time
	// failing is since when no parent has answered, stalled since when none has
	// with fresh word of a root; zero if one has.
	failing, stalled time.Time
	// patience is how long all may stay stale.
	patience time.Duration

	staleAfter, holdDown, aloneAfter time.Duration
}

// SelectorOption sets one property of a selector.
type SelectorOption func(*Selector)

// StaleAfter sets from which age a parent's word from the root is too old.
func StaleAfter(d time.Duration) SelectorOption { return func(s *Selector) { s.staleAfter = d } }

// HoldDown sets how long a parent that failed or stalled is avoided, up to twice
// as long.
func HoldDown(d time.Duration) SelectorOption { return func(s *Selector) { s.holdDown = d } }

// AloneAfter sets how long all parents must have failed before a node acts as a
// root itself.
func AloneAfter(d time.Duration) SelectorOption { return func(s *Selector) { s.aloneAfter = d } }

// try is what the node saw of one parent.
type try struct {
	backoff *Backoff
	// retry is when it may be asked if no other is left, avoid when it is as
	// good as any other.
	retry, avoid time.Time
	age          time.Duration
	stale        bool
}

// NewSelector returns a selector that draws its jitter from r.
func NewSelector(r *rand.Rand, opts ...SelectorOption) *Selector {
	s := &Selector{rand: r, tries: map[string]*try{}, staleAfter: staleAfter, holdDown: holdDown, aloneAfter: aloneAfter}
	for _, opt := range opts {
		opt(s)
	}
	// In a part of the tree that is cut off from the root, drawn patience lets
	// one node lose it first; its word then reaches those below in time.
	s.patience = s.staleAfter + time.Duration(r.Int64N(int64(s.staleAfter)))
	return s
}

// Update takes over the parents of a new position.
func (s *Selector) Update(p Position) {
	s.parents = p.Parents()
	for instance := range s.tries {
		if !slices.ContainsFunc(s.parents, func(r membership.Record) bool { return r.Instance() == instance }) {
			delete(s.tries, instance)
		}
	}
}

// Next returns the parent to pull from, or how long to wait before asking
// again; both are zero where the position has no parent.
func (s *Selector) Next(now time.Time) (membership.Record, time.Duration) {
	if wait := s.left(s.pause, now); wait > 0 {
		return membership.Record{}, wait
	}
	for _, r := range s.parents {
		if t := s.tries[r.Instance()]; t == nil || s.left(t.avoid, now) == 0 {
			return r, 0
		}
	}
	if r, ok := s.leastStale(); ok {
		return r, 0
	}
	return s.soonest(now)
}

// leastStale returns the best of the parents that answer from too far behind:
// if there is no other, the domain may have lost its root, and it is still the
// best source.
func (s *Selector) leastStale() (membership.Record, bool) {
	var best membership.Record
	found := false
	for _, r := range s.parents {
		t := s.tries[r.Instance()]
		if t.stale && (!found || t.age < s.tries[best.Instance()].age) {
			best, found = r, true
		}
	}
	return best, found
}

// soonest returns the failed parent whose backoff has passed, or the wait for
// the first that will.
func (s *Selector) soonest(now time.Time) (membership.Record, time.Duration) {
	var wait time.Duration
	for _, r := range s.parents {
		l := s.left(s.tries[r.Instance()].retry, now)
		if l == 0 {
			return r, 0
		}
		if wait == 0 || l < wait {
			wait = l
		}
	}
	return membership.Record{}, wait
}

// Failed notes that a parent did not answer. The next one is tried at once;
// when none is left, the backoff's jitter spreads those who lost it together.
func (s *Selector) Failed(now time.Time, instance string) {
	t := s.try(instance)
	t.stale = false
	t.retry = now.Add(t.backoff.Next())
	t.avoid = now.Add(s.hold())
	if s.failing.IsZero() || s.failing.After(now) {
		s.failing = now
	}
}

// Busy notes that a parent asked to come back later.
func (s *Selector) Busy(now time.Time, instance string, after time.Duration) {
	s.failing = time.Time{}
	if after <= worthWaiting {
		s.pause = now.Add(after)
		return
	}
	t := s.try(instance)
	t.stale = false
	t.retry = now.Add(after)
	t.avoid = t.retry
}

// Answered notes an answer and how long ago its source knew the domain's root
// to have spoken.
func (s *Selector) Answered(now time.Time, instance string, age time.Duration) {
	s.failing = time.Time{}
	t := s.try(instance)
	t.backoff.Reset()
	t.retry, t.avoid = time.Time{}, time.Time{}
	t.age, t.stale = age, age >= s.staleAfter
	switch {
	case !t.stale:
		s.stalled = time.Time{}
	case s.stalled.IsZero() || s.stalled.After(now):
		s.stalled = now
	}
	if t.stale {
		t.avoid = now.Add(s.hold())
	}
}

// Alone reports whether no parent has answered, or none with fresh word of a
// root, for so long that the node reads the store and acts as a root itself.
// Nodes whose views make them each other's parents would otherwise wait for
// each other.
func (s *Selector) Alone(now time.Time) bool {
	return len(s.parents) == 0 ||
		!s.failing.IsZero() && now.Sub(s.failing) >= s.aloneAfter ||
		!s.stalled.IsZero() && now.Sub(s.stalled) >= s.patience
}

// hold draws a hold-down, so that those who left a parent together do not
// return to it together.
func (s *Selector) hold() time.Duration {
	return s.holdDown + time.Duration(s.rand.Int64N(int64(s.holdDown)))
}

func (s *Selector) try(instance string) *try {
	t, ok := s.tries[instance]
	if !ok {
		t = &try{backoff: NewBackoff(s.rand)}
		s.tries[instance] = t
	}
	return t
}

// left returns how long it is until t. A clock that went back may not make the
// wait longer than any that is ever set.
func (s *Selector) left(t, now time.Time) time.Duration { return left(t, now, 2*s.holdDown) }

func left(t, now time.Time, most time.Duration) time.Duration {
	if t.IsZero() {
		return 0
	}
	return min(max(t.Sub(now), 0), most)
}
