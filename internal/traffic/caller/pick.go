package caller

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// pick chooses the target of the next attempt.
func (c *call) pick() (balance.Picked, error) {
	pool, _ := c.snap.Pool(c.rt.Pool())
	if p, ok := c.pickCandidate(pool); ok {
		return p, nil
	}
	p, err := c.pickFrom(pool.Name(), pool.Slots(), c.h.directory.Targets(pool.Name()))
	if fallback, ok := c.h.directory.(FallbackDirectory); ok && err != nil {
		if fallbackTargets := fallback.Fallback(pool.Name()); len(fallbackTargets) > 0 {
			return c.pickFrom(pool.Name()+fallbackSuffix, pool.Slots(), fallbackTargets)
		}
	}
	return p, err
}

// pickCandidate chooses a target of the rollout's candidate version if the directory
// sends this call there. Only first attempts go to the candidate; retries go to the
// pool's other targets.
func (c *call) pickCandidate(pool snapshot.Pool) (balance.Picked, bool) {
	rollouts, ok := c.h.directory.(RolloutDirectory)
	if !ok || len(c.tried) > 0 {
		return balance.Picked{}, false
	}
	name, targets := rollouts.TakeCandidates(pool.Name())
	if len(targets) == 0 {
		return balance.Picked{}, false
	}
	p, err := c.pickFrom(name, pool.Slots(), targets)
	return p, err == nil
}

// fallbackSuffix separates the balancer's state of a pool's fallback targets from
// that of the pool; pool names contain no space.
const fallbackSuffix = " fallback"

func (c *call) pickFrom(name string, slots int, ready []membership.Record) (balance.Picked, error) {
	now := c.h.clk.Now()
	c.h.updates.apply(c.h.balancer, now, name, slots, ready)
	switch choice := c.h.balancer.Pick(now, name, c.callInfo, c.tried).(type) {
	case balance.Picked:
		return choice, nil
	case balance.None:
		return balance.Picked{}, &NoTargetError{Pool: name, Reason: choice.Reason(), RetryAfter: choice.RetryAfter()}
	default:
		return balance.Picked{}, &ChoiceError{Choice: choice}
	}
}

// balancerUpdates passes changes of the pools' targets and slots to the balancer.
type balancerUpdates struct{ byPool sync.Map }

// lastUpdate identifies the targets and slots of a pool's last update.
type lastUpdate struct {
	mu    sync.Mutex
	known bool
	first *membership.Record
	n     int
	slots int
}

// apply updates the balancer if the targets or slots of a pool have changed. A
// directory returns the same slice until its targets change, so comparing the address
// of the first element and the length is enough.
func (u *balancerUpdates) apply(b *balance.Balancer, now time.Time, name string, slots int, ready []membership.Record) {
	stored, ok := u.byPool.Load(name)
	if !ok {
		stored, _ = u.byPool.LoadOrStore(name, &lastUpdate{})
	}
	last := stored.(*lastUpdate)
	var first *membership.Record
	if len(ready) > 0 {
		first = &ready[0]
	}
	last.mu.Lock()
	defer last.mu.Unlock()
	if last.known && last.first == first && last.n == len(ready) && last.slots == slots {
		return
	}
	last.known, last.first, last.n, last.slots = true, first, len(ready), slots
	b.Update(now, name, slots, ready)
}

// reportAttempt reports the result of an attempt to the balancer.
func (c *call) reportAttempt(p balance.Picked, start time.Time, resp *hop.Response, err error) {
	now := c.h.clk.Now()
	c.h.balancer.Done(now, p, c.callInfo, now.Sub(start), c.reportOf(resp, err))
}

func (c *call) reportOf(resp *hop.Response, err error) balance.Report {
	if err != nil {
		return c.failureReport(err)
	}
	var opts [3]balance.ReportOption
	if resp.Pooled() {
		opts[0] = balance.ConnKept()
	}
	if load, ok := resp.Load(); ok {
		opts[1] = balance.Load(load)
		opts[2] = balance.ServiceTime(resp.ServiceTime())
	}
	switch status := resp.Status(); {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return balance.Shed(balance.ForAll, retryAfter(resp.Header()), opts[:]...)
	case status >= http.StatusInternalServerError:
		return balance.Failed(opts[:]...)
	default:
		return balance.Answered(opts[:]...)
	}
}

func (c *call) failureReport(err error) balance.Report {
	var (
		refused   *RefusedError
		dial      *hop.DialError
		timeout   *hop.TimeoutError
		cancelled *hop.CancelledError
		body      *hop.BodyError
	)
	switch {
	case errors.As(err, &refused):
		return refusalReport(refused, c.org.Class())
	case errors.As(err, &dial) && dial.DeadlineLimited:
		return balance.Cancelled()
	case errors.As(err, &dial):
		return balance.Unreachable()
	case errors.As(err, &cancelled), errors.As(err, &body):
		return balance.Cancelled()
	case errors.As(err, &timeout) && c.deadlineShortened:
		// A caller with too short a deadline must not get healthy targets ejected
		// for everyone.
		return balance.Cancelled()
	default:
		return balance.Failed()
	}
}

// trialShedMax bounds how long trial calls avoid a target that had no free slot for
// one. The refusal's Retry-After spreads the callers' retries over seconds, but the
// target's next slot is free within milliseconds.
const trialShedMax = 15 * time.Millisecond

// refusalReport maps a refusal by the target's node to a report for the balancer,
// with the scope of callers that it applies to.
func refusalReport(e *RefusedError, class snapshot.Class) balance.Report {
	switch e.Refusal.Type {
	case hop.KindDraining, hop.KindWrongPool, hop.KindWrongInstance:
		return balance.Draining()
	case hop.KindSuperseded:
		// A rollback may make its version active again.
		return balance.Cancelled()
	case hop.KindStarting:
		// The announcement of a restarted node may be the same as before, so nothing else
		// ends what counts as draining.
		return balance.Shed(balance.ForAll, e.Refusal.RetryAfter)
	case hop.KindOverloaded:
		if e.HasLoad {
			return balance.Overloaded(e.Refusal.RetryAfter, balance.Load(e.Load))
		}
		return balance.Overloaded(e.Refusal.RetryAfter)
	case hop.KindDisplaced:
		return balance.Shed(balance.ForOrganisation, e.Refusal.RetryAfter)
	case hop.KindQueueFull, hop.KindTooLate, hop.KindOutranked, hop.KindNoTrialSlots:
		if class == snapshot.Trial {
			// If each call of a flood of trial calls tried the target, its node
			// would lack the time that paying calls need.
			return balance.Shed(balance.ForClass, min(e.Refusal.RetryAfter, trialShedMax))
		}
		if e.HasLoad {
			return balance.NoCapacity(balance.Load(e.Load))
		}
		return balance.NoCapacity()
	case hop.KindTargetFull:
		// The target rejected the call although its node had a free slot. It counts as
		// unhealthy and may be ejected if the others accept calls. A back-off would
		// also refuse calls that it still accepts.
		return balance.Failed()
	case hop.KindConnectionClosed:
		return balance.Cancelled()
	case hop.KindUnreachable, hop.KindUnauthenticated:
		return balance.Unreachable()
	default:
		return balance.Failed()
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
