package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// PartialViews describes a failure domain whose members know only some of each other.
type PartialViews struct {
	Members int
	// Of ten members, each one knows Known, sees Starting of them as not ready, and Down
	// do not run.
	Known, Starting, Down int
	// Interval is the time between two pulls of a member, and Pulls how many each does.
	Interval time.Duration
	Pulls    int
}

const shareBase = 10

// ReportAges lets each member pull from the parents that its own view gives it. It returns
// the age of the latest report from a root at each running member, and the longest age
// at any time after the first warmUp pulls.
func (v PartialViews) ReportAges(r *rand.Rand, warmUp int, opts ...tree.SelectorOption) (final []time.Duration, longest time.Duration) {
	down := make([]bool, v.Members)
	reports := make([]tree.Freshness, v.Members)
	index := map[string]int{}
	for i := range v.Members {
		index[memberName(i)] = i
		down[i] = r.IntN(shareBase) < v.Down
		reports[i].Update(Start, 0)
	}
	selectors := make([]*tree.Selector, v.Members)
	for i := range selectors {
		view := v.draw(r)
		selectors[i] = tree.NewSelector(r, opts...)
		selectors[i].Update(tree.PositionOf(memberName(i), "d", view))
	}
	now := Start
	for pull := range v.Pulls {
		now = now.Add(v.Interval)
		for i, s := range selectors {
			// A member that finds a parent down tries the next at once.
			for range v.Members {
				parent, _ := s.Next(now)
				if parent.Instance() == "" {
					break
				}
				if p := index[parent.Instance()]; !down[p] {
					age := reports[p].Age(now)
					s.Answered(now, parent.Instance(), age)
					reports[i].Update(now, age)
					break
				}
				s.Failed(now, parent.Instance())
			}
			if s.Orphaned(now) {
				reports[i].Update(now, 0)
			}
			if !down[i] && pull >= warmUp {
				longest = max(longest, reports[i].Age(now))
			}
		}
	}
	for i := range reports {
		if !down[i] {
			final = append(final, reports[i].Age(now))
		}
	}
	return final, longest
}

// draw returns one member's view of the domain.
func (v PartialViews) draw(r *rand.Rand) []membership.Record {
	var view []membership.Record
	for j := range v.Members {
		state := membership.Ready
		if r.IntN(shareBase) < v.Starting {
			state = membership.Starting
		}
		if r.IntN(shareBase) < v.Known {
			view = append(view, membership.NewRecord(memberName(j), membership.Domain("d"), membership.Boot(1), membership.InState(state)))
		}
	}
	return view
}

func memberName(i int) string { return fmt.Sprint("n", i) }
