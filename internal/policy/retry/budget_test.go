package retry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

const ms = time.Millisecond

// fullBudgets returns budgets in which one service has saved up all tokens.
func fullBudgets() *Budgets {
	b := NewBudgets(sim.Rand(1))
	for range 1000 {
		b.FirstAttempt(&Call{service: "quote"})
	}
	return b
}

func TestAfterRetriesOnlyWhatMayRunAgain(t *testing.T) {
	t.Parallel()
	outcomes := map[string]Outcome{
		"moved": TargetGone(), "overloaded": Overloaded(7 * ms), "refused": Refused(7 * ms), "nowhere": NoTarget(10 * ms), "nowhere long": NoTarget(time.Second),
		"broken": Incomplete(), "erred": ErrorResponse(),
	}
	idempotent := []CallOption{Idempotent(), Retries(2)}
	for _, c := range []struct {
		name     string
		opts     []CallOption
		outcomes string
		want     string
	}{
		{"a non-idempotent call is not repeated once it was sent", []CallOption{Retries(2)}, "broken", "outcome_unknown"},
		{"a non-idempotent call is not repeated after an error response", []CallOption{Retries(2)}, "erred", "target_failed"},
		{"a non-idempotent call is retried after a refusal that certifies that it did not run", []CallOption{Retries(2)}, "refused", "retry"},
		{"without retries a refusal is final", nil, "refused", "not_run"},
		{"finding a target gone costs no retry", nil, "moved, moved, moved, moved", "retry, retry, retry, not_run"},
		{"finding a node overloaded costs no retry", nil, "overloaded, moved, overloaded, overloaded", "retry, retry, retry, not_run"},
		{"an idempotent call is repeated", idempotent, "broken, erred, broken", "retry, retry, outcome_unknown"},
		{"a call that may have run is not reported as not run after refusals", idempotent, "broken, refused, refused", "retry, retry, outcome_unknown"},
		{"a call that may have run is not reported as not run after finding targets gone", idempotent, "broken, moved, moved, moved, moved", "retry, retry, retry, retry, outcome_unknown"},
		{"the target's last error response is passed on", idempotent, "broken, refused, erred", "retry, retry, target_failed"},
		{"a short wait for a target ends in a retry", idempotent, "nowhere", "retry"},
		{"a long wait is left to the caller", idempotent, "nowhere long", "not_run"},
		{"no retry that would end after the deadline", []CallOption{Idempotent(), Retries(2), ExpectedLatency(time.Second)}, "refused", "not_run"},
		{"a call that is part of a retry is not repeated", []CallOption{Idempotent(), Retries(2), PriorRetries(1)}, "broken", "outcome_unknown"},
		{"a call that is part of a retry may try another target after a refusal", []CallOption{Idempotent(), Retries(2), PriorRetries(1)}, "refused", "retry"},
		{"a call whose path has used up its retries tries no other target", []CallOption{Idempotent(), Retries(2), PriorRetries(maxPathRetries)}, "refused", "not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := fullBudgets()
			call := NewCall("quote", sim.Start.Add(500*ms), c.opts...)
			var got []string
			for _, name := range strings.Split(c.outcomes, ", ") {
				switch d := b.After(sim.Start, &call, outcomes[name]).(type) {
				case Retry:
					got = append(got, "retry")
				case GiveUp:
					got = append(got, d.Answer().String())
				}
			}
			if diff := cmp.Diff(c.want, strings.Join(got, ", ")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRetriesAreBoundedByARatioOfFirstAttempts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		depth       int
		outcome     Outcome
		wantRetries int
	}{
		{0, Incomplete(), 60 + initialTokens},
		{1, Incomplete(), 30 + initialTokens},
		{10, Incomplete(), 10 + initialTokens},
		{0, Refused(0), 50 + initialTokens},
		{10, Refused(0), 50 + initialTokens},
		{0, Rejected(0), 50 + initialTokens},
		{10, Rejected(0), 50 + initialTokens},
	} {
		t.Run(fmt.Sprintf("depth %d, %v", c.depth, c.outcome.kind), func(t *testing.T) {
			t.Parallel()
			b := NewBudgets(sim.Rand(1))
			got := 0
			for range 1000 {
				call := NewCall("quote", sim.Start.Add(time.Second), Idempotent(), Retries(1), Depth(c.depth))
				b.FirstAttempt(&call)
				if _, ok := b.After(sim.Start, &call, c.outcome).(Retry); ok {
					got++
				}
			}
			if got > c.wantRetries || got < c.wantRetries-2 {
				t.Errorf("%d retries for 1000 calls, want about %d", got, c.wantRetries)
			}
		})
	}
}

func TestRetryAfterIsJittered(t *testing.T) {
	t.Parallel()
	b := NewBudgets(sim.Rand(1))
	times := map[time.Duration]bool{}
	for range 100 {
		call := NewCall("quote", sim.Start.Add(time.Second))
		g := b.After(sim.Start, &call, NoTarget(0)).(GiveUp)
		times[g.RetryAfter()] = true
		if g.RetryAfter() < defaultRetryAfter || g.RetryAfter() > defaultRetryAfter*3/2 {
			t.Errorf("Retry-After %v, want 1 to 1.5 times the default", g.RetryAfter())
		}
	}
	if len(times) < 90 {
		t.Errorf("%d distinct Retry-After times for 100 callers, want at least 90", len(times))
	}
}

func TestFirstAttemptAllocatesNothing(t *testing.T) {
	b := fullBudgets()
	if n := testing.AllocsPerRun(1000, func() {
		c := NewCall("quote", sim.Start, Idempotent(), Retries(2), Depth(3), ExpectedLatency(ms))
		b.FirstAttempt(&c)
		b.ObserveLatency(&c, ms)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkFirstAttempt(b *testing.B) {
	budgets := fullBudgets()
	services := make([]string, 280)
	for i := range services {
		services[i] = fmt.Sprintf("service-%d", i)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i = (i + 1) % len(services)
		c := NewCall(services[i], sim.Start, Idempotent(), Retries(2), Depth(3), ExpectedLatency(ms))
		budgets.FirstAttempt(&c)
		budgets.HedgeAfter(&c)
		budgets.ObserveLatency(&c, ms)
	}
}

// Guards against a fleet whose nodes each save up a whole token although it has more nodes
// than tokens: a fault of a pool would cost a retry of each of them at once.
func TestTokensOfManyNodesStayWithinTheirSum(t *testing.T) {
	t.Parallel()
	const spare, ratio, calls = 260, 0.11, 60
	for _, nodes := range []int{100, 1000, 4000} {
		bounds := Bounds{RepeatRatio: ratio, RejectedRatio: ratio, MaxTokens: float64(spare) / float64(nodes)}
		atOnce, later := 0, 0
		for n := range nodes {
			b := NewBudgets(sim.Rand(uint64(n)), WithBounds(func() Bounds { return bounds }))
			fail := func() int {
				call := NewCall("quote", sim.Start.Add(time.Second), Retries(1), Idempotent())
				b.FirstAttempt(&call)
				if _, ok := b.After(sim.Start, &call, Rejected(ms)).(Retry); ok {
					return 1
				}
				return 0
			}
			for range calls {
				b.FirstAttempt(&Call{service: "quote"})
			}
			for range 3 {
				atOnce += fail()
			}
			for range calls {
				later += fail()
			}
		}
		// Three failed calls earn a third of a token.
		if most := spare + 3*ratio*float64(nodes); float64(atOnce) > 1.1*most {
			t.Errorf("%d nodes retry %d of their first three failed calls, want at most %.0f", nodes, atOnce, most)
		}
		if earned := ratio * calls * float64(nodes); float64(later) < 0.9*earned || float64(later) > earned+float64(nodes) {
			t.Errorf("%d nodes retry %d of %d failed calls, want what they earn, %.0f", nodes, later, calls*nodes, earned)
		}
	}
}
