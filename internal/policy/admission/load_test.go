package admission

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/play"
)

const (
	ms = time.Millisecond
	// insurerSlots is what one target of the insurer takes at once.
	insurerSlots = 12
	// whole is how long a play runs unless it says otherwise.
	whole = 10 * time.Second
)

func paying(org string, rate float64, seed uint64) *stream {
	return &stream{org: org, class: snapshot.Paying, route: "quote", rate: rate, to: whole, service: around(10 * ms), patience: time.Second, seed: seed}
}

func trial(org string, rate float64, seed uint64) *stream {
	s := paying(org, rate, seed)
	s.class = snapshot.Trial
	return s
}

// A trial organisation sends 20 times what the target can serve, against the
// promise of 8 of 12 slots. The brokers must not notice: each of their calls
// ends, their p99 stays within 5 % of the run without the flood, and the
// target itself never sees more than 4 trial calls at once. First come first
// served shows what happens otherwise.
func TestTrialFloodLeavesPayingCallsAlone(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		rate float64
	}{
		{"half of the promise in use", 400},
		{"two thirds", 533},
		{"three quarters", 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			flooding := func() *stream {
				f := trial("free", 20*1200, 2)
				f.to = 4 * time.Second
				return f
			}
			calm := paying("broker", c.rate, 1)
			calm.to = 4 * time.Second
			s, _ := onGate(insurerSlots, 8)
			s.play(calm)

			broker, flood := paying("broker", c.rate, 1), flooding()
			broker.to = 4 * time.Second
			s, _ = onGate(insurerSlots, 8)
			s.play(broker, flood)
			if broker.done != broker.asked {
				t.Errorf("%d of %d paying calls ended in time", broker.done, broker.asked)
			}
			ratio := float64(broker.p99()) / float64(calm.p99())
			if ratio > 1.05 {
				t.Errorf("paying p99 %v with the flood, %v without: ratio %.3f", broker.p99(), calm.p99(), ratio)
			}
			if most := s.most[snapshot.Trial]; most > insurerSlots-8 {
				t.Errorf("%d trial calls ran at once on %d unpromised slots", most, insurerSlots-8)
			}
			if flood.done == 0 {
				t.Error("no trial call ran on the unpromised slots")
			}

			hurt := paying("broker", c.rate, 1)
			hurt.to = 4 * time.Second
			s = onLine(insurerSlots)
			s.play(hurt, flooding())
			if hurt.done == hurt.asked && hurt.p99() <= calm.p99()*105/100 {
				t.Error("the play can't tell the simpler policy apart")
			}
			t.Logf("paying p99 calm %v, flood %v (ratio %.3f), in one line %v with %d of %d done; trial done %d of %d",
				calm.p99(), broker.p99(), ratio, hurt.p99(), hurt.done, hurt.asked, flood.done, flood.asked)
		})
	}
}

// 36 calls arrive in the same instant at 12 idle slots. All of them are served
// within three service times: the queue is for this.
func TestBurstOfThreeTimesTheSlotsIsServed(t *testing.T) {
	t.Parallel()
	s, _ := onGate(insurerSlots, 0)
	b := paying("broker", 0, 3)
	b.burst, b.service = 3*insurerSlots, fixed(10*ms)
	s.play(b)
	if b.done != b.asked {
		t.Errorf("%d of %d done", b.done, b.asked)
	}
	if worst := play.Percentile(b.took, 1); worst > 30*ms+time.Microsecond {
		t.Errorf("the last call took %v", worst)
	}
}

// Twice the load that the target can serve, callers that wait 100 ms. What is
// let in must end in time, so that the target works for nobody who has gone,
// and the rest must hear so within moments. In one line nearly every call is
// begun too late to end.
func TestSaturationServesWhatItLetsIn(t *testing.T) {
	t.Parallel()
	load := func() *stream {
		st := paying("broker", 2400, 4)
		st.service, st.patience = around(10*ms), 100*ms
		return st
	}
	gateLoad, lineLoad := load(), load()
	s, _ := onGate(insurerSlots, 0)
	s.play(gateLoad)
	s = onLine(insurerSlots)
	s.play(lineLoad)
	if got := float64(gateLoad.done) / (1200 * whole.Seconds()); got < 0.95 {
		t.Errorf("served %.3f of what the target can", got)
	}
	if lost := float64(gateLoad.late) / float64(gateLoad.asked); lost > 0.005 {
		t.Errorf("%.4f of the calls were begun and not ended in time", lost)
	}
	if lineLoad.late < lineLoad.asked/10 {
		t.Errorf("the play can't tell the simpler policy apart: %d of %d late", lineLoad.late, lineLoad.asked)
	}
	t.Logf("gate: done %d, refused %d, late %d, p99 %v; one line: done %d, late %d, p99 %v",
		gateLoad.done, gateLoad.refused, gateLoad.late, gateLoad.p99(), lineLoad.done, lineLoad.late, lineLoad.p99())
}

