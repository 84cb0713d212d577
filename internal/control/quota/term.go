package quota

import (
	"time"

	"banyanlug.example/banyanlug/internal/control/quotapb"
	"banyanlug.example/banyanlug/internal/policy/limit"
)

// allocatorTerm is one period in which the node is the relay of its domain or the
// quota leader. unreported has the children that haven't yet reported all that they
// hold.
type allocatorTerm struct {
	id         uint64
	startedAt  time.Time
	unreported map[string]bool
}

func newAllocatorTerm(now time.Time, term uint64, expected []string) allocatorTerm {
	t := allocatorTerm{id: term, startedAt: now, unreported: map[string]bool{}}
	for _, name := range expected {
		t.unreported[name] = true
	}
	return t
}

// stamp returns the time since the start of the term in milliseconds, plus 1: 0
// stands for no stamp.
func (t *allocatorTerm) stamp(now time.Time) uint64 {
	return uint64(now.Sub(t.startedAt).Milliseconds()) + 1
}

// current reports whether a heartbeat belongs to this term and was sent less than a
// node's lease ago: an older one may report grants that have been revoked since.
func (t *allocatorTerm) current(now time.Time, h *quotapb.Heartbeat) bool {
	at := t.stamp(now)
	return h.GetTerm() == t.id && h.GetStamp() > 0 && h.GetStamp() <= at &&
		at-h.GetStamp() < uint64(limit.NodeLease.Milliseconds())
}

// unreportedAnd returns child and all children that haven't reported.
func (t *allocatorTerm) unreportedAnd(child string) []string {
	out := []string{child}
	for name := range t.unreported {
		if name != child {
			out = append(out, name)
		}
	}
	return out
}

func (t *allocatorTerm) newResponse(now time.Time) *quotapb.Shares {
	return &quotapb.Shares{Term: t.id, Stamp: t.stamp(now)}
}
