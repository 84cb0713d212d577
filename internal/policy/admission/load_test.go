package admission

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/sim"
)

const (
	ms = time.Millisecond
	// targetSlots is the number of slots of a simulated target.
	targetSlots = 12
	// runTime is how long calls arrive unless a test says otherwise.
	runTime = 10 * time.Second
)

func paying(org string, rate float64, seed uint64) *workload {
	return &workload{org: org, class: snapshot.Paying, route: "quote", rate: rate, to: runTime, service: exponential(10 * ms), timeout: time.Second, seed: seed}
}

func trial(org string, rate float64, seed uint64) *workload {
	w := paying(org, rate, seed)
	w.class = snapshot.Trial
	return w
}

// Guards against a trial organisation that sends 20 times what the target can
// serve and thereby delays paying calls or runs on promised slots.
func TestTrialFloodDoesNotSlowPayingCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		rate float64
	}{
		{"half of the promise in use", 400},
		{"two thirds of the promise in use", 533},
		{"three quarters of the promise in use", 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			flooding := func() *workload {
				f := trial("free", 20*1200, 2)
				f.to = 4 * time.Second
				return f
			}
			baseline := paying("broker", c.rate, 1)
			baseline.to = 4 * time.Second
			s, _ := newGateSimulation(targetSlots, 8)
			s.run(baseline)

			broker, flood := paying("broker", c.rate, 1), flooding()
			broker.to = 4 * time.Second
			s, _ = newGateSimulation(targetSlots, 8)
			s.run(broker, flood)
			if broker.done != broker.sent {
				t.Errorf("%d of %d paying calls ended in time", broker.done, broker.sent)
			}
			ratio := float64(broker.p99()) / float64(baseline.p99())
			if ratio > 1.05 {
				t.Errorf("paying p99 %v with the flood, %v without: ratio %.3f", broker.p99(), baseline.p99(), ratio)
			}
			if most := s.maxRunning[snapshot.Trial]; most > targetSlots-8 {
				t.Errorf("%d trial calls ran at once on %d unpromised slots", most, targetSlots-8)
			}
			if flood.done == 0 {
				t.Error("no trial call ran on the unpromised slots")
			}

			fifoBroker := paying("broker", c.rate, 1)
			fifoBroker.to = 4 * time.Second
			s = newFIFOSimulation(targetSlots)
			s.run(fifoBroker, flooding())
			if fifoBroker.done == fifoBroker.sent && fifoBroker.p99() <= baseline.p99()*105/100 {
				t.Error("the FIFO queue does as well, so the simulation does not test the gate")
			}
			t.Logf("paying p99 without the flood %v, with it %v (ratio %.3f), FIFO %v with %d of %d done; trial done %d of %d",
				baseline.p99(), broker.p99(), ratio, fifoBroker.p99(), fifoBroker.done, fifoBroker.sent, flood.done, flood.sent)
		})
	}
}

// Guards against trial calls that use up the rate of a target in need, which paying calls
// would then wait for.
func TestTrialFloodDoesNotSlowPayingCallsWithinATargetsRateLimit(t *testing.T) {
	t.Parallel()
	const limit, payingRate = 100, 50
	for _, promised := range []int{0, 8} {
		run := func(more ...*workload) (broker *workload, s *simulation) {
			broker = paying("broker", payingRate, 1)
			s, g := newGateSimulation(targetSlots, promised)
			g.ObserveRate(s.Now(), limit, true, nil)
			s.run(append(more, broker)...)
			return broker, s
		}
		alone, _ := run()
		flood := trial("free", 20*limit, 2)
		beside, _ := run(flood)
		if beside.done != beside.sent {
			t.Errorf("%d promised: %d of %d paying calls done", promised, beside.done, beside.sent)
		}
		if ratio := float64(beside.p99()) / float64(alone.p99()); ratio > 1.05 {
			t.Errorf("%d promised: paying p99 %v with the flood, %v without", promised, beside.p99(), alone.p99())
		}
		t.Logf("%d promised: paying p99 %v, alone %v; trial done %d of %d", promised, beside.p99(), alone.p99(), flood.done, flood.sent)
	}
}

// Guards against refusals in a burst that the queue has space for: 36 calls at 12
// idle slots have to end within three service times.
func TestBurstOfThreeTimesTheSlotsIsServed(t *testing.T) {
	t.Parallel()
	s, _ := newGateSimulation(targetSlots, 0)
	b := paying("broker", 0, 3)
	b.burst, b.service = 3*targetSlots, fixed(10*ms)
	s.run(b)
	if b.done != b.sent {
		t.Errorf("%d of %d done", b.done, b.sent)
	}
	if worst := sim.Quantile(b.latencies, 1); worst > 30*ms+time.Microsecond {
		t.Errorf("the last call took %v", worst)
	}
}

