package balance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

var (
	broker = NewCallInfo("broker", snapshot.Paying)
	free   = NewCallInfo("free", snapshot.Trial)
)

func readyRecords(n int) []membership.Record {
	var out []membership.Record
	for i := range n {
		out = append(out, record(i, "sabana", 1, membership.Ready))
	}
	return out
}

func threeTargets() *Balancer {
	b := New(sim.Start, sim.Rand(1), Domain("sabana"))
	b.Update(sim.Start.Add(-time.Minute), "pool", slots, readyRecords(3))
	return b
}

// pickOnly picks target i, by excluding all others, if it may be picked.
func pickOnly(b *Balancer, now time.Time, info CallInfo, i int) (Picked, bool) {
	var tried []Picked
	defer func() {
		for _, p := range tried {
			b.Done(now, p, info, 0, Cancelled())
		}
	}()
	for {
		p, ok := b.Pick(now, "pool", info, tried).(Picked)
		if !ok {
			return Picked{}, false
		}
		if p.Record().Instance() == fmt.Sprintf("target-%d", i) {
			return p, true
		}
		tried = append(tried, p)
	}
}

func mustPick(t *testing.T, b *Balancer, now time.Time, info CallInfo, i int) Picked {
	t.Helper()
	p, ok := pickOnly(b, now, info, i)
	if !ok {
		t.Fatalf("target %d may not be picked", i)
	}
	return p
}

// pickCounts returns how many of 300 picks each target gets, with no call
// outstanding.
func pickCounts(b *Balancer, now time.Time, info CallInfo) map[string]int {
	got := map[string]int{}
	for range 300 {
		switch c := b.Pick(now, "pool", info, nil).(type) {
		case Picked:
			got[c.Record().Instance()]++
			b.Done(now, c, info, 10*ms, Cancelled())
		case None:
			got[c.Reason().String()]++
		}
	}
	return got
}

func TestReportsTakeEffectOnTheNextPick(t *testing.T) {
	t.Parallel()
	at := func(d time.Duration) time.Time { return sim.Start.Add(d) }
	for _, c := range []struct {
		name     string
		report   Report
		times    int
		callInfo CallInfo
		after    time.Duration
		unpicked bool
	}{
		{"a response keeps the target in use", Answered(), 1, broker, 0, false},
		{"a refused connection ejects", Unreachable(), 1, broker, 0, true},
		{"an ejected target is picked again later", Unreachable(), 1, broker, 2 * time.Second, false},
		{"two failures don't eject", Failed(), 2, broker, 0, false},
		{"three failures eject", Failed(), 3, broker, 0, true},
		{"a draining target gets no calls", Draining(), 1, broker, maxDraining - time.Millisecond, true},
		{"a target that refused as draining long ago is tried again", Draining(), 1, broker, maxDraining, false},
		{"a target that sheds load is not picked before its Retry-After", Shed(ForAll, time.Second), 1, free, 999 * ms, true},
		{"a target that sheds load is picked again after its Retry-After", Shed(ForAll, time.Second), 1, broker, time.Second, false},
		{"a refusal to an organisation applies to it", Shed(ForOrganisation, time.Second), 1, broker, 0, true},
		{"a refusal to an organisation applies to no other", Shed(ForOrganisation, time.Second), 1, NewCallInfo("other", snapshot.Paying), 0, false},
		{"a refusal to paying calls applies to trial calls", Shed(ForClass, time.Second), 1, free, 0, true},
		{"a refusal applies for a limited time", Shed(ForAll, time.Hour), 1, broker, maxShedWait, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := threeTargets()
			for range c.times {
				b.Done(sim.Start, mustPick(t, b, sim.Start, broker, 0), broker, ms, c.report)
			}
			got := pickCounts(b, at(c.after), c.callInfo)["target-0"]
			if c.unpicked && got > 0 {
				t.Errorf("the target was picked %d times of 300", got)
			}
			if _, ok := pickOnly(b, at(c.after), c.callInfo, 0); !c.unpicked && !ok {
				t.Error("the target may not be picked")
			}
		})
	}
}

