package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/play"
)

// levels is how deep the users' calls go.
const levels = 11

// chain is a row of services, each of which calls the next and holds its slot
// meanwhile.
type chain struct {
	*play.Play
	rng     *rand.Rand
	running [levels]int
	slots   [levels]int
	// errs is the part of a level's calls that fail after their work.
	errs    [levels]float64
	retries int
	after   func(*Call, Outcome) Decision
	fresh   func(*Call)

	attempts, runs [levels]int
	asked, done    int
}

func newChain() *chain {
	c := &chain{Play: play.New(), rng: play.Rand(3), retries: 2}
	for i := range c.slots {
		c.slots[i] = 60
	}
	return c
}

// budgeted gives each level the budgets of its own node.
func (c *chain) budgeted() *chain {
	var b [levels]*Budgets
	for i := range b {
		b[i] = NewBudgets(play.Rand(uint64(100 + i)))
	}
	c.fresh = func(call *Call) { b[call.depth].Fresh(call) }
	c.after = func(call *Call, o Outcome) Decision { return b[call.depth].After(c.Now(), call, o) }
	return c
}

// naive repeats whatever failed as often as the route allows.
func (c *chain) naive(retries int) *chain {
	c.retries = retries
	c.fresh = func(*Call) {}
	c.after = func(call *Call, o Outcome) Decision {
		call.attempts++
		if call.attempts > c.retries || c.Now().After(call.deadline) {
			return GiveUp{}
		}
		return Retry{ms}
	}
	return c
}

func (c *chain) play(rate float64, until time.Duration) {
	c.Arrivals(play.Rand(7), rate, 0, until, func() {
		c.asked++
		c.call(0, 0, c.Now().Add(time.Second), func(ok bool) {
			if ok {
				c.done++
			}
		})
	})
	c.Run()
}

func (c *chain) call(level, carried int, deadline time.Time, done func(ok bool)) {
	call := NewCall(fmt.Sprintf("service-%d", level), deadline, Idempotent(), Retries(c.retries), Depth(level), Carried(carried), Expected(3*ms))
	c.fresh(&call)
	var try func()
	try = func() {
		c.attempt(level, call.Carries(), deadline, func(o Outcome, ok bool) {
			if ok {
				done(true)
				return
			}
			switch d := c.after(&call, o).(type) {
			case Retry:
				c.After(d.After(), try)
			case GiveUp:
				done(false)
			}
		})
	}
	try()
}

func (c *chain) attempt(level, carried int, deadline time.Time, done func(Outcome, bool)) {
	c.attempts[level]++
	if c.running[level] >= c.slots[level] {
		c.After(ms, func() { done(Refused(5*ms), false) })
		return
	}
	c.running[level]++
	c.runs[level]++
	end := func(ok bool) {
		c.running[level]--
		if c.Now().After(deadline) {
			done(Broken(), false)
			return
		}
		done(Erred(), ok)
	}
	c.After(play.Exp(c.rng, 2*ms), func() {
		switch {
		case c.rng.Float64() < c.errs[level]:
			end(false)
		case level+1 < levels:
			c.call(level+1, carried, deadline, end)
		default:
			end(true)
		}
	})
}

func (c *chain) work() int {
	n := 0
	for _, a := range c.attempts {
		n += a
	}
	return n
}

// Calls go eleven services deep. The last service, or all, has too little for
// what is asked, or fails. The levels above must not make it worse: all
// attempts together stay below 1.2 times those of callers that never retry.
// Levels that each retry on their own multiply them.
func TestWorkStaysNearWhatIsOfferedElevenDeep(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		set  func(*chain)
	}{
		{"the last service is saturated", func(c *chain) { c.slots[levels-1] = 1 }},
		{"a service in the middle is saturated", func(c *chain) { c.slots[5] = 6 }},
		{"the last service fails nine calls in ten", func(c *chain) { c.errs[levels-1] = 0.9 }},
		{"all are saturated", func(c *chain) {
			for i := range c.slots {
				c.slots[i] = 15 - i
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := func(policy func(*chain) *chain) *chain {
				ch := policy(newChain())
				c.set(ch)
				ch.play(1000, 3*time.Second)
				return ch
			}
			none := run(func(ch *chain) *chain { return ch.naive(0) })
			got := run((*chain).budgeted)
			naive := run(func(ch *chain) *chain { return ch.naive(2) })
			ratio := float64(got.work()) / float64(none.work())
			dear := float64(naive.work()) / float64(none.work())
			if ratio > 1.2 {
				t.Errorf("%.3f times the offered work", ratio)
			}
			if dear <= 1.2 {
				t.Errorf("the play can't tell the simpler policy apart: %.3f times", dear)
			}
			t.Logf("work over offered: %.3f, naive with two retries a level %.3f; done %d of %d, without retries %d, naive %d", ratio, dear, got.done, got.asked, none.done, naive.done)
		})
	}
}

// Each of eleven services fails one call in two hundred, so that one call in
// twenty fails in all. The budgets are enough for such faults.
func TestRareFaultsAreMended(t *testing.T) {
	t.Parallel()
	run := func(policy func(*chain) *chain) *chain {
		ch := policy(newChain())
		for i := range ch.errs {
			ch.errs[i] = 0.005
		}
		ch.play(1000, 3*time.Second)
		return ch
	}
	got, none := run((*chain).budgeted), run(func(ch *chain) *chain { return ch.naive(0) })
	share := func(ch *chain) float64 { return float64(ch.done) / float64(ch.asked) }
	if share(got) < 0.999 {
		t.Errorf("%.4f of the calls done", share(got))
	}
	if share(none) > 0.96 {
		t.Errorf("the play can't tell calls without retries apart: %.4f done", share(none))
	}
	t.Logf("done %.4f, without retries %.4f; work over offered %.3f", share(got), share(none), float64(got.work())/float64(none.work()))
}