// Guards against a target that, at twice its capacity, runs calls whose callers
// time out: those that cannot end in time have to be refused.
func TestUnderSaturationAdmittedCallsEndInTime(t *testing.T) {
	t.Parallel()
	load := func() *workload {
		w := paying("broker", 2400, 4)
		w.service, w.timeout = exponential(10*ms), 100*ms
		return w
	}
	gateLoad, fifoLoad := load(), load()
	s, _ := newGateSimulation(targetSlots, 0)
	s.run(gateLoad)
	s = newFIFOSimulation(targetSlots)
	s.run(fifoLoad)
	if got := float64(gateLoad.done) / (1200 * runTime.Seconds()); got < 0.95 {
		t.Errorf("served %.3f of what the target can", got)
	}
	if lost := float64(gateLoad.late) / float64(gateLoad.sent); lost > 0.005 {
		t.Errorf("%.4f of the calls started and did not end in time", lost)
	}
	if fifoLoad.late < fifoLoad.sent/10 {
		t.Errorf("the FIFO queue does as well, so the simulation does not test the gate: %d of %d late", fifoLoad.late, fifoLoad.sent)
	}
	t.Logf("gate: done %d, refused %d, late %d, p99 %v; FIFO: done %d, late %d, p99 %v",
		gateLoad.done, gateLoad.refused, gateLoad.late, gateLoad.p99(), fifoLoad.done, fifoLoad.late, fifoLoad.p99())
}

// Guards against light organisations that wait behind one that sends five times
// what the target can serve.
func TestHeavyOrganisationDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	workloads := func() []*workload {
		out := []*workload{paying("heavy", 6000, 10)}
		for i := range uint64(9) {
			out = append(out, paying(string(rune('a'+i)), 40, 11+i))
		}
		return out
	}
	check := func(workloads []*workload) (share float64, worst time.Duration) {
		share = 1
		for _, w := range workloads[1:] {
			share = min(share, w.share())
			worst = max(worst, w.p99())
		}
		return share, worst
	}
	fair, fifo := workloads(), workloads()
	s, _ := newGateSimulation(targetSlots, 0)
	s.run(fair...)
	s = newFIFOSimulation(targetSlots)
	s.run(fifo...)
	share, worst := check(fair)
	if share < 0.999 || worst > 80*ms {
		t.Errorf("a light organisation got %.4f of its calls, p99 %v", share, worst)
	}
	fifoShare, fifoWorst := check(fifo)
	if fifoShare > 0.9 {
		t.Error("the FIFO queue does as well, so the simulation does not test the gate")
	}
	t.Logf("light organisations: %.4f done, p99 %v; FIFO %.4f, p99 %v; heavy done %d of %d", share, worst, fifoShare, fifoWorst, fair[0].done, fair[0].sent)
}

// Guards against calls of 5 ms that wait behind calls of 400 ms, which alone need
// more than all slots. A quarter of the slots is closed to long calls.
func TestLongCallsLeaveSlotsForShortOnes(t *testing.T) {
	t.Parallel()
	workloads := func() (*workload, *workload) {
		short := &workload{org: "broker", class: snapshot.Paying, route: "look", rate: 400, to: runTime, service: exponential(5 * ms), timeout: time.Second, seed: 5}
		long := &workload{org: "broker", class: snapshot.Paying, route: "settle", rate: 44, to: runTime, service: exponential(400 * ms), timeout: 5 * time.Second, seed: 6}
		return short, long
	}
	short, long := workloads()
	s, _ := newGateSimulation(targetSlots, 0)
	s.run(short, long)
	fifoShort, fifoLong := workloads()
	s = newFIFOSimulation(targetSlots)
	s.run(fifoShort, fifoLong)
	if short.share() < 0.99 || short.p99() > 50*ms {
		t.Errorf("short calls: %.4f done, p99 %v", short.share(), short.p99())
	}
	if float64(long.done) < 0.9*9/0.4*runTime.Seconds() {
		t.Errorf("long calls got less than their nine slots: %d done", long.done)
	}
	if fifoShort.share() > 0.9 && fifoShort.p99() < 100*ms {
		t.Error("the FIFO queue does as well, so the simulation does not test the gate")
	}
	t.Logf("short: %.4f done, p99 %v; FIFO %.4f, p99 %v; long done %d of %d, FIFO %d", short.share(), short.p99(), fifoShort.share(), fifoShort.p99(), long.done, long.sent, fifoLong.done)
}

