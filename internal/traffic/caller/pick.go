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
	if last, ok := c.h.directory.(Fallback); ok && err != nil {
		if others := last.Fallback(pool.Name()); len(others) > 0 {
			return c.pickFrom(pool.Name()+fallbackSuffix, pool.Slots(), others)
		}
	}
	return p, err
}

// pickCandidate chooses a target of a version that is rolled out, if the call is one of
// those that go there. What fails there is sent to the version in force, and not again
// to one that is not proved yet.
func (c *call) pickCandidate(pool snapshot.Pool) (balance.Picked, bool) {
	staged, ok := c.h.directory.(Staged)
	if !ok || len(c.tried) > 0 {
		return balance.Picked{}, false
	}
	name, targets := staged.Candidates(pool.Name())
	if len(targets) == 0 {
		return balance.Picked{}, false
	}
	p, err := c.pickFrom(name, pool.Slots(), targets)
	return p, err == nil
}

// fallbackSuffix keeps what the balancer knows of a pool's fallback apart; no
// pool's name holds a space.
const fallbackSuffix = " fallback"

func (c *call) pickFrom(name string, slots int, ready []membership.Record) (balance.Picked, error) {
	now := c.h.clk.Now()
	c.h.views.follow(c.h.balancer, now, name, slots, ready)
	switch choice := c.h.balancer.Pick(now, name, c.ask, c.tried).(type) {
	case balance.Picked:
		return choice, nil
	case balance.None:
		return balance.Picked{}, &NoTargetError{Pool: name, Reason: choice.Reason(), RetryAfter: choice.RetryAfter()}
	default:
		return balance.Picked{}, &ChoiceError{Choice: choice}
	}
}

// views remembers which targets of each pool the balancer has been told of.
type views struct{ byPool sync.Map }

type view struct {
	mu    sync.Mutex
	told  bool
	first *membership.Record
	n     int
	slots int
}

// follow tells the balancer of a pool whose targets have changed. A directory
// gives the same slice until they do, so that this costs a call next to nothing.
func (v *views) follow(b *balance.Balancer, now time.Time, name string, slots int, ready []membership.Record) {
	held, ok := v.byPool.Load(name)
	if !ok {
		held, _ = v.byPool.LoadOrStore(name, &view{})
	}
	w := held.(*view)
	var first *membership.Record
	if len(ready) > 0 {
		first = &ready[0]
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.told && w.first == first && w.n == len(ready) && w.slots == slots {
		return
	}
	w.told, w.first, w.n, w.slots = true, first, len(ready), slots
	b.Update(now, name, slots, ready)
}

// report tells the balancer how an attempt ended.
func (c *call) report(p balance.Picked, began time.Time, a *hop.Answer, err error) {
	now := c.h.clk.Now()
	c.h.balancer.Done(now, p, c.ask, now.Sub(began), c.reportOf(a, err))
}

func (c *call) reportOf(a *hop.Answer, err error) balance.Report {
	if err != nil {
		return c.failureReport(err)
	}
	var opts [3]balance.ReportOption
	if a.Kept() {
		opts[0] = balance.Kept()
	}
	if load, ok := a.Load(); ok {
		opts[1] = balance.Load(load)
		opts[2] = balance.Service(a.Service())
	}
	switch status := a.Status(); {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return balance.Shed(balance.ForAll, retryAfter(a.Header()), opts[:]...)
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
	case errors.As(err, &dial) && dial.Short:
		return balance.Cancelled()
	case errors.As(err, &dial):
		return balance.Unreachable()
	case errors.As(err, &cancelled), errors.As(err, &body):
		return balance.Cancelled()
	case errors.As(err, &timeout) && c.hurried:
		// A caller that allows too little time would otherwise have healthy
		// targets ejected for everyone.
		return balance.Cancelled()
	default:
		return balance.Failed()
	}
}

// fullFor bounds how long trial calls leave a target alone that has no room for
// one. What it tells callers spreads their return over seconds; its next slot
// comes free within a service time over its slots, some milliseconds.
const fullFor = 15 * time.Millisecond

// refusalReport tells whom a refusal by the target's node is meant for.
func refusalReport(e *RefusedError, class snapshot.Class) balance.Report {
	switch e.Refusal.Type {
	case hop.KindDraining, hop.KindWrongPool, hop.KindWrongInstance:
		return balance.Leaving()
	case hop.KindSuperseded:
		// A rollback may bring it back into force.
		return balance.Cancelled()
	case hop.KindDisplaced:
		return balance.Shed(balance.ForOrganisation, e.Refusal.RetryAfter)
	case hop.KindQueueFull, hop.KindTooLate, hop.KindOutranked, hop.KindNoTrialSlots:
		if class == snapshot.Trial {
			// A flood of trial calls that each ask would cost the target's node
			// the time that paying calls need.
			return balance.Shed(balance.ForClass, min(e.Refusal.RetryAfter, fullFor))
		}
		if e.Loaded {
			return balance.Declined(balance.Load(e.Load))
		}
		return balance.Declined()
	case hop.KindTargetFull:
		// Its node counts its slots, so the target is seldom full. One that turns
		// calls away beside others that do not is ill; where all do, leaving them
		// alone for a while would refuse what they still take.
		return balance.Failed()
	case hop.KindConnectionClosed:
		return balance.Cancelled()
	case hop.KindUnreachable, hop.KindNotOfTheFleet:
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
