package overload_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/overload"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

const (
	ms        = time.Millisecond
	nodes     = 74
	callRate  = 3000.0 // per second, of all nodes with nested calls
	turn      = ms     // processor time of one turn: 0.28 of a healthy node is used
	slots     = 12
	service   = 110 * ms
	soft      = 300 * ms
	deadline  = 2 * time.Second
	slowFrom  = 2 * time.Second
	slowUntil = 8 * time.Second
	callsEnd  = 9 * time.Second
)

// fleet simulates nodes whose goroutines wait in a first-in, first-out run queue. Each
// carries its callers' calls and those for its target. Targets have free slots always.
type fleet struct {
	*sim.Simulation
	rng   *rand.Rand
	nodes []*node
	// refuse makes nodes refuse calls while they are overloaded.
	refuse bool
	// healthy and slow count the calls of the callers of such nodes.
	healthy, slow tally
	pools         int
}

type node struct {
	f          *fleet
	slowdown   float64
	busyUntil  time.Time
	balancer   *balance.Balancer
	budgets    *retry.Budgets
	controller *overload.Controller
}

// tally counts the calls that begin a second or more after the slowdown, until it ends.
type tally struct{ calls, inTime, late, timedOut, notRun, refusals int }

// share returns a part of the calls.
func (t tally) share(n int) float64 { return float64(n) / float64(max(1, t.calls)) }

func (t tally) String() string {
	return fmt.Sprintf("%d calls, %.3f in time, %d late, %d without a response by the deadline, %d not run, %d refusals",
		t.calls, t.share(t.inTime), t.late, t.timedOut, t.notRun, t.refusals)
}

// run simulates nodes with pools of a size, of which those with isSlow are slow for a time.
func run(size int, slowdown float64, isSlow func(i int) bool, refuse bool) *fleet {
	f := &fleet{Simulation: sim.New(), rng: sim.Rand(1), refuse: refuse, pools: nodes / size}
	records := make([][]membership.Record, f.pools)
	for i := range nodes {
		f.nodes = append(f.nodes, &node{
			f: f, slowdown: 1, controller: overload.NewController(),
			balancer: balance.New(f.Now(), sim.Rand(uint64(100+i))),
			budgets:  retry.NewBudgets(sim.Rand(uint64(500+i)), retry.RefusedRatio(1)),
		})
		records[i%f.pools] = append(records[i%f.pools], membership.NewRecord(fmt.Sprint(i), membership.Boot(1), membership.Seq(1),
			membership.Address(netip.MustParseAddrPort("127.0.0.1:1")), membership.InState(membership.Ready), membership.Slots(slots)))
	}
	for i, n := range f.nodes {
		for pool, targets := range records {
			n.balancer.Update(f.Now(), fmt.Sprint(pool), slots, targets)
		}
		n.observe(f.Now())
		if isSlow(i) {
			f.At(sim.Start.Add(slowFrom), func() { n.slowdown = slowdown })
			f.At(sim.Start.Add(slowUntil), func() { n.slowdown = 1 })
		}
	}
	f.Arrivals(sim.Rand(2), callRate, 0, callsEnd, func() { f.nodes[f.rng.IntN(nodes)].call() })
	f.Run()
	return f
}

// run lets a goroutine that needs some processor time wait for its turn.
func (n *node) run(need time.Duration, f func()) {
	if n.busyUntil.Before(n.f.Now()) {
		n.busyUntil = n.f.Now()
	}
	n.busyUntil = n.busyUntil.Add(time.Duration(float64(need) * n.slowdown))
	n.f.At(n.busyUntil, f)
}

// observe sets the timer whose lateness is observed.
func (n *node) observe(set time.Time) {
	period := n.controller.Period()
	n.f.After(period, func() {
		n.run(0, func() {
			now := n.f.Now()
			n.controller.Observe(now, period, now.Sub(set)-period)
			if n.f.Elapsed() < callsEnd {
				n.observe(now)
			}
		})
	})
}

