package token

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

// use lets an issuer see demand at a rate for d, evenly spread, and returns how often the
// level changed and what it is at the end.
func use(s *Issuer, at time.Time, rate float64, d time.Duration) (changes, level int) {
	l := testLimit(100, 100)
	p := NewPlan(l, testMargin, 1)
	for i := range int(d.Seconds() * rate) {
		before, after := s.Level(at.Add(time.Duration(float64(i)/rate*float64(time.Second))), l, p, 1, 0)
		if level = after; after != before {
			changes++
		}
	}
	return changes, level
}

// Guards against levels that alternate with the chance of arrivals, and so reorder calls.
func TestLevelsAreStable(t *testing.T) {
	t.Parallel()
	for rate, want := range map[float64]int{5: 0, 40: 1, 60: 2, 95: 3} {
		s := NewIssuer(sim.Start)
		if changes, level := use(s, sim.Start, rate, time.Minute); level != want || changes != want {
			t.Errorf("%v per second of 100: level %d after %d changes, want %d", rate, level, changes, want)
		}
	}
	// An organisation of a call in two seconds is not raised by three at once.
	s, l := NewIssuer(sim.Start), testLimit(4, 4)
	if _, level := s.Level(sim.Start, l, NewPlan(l, testMargin, 1), 3, 0); level != 0 {
		t.Errorf("level %d after three calls", level)
	}
}

// Guards against levels that stay wrong after an issuer has restarted: they are 0 at first,
// as before there were levels, and come back with the demand.
func TestLevelsComeBackAfterAnIssuerRestarts(t *testing.T) {
	t.Parallel()
	l := testLimit(100, 100)
	c := NewCache()
	_, level := use(NewIssuer(sim.Start), sim.Start, 95, time.Minute)
	c.SetLevel(sim.Start, l, level)
	if got := c.Level(sim.Start, l, 80); got != HighestLevel {
		t.Errorf("level %d at the node", got)
	}
	restarted := NewIssuer(sim.Start)
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{100 * ms, 0}, {2 * time.Second, 1}, {12 * time.Second, HighestLevel}} {
		if _, level := use(NewIssuer(sim.Start), sim.Start, 95, tc.after); level != tc.want {
			t.Errorf("level %d %v after the restart, want %d", level, tc.after, tc.want)
		}
	}
	_, level = use(restarted, sim.Start, 95, 100*ms)
	c.SetLevel(sim.Start, l, level)
	if got := c.Level(sim.Start, l, 80); got != 0 {
		t.Errorf("level %d at the node after the restart", got)
	}
}

// Guards against an organisation that counts as busy since its calls come in one failure
// domain, and against one that does not although all domains together carry its limit.
func TestLevelsAreOfTheWholeFleet(t *testing.T) {
	t.Parallel()
	l := testLimit(100, 100)
	p := NewPlan(l, testMargin, 3)
	s := NewIssuer(sim.Start)
	if _, level := use(s, sim.Start, 20, 30*time.Second); level != 0 {
		t.Errorf("level %d with a fifth of the limit in one domain", level)
	}
	now := sim.Start.Add(30 * time.Second)
	for _, tc := range []struct {
		part   float64
		silent int
		want   int
	}{{0, 0, 0}, {0.4, 0, 2}, {0, 2, 2}} {
		s.SetOthers(now, l, tc.part, tc.silent)
		if _, level := s.Level(now, l, p, 0, 0); level != tc.want {
			t.Errorf("%v of the limit and %d silent issuers elsewhere: level %d, want %d", tc.part, tc.silent, level, tc.want)
		}
	}
}

// Guards against an organisation of a high level that gets nothing while the others fill all
// slots, and against levels that a node keeps when no issuer answers it any more.
func TestANodeSendsSomeCallsAtLevelZero(t *testing.T) {
	t.Parallel()
	l := testLimit(100, 100)
	c := NewCache()
	c.SetLevel(sim.Start, l, HighestLevel)
	zero := 0
	for range 30 {
		if c.Level(sim.Start, l, 80) == 0 {
			zero++
		}
	}
	if zero != 30/reliefCalls {
		t.Errorf("%d of 30 calls at level 0", zero)
	}
	// One call in a minute is little of the node's own part of the limit.
	if got := c.Level(sim.Start.Add(time.Minute), l, 80); got != 0 {
		t.Errorf("level %d a minute after the last answer", got)
	}
}

// Guards against a bucket that is kept although nobody asks for its tokens, since issuers tell
// each other the demand: another issuer may have issued the same tokens meanwhile.
func TestDemandOfOthersKeepsNoBucketInUse(t *testing.T) {
	t.Parallel()
	l := testLimit(100, 100)
	s, p := NewIssuer(sim.Start), NewPlan(l, testMargin, 1)
	now := sim.Start.Add(time.Minute)
	if got := s.Take(now, l, p, 1).Tokens; got != 1 {
		t.Fatalf("%d tokens after a minute", got)
	}
	for range 12 {
		now = now.Add(250 * ms)
		s.SetOthers(now, l, 0.5, 0)
	}
	// The list of issuers has changed and is now as before.
	if got := s.Take(now, l, p.At(now, false), 1).Tokens; got != 0 {
		t.Errorf("%d tokens issued at once after 3 s in which another node may have issued them", got)
	}
}
