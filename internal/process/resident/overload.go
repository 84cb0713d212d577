package resident

import (
	"context"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
)

// delayPeriod is the time between two observations of the scheduling delay: few enough
// timers to cost a node of 0.16 of a core little, and a delay shows after two of them.
const delayPeriod = 25 * time.Millisecond

// measureDelay observes the scheduling delay of the process until ctx ends, and sends the
// error of ctx on done.
func (n *Node) measureDelay(ctx context.Context, done chan<- error) {
	for {
		start := n.clk.Now()
		if err := n.clk.Sleep(ctx, delayPeriod); err != nil {
			done <- err
			return
		}
		n.observeDelay(start)
	}
}

// observeDelay observes how late the timer has fired that was set to delayPeriod at start.
// Both times have monotonic readings, so a step of the system clock doesn't count.
func (n *Node) observeDelay(start time.Time) {
	now := n.clk.Now()
	if !n.overload.Observe(now, delayPeriod, now.Sub(start)-delayPeriod) {
		return
	}
	state := "ended"
	if n.overload.Overloaded() {
		state = "started"
	}
	n.log.Emit(event.Overload, event.F("state", state), event.F("delay_ms", n.overload.Delay().Milliseconds()))
}
