package tree

import (
	"math/rand/v2"
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// staleAfter is the age at which a parent's last report from the root is stale.
	// A healthy parent is at most one heartbeat behind per level, of which there are
	// four; in a loop, or behind a stalled ancestor, the age keeps growing.
	staleAfter = 6 * membership.HeartbeatInterval
	// holdDown is how long a node avoids a parent that failed or was stale. Each
	// change of parent costs a resumed pull.
	holdDown = 30 * time.Second
	// maxBusyWait is the longest delay that a node waits for a busy parent instead
	// of trying another: in a reconnect storm the others are as busy, and trying them
	// all would multiply the load.
	maxBusyWait = time.Second
	// orphanedAfter is how long all parents must have failed before a node acts as
	// a root: one heartbeat, so that a lost reader is replaced before it is declared
	// failed.
	orphanedAfter = membership.HeartbeatInterval
)

// Selector picks the parent that a node pulls from. It is not safe for
// concurrent use.
type Selector struct {
	rand    *rand.Rand
	parents []membership.Record
	states  map[string]*parentState
	// busyUntil is the end of the delay that a busy parent requested.
	busyUntil time.Time
	// failingSince is the time of the first failure since a parent last answered,
	// staleSince that of the first stale answer since the last one that was not
	// stale; each is zero if there was none.
	failingSince, staleSince time.Time
	// answered is the parent that answered last; empty once it has failed. heard is set once any
	// has answered.
	answered string
	heard    bool
	// othersAsked is how often other nodes were asked since then, othersAskedAt when last.
	othersAsked   int
	othersAskedAt time.Time
	// maxStale is how long all parents may be stale before the node acts as a
	// root.
	maxStale time.Duration

	staleAfter, holdDown, orphanedAfter time.Duration
}

// SelectorOption sets one property of a selector.
type SelectorOption func(*Selector)

// StaleAfter sets the age at which a parent's last report from the root is stale.
func StaleAfter(d time.Duration) SelectorOption { return func(s *Selector) { s.staleAfter = d } }

// HoldDown sets the minimum time for which a parent that failed or was stale is
// avoided; the maximum is twice that.
func HoldDown(d time.Duration) SelectorOption { return func(s *Selector) { s.holdDown = d } }

// OrphanedAfter sets how long all parents must have failed before a node acts as a
// root.
func OrphanedAfter(d time.Duration) SelectorOption { return func(s *Selector) { s.orphanedAfter = d } }

// parentState holds the results of the latest pulls from one parent.
type parentState struct {
	backoff *Backoff
	// Until avoidUntil the parent is tried only if there is no other, and then not
	// before retryAt.
	retryAt, avoidUntil time.Time
	// age is that of the parent's last report from the root.
	age   time.Duration
	stale bool
}

// NewSelector returns a selector that draws its jitter from r.
func NewSelector(r *rand.Rand, opts ...SelectorOption) *Selector {
	s := &Selector{rand: r, states: map[string]*parentState{}, staleAfter: staleAfter, holdDown: holdDown, orphanedAfter: orphanedAfter}
	for _, opt := range opts {
		opt(s)
	}
	// The jitter lets one node of a subtree that is cut off from the root act as
	// a root first; its reports then reach its descendants before they do the same.
	s.maxStale = s.staleAfter + time.Duration(r.Int64N(int64(s.staleAfter)))
	return s
}

// Update sets the parents to those of a new position.
func (s *Selector) Update(p Position) {
	s.parents = p.Parents()
	for instance := range s.states {
		if !slices.ContainsFunc(s.parents, func(r membership.Record) bool { return r.Instance() == instance }) {
			delete(s.states, instance)
		}
	}
}

// Next returns the parent to pull from, or the delay before the next attempt.
// Both are zero if the position has no parent.
func (s *Selector) Next(now time.Time) (membership.Record, time.Duration) {
	if wait := s.remaining(s.busyUntil, now); wait > 0 {
		return membership.Record{}, wait
	}
	for _, r := range s.parents {
		if ps := s.states[r.Instance()]; ps == nil || s.remaining(ps.avoidUntil, now) == 0 {
			return r, 0
		}
	}
	if r, ok := s.leastStale(); ok {
		return r, 0
	}
	return s.firstRetry(now)
}

// leastStale returns the stale parent with the most recent report from the root.
// If all parents are stale, the domain may have lost its root, and this one is
// the best source.
func (s *Selector) leastStale() (membership.Record, bool) {
	var best membership.Record
	found := false
	for _, r := range s.parents {
		ps := s.states[r.Instance()]
		if ps.stale && (!found || ps.age < s.states[best.Instance()].age) {
			best, found = r, true
		}
	}
	return best, found
}

