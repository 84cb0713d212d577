package overload

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// turns is how often a call waits in the run queue of a node that it passes: to read the
	// request, to pass it on, to read the response and to pass that back.
	turns = 4
	// startDelay and endDelay are the delays at which overload starts and ends. At 25 ms
	// the four turns take 100 ms, a third of a target latency of 300 ms, the shortest
	// that callers with longer calls have; at 10 ms they take an eighth of it.
	startDelay = 25 * time.Millisecond
	endDelay   = 10 * time.Millisecond
	// noticeableDelay is the delay from which observations follow each other at shortPeriod
	// instead of longPeriod: half of endDelay, so that an overload starts and ends by
	// frequent observations.
	noticeableDelay = 5 * time.Millisecond
	shortPeriod     = 25 * time.Millisecond
	longPeriod      = 100 * time.Millisecond
	// largePart is the part of a call's time above which the turns alone are too much.
	largePart = 1.0 / 2
	// servedOneIn bounds the refusals: of the calls that could still end by their
	// deadline, one in four is served, so that a pool whose nodes are all overloaded
	// does useful work.
	servedOneIn = 4
	// retryFactor times the delay is the least Retry-After, a quarter of a second at
	// startDelay: the mean needs about as long to fall.
	retryFactor = 10
	// maxRetryAfter bounds for how long a node that wrongly measures a delay loses calls.
	maxRetryAfter = 5 * time.Second
)

// Controller decides about the calls for the target of one node. It is safe for
// concurrent use.
type Controller struct {
	delay      atomic.Int64
	overloaded atomic.Bool

	mu       sync.Mutex
	estimate estimate
	since    time.Time // start of the overload
	refused  int       // calls refused since one was served that could have been refused
}

// NewController returns a controller that has observed no delay.
func NewController() *Controller { return &Controller{} }

// Observe adds how late a timer has fired that was set to period, and reports whether an
// overload has started or ended with it.
func (c *Controller) Observe(now time.Time, period, late time.Duration) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimate.observe(period, late)
	delay := time.Duration(c.estimate.mean)
	c.delay.Store(int64(delay))
	before := c.overloaded.Load()
	after := delay >= startDelay || before && delay > endDelay
	if after && !before {
		c.since, c.refused = now, 0
	}
	c.overloaded.Store(after)
	return after != before
}

// Period returns the time until the next observation. Timers cost a node of 0.16 of a core a
// noticeable part of it, so that they are frequent only while there is a delay.
func (c *Controller) Period() time.Duration {
	if c.Delay() >= noticeableDelay {
		return shortPeriod
	}
	return longPeriod
}

// Delay returns the estimated scheduling delay.
func (c *Controller) Delay() time.Duration { return time.Duration(c.delay.Load()) }

// Overloaded reports whether the node is overloaded.
func (c *Controller) Overloaded() bool { return c.overloaded.Load() }

// CallDelay returns by how much the scheduling delay prolongs a call that passes the node.
func (c *Controller) CallDelay() time.Duration { return turns * c.Delay() }

// Call describes a call for the target by the times that are left to it.
type Call struct {
	service, soft, remaining time.Duration
	fromOverloaded           bool
}

// NewCall returns a call that usually runs for service, has its soft deadline in soft and
// its deadline in remaining. A service time or soft deadline of 0 is unknown.
func NewCall(service, soft, remaining time.Duration) Call {
	return Call{service: service, soft: soft, remaining: remaining}
}

// FromOverloaded returns the call as one whose sender is overloaded itself. It is not
// refused: with the whole fleet short of processor time, refusals and further attempts cost
// more than they gain.
func (call Call) FromOverloaded() Call {
	call.fromOverloaded = true
	return call
}

// Refuse decides whether the node refuses a call for its target, and after which time the
// sender may try this target again.
func (c *Controller) Refuse(now time.Time, call Call) (retryAfter time.Duration, refused bool) {
	if !c.Overloaded() || call.fromOverloaded {
		return 0, false
	}
	delay := c.CallDelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case missedBecauseOf(delay, call.service, call.remaining):
		// The call would only fail; it doesn't count for the share that is served.
	case missedBecauseOf(delay, call.service, call.soft) || float64(delay) > largePart*float64(call.time()):
		if c.refused == servedOneIn-1 {
			c.refused = 0
			return 0, false
		}
		c.refused++
	default:
		return 0, false
	}
	return c.retryAfter(now), true
}

// missedBecauseOf reports whether a call of a service time ends within the time left
// without the delay, but not with it; no time left means no such bound.
func missedBecauseOf(delay, service, left time.Duration) bool {
	return left > 0 && service <= left && service+delay > left
}

// time returns the time in which the call's response is of use: up to its soft deadline,
// or to its deadline if it has none or can't meet it in any case.
func (call Call) time() time.Duration {
	if call.soft > 0 && call.service <= call.soft {
		return call.soft
	}
	return call.remaining
}

// retryAfter expects an overload to last for as long as it has lasted.
func (c *Controller) retryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(c.since), retryFactor*c.Delay()), maxRetryAfter)
}
