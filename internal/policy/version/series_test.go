package version

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

// A version alone must not wait, a newer one must overtake those that wait, and an invalid
// one must not lose the valid one before it.
func TestSeriesTurns(t *testing.T) {
	t.Parallel()
	var s Series
	now := sim.Start
	expect := func(what string, number, active uint64, want Turn, wantWait time.Duration) {
		t.Helper()
		if turn, wait := s.Next(now, number, active); turn != want || wait != wantWait {
			t.Fatalf("%s: version %d with %d active: turn %d, wait %v; want %d, %v", what, number, active, turn, wait, want, wantWait)
		}
	}
	s.Offer(1)
	expect("alone", 1, 0, Start, 0)
	s.Offer(3)
	expect("another one is being applied", 3, 0, Await, 0)
	s.Done(now, 1, 40*time.Millisecond)
	expect("after a version that took 40 ms", 3, 1, Await, 80*time.Millisecond)
	s.Offer(5)
	s.Offer(4)
	now = now.Add(80 * time.Millisecond)
	expect("a newer one waits", 3, 1, Await, 0)
	expect("out of order", 4, 1, Await, 0)
	expect("the newest", 5, 1, Start, 0)
	s.Done(now, 5, time.Second) // invalid: 1 stays active
	expect("after an invalid one, with the longest pause", 4, 1, Await, maxPause)
	now = now.Add(-time.Hour)
	expect("after a clock step", 4, 1, Await, maxPause)
	now = now.Add(time.Hour + maxPause)
	expect("next valid one", 4, 1, Start, 0)
	s.Done(now, 4, time.Millisecond)
	expect("skipped", 3, 4, Skip, 0)
	now = now.Add(time.Second)
	s.Offer(Unknown)
	expect("unknown, alone", Unknown, 4, Start, 0)
	s.Done(now, Unknown, time.Millisecond)
	if len(s.pending) > 0 {
		t.Errorf("%v are still pending", s.pending)
	}
}

// seriesNode is a node of a simulated failure domain, which gets versions from its parent.
type seriesNode struct {
	series    Series
	paced     bool
	fetched   uint64
	active    uint64
	busy      time.Duration
	children  []*seriesNode
	fetching  bool
	restarted int
}

// seriesRun is a simulated series: one domain with levels of 1, 8 and 64 nodes, five versions
// a second for 5 s. A share of 0.16 of a core makes a version take 1/0.16 of its cost.
type seriesRun struct {
	*sim.Simulation
	r     *rand.Rand
	cost  time.Duration // of a version, on a whole core
	early bool          // versions are passed on before they are active
	// hops are the times from a node's announcement to its child having the version.
	minHop, maxHop time.Duration
}

const coreShare = 0.16

func (run *seriesRun) arrive(n *seriesNode, v uint64) {
	n.fetched = max(n.fetched, v)
	if run.early {
		run.announce(n, func() uint64 { return n.fetched })
	}
	n.series.Offer(v)
	run.decide(n, v, n.restarted)
}

func (run *seriesRun) decide(n *seriesNode, v uint64, process int) {
	if n.restarted != process {
		return
	}
	now := run.Now()
	turn, wait := n.series.Next(now, v, n.active)
	if turn == Await && (wait == 0 || n.paced) {
		run.After(max(wait, 5*time.Millisecond), func() { run.decide(n, v, process) })
		return
	}
	if turn == Skip {
		return
	}
	n.series.applying = true // without pacing, the wait is ignored
	took := time.Duration(float64(run.cost) / coreShare * (0.9 + 0.4*run.r.Float64()))
	run.After(took, func() {
		if n.restarted != process {
			return
		}
		if v < n.active {
			panic("a node went back")
		}
		n.active, n.busy = v, n.busy+took
		n.series.Done(run.Now(), v, took)
		run.announce(n, func() uint64 { return n.active })
	})
}

// announce lets the children fetch the newest version that n can serve.
func (run *seriesRun) announce(n *seriesNode, newest func() uint64) {
	for _, child := range n.children {
		if child.fetching {
			continue
		}
		child.fetching = true
		run.After(run.minHop+time.Duration(run.r.Float64()*float64(run.maxHop-run.minHop)), func() {
			child.fetching = false
			v := newest()
			if v > child.fetched {
				run.arrive(child, v)
			}
			if newest() > child.fetched {
				run.announce(n, newest)
			}
		})
	}
}

// simulate returns the largest share of a node's time from the first version to the last that
// it spent on versions, and the time from the last version until it is active everywhere.
func (run *seriesRun) simulate(t *testing.T, paced bool) (share float64, last time.Duration) {
	const fanout, versions, gap = 8, 25, 200 * time.Millisecond
	var all []*seriesNode
	node := func() *seriesNode {
		n := &seriesNode{paced: paced}
		all = append(all, n)
		return n
	}
	root := node()
	for range fanout {
		child := node()
		root.children = append(root.children, child)
		for range fanout {
			child.children = append(child.children, node())
		}
	}
	order := make([]uint64, versions)
	for i := range order {
		order[i] = uint64(i + 1)
	}
	order[9], order[10] = order[10], order[9] // a series out of order
	for i, v := range order {
		run.After(time.Duration(i)*gap, func() { run.arrive(root, v) })
	}
	// Two nodes restart: they have nothing and fetch the newest version of their parent.
	for i, n := range []*seriesNode{root.children[3], root.children[5].children[2]} {
		run.After(2*time.Second+time.Duration(i)*gap/2, func() {
			*n = seriesNode{paced: paced, children: n.children, busy: n.busy, restarted: n.restarted + 1}
			parent := root
			if i == 1 {
				parent = root.children[5]
			}
			run.announce(parent, func() uint64 { return parent.active })
		})
	}
	end := versions * gap
	run.Run()
	for _, n := range all {
		if n.active != versions {
			t.Errorf("a node ends with version %d of %d", n.active, versions)
		}
		share = max(share, n.busy.Seconds()/run.Elapsed().Seconds())
	}
	return share, run.Elapsed() - end + gap
}

// Guards against a series of versions that takes the processor time of calls, and against
// pauses that add up over the levels of the tree to more than 2 s.
func TestSeriesOnSmallNodes(t *testing.T) {
	t.Parallel()
	const maxLast, seeds = 2 * time.Second, 20
	const maxShare = 0.39 // a version that takes 187 ms, then the longest pause; otherwise a third
	for _, cost := range []time.Duration{2400 * time.Microsecond, 6 * time.Millisecond, 23 * time.Millisecond} {
		for _, early := range []bool{false, true} {
			for _, paced := range []bool{false, true} {
				t.Run(fmt.Sprintf("cost %v, passed on early %v, paced %v", cost, early, paced), func(t *testing.T) {
					t.Parallel()
					var shares []float64
					var lasts []time.Duration
					for seed := range uint64(seeds) {
						run := &seriesRun{
							Simulation: sim.New(), r: rand.New(rand.NewPCG(seed, 1)), cost: cost, early: early,
							minHop: 20 * time.Millisecond, maxHop: 150 * time.Millisecond,
						}
						share, last := run.simulate(t, paced)
						shares, lasts = append(shares, share), append(lasts, last)
					}
					share, last := slices.Max(shares), slices.Max(lasts)
					t.Logf("share %.3f, last version active after %v", share, last.Round(time.Millisecond))
					if paced && (share > maxShare || last > maxLast) {
						t.Errorf("share %.3f, at most %.2f; last version active after %v, at most %v", share, maxShare, last, maxLast)
					}
				})
			}
		}
	}
}