// Guards against service time estimates that lag behind a slowdown, so that calls
// start and time out, or that stay high after it, so that calls are refused.
func TestGateRecoversAfterTargetSlowdown(t *testing.T) {
	t.Parallel()
	load := func(s *simulation) (slow, after *workload) {
		s.slowdown = func() float64 {
			if at := s.Elapsed(); at > 5*time.Second && at < 10*time.Second {
				return 10
			}
			return 1
		}
		slow, after = paying("broker", 600, 7), paying("broker", 600, 8)
		slow.timeout, after.timeout = 200*ms, 200*ms
		slow.service, after.service = fixed(10*ms), fixed(10*ms)
		slow.from, slow.to = 5*time.Second, 10*time.Second
		after.from, after.to = 11*time.Second, 2*runTime
		return slow, after
	}
	s, _ := newGateSimulation(targetSlots, 0)
	slow, after := load(s)
	s.run(slow, after)
	fifo := newFIFOSimulation(targetSlots)
	fifoSlow, fifoAfter := load(fifo)
	fifo.run(fifoSlow, fifoAfter)
	if float64(slow.late) > 0.02*float64(slow.sent) {
		t.Errorf("%d of %d calls started and did not end in time", slow.late, slow.sent)
	}
	if after.share() < 0.999 {
		t.Errorf("after the recovery %.4f done", after.share())
	}
	if fifoSlow.done*2 > slow.done {
		t.Error("the FIFO queue does as well, so the simulation does not test the gate")
	}
	t.Logf("slow: done %d, refused %d, late %d of %d; FIFO: done %d, late %d; after: %.4f", slow.done, slow.refused, slow.late, slow.sent, fifoSlow.done, fifoSlow.late, after.share())
}

// While a target of 12 slots rejects calls beyond 6 at once, the gate has to lower its
// slots, at the expense of trial calls; afterwards it has to restore them.
func TestTargetThatRejectsBeyondALimitGetsFewerCalls(t *testing.T) {
	t.Parallel()
	s, g := newGateSimulation(targetSlots, 4)
	s.rejects = func() bool {
		return s.Elapsed() < 10*time.Second && s.running[snapshot.Paying]+s.running[snapshot.Trial] > 6
	}
	var during, after Load
	s.At(sim.Start.Add(9*time.Second), func() { during = g.Load(s.Now()) })
	s.At(sim.Start.Add(19*time.Second), func() { after = g.Load(s.Now()) })
	p, f := paying("broker", 300, 20), trial("free", 2000, 21)
	p.to, f.to = 2*runTime, 2*runTime
	s.run(p, f)
	if during.Slots() > 8 || after.Slots() != targetSlots {
		t.Errorf("slots %d while the target rejects calls, %d after", during.Slots(), after.Slots())
	}
	if p.share() < 0.98 {
		t.Errorf("%.4f of the paying calls done", p.share())
	}
	t.Logf("slots %d while the target rejects calls, %d after; paying %.4f done, trial %.4f", during.Slots(), after.Slots(), p.share(), f.share())
}

// Guards against slots cut by the rejections of a faulty target, which rejects 55 %
// of its calls at any concurrency and can still serve the others.
func TestFaultyTargetKeepsItsSlots(t *testing.T) {
	t.Parallel()
	s, g := newGateSimulation(targetSlots, 0)
	faults := sim.Rand(5)
	s.rejects = func() bool { return s.Elapsed() < 10*time.Second && faults.Float64() < 0.55 }
	var during Load
	s.At(sim.Start.Add(9*time.Second), func() { during = g.Load(s.Now()) })
	p := paying("broker", 2000, 22)
	s.run(p)
	if during.Slots() < targetSlots/2 {
		t.Errorf("%d slots of %d while the target rejects calls", during.Slots(), targetSlots)
	}
	if got := p.share(); got < 0.4 {
		t.Errorf("%.4f of the calls done, want 0.4; the target serves 0.45", got)
	}
	t.Logf("%d slots, %.4f done", during.Slots(), p.share())
}

// Guards against refused calls that return as one burst: if each returns at its
// retry time, no interval of 10 ms has many more than the target can serve.
func TestRetryTimesOfRefusedCallsAreSpread(t *testing.T) {
	t.Parallel()
	s, _ := newGateSimulation(targetSlots, 0)
	b := paying("broker", 0, 9)
	b.burst, b.service = 400, fixed(10*ms)
	s.run(b)
	if b.refused < 300 {
		t.Fatalf("%d calls refused, want at least 300", b.refused)
	}
	returning := map[time.Duration]int{}
	for _, after := range b.retryAfter {
		returning[after/(10*ms)]++
	}
	for at, n := range returning {
		if n > 2*targetSlots {
			t.Errorf("%d calls return at %v", n, at*10*ms)
		}
	}
}