func TestRefusedTrialCallDoesNotDivertPayingCalls(t *testing.T) {
	t.Parallel()
	b := threeTargets()
	b.Done(sim.Start, mustPick(t, b, sim.Start, free, 0), free, ms, Shed(ForClass, time.Second))
	if pickCounts(b, sim.Start, broker)["target-0"] == 0 {
		t.Error("paying calls avoid a target that refused a trial call")
	}
	if pickCounts(b, sim.Start, free)["target-0"] != 0 {
		t.Error("trial calls go to a target that refused them")
	}
}

func TestUpdateDecidesWhichTargetsArePicked(t *testing.T) {
	t.Parallel()
	states := func(first membership.State, boot, seq uint64) []membership.Record {
		r := readyRecords(3)
		r[0] = membership.NewRecord("target-0", membership.Domain("sabana"), membership.Pool("pool"),
			membership.Boot(boot), membership.Seq(seq), membership.InState(first))
		return r
	}
	for _, c := range []struct {
		name    string
		records []membership.Record
		picked  bool
	}{
		{"a draining target is not picked", states(membership.Draining, 1, 1), false},
		{"a starting target is not picked", states(membership.Starting, 2, 0), false},
		{"a target that is no longer announced is not picked", readyRecords(3)[1:], false},
		{"an old announcement doesn't override the target's refusal as draining", states(membership.Ready, 1, 0), false},
		{"a newer announcement overrides the target's refusal as draining", states(membership.Ready, 1, 1), true},
		{"a new boot overrides the target's refusal as draining", states(membership.Ready, 2, 0), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := threeTargets()
			b.Done(sim.Start, mustPick(t, b, sim.Start, broker, 0), broker, ms, Draining())
			b.Update(sim.Start, "pool", slots, c.records)
			if got := pickCounts(b, sim.Start, broker)["target-0"]; (got > 0) != c.picked {
				t.Errorf("the target was picked %d times of 300", got)
			}
		})
	}
}

// Guards against calls to a target that is leaving, after its node was restarted and a delayed
// heartbeat made it announce the target as ready.
func TestTargetThatLeavesIsNotPickedAfterARestartOfItsNode(t *testing.T) {
	t.Parallel()
	announced := func(id string, boot, seq uint64) membership.Record {
		return membership.NewRecord("target-0", membership.Domain("sabana"), membership.InState(membership.Ready),
			membership.TargetID(id), membership.Boot(boot), membership.Seq(seq))
	}
	others := readyRecords(3)[1:]
	for _, tc := range []struct {
		name   string
		record membership.Record
		after  time.Duration
		picked bool
	}{
		{"nothing new", announced("i-1", 1, 1), time.Second, false},
		{"its node was restarted", announced("i-1", 2, 1), time.Second, false},
		{"its node was restarted long ago", announced("i-1", 2, 1), maxLeaving, true},
		{"its node has seen it start again", announced("i-1", 1, 2), time.Second, true},
		{"another process has replaced it", announced("i-2", 1, 2), time.Second, true},
		{"another process has replaced it, its node was restarted", announced("i-2", 2, 1), time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := New(sim.Start, sim.Rand(1), Domain("sabana"))
			b.Update(sim.Start.Add(-time.Minute), "pool", slots, append([]membership.Record{announced("i-1", 1, 1)}, others...))
			p := mustPick(t, b, sim.Start, broker, 0)
			b.Leaving(sim.Start, p)
			b.Done(sim.Start, p, broker, ms, Answered())
			// A node that restarts is not ready for some time.
			b.Update(sim.Start, "pool", slots, others)
			b.Update(sim.Start, "pool", slots, append([]membership.Record{tc.record}, others...))
			if _, ok := pickOnly(b, sim.Start.Add(tc.after), broker, 0); ok != tc.picked {
				t.Errorf("picked: %v", ok)
			}
		})
	}
}

