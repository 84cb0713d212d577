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
	// stale is set if its data is: it may learn of a version before others, but is not waited for.
	stale bool
}

// NewRound returns a round over the parents of s, of which at most maxPending are asked at the
// same time, besides one with stale data.
func NewRound(s *Selector, maxPending int) *Round { return &Round{s: s, maxPending: maxPending} }

// Ask records that a parent has been asked, whose answer is due after some time. It counts as
// silent if it is later than that by more than slack.
func (r *Round) Ask(now time.Time, instance string, due, slack time.Duration) {
	at := now.Add(due)
	r.pending = append(r.pending, pendingPull{instance: instance, due: at, late: at.Add(slack)})
}

// AskStale records that a parent with stale data has been asked as well. Others are asked and the
// node may be orphaned as if it were not.
func (r *Round) AskStale(instance string) {
	r.pending = append(r.pending, pendingPull{instance: instance, stale: true})
}

// Next returns a further parent to ask now, and false if there is none.
func (r *Round) Next(now time.Time) (membership.Record, bool) {
	asked := 0
	for i := range r.pending {
		p := &r.pending[i]
		if p.stale {
			continue
		}
		asked++
		if !p.silent && !now.Before(p.late) {
			p.silent = true
			r.lost(now, p.instance, p.due)
		}
	}
	if r.answering(now) || asked >= r.maxPending {
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
	if p := r.remove(instance); !p.stale && p.due.Before(since) {
		since = p.due
	}
	r.lost(now, instance, since)
}

// Starting records that a parent has nothing to serve yet. It reports whether the round goes on,
// as another one may answer.
func (r *Round) Starting(now time.Time, instance string) bool {
	r.remove(instance)
	if !r.answering(now) {
		return false
	}
	r.s.avoid(now, instance)
	return true
}

// remove ends the wait for a parent that has been asked.
func (r *Round) remove(instance string) pendingPull {
	i := slices.IndexFunc(r.pending, func(p pendingPull) bool { return p.instance == instance })
	p := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	return p
}

// lost records a parent that has failed or is silent. The node is not failing while another one
// is asked that is not late.
func (r *Round) lost(now time.Time, instance string, due time.Time) {
	if r.answering(now) {
		r.s.avoid(now, instance)
		return
	}
	r.s.Silent(now, instance, due)
}

// answering reports whether some parent that was asked is not late.
func (r *Round) answering(now time.Time) bool {
	return slices.ContainsFunc(r.pending, func(p pendingPull) bool { return now.Before(p.late) })
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
