package tree

import (
	"slices"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// Round decides about one pull: which further parents are asked while none answers, and when.
// Silent parents thus cost one timeout together, not one each. It is not safe for concurrent
// use.
type Round struct {
	s          *Selector
	maxPending int
	pending    []pendingPull
}

// pendingPull is a parent that has been asked.
type pendingPull struct {
	instance string
	due      time.Time // when its answer is due
	late     time.Time // from when it counts as silent without one
	silent   bool
}

// NewRound returns a round over the parents of s, of which at most maxPending are asked at the
// same time.
func NewRound(s *Selector, maxPending int) *Round { return &Round{s: s, maxPending: maxPending} }

// Ask records that a parent has been asked, whose answer is due after some time. It counts as
// silent if it is later than that by more than slack.
func (r *Round) Ask(now time.Time, instance string, due, slack time.Duration) {
	at := now.Add(due)
	r.pending = append(r.pending, pendingPull{instance: instance, due: at, late: at.Add(slack)})
}

// Next returns a further parent to ask now, and false if there is none.
func (r *Round) Next(now time.Time) (membership.Record, bool) {
	answering := false
	for i := range r.pending {
		p := &r.pending[i]
		if !p.silent && !now.Before(p.late) {
			p.silent = true
			r.s.Silent(now, p.instance, p.due)
		}
		answering = answering || !p.silent
	}
	if answering || len(r.pending) >= r.maxPending {
		return membership.Record{}, false
	}
	next, _ := r.s.Next(now)
	if next.Instance() == "" || r.isPending(next.Instance()) {
		return membership.Record{}, false
	}
	return next, true
}

// Failed records that the pull from a parent has failed. If its answer was due before, the
// parent has been silent since then.
func (r *Round) Failed(now time.Time, instance string) {
	since := now
	r.pending = slices.DeleteFunc(r.pending, func(p pendingPull) bool {
		if p.instance == instance && p.due.Before(since) {
			since = p.due
		}
		return p.instance == instance
	})
	r.s.Silent(now, instance, since)
}

// Over reports whether no parent can answer any more.
func (r *Round) Over() bool { return len(r.pending) == 0 }

// minWake bounds how often a round is asked for its next step.
const minWake = 10 * time.Millisecond

// Wake returns the time until Next, or whether the node is orphaned, may change.
func (r *Round) Wake(now time.Time) time.Duration {
	wait := time.Duration(0)
	soonest := func(at time.Time) {
		if d := at.Sub(now); d > 0 && (wait == 0 || d < wait) {
			wait = d
		}
	}
	for _, p := range r.pending {
		soonest(p.late)
	}
	soonest(r.s.orphanedAt())
	if wait == 0 {
		wait = r.s.orphanedAfter
	}
	return max(wait, minWake)
}

func (r *Round) isPending(instance string) bool {
	return slices.ContainsFunc(r.pending, func(p pendingPull) bool { return p.instance == instance })
}