// call carries one call of the node's callers.
func (n *node) call() {
	began, counted := n.f.Now(), &tally{}
	if at := n.f.Elapsed(); at > slowFrom+time.Second && at < slowUntil {
		counted = &n.f.healthy
		if n.slowdown > 1 {
			counted = &n.f.slow
		}
	}
	pool := fmt.Sprint(n.f.rng.IntN(n.f.pools))
	counted.calls++
	c := retry.NewCall(pool, began.Add(deadline), retry.Retries(1), retry.RefusalRetries(2), retry.Idempotent())
	n.budgets.FirstAttempt(&c)
	info := balance.NewCallInfo("all", snapshot.Paying).WithRoute("r")
	var tried []balance.Picked
	var attempt func()
	next := func(o retry.Outcome) {
		if d, ok := n.budgets.After(n.f.Now(), &c, o).(retry.Retry); ok {
			n.f.After(d.After(), attempt)
			return
		}
		counted.notRun++
	}
	attempt = func() {
		p, ok := n.balancer.Pick(n.f.Now(), pool, info, tried).(balance.Picked)
		if !ok {
			next(retry.NoTarget(time.Second))
			return
		}
		tried = append(tried, p)
		sent := n.f.Now()
		var index int
		_, _ = fmt.Sscan(p.Record().Instance(), &index)
		answered := false
		n.f.At(began.Add(deadline), func() {
			if !answered {
				answered = true
				counted.timedOut++
				n.balancer.Done(n.f.Now(), p, info, n.f.Now().Sub(sent), balance.Failed())
			}
		})
		n.f.nodes[index].serve(n.controller.Overloaded(), began, counted, func(refusedFor time.Duration, r balance.Report) {
			if answered {
				return
			}
			n.run(turn, func() {
				if answered {
					return
				}
				answered = true
				n.balancer.Done(n.f.Now(), p, info, n.f.Now().Sub(sent), r)
				if refusedFor > 0 {
					next(retry.Overloaded(refusedFor))
				} else if n.f.Now().Sub(began) <= soft {
					counted.inTime++
				} else {
					counted.late++
				}
			})
		})
	}
	n.run(turn, func() {
		if n.f.refuse && n.controller.CallDelay() > deadline-n.f.Now().Sub(began) {
			counted.notRun++
			return
		}
		n.run(turn, attempt)
	})
}

// serve carries a call to the node's target: two turns before it and two after it.
func (n *node) serve(fromOverloaded bool, began time.Time, counted *tally, end func(time.Duration, balance.Report)) {
	n.run(turn, func() {
		now := n.f.Now()
		call := overload.NewCall(service, max(ms, soft-now.Sub(began)), deadline-now.Sub(began))
		if fromOverloaded {
			call = call.FromOverloaded()
		}
		if after, refused := n.controller.Refuse(now, call); refused && n.f.refuse {
			counted.refusals++
			end(after, balance.Overloaded(after))
			return
		}
		n.run(turn, func() {
			n.f.After(service/2+sim.Exp(n.f.rng, service/2), func() {
				n.run(2*turn, func() {
					reported := service
					if n.f.refuse {
						reported += n.controller.Delay()
					}
					end(0, balance.Answered(balance.Load(0.5), balance.ServiceTime(reported)))
				})
			})
		})
	})
}

// Guards against calls that wait at slow nodes until their deadline while other targets
// are free.
func TestCallsAvoidOverloadedNodes(t *testing.T) {
	t.Parallel()
	spread := func(i int) bool { return i%8 == 0 && i < 72 }
	for _, tc := range []struct {
		name   string
		pool   int
		isSlow func(i int) bool
	}{
		{"nine slow nodes, pools of 12", 12, spread},
		{"nine slow nodes, pools of 36", 36, spread},
		{"nine slow nodes of one pool of 24", 24, func(i int) bool { return i%3 == 0 && i < 27 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			before, after := run(tc.pool, 6, tc.isSlow, false), run(tc.pool, 6, tc.isSlow, true)
			t.Logf("without, callers of healthy nodes: %v; of slow ones: %v", before.healthy, before.slow)
			t.Logf("with, callers of healthy nodes: %v; of slow ones: %v", after.healthy, after.slow)
			if gain := after.healthy.share(after.healthy.inTime) - before.healthy.share(before.healthy.inTime); gain < 0.03 {
				t.Errorf("%.3f more calls in time, want 0.03", gain)
			}
			if share := after.healthy.share(after.healthy.timedOut); share > 0.004 {
				t.Errorf("%.4f of the calls ended at their deadline, want 0.004 at most", share)
			}
		})
	}
}

// Guards against a fleet that refuses its work, or spends its processor time on refusals
// and further attempts, when all of its nodes are slow.
func TestFleetOfOverloadedNodesServesWhatItCan(t *testing.T) {
	t.Parallel()
	for _, slowdown := range []float64{3, 4, 6} {
		t.Run(fmt.Sprintf("%v times slower", slowdown), func(t *testing.T) {
			t.Parallel()
			all := func(int) bool { return true }
			before, after := run(24, slowdown, all, false).slow, run(24, slowdown, all, true).slow
			t.Logf("without: %v", before)
			t.Logf("with: %v", after)
			if loss := before.share(before.inTime) - after.share(after.inTime); loss > 0.02 {
				t.Errorf("%.3f fewer calls in time", loss)
			}
			if loss := before.share(before.inTime+before.late) - after.share(after.inTime+after.late); loss > 0.07 {
				t.Errorf("%.3f fewer calls served", loss)
			}
			if share := after.share(after.refusals); share > 0.1 {
				t.Errorf("%.3f refusals per call", share)
			}
		})
	}
}