// Guards against calls that no longer carry the limit that their target has named because its
// announcement has changed.
func TestNamedRatesAreThoseOfTheTargetsProcess(t *testing.T) {
	t.Parallel()
	announced := func(id string, boot uint64) []membership.Record {
		return []membership.Record{membership.NewRecord("target-0", membership.InState(membership.Ready), membership.TargetID(id), membership.Boot(boot))}
	}
	b := New(sim.Start, sim.Rand(1))
	check := func(step string, now time.Time, want float64, named bool) {
		t.Helper()
		if got, ok := b.NamedRate(now, mustPick(t, b, now, broker, 0)); got != want || ok != named {
			t.Errorf("%s: %v, %v", step, got, ok)
		}
	}
	b.Update(sim.Start, "pool", slots, announced("i-1", 1))
	check("nothing named", sim.Start, 0, false)
	b.ObserveRate(sim.Start, mustPick(t, b, sim.Start, broker, 0), 50, true)
	check("named", sim.Start, 50, true)
	b.Update(sim.Start, "pool", slots, announced("i-1", 2))
	check("after a restart of its node", sim.Start, 50, true)
	check("long after", sim.Start.Add(maxNamedRateAge), 0, false)
	b.Update(sim.Start, "pool", slots, announced("i-2", 2))
	check("of another process", sim.Start, 0, false)
	b.Update(sim.Start, "pool", slots, announced("i-1", 2))
	b.ObserveRate(sim.Start, mustPick(t, b, sim.Start, broker, 0), 0, false)
	check("no longer named", sim.Start, 0, false)
}

func TestNoneSaysWhyThereIsNoTarget(t *testing.T) {
	t.Parallel()
	b := New(sim.Start, sim.Rand(1))
	want := None{NoTargets, initialEjection}
	if diff := cmp.Diff(Choice(want), b.Pick(sim.Start, "pool", broker, nil), cmp.AllowUnexported(None{})); diff != "" {
		t.Error(diff)
	}
	b.Update(sim.Start, "pool", slots, readyRecords(2))
	var tried []Picked
	for range 2 {
		tried = append(tried, b.Pick(sim.Start, "pool", broker, tried).(Picked))
	}
	if tried[0].Record().Instance() == tried[1].Record().Instance() {
		t.Error("a target is tried twice")
	}
	if none, ok := b.Pick(sim.Start, "pool", broker, tried).(None); !ok || none.Reason() != AllTried {
		t.Errorf("picked %v with all targets tried", none)
	}
	for _, p := range tried {
		b.Done(sim.Start, p, broker, ms, Shed(ForAll, 300*ms))
	}
	if none, ok := b.Pick(sim.Start, "pool", broker, nil).(None); !ok || none.Reason() != AllShed || none.RetryAfter() != 300*ms {
		t.Errorf("%v with all targets shedding", none)
	}
}

// Guards against a pool of ejected targets whose recovery goes unnoticed for want of
// probes, or to which many calls are sent as probes.
func TestEachTargetOfAnEjectedPoolIsProbedByOneCallAtATime(t *testing.T) {
	t.Parallel()
	b := threeTargets()
	for i := range 3 {
		b.Done(sim.Start, mustPick(t, b, sim.Start, broker, i), broker, ms, Unreachable())
	}
	probes := map[string]int{}
	for range 3 {
		probes[b.Pick(sim.Start, "pool", broker, nil).(Picked).Record().Instance()]++
	}
	if len(probes) != 3 {
		t.Errorf("probed %v", probes)
	}
	if none, ok := b.Pick(sim.Start, "pool", broker, nil).(None); !ok || none.Reason() != AllEjected || none.RetryAfter() <= 0 {
		t.Errorf("%v with all targets being probed", none)
	}
}

func TestNewTargetRampsUpGradually(t *testing.T) {
	t.Parallel()
	b := threeTargets()
	records := append(readyRecords(3), record(3, "sabana", 1, membership.Ready))
	b.Update(sim.Start, "pool", slots, records)
	early, late := pickCounts(b, sim.Start, broker)["target-3"], pickCounts(b, sim.Start.Add(rampDuration), broker)["target-3"]
	if early == 0 || early > 30 || late < 50 {
		t.Errorf("picked %d times of 300 at first and %d in the end", early, late)
	}
}

