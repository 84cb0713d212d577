package resident

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/overload"
)

// Guards against a monitor that takes its own period for a delay, does not notice one, or
// does not end.
func TestDelayOfTimersIsMeasuredAndLogged(t *testing.T) {
	t.Parallel()
	clk := timer.NewManual(time.Unix(1_800_000_000, 0))
	var log bytes.Buffer
	n := &Node{clk: clk, log: event.New(&log, "n1"), overload: overload.NewController()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go n.measureDelay(ctx, done)
	cancel()
	if err := <-done; err != context.Canceled {
		t.Errorf("ended with %v", err)
	}
	for _, late := range []time.Duration{0, 0, 0, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond} {
		start, period := clk.Now(), n.overload.Period()
		clk.Advance(period + late)
		n.observeDelay(start, period, 0)
	}
	if delay := n.overload.Delay(); delay < 100*time.Millisecond || delay > 200*time.Millisecond {
		t.Errorf("delay %v", delay)
	}
	if got := log.String(); strings.Count(got, `"event":1410`) != 1 || !strings.Contains(got, `"state":"started"`) {
		t.Errorf("log: %s", got)
	}
}

// Guards against a mean over all time, which would hide a delay that has just begun, and
// against unbounded buckets that make it infinite.
func TestMeanLatencyIsThatOfTheLastPeriod(t *testing.T) {
	t.Parallel()
	buckets := []float64{math.Inf(-1), 0, 0.01, 0.03, math.Inf(1)}
	for _, tc := range []struct {
		name            string
		counts, earlier []uint64
		want            time.Duration
	}{
		{"nothing ran", []uint64{1, 2, 3, 4}, []uint64{1, 2, 3, 4}, 0},
		{"short before, long now", []uint64{0, 900, 10, 0}, []uint64{0, 900, 0, 0}, 20 * time.Millisecond},
		{"both", []uint64{0, 1, 1, 0}, []uint64{0, 0, 0, 0}, 12500 * time.Microsecond},
		{"beyond the last bound", []uint64{1, 0, 0, 1}, []uint64{0, 0, 0, 0}, 15 * time.Millisecond},
	} {
		if got := meanLatency(buckets, tc.counts, tc.earlier); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a runtime that no longer has the histogram: a node would never notice an
// overload.
func TestRuntimeHasSchedulingLatencies(t *testing.T) {
	t.Parallel()
	var s schedulingLatencies
	s.mean()
	if len(s.earlier) == 0 {
		t.Errorf("the runtime has no histogram %s", s.sample[0].Name)
	}
}

// Guards against a process that counts as overloaded for seconds once it was stopped: the
// goroutines that were ready meanwhile show in two readings, more than the median ignores.
func TestAStopOfTheProcessIsNoOverload(t *testing.T) {
	t.Parallel()
	var stops stopFilter
	c, now := overload.NewController(), time.Unix(1_800_000_000, 0)
	for _, reading := range []struct{ late, latency time.Duration }{
		{0, 0}, {0, 0}, {0, 0}, {3 * time.Second, 2 * time.Second}, {0, time.Second}, {0, 0}, {0, 0},
	} {
		now = now.Add(100*time.Millisecond + reading.late)
		c.Observe(now, 100*time.Millisecond, max(reading.late, stops.filter(reading.late, reading.latency)))
		if c.Overloaded() {
			t.Fatalf("overloaded with a delay of %v after a stop", c.Delay())
		}
	}
}
