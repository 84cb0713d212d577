package balance

import (
	"testing"
	"time"
)

const whole = 20 * time.Second

// between returns a function that is in force during a span of the play.
func between(s **stage, from, to time.Duration, value float64) func() float64 {
	return func() float64 {
		if at := (*s).Since(); at >= from && at < to {
			return value
		}
		return 0
	}
}

// One target of ten becomes ten times slower for ten seconds. Its answers make
// it dear within a few calls, and the callers' p99 hardly moves. In turn, a
// tenth of all calls goes there, its line grows and the p99 with it.
func TestSlowTargetGetsFewerCalls(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage) *stage {
		var s *stage
		targets := servers(10, "sabana")
		slow := between(&s, 5*time.Second, 15*time.Second, 9)
		targets[0].slow = func() float64 { return 1 + slow() }
		s = policy(newStage(domains(8, "sabana"), targets...))
		s.play(5000, whole)
		return s
	}
	got, turn := run(balance), run(roundRobin)
	before, during := got.p99(0, 5*time.Second), got.p99(6*time.Second, 15*time.Second)
	if during > 2*before {
		t.Errorf("p99 %v before, %v while one target is slow", before, during)
	}
	if turnDuring := turn.p99(6*time.Second, 15*time.Second); turnDuring < 5*before {
		t.Errorf("the play can't tell the simpler policy apart: p99 %v", turnDuring)
	}
	t.Logf("p99 %v before, %v during, in turn %v; calls at the slow target %d, in turn %d", before, during, turn.p99(6*time.Second, 15*time.Second), got.servers[0].got, turn.servers[0].got)
}

// One target of ten answers every call with an error at once. It looks quick
// and idle, and least-loaded choice alone would send it most calls. Each caller
// loses a few calls to it, and a probe each time it is tried again.
func TestTargetThatFailsFastIsEjected(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage) *stage {
		targets := servers(10, "sabana")
		targets[0].fails = func() float64 { return 1 }
		s := policy(newStage(domains(8, "sabana"), targets...))
		s.play(5000, whole)
		return s
	}
	got, turn := run(balance), run(roundRobin)
	if lost := float64(got.failed) / float64(got.asked); lost > 0.005 {
		t.Errorf("%.4f of the calls failed", lost)
	}
	if lost := float64(turn.failed) / float64(turn.asked); lost < 0.09 {
		t.Errorf("the play can't tell the simpler policy apart: %.4f failed", lost)
	}
	t.Logf("failed %d of %d, in turn %d", got.failed, got.asked, turn.failed)
}

// Every target fails, as when what they all depend on is away. No more than
// half of them is ejected, so calls go on and the end of the fault is seen at
// once.
func TestNoMoreThanHalfOfAPoolIsEjected(t *testing.T) {
	t.Parallel()
	var s *stage
	targets := servers(10, "sabana")
	fails := between(&s, 0, 5*time.Second, 1)
	for _, sv := range targets {
		sv.fails = fails
	}
	s = balance(newStage(domains(8, "sabana"), targets...))
	s.play(2000, 10*time.Second)
	if s.none > 0 {
		t.Errorf("%d calls found no target", s.none)
	}
	if after := s.done; after < 9900 {
		t.Errorf("%d calls done after the fault, of about 10000", after)
	}
	t.Logf("failed %d, done %d", s.failed, s.done)
}

// A target returns after five seconds of refused connections, cold: twenty
// times slower for three seconds of work. Its callers come back one by one and
// little by little. With all callers at once, a line forms before it.
func TestReturningTargetMeetsNoHerd(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage) *stage {
		var s *stage
		targets := servers(10, "sabana")
		gone, cold := between(&s, 0, 5*time.Second, 1), between(&s, 5*time.Second, 8*time.Second, 19)
		targets[0].deaf = func() bool { return gone() > 0 }
		targets[0].slow = func() float64 { return 1 + cold() }
		s = policy(newStage(domains(20, "sabana"), targets...))
		s.play(5000, whole)
		return s
	}
	got, turn := run(balance), run(roundRobin)
	if line := got.servers[0].longest; line > slots {
		t.Errorf("a line of %d formed at the returned target", line)
	}
	if lost := float64(got.failed) / float64(got.asked); lost > 0.005 {
		t.Errorf("%.4f of the calls failed", lost)
	}
	if share := float64(got.servers[0].got) / float64(got.asked); share < 0.01 {
		t.Errorf("the target got %.4f of the calls, so it is not in use again", share)
	}
	if turn.servers[0].longest < 5*slots {
		t.Error("the play can't tell the simpler policy apart")
	}
	t.Logf("longest line %d, in turn %d; p99 %v, in turn %v; failed %d, in turn %d", got.servers[0].longest, turn.servers[0].longest, got.p99(5*time.Second, 8*time.Second), turn.p99(5*time.Second, 8*time.Second), got.failed, turn.failed)
}