func TestTargetWithAnIdleConnectionIsPreferred(t *testing.T) {
	t.Parallel()
	b := threeTargets()
	p := mustPick(t, b, sim.Start, broker, 0)
	b.Done(sim.Start, p, broker, 10*ms, Answered(ConnKept()))
	got, other := 0, 0
	for range 300 {
		p := b.Pick(sim.Start, "pool", broker, nil).(Picked)
		if p.Record().Instance() == "target-0" {
			got++
			b.Done(sim.Start, p, broker, 10*ms, Answered(ConnKept()))
			continue
		}
		other++
		b.Done(sim.Start, p, broker, 10*ms, Answered())
	}
	if got < 3*other/2 {
		t.Errorf("the target with an idle connection was picked %d times, the two others %d", got, other)
	}
}

// Concurrent calls and announcements must leave no call outstanding.
func TestBalancerUnderConcurrentUse(t *testing.T) {
	t.Parallel()
	b := threeTargets()
	reports := []Report{Answered(Load(0.5), ConnKept()), Failed(), Unreachable(), Shed(ForOrganisation, ms), Cancelled()}
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for n := range 200 {
				now := sim.Start.Add(time.Duration(n) * ms)
				if p, ok := b.Pick(now, "pool", broker, nil).(Picked); ok {
					b.Done(now, p, broker, ms, reports[(i+n)%len(reports)])
					b.ConnClosed(p)
				}
				b.Update(now, "pool", slots, readyRecords(3))
			}
		})
	}
	callers.Wait()
	for _, target := range b.lookup("pool").all {
		if target.outstanding != 0 {
			t.Errorf("%d calls stay outstanding", target.outstanding)
		}
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	b := threeTargets()
	if n := testing.AllocsPerRun(1000, func() {
		p := b.Pick(sim.Start, "pool", broker, nil).(Picked)
		b.Done(sim.Start, p, broker, ms, Answered())
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// The sizes include the planned fleet: 4200 targets in 280 pools.
func BenchmarkPickAndDone(b *testing.B) {
	for _, c := range []struct{ pools, targets int }{{28, 420}, {280, 4200}, {280, 42000}} {
		b.Run(fmt.Sprintf("pools=%d/targets=%d", c.pools, c.targets), func(b *testing.B) {
			balancer := New(sim.Start, sim.Rand(1), Domain("domain-0"))
			names := make([]string, c.pools)
			for p := range names {
				names[p] = fmt.Sprintf("pool-%d", p)
				var records []membership.Record
				for i := range c.targets / c.pools {
					records = append(records, membership.NewRecord(fmt.Sprintf("target-%d-%d", p, i),
						membership.Pool(names[p]), membership.Domain(fmt.Sprintf("domain-%d", i%22)), membership.InState(membership.Ready)))
				}
				balancer.Update(sim.Start.Add(-time.Hour), names[p], slots, records)
			}
			now, i := sim.Start, 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 7) % c.pools
				now = now.Add(time.Microsecond)
				p := balancer.Pick(now, names[i], broker, nil).(Picked)
				balancer.Done(now, p, broker, 10*ms, Answered(Load(0.3), ConnKept()))
			}
		})
	}
}

// Guards against a pool without usable targets because its nodes are all overloaded, and
// against calls to an overloaded one before its Retry-After has passed.
func TestOverloadedTargetsAreExcludedUnlessMostAre(t *testing.T) {
	t.Parallel()
	b := New(sim.Start, sim.Rand(1))
	b.Update(sim.Start.Add(-time.Minute), "pool", slots, readyRecords(4))
	for i := range 4 {
		b.Done(sim.Start, mustPick(t, b, sim.Start, broker, i), broker, ms, Overloaded(time.Minute))
	}
	for i, excluded := range []bool{true, true, false, false} {
		if _, ok := pickOnly(b, sim.Start.Add(maxShedWait-ms), broker, i); ok == excluded {
			t.Errorf("target %d: picked %v", i, ok)
		}
		if _, ok := pickOnly(b, sim.Start.Add(maxShedWait), broker, i); !ok {
			t.Errorf("target %d is still excluded after %v", i, maxShedWait)
		}
	}
}
