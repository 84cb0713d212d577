package overload

import (
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/policy/sim"
)

const (
	ms     = time.Millisecond
	period = 25 * ms
)

// observe adds n observations of a delay and returns the time after them.
func observe(c *Controller, now time.Time, n int, late time.Duration) time.Time {
	for range n {
		now = now.Add(period + late)
		c.Observe(now, period, late)
	}
	return now
}

// Guards against refusals for seconds after one long pause, as of a stopped process, and
// against a delay that shows too late to help, or never ends.
func TestOverloadFollowsLastingDelaysOnly(t *testing.T) {
	t.Parallel()
	c := NewController()
	now := observe(c, sim.Start, 20, 0)
	now = observe(c, now, 1, 3*time.Second)
	now = observe(c, now, 20, ms)
	if c.Overloaded() || c.Delay() > 2*ms {
		t.Errorf("one long pause: overloaded %v, delay %v", c.Overloaded(), c.Delay())
	}
	now = observe(c, now, 1, -time.Hour)
	if c.Overloaded() || c.Delay() < 0 {
		t.Errorf("a negative lateness: overloaded %v, delay %v", c.Overloaded(), c.Delay())
	}
	began := now
	for !c.Overloaded() && now.Sub(began) < time.Minute {
		now = observe(c, now, 1, 150*ms)
	}
	if took := now.Sub(began); took > 500*ms {
		t.Errorf("a delay of 150 ms was noticed after %v", took)
	}
	now = observe(c, now, 10, 18*ms)
	if !c.Overloaded() {
		t.Error("overload ended at a delay between the two bounds")
	}
	ended := now
	for c.Overloaded() && now.Sub(ended) < time.Minute {
		now = observe(c, now, 1, 0)
	}
	if took := now.Sub(ended); took > time.Second {
		t.Errorf("overload ended %v after the delay", took)
	}
}

// Guards against refusals of calls that the delay does not harm, of those that are late in
// any case, and of all calls when every node of a pool is overloaded.
func TestRefuseDependsOnTheTimesOfTheCall(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		delay   time.Duration
		call    Call
		refused int // of eight calls
	}{
		{"no overload", 20 * ms, NewCall(200*ms, 250*ms, 260*ms), 0},
		{"the soft deadline is far", 50 * ms, NewCall(200*ms, time.Second, 3*time.Second), 0},
		{"the soft deadline is missed because of the delay", 50 * ms, NewCall(200*ms, 300*ms, 3*time.Second), 6},
		{"the soft deadline is missed anyway", 50 * ms, NewCall(200*ms, ms, 3*time.Second), 0},
		{"the sender is overloaded itself", 50 * ms, NewCall(200*ms, 300*ms, 350*ms).FromOverloaded(), 0},
		{"the deadline is missed because of the delay", 50 * ms, NewCall(200*ms, 300*ms, 350*ms), 8},
		{"the deadline is missed anyway, which is for the admission controller", 30 * ms, NewCall(400*ms, ms, 350*ms), 0},
		{"most of the time is delay, the service time is unknown", 150 * ms, NewCall(0, time.Second, 3*time.Second), 6},
		{"without a soft deadline, most of the time is delay", 150 * ms, NewCall(0, 0, time.Second), 6},
		{"without a soft deadline, a small part is", 100 * ms, NewCall(0, 0, time.Second), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := NewController()
			now := observe(c, sim.Start, 40, tc.delay)
			refused := 0
			for range 8 {
				after, ok := c.Refuse(now, tc.call)
				if ok {
					refused++
				}
				if ok && (after < 10*startDelay || after > maxRetryAfter) {
					t.Errorf("Retry-After %v", after)
				}
			}
			if refused != tc.refused {
				t.Errorf("%d of 8 refused, want %d", refused, tc.refused)
			}
		})
	}
}
