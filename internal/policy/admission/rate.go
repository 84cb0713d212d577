package admission

import (
	"math"
	"time"
)

const (
	// rateBurstTime is for how long a target may be idle and then get the calls of
	// that time at once.
	rateBurstTime = 100 * time.Millisecond
	// rateHoldTime is how long a limit holds after the last response that named it.
	// Responses overtake each other, and not all kinds of response name the limit.
	rateHoldTime = 500 * time.Millisecond
	// minCallsPerSecond is the rate of calls to a target that takes fewer. Only
	// responses can show that its limit has ended.
	minCallsPerSecond = 0.1
	// maxWaitingForRate bounds the calls of a class that wait for the target's rate. The
	// bucket keeps the tokens of rateBurstTime, so that a longer queue only adds delay.
	maxWaitingForRate = 2
	// maxUtilization bounds the utilization at a target that takes next to no calls.
	maxUtilization = 16
	// tokenTolerance is far above the rounding errors of refills.
	tokenTolerance = 1e-9
)

// rateLimit bounds the rate at which calls start, by a token bucket: a target that is
// short of capacity names in its responses how many calls a second it takes from all
// nodes together. All of them pass the target's gate, so no node needs a share.
type rateLimit struct {
	perNano    float64 // calls; 0 is no limit
	tokens     float64
	refilledAt int64
	namedAt    int64
}

func (r *rateLimit) limited() bool { return r.perNano > 0 }

// observe records the limit that a response names; ok is false if it names none.
func (r *rateLimit) observe(at int64, perSecond float64, ok bool) {
	if !ok {
		if at-r.namedAt >= int64(rateHoldTime) {
			r.perNano = 0
		}
		return
	}
	if !r.limited() {
		r.tokens, r.refilledAt = 0, at
	}
	r.refill(at)
	r.namedAt = max(r.namedAt, at)
	r.perNano = max(perSecond, minCallsPerSecond) / float64(time.Second)
	r.tokens = min(r.tokens, r.capacity())
}

// capacity returns how many calls may start at once.
func (r *rateLimit) capacity() float64 { return max(1, r.perNano*float64(rateBurstTime)) }

func (r *rateLimit) refill(at int64) {
	if at > r.refilledAt {
		r.tokens = min(r.capacity(), r.tokens+r.perNano*float64(at-r.refilledAt))
		r.refilledAt = at
	}
}

// ready reports whether a call may start.
func (r *rateLimit) ready(at int64) bool {
	if !r.limited() {
		return true
	}
	r.refill(at)
	return r.tokens >= 1-tokenTolerance
}

// take takes the token of a call that starts.
func (r *rateLimit) take() {
	if r.limited() {
		r.tokens--
	}
}

// wait returns the time until n calls may have started, in nanoseconds.
func (r *rateLimit) wait(at int64, n int) int64 {
	if !r.limited() {
		return 0
	}
	r.refill(at)
	missing := float64(n) - r.tokens
	if missing <= tokenTolerance {
		return 0
	}
	// Waits are compared with deadlines; the bound keeps sums in range.
	return int64(min(math.Ceil(missing/r.perNano), float64(maxRateWait)))
}

const maxRateWait = time.Hour

// interval returns the time between two calls, 0 without a limit.
func (r *rateLimit) interval() float64 {
	if !r.limited() {
		return 0
	}
	return 1 / r.perNano
}

// ObserveRate records how many calls a second the target takes according to a response;
// ok is false if the response names no limit.
func (g *Gate) ObserveRate(now time.Time, perSecond float64, ok bool, wakes []Wake) []Wake {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.advance(now)
	if !ok && !g.rate.limited() {
		return wakes
	}
	g.rate.observe(at, perSecond, ok)
	return g.dispatch(at, wakes)
}

// NoRate lifts the limit of the target's rate, which was that of an earlier process.
func NoRate() Option { return func(g *Gate) { g.rate = rateLimit{} } }

// sustained returns how many calls run at once, on average, at the rate that the target
// takes (Little's law); it is at most the capacity.
func (g *Gate) sustained() int {
	if !g.rate.limited() || !g.all.seen {
		return g.capacity()
	}
	return min(g.capacity(), max(1, int(math.Ceil(g.rate.perNano*g.all.mean))))
}

// utilization returns the calls that run or wait, divided by the slots. At a target that
// takes no call at present it is as at one whose queue delays a further call as long.
func (g *Gate) utilization(at int64) float64 {
	waiting := len(g.paying.calls) + len(g.trial.calls)
	u := float64(g.runningPaying+g.runningTrial+waiting) / float64(g.capacity())
	if g.rate.ready(at) {
		return u
	}
	return max(u, min(1+float64(g.rate.wait(at, waiting+1))/g.all.mean, maxUtilization))
}

// startInterval returns the mean time between two calls of a class that start while
// others wait.
func (g *Gate) startInterval(slots int) float64 {
	return max(g.all.mean/float64(slots), g.rate.interval())
}