// One paying organisation sends five times what the target can serve, nine
// others a little each. The nine must not notice much: they wait for one slot
// to come free, and are never turned away. In one line they wait behind the
// one and lose most calls.
func TestHeavyOrganisationHurtsOnlyItself(t *testing.T) {
	t.Parallel()
	streams := func() []*stream {
		out := []*stream{paying("heavy", 6000, 10)}
		for i := range uint64(9) {
			out = append(out, paying(string(rune('a'+i)), 40, 11+i))
		}
		return out
	}
	check := func(streams []*stream) (share float64, worst time.Duration) {
		share = 1
		for _, st := range streams[1:] {
			share = min(share, st.share())
			worst = max(worst, st.p99())
		}
		return share, worst
	}
	fair, line := streams(), streams()
	s, _ := onGate(insurerSlots, 0)
	s.play(fair...)
	s = onLine(insurerSlots)
	s.play(line...)
	share, worst := check(fair)
	if share < 0.999 || worst > 80*ms {
		t.Errorf("a light organisation got %.4f of its calls, p99 %v", share, worst)
	}
	lineShare, lineWorst := check(line)
	if lineShare > 0.9 {
		t.Error("the play can't tell the simpler policy apart")
	}
	t.Logf("light organisations: %.4f done, p99 %v; in one line %.4f, p99 %v; heavy done %d of %d", share, worst, lineShare, lineWorst, fair[0].done, fair[0].asked)
}

// One call in ten takes 400 ms, the others 5 ms. Long calls alone ask for
// more than all slots. Short calls go on within a few service times, on the
// quarter of the slots that long calls leave. In one line they wait for long
// ones.
func TestLongCallsLeaveRoomForShortOnes(t *testing.T) {
	t.Parallel()
	streams := func() (*stream, *stream) {
		short := &stream{org: "broker", class: snapshot.Paying, route: "look", rate: 400, to: whole, service: around(5 * ms), patience: time.Second, seed: 5}
		slow := &stream{org: "broker", class: snapshot.Paying, route: "settle", rate: 44, to: whole, service: around(400 * ms), patience: 5 * time.Second, seed: 6}
		return short, slow
	}
	short, slow := streams()
	s, _ := onGate(insurerSlots, 0)
	s.play(short, slow)
	lineShort, lineSlow := streams()
	s = onLine(insurerSlots)
	s.play(lineShort, lineSlow)
	if short.share() < 0.99 || short.p99() > 50*ms {
		t.Errorf("short calls: %.4f done, p99 %v", short.share(), short.p99())
	}
	if float64(slow.done) < 0.9*9/0.4*whole.Seconds() {
		t.Errorf("long calls got less than their nine slots: %d done", slow.done)
	}
	if lineShort.share() > 0.9 && lineShort.p99() < 100*ms {
		t.Error("the play can't tell the simpler policy apart")
	}
	t.Logf("short: %.4f done, p99 %v; in one line %.4f, p99 %v; long done %d of %d, in one line %d", short.share(), short.p99(), lineShort.share(), lineShort.p99(), slow.done, slow.asked, lineSlow.done)
}

