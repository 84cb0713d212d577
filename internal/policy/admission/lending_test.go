package admission

import (
	"slices"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/play"
)

// lent lends all idle slots to trial calls, promised or not, paying calls first
// when a slot comes free. With cancel it also cancels a trial call for each
// paying call that has to wait; the target gives the slot back after that time.
type lent struct {
	gated
	cancel time.Duration
	trials []*visit
	wasted int
}

func (l *lent) enter(v *visit) {
	l.gate.demand = demand{}
	l.gated.enter(v)
	if v.stream.class == snapshot.Trial {
		l.trials = append(l.trials, v)
		return
	}
	if l.cancel == 0 || v.running {
		return
	}
	l.trials = slices.DeleteFunc(l.trials, func(v *visit) bool { return v.over })
	for i, victim := range l.trials {
		if victim.running {
			l.trials = slices.Delete(l.trials, i, i+1)
			l.wasted++
			l.After(l.cancel, func() { l.finish(victim, Cancelled) })
			return
		}
	}
}

func lending(slots int, cancel time.Duration) (*stage, *lent) {
	s := newStage(slots)
	l := &lent{gated: gated{s, NewGate(s.Now(), Slots(slots))}, cancel: cancel}
	s.policy = l
	return s, l
}

// strict holds the promise alone and pays no heed to what paying calls use
// beyond it.
type strict struct{ gated }

func (s strict) enter(v *visit) {
	s.gate.demand = demand{}
	s.gated.enter(v)
}

// Idle promised slots could serve trial calls. The gate, which keeps off the
// promise and off what paying calls lately used, is played beside three other
// ways against the run without trial calls: the promise alone, lending without
// refilling, lending with cancelling. Paying calls of a steady 2 ms show each
// wait for a trial call; the trial calls take 20 ms.
func TestLendingPromisedSlotsCostsPayingCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		rate float64
	}{
		{"a quarter of the promise in use", 1000},
		{"half", 2000},
		{"three quarters", 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p99 := func(flood float64, s *stage) (time.Duration, *stream) {
				p := &stream{org: "broker", class: snapshot.Paying, route: "look", rate: c.rate, to: whole / 2, service: fixed(2 * ms), patience: time.Second, seed: 1}
				f := &stream{org: "free", class: snapshot.Trial, route: "list", rate: flood, to: whole / 2, service: around(20 * ms), patience: time.Second, seed: 2}
				s.play(p, f)
				return p.p99(), f
			}
			chosen, _ := onGate(insurerSlots, 8)
			alone, _ := onGate(insurerSlots, 8)
			calm, _ := p99(0, alone)
			got, trials := p99(5000, chosen)
			ratio := float64(got) / float64(calm)
			if ratio > 1.05 {
				t.Errorf("paying p99 %v, %v without trial calls: ratio %.3f", got, calm, ratio)
			}
			t.Logf("paying p99 without trial calls %v; gate: ratio %.3f, %d trial calls done", calm, ratio, trials.done)

			promise := newStage(insurerSlots)
			promise.policy = strict{gated{promise, NewGate(promise.Now(), Slots(insurerSlots), Promised(8))}}
			refill, _ := lending(insurerSlots, 0)
			cancel, l := lending(insurerSlots, ms)
			for _, other := range []struct {
				name string
				s    *stage
				// worse is whether the other way must show as too dear.
				worse bool
			}{
				{"promise alone", promise, c.rate > 1000},
				{"lent, not refilled", refill, true},
				{"lent, cancelled", cancel, true},
			} {
				got, trials := p99(5000, other.s)
				ratio := float64(got) / float64(calm)
				if other.worse && ratio <= 1.05 {
					t.Errorf("%s: ratio %.3f; the choice rests on more than 1.05", other.name, ratio)
				}
				t.Logf("%s: ratio %.3f, %d trial calls done", other.name, ratio, trials.done)
			}
			t.Logf("%d trial calls cancelled half-way", l.wasted)
		})
	}
}

// Paying calls come in volleys of eight, the whole promise, after three seconds
// without any; the level of recent use has sunk by then and only the promise
// keeps slots free for them. None may wait.
func TestPromiseHoldsForTheFirstCallsAfterSilence(t *testing.T) {
	t.Parallel()
	volleys := func(s *stage) *stream {
		p := paying("broker", 0, 1)
		p.service = fixed(2 * ms)
		for at := 3 * time.Second; at < whole; at += 3 * time.Second {
			s.At(play.Start.Add(at), func() {
				for range 8 {
					p.asked++
					s.policy.enter(&visit{stream: p, service: 2 * ms, entered: s.Now(), deadline: s.Now().Add(time.Second)})
				}
			})
		}
		s.play(p, trial("free", 5000, 2))
		return p
	}
	s, _ := onGate(insurerSlots, 8)
	if p := volleys(s); p.p99() != 2*ms || p.done != p.asked {
		t.Errorf("%d of %d done, p99 %v", p.done, p.asked, p.p99())
	}
	// The level of recent use without a promise can't do it.
	s, _ = onGate(insurerSlots, 0)
	if p := volleys(s); p.p99() <= 2*ms {
		t.Error("the play can't tell a gate without a promise apart")
	}
}
