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

const (
	// othersAfter is by how much all answers have to be late before other nodes are asked, and
	// othersInterval the time until that is repeated. It is done maxOthers times until a parent
	// answers.
	othersAfter    = 150 * time.Millisecond
	othersInterval = 200 * time.Millisecond
	maxOthers      = 8
)

// AskOthers reports whether nodes that are no parents have to be asked for a newer version now, as
// all parents that were asked are late: which of them are silent shows only later, and those that
// take their place may fall silent, too. It does so for nodes that a parent has answered before,
// as nodes that start together are slow.
func (r *Round) AskOthers(now time.Time) bool {
	if at := r.othersAt(); at.IsZero() || now.Before(at) {
		return false
	}
	r.s.othersAsked++
	r.s.othersAskedAt = now
	return true
}

// othersAt returns when others are asked next unless a parent answers; zero for never.
func (r *Round) othersAt() (at time.Time) {
	if !r.s.heard || r.s.othersAsked >= maxOthers {
		return time.Time{}
	}
	for _, p := range r.pending {
		if due := p.due.Add(othersAfter); !p.stale && due.After(at) {
			at = due
		}
	}
	if again := r.s.othersAskedAt.Add(othersInterval); !at.IsZero() && r.s.othersAsked > 0 && again.After(at) {
		return again
	}
	return at
}

// minWake bounds how often a round is asked for its next step.
const minWake = 10 * time.Millisecond

// Wake returns the time until Next or AskOthers, or whether the node is orphaned, may change.
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
	soonest(r.othersAt())
	if wait == 0 {
		wait = r.s.orphanedAfter
	}
	return max(wait, minWake)
}

func (r *Round) isPending(instance string) bool {
	return slices.ContainsFunc(r.pending, func(p pendingPull) bool { return p.instance == instance })
}