// The target becomes ten times slower for five seconds and recovers. While it
// is slow, calls that can't end in time are refused instead of begun; after
// it, all calls are served again, so no estimate locks the gate.
func TestSlowTargetIsNotedAndForgiven(t *testing.T) {
	t.Parallel()
	load := func(s *stage) (slow, after *stream) {
		s.slow = func() float64 {
			if at := s.Since(); at > 5*time.Second && at < 10*time.Second {
				return 10
			}
			return 1
		}
		slow, after = paying("broker", 600, 7), paying("broker", 600, 8)
		slow.patience, after.patience = 200*ms, 200*ms
		slow.service, after.service = fixed(10*ms), fixed(10*ms)
		slow.from, slow.to = 5*time.Second, 10*time.Second
		after.from, after.to = 11*time.Second, 2*whole
		return slow, after
	}
	s, _ := onGate(insurerSlots, 0)
	slow, after := load(s)
	s.play(slow, after)
	line := onLine(insurerSlots)
	lineSlow, lineAfter := load(line)
	line.play(lineSlow, lineAfter)
	if float64(slow.late) > 0.02*float64(slow.asked) {
		t.Errorf("%d of %d calls were begun and not ended in time", slow.late, slow.asked)
	}
	if after.share() < 0.999 {
		t.Errorf("after the recovery %.4f done", after.share())
	}
	if lineSlow.done*2 > slow.done {
		t.Error("the play can't tell the simpler policy apart")
	}
	t.Logf("slow: done %d, refused %d, late %d of %d; in one line done %d, late %d; after: %.4f", slow.done, slow.refused, slow.late, slow.asked, lineSlow.done, lineSlow.late, after.share())
}

// The target refuses calls above 6 at once for a while, though 12 are
// declared. The gate learns to send no more, trial calls give way first, and
// the slots come back when the target takes them again.
func TestSheddingTargetGetsFewerCalls(t *testing.T) {
	t.Parallel()
	s, g := onGate(insurerSlots, 4)
	s.shed = func() bool {
		return s.Since() < 10*time.Second && s.running[snapshot.Paying]+s.running[snapshot.Trial] > 6
	}
	var during, after Load
	s.At(play.Start.Add(9*time.Second), func() { during = g.Load(s.Now()) })
	s.At(play.Start.Add(19*time.Second), func() { after = g.Load(s.Now()) })
	p, f := paying("broker", 300, 20), trial("free", 2000, 21)
	p.to, f.to = 2*whole, 2*whole
	s.play(p, f)
	if during.Slots() > 8 || after.Slots() != insurerSlots {
		t.Errorf("slots %d while shedding, %d after", during.Slots(), after.Slots())
	}
	if p.share() < 0.98 {
		t.Errorf("%.4f of the paying calls done", p.share())
	}
	t.Logf("slots %d while shedding, %d after; paying %.4f done, trial %.4f", during.Slots(), after.Slots(), p.share(), f.share())
}

// The target turns away 55 % of its calls for a while, whatever runs: it is ill and
// not full. It serves the others as before, so its slots must stay: lowered at each
// such refusal they end at one, and nine calls in ten are refused beside idle slots.
func TestATargetThatIsIllKeepsItsSlots(t *testing.T) {
	t.Parallel()
	s, g := onGate(insurerSlots, 0)
	ill := play.Rand(5)
	s.shed = func() bool { return s.Since() < 10*time.Second && ill.Float64() < 0.55 }
	var during Load
	s.At(play.Start.Add(9*time.Second), func() { during = g.Load(s.Now()) })
	p := paying("broker", 2000, 22)
	s.play(p)
	if during.Slots() < insurerSlots/2 {
		t.Errorf("%d slots of %d while calls are turned away", during.Slots(), insurerSlots)
	}
	if got := p.share(); got < 0.4 {
		t.Errorf("%.4f of the calls done, and the target would serve 0.45", got)
	}
	t.Logf("%d slots, %.4f done", during.Slots(), p.share())
}

// Refused calls that keep to the time they were told come back spread out: no
// ten milliseconds see more of them than the target serves in that time and
// some.
func TestRefusedCallsAreToldDifferentTimes(t *testing.T) {
	t.Parallel()
	s, _ := onGate(insurerSlots, 0)
	b := paying("broker", 0, 9)
	b.burst, b.service = 400, fixed(10*ms)
	s.play(b)
	if b.refused < 300 {
		t.Fatalf("%d refused", b.refused)
	}
	back := map[time.Duration]int{}
	for _, after := range b.retryAfter {
		back[after/(10*ms)]++
	}
	for at, n := range back {
		if n > 2*insurerSlots {
			t.Errorf("%d calls come back at %v", n, at*10*ms)
		}
	}
}