// firstRetry returns the first parent that may be retried, or the shortest
// remaining delay.
func (s *Selector) firstRetry(now time.Time) (membership.Record, time.Duration) {
	var wait time.Duration
	for _, r := range s.parents {
		left := s.remaining(s.states[r.Instance()].retryAt, now)
		if left == 0 {
			return r, 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return membership.Record{}, wait
}

// Failed records that a parent did not answer. The next one is tried at once; if
// none remains, the jitter of the backoff spreads the nodes that lost it together.
func (s *Selector) Failed(now time.Time, instance string) { s.Silent(now, instance, now) }

// Silent is Failed for a parent whose answer was due at a time in the past.
func (s *Selector) Silent(now time.Time, instance string, due time.Time) {
	s.avoid(now, instance)
	if s.failingSince.IsZero() || s.failingSince.After(due) {
		s.failingSince = due
	}
}

// avoid has a parent avoided that did not answer while another one may.
func (s *Selector) avoid(now time.Time, instance string) {
	ps := s.state(instance)
	ps.stale = false
	if s.answered == instance {
		s.answered = ""
	}
	ps.retryAt = now.Add(ps.backoff.Next())
	ps.avoidUntil = now.Add(s.drawHoldDown())
}

// Failing reports whether no parent has answered since one has failed.
func (s *Selector) Failing() bool { return !s.failingSince.IsZero() }

// MayHold reports whether a parent may hold a pull: it answered the last one. Whether any other
// answers at all has to show soon.
func (s *Selector) MayHold(instance string) bool { return !s.Failing() && s.answered == instance }

// Beside returns the parent to pull from as well while another one is tried: the one that
// answered last. It reports whether its data is fresh, and returns the zero record if there is
// none.
func (s *Selector) Beside(tried string) (beside membership.Record, fresh bool) {
	if s.Failing() || s.answered == tried {
		return membership.Record{}, false
	}
	for _, r := range s.parents {
		if ps := s.states[r.Instance()]; r.Instance() == s.answered && ps != nil {
			return r, !ps.stale
		}
	}
	return membership.Record{}, false
}

// orphanedAt returns when the node is orphaned unless a parent answers; zero if none has failed.
func (s *Selector) orphanedAt() time.Time {
	if s.failingSince.IsZero() {
		return time.Time{}
	}
	return s.failingSince.Add(s.orphanedAfter)
}

// UntilOrphaned returns the time until the node is orphaned unless a parent answers, and false
// if none has failed or that time is over.
func (s *Selector) UntilOrphaned(now time.Time) (time.Duration, bool) {
	d := s.orphanedAt().Sub(now)
	return d, d > 0
}

// Busy records that a parent asked to be retried after a delay.
func (s *Selector) Busy(now time.Time, instance string, after time.Duration) {
	s.failingSince = time.Time{}
	if after <= maxBusyWait {
		s.busyUntil = now.Add(after)
		return
	}
	ps := s.state(instance)
	ps.stale = false
	ps.retryAt = now.Add(after)
	ps.avoidUntil = ps.retryAt
}

// Answered records a parent's answer and the age of its last report from the
// domain's root.
func (s *Selector) Answered(now time.Time, instance string, age time.Duration) {
	s.failingSince, s.answered, s.heard = time.Time{}, instance, true
	s.othersAsked = 0
	ps := s.state(instance)
	ps.backoff.Reset()
	ps.retryAt, ps.avoidUntil = time.Time{}, time.Time{}
	ps.age, ps.stale = age, age >= s.staleAfter
	switch {
	case !ps.stale:
		s.staleSince = time.Time{}
	case s.staleSince.IsZero() || s.staleSince.After(now):
		s.staleSince = now
	}
	if ps.stale {
		ps.avoidUntil = now.Add(s.drawHoldDown())
	}
}

// Orphaned reports whether the node must read the store and act as a root: no
// parent has answered for orphanedAfter, or none with a recent report from a root
// for maxStale. Nodes that are each other's parents would otherwise wait for each
// other.
func (s *Selector) Orphaned(now time.Time) bool {
	return len(s.parents) == 0 ||
		s.Failing() && !now.Before(s.orphanedAt()) ||
		!s.staleSince.IsZero() && now.Sub(s.staleSince) >= s.maxStale
}

// drawHoldDown returns a hold-down with jitter, so that nodes that left a parent
// together do not return to it together.
func (s *Selector) drawHoldDown() time.Duration {
	return s.holdDown + time.Duration(s.rand.Int64N(int64(s.holdDown)))
}

func (s *Selector) state(instance string) *parentState {
	ps, ok := s.states[instance]
	if !ok {
		ps = &parentState{backoff: NewBackoff(s.rand)}
		s.states[instance] = ps
	}
	return ps
}

// remaining returns the time until t, at most the longest hold-down in case the
// clock has moved back.
func (s *Selector) remaining(t, now time.Time) time.Duration { return remaining(t, now, 2*s.holdDown) }

func remaining(t, now time.Time, limit time.Duration) time.Duration {
	if t.IsZero() {
		return 0
	}
	return min(max(t.Sub(now), 0), limit)
}
