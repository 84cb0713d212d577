package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"banyanlug.example/banyanlug/internal/policy/sim"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// Nodes that know only some of each other may pull in a loop. By this package's own
// intervals, too, each must hear of a reader of the store or become one.
func TestNodesWithDifferingViewsHearOfAReader(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ members, seeds int }{{25, 200}, {1000, 2}} {
		t.Run(fmt.Sprint(tt.members, " members"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(tt.seeds) {
				v := sim.PartialViews{Members: tt.members, Known: 2, Starting: 3, Interval: pullWait, Pulls: 100}
				_, longest := v.ReportAges(rand.New(rand.NewPCG(seed, 1)), 0,
					tree.StaleAfter(staleAfter), tree.HoldDown(holdDown), tree.OrphanedAfter(orphanedAfter))
				if longest > 4*staleAfter {
					t.Errorf("seed %d: a node has heard nothing of a reader for %v", seed, longest)
				}
			}
		})
	}
}
