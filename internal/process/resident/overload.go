package resident

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

// measureDelay observes the scheduling delay of the process until ctx ends, and sends the
// error of ctx on done.
func (n *Node) measureDelay(ctx context.Context, done chan<- error) {
	for {
		start, period := n.clk.Now(), n.overload.Period()
		if err := n.clk.Sleep(ctx, period); err != nil {
			done <- err
			return
		}
		n.observeDelay(start, period)
	}
}

// observeDelay observes how late the timer has fired that was set to period at start.
// Both times have monotonic readings, so a step of the system clock doesn't count.
func (n *Node) observeDelay(start time.Time, period time.Duration) {
	now := n.clk.Now()
	if !n.overload.Observe(now, period, now.Sub(start)-period) {
		return
	}
	state := "ended"
	if n.overload.Overloaded() {
		state = "started"
	}
	n.log.Emit(event.Overload, event.F("state", state), event.F("delay_ms", n.overload.Delay().Milliseconds()))
}
