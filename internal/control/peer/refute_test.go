package peer

import (
	"testing"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// The last in rank holds the two above it for silent, as it was slow to hear of them
// when all started. So it takes itself for the root and pulls from nobody; they don't
// pull from it either, and never hear what it holds of them. The members stay split
// until somebody restarts, and callers of that node reach its own target alone.
func TestWhoIsHeldForSilentByANodeThatNobodyFollowsHearsOfIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for _, name := range []string{"n0", "n1", "n2"} {
		f.start(name, "east", f.store)
	}
	f.eventually("all know all", func() bool { return f.everyoneKnows(3) })
	var last *running
	f.eventually("one ranks last", func() bool {
		for _, n := range f.nodes {
			if p, _ := n.place(); p.Rank() == 2 {
				last = n
			}
		}
		return last != nil
	})
	for name, n := range f.nodes {
		if n != last {
			last.mergeFrom(suspected(n.Self()), last.Self().Instance())
			if r, _ := last.View().Record("east", name); r.State() != membership.Suspect {
				t.Fatalf("%s is held for %v", name, r.State())
			}
		}
	}
	last.locate()
	f.eventually("all know all again", func() bool { return f.everyoneKnows(3) })
}
