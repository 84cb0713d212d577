package resident

import (
	"bytes"
	"context"
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
		n.observeDelay(start, period)
	}
	if delay := n.overload.Delay(); delay < 100*time.Millisecond || delay > 200*time.Millisecond {
		t.Errorf("delay %v", delay)
	}
	if got := log.String(); strings.Count(got, `"event":1410`) != 1 || !strings.Contains(got, `"state":"started"`) {
		t.Errorf("log: %s", got)
	}
}
