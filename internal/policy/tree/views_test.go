package tree_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/sim"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

// staleAfter is the selector's default age of a stale report.
const staleAfter = 6 * membership.HeartbeatInterval

// Nodes with different views may pull from each other in a loop, and some are down. Each
// node that is up must receive reports from a root or read the store itself.
func TestStatefulDifferingViewsHearOfARoot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		v := sim.PartialViews{Interval: membership.HeartbeatInterval, Pulls: 60}
		v.Members = rapid.IntRange(1, 30).Draw(t, "members")
		seed := rapid.Uint64().Draw(t, "seed")
		v.Known, v.Starting, v.Down = rapid.IntRange(2, 10).Draw(t, "known of 10"), rapid.IntRange(0, 5).Draw(t, "starting of 10"), rapid.IntRange(0, 4).Draw(t, "down of 10")
		ages, _ := v.ReportAges(rand.New(rand.NewPCG(seed, 1)), v.Pulls)
		// A report is stale after staleAfter, an orphan acts as a root after up to
		// twice that, and its report takes a few hops, in a loop until it is stale.
		for i, age := range ages {
			if age > 4*staleAfter {
				t.Fatalf("running node %d of %d has heard nothing of a root for %v", i, len(ages), age)
			}
		}
	})
}

// Guards against reports that get lost in large domains, where most members of a view are
// unknown to others.
func TestDifferingViewsOfALargeDomainHearOfARoot(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			v := sim.PartialViews{Members: 1000, Known: 2, Starting: 3, Interval: membership.HeartbeatInterval, Pulls: 60}
			if _, longest := v.ReportAges(rand.New(rand.NewPCG(seed, 1)), 0); longest > 4*staleAfter {
				t.Errorf("a node has heard nothing of a root for %v", longest)
			}
		})
	}
}

// Guards against a node that passes on an older age than it was told before, after which its
// children leave it although it has the newer data.
func TestReportAgeNeverGrowsByAnOlderReport(t *testing.T) {
	t.Parallel()
	now := sim.Start
	var f tree.Freshness
	if f.Known() {
		t.Error("a report is known before the first one")
	}
	f.Update(now, time.Second)
	f.Update(now.Add(time.Second), 20*time.Second)
	if got := f.Age(now.Add(time.Second)); got != 2*time.Second {
		t.Errorf("age %v after an older report, want 2s", got)
	}
	f.Update(now.Add(-time.Hour), time.Second)
	if got := f.Age(now.Add(-time.Hour)); got != time.Second {
		t.Errorf("age %v after the clock moved back, want 1s", got)
	}
}