// Two domains of five targets each, and callers in both. Under a light load
// calls stay at home. When one domain's callers ask for more than its targets
// have, the rest goes to the other domain before lines form at home.
func TestOwnDomainFirstUntilItIsLoaded(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage, rate float64) (*stage, float64) {
		s := policy(newStage(domains(4, "sabana"), append(servers(5, "sabana"), servers(5, "escazu")...)...))
		s.play(rate, whole/2)
		home := 0
		for _, sv := range s.servers[:5] {
			home += sv.got
		}
		return s, float64(home) / float64(s.asked)
	}
	_, light := run(balance, 1000)
	if light < 0.99 {
		t.Errorf("%.3f of a light load stayed at home", light)
	}
	// 6000 calls a second hold 60 slots, all that the own domain has.
	heavy, share := run(balance, 6000)
	if p99 := heavy.p99(time.Second, whole); p99 > 60*ms {
		t.Errorf("p99 %v under a load that both domains together carry easily", p99)
	}
	if share < 0.6 {
		t.Errorf("%.3f of the load stayed at home", share)
	}
	// In turn, half of the calls leave home without need.
	_, turn := run(roundRobin, 1000)
	if turn > 0.6 {
		t.Errorf("the play can't tell the simpler policy apart: %.3f at home", turn)
	}
	t.Logf("home share %.3f light, %.3f heavy (p99 %v), in turn %.3f", light, share, heavy.p99(time.Second, whole), turn)
}

// The other domain is cut off for five seconds: connections there are refused
// after a moment. Its targets are left alone but for probes, those at home
// carry the calls, and after the cut all are in use again.
func TestCutOffDomainIsLeftAlone(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage) (*stage, int) {
		var s *stage
		away := servers(5, "escazu")
		cut := between(&s, 5*time.Second, 10*time.Second, 1)
		for _, sv := range away {
			sv.deaf = func() bool { return cut() > 0 }
		}
		s = policy(newStage(domains(4, "sabana"), append(servers(5, "sabana"), away...)...))
		before := 0
		s.After(15*time.Second, func() { before = away[0].got })
		s.play(5500, whole)
		return s, away[0].got - before
	}
	got, after := run(balance)
	turn, _ := run(roundRobin)
	if lost := float64(got.failed) / float64(got.asked); lost > 0.01 {
		t.Errorf("%.4f of the calls failed", lost)
	}
	if after == 0 {
		t.Error("the domain is not in use after the cut")
	}
	if lost := float64(turn.failed) / float64(turn.asked); lost < 0.1 {
		t.Errorf("the play can't tell the simpler policy apart: %.4f failed", lost)
	}
	t.Logf("failed %d of %d, in turn %d", got.failed, got.asked, turn.failed)
}

// Half of a pool is replaced at once and starts cold: three times slower for
// three seconds. The other half can't carry all: the cold targets must take
// their part before lines form at the warm ones, but not more than they can.
func TestColdHerdSharesTheLoad(t *testing.T) {
	t.Parallel()
	run := func(policy func(*stage) *stage) *stage {
		var s *stage
		targets := servers(10, "sabana")
		cold := between(&s, 5*time.Second, 8*time.Second, 2)
		for _, sv := range targets[:5] {
			sv.slow = func() float64 { return 1 + cold() }
		}
		s = policy(newStage(domains(20, "sabana"), targets...))
		s.After(5*time.Second, func() {
			if b, ok := s.picker.(*balanced); ok {
				b.reboot(5)
			}
		})
		// 6600 calls a second hold 66 slots of 120, and 60 are warm.
		s.play(6600, 12*time.Second)
		return s
	}
	got, turn := run(balance), run(roundRobin)
	before, during := got.p99(0, 5*time.Second), got.p99(5*time.Second, 8*time.Second)
	turnDuring := turn.p99(5*time.Second, 8*time.Second)
	if during > 5*before/2 || turnDuring < 5*before {
		t.Errorf("p99 %v before and %v while half of the pool is cold, in turn %v", before, during, turnDuring)
	}
	longest := 0
	for _, sv := range got.servers {
		longest = max(longest, sv.longest)
	}
	t.Logf("p99 %v before, %v during, in turn %v; longest line %d", before, during, turnDuring, longest)
}

// Three calls in ten fail on each of three targets, since a call that their
// runs make is refused further down. The pool is at four fifths of its slots. No
// target is worse than the others: with one taken out by its own failures alone,
// the two others have more than they can do and lines form. One that fails half of
// its calls beside two that fail one in ten is still taken out.
func TestFailuresThatAllShareEjectNobody(t *testing.T) {
	t.Parallel()
	run := func(first, others float64) *stage {
		targets := servers(3, "sabana")
		for i, sv := range targets {
			rate := others
			if i == 0 {
				rate = first
			}
			sv.fails = func() float64 { return rate }
		}
		s := balance(newStage(domains(4, "sabana"), targets...))
		s.play(2880/(1-others), whole)
		return s
	}
	alike := run(0.3, 0.3)
	for i, sv := range alike.servers {
		// A gate lets two calls a slot wait.
		if sv.longest > 2*slots {
			t.Errorf("a line of %d formed at target %d", sv.longest, i)
		}
		if share := float64(sv.got) / float64(alike.asked); share < 0.25 {
			t.Errorf("target %d got %.2f of the calls", i, share)
		}
	}
	ill := run(0.5, 0.1)
	if share := float64(ill.servers[0].got) / float64(ill.asked); share > 0.1 {
		t.Errorf("the target that is ill got %.2f of the calls", share)
	}
	t.Logf("alike: %d, %d, %d calls, longest lines %d, %d, %d; ill: %d of %d calls", alike.servers[0].got, alike.servers[1].got,
		alike.servers[2].got, alike.servers[0].longest, alike.servers[1].longest, alike.servers[2].longest, ill.servers[0].got, ill.asked)
}
