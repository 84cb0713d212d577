package caller

import (
	"errors"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/policy/retry"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

const (
	// minReserve and maxReserve bound the part of the time left that this node
	// keeps for the far node's last word to come back. Without it both give up
	// at one moment, and a call that its target's node knows not to have run
	// is answered "unknown".
	minReserve = 2 * time.Millisecond
	maxReserve = 50 * time.Millisecond
	// reserveShare is one part in so many of the time left.
	reserveShare = 50
)

// send makes attempts until one brings an answer or none may follow.
func (c *call) send() (result, error) {
	c.begin()
	var last error
	for {
		res, err := c.attempt()
		if err == nil || res.began {
			return res, err
		}
		var none *NoTargetError
		switch {
		case !errors.As(err, &none):
			last = err
		case last != nil:
			// What the last target said tells more than that no other is left.
			none.Last = last
			none.RetryAfter = sooner(none.RetryAfter, last)
		}
		after, gaveUp := c.following(err)
		c.tellAttempt(err, after, gaveUp)
		if gaveUp == nil {
			if after == 0 {
				continue
			}
			if c.h.clk.Sleep(c.r.Context(), after) == nil {
				continue
			}
			gaveUp = c.giveUp(err, 0)
		}
		if c.held != nil {
			return c.held.pass(c)
		}
		return result{}, gaveUp
	}
}

// sooner returns when a call may come back that found no further target: when the
// last one that refused it said, where that is sooner. Where others are only left
// alone for a second, that one may have room within milliseconds.
func sooner(after time.Duration, last error) time.Duration {
	var refused *RefusedError
	if !errors.As(last, &refused) || refused.Refusal.RetryAfter <= 0 {
		return after
	}
	return min(after, refused.Refusal.RetryAfter)
}

func (c *call) begin() {
	opts := [5]retry.CallOption{retry.Retries(c.rt.Retries()), retry.Depth(c.meta.Depth() - 1)}
	if c.rt.Idempotent() {
		opts[2] = retry.Idempotent()
	}
	if c.parent != nil {
		opts[3] = retry.Carried(c.parent.Retries())
	}
	opts[4] = retry.Elsewhere(c.h.elsewhere)
	c.attempts = retry.NewCall(c.rt.Service(), c.until, opts[:]...)
	c.h.budgets.Fresh(&c.attempts)
}

// attempt sends the call to one target and passes its answer on.
func (c *call) attempt() (result, error) {
	p, err := c.pick()
	if err != nil {
		return result{}, err
	}
	began := c.h.clk.Now()
	left := c.until.Sub(began)
	meta := c.meta.With(hop.Attempt(c.attempts.Carries()+1), hop.Left(left-reserve(left)), hop.Toward(p.Record().Target()), hop.Due(c.dueIn(began)))
	req := hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body,
		hop.WithMeta(meta), hop.OnDrop(func() { c.h.balancer.Closed(p) }))
	c.tried = append(c.tried, p)
	answer, err := c.h.hop.Do(c.r.Context(), p.Record().Address(), req, c.until)
	c.h.meters.hop(c, c.h.clk.Since(began))
	if err != nil {
		c.report(p, began, nil, err)
		return result{}, err
	}
	if answer.Version() > c.snap.Version() {
		c.h.newer(p.Record().Peer(), answer.Version())
	}
	held := &heldAnswer{answer: answer, from: p, began: began}
	return c.receive(held)
}

// dueIn returns how soon an answer loses most of its worth, 0 for a route that
// declares no target latency. A call that is late already, as its caller has
// come back with it, is due at once: it takes a free slot but makes no call wait
// whose answer can still come in time.
func (c *call) dueIn(now time.Time) time.Duration {
	aim := c.rt.TargetLatency()
	if aim == 0 {
		return 0
	}
	return max(time.Millisecond, c.began.Add(aim-c.waited).Sub(now))
}

// receive passes on what the target answered, or returns what its node said
// instead. An answer that says that the target failed is held while it is
// decided whether the call is sent again.
func (c *call) receive(a *heldAnswer) (result, error) {
	if a.answer.Header().Get(http1.OutcomeHeader) != "" {
		load, loaded := a.answer.Load()
		refusal, err := hop.ReadRefusal(a.answer)
		a.answer.Close()
		if err == nil {
			err = &RefusedError{By: a.from.Record().Instance(), Refusal: refusal, Load: load, Loaded: loaded}
		}
		c.report(a.from, a.began, nil, err)
		return result{}, err
	}
	if staged, ok := c.h.directory.(Staged); ok {
		staged.Reached(c.rt.Pool())
	}
	if status := a.answer.Status(); status >= http.StatusInternalServerError && c.rt.Idempotent() {
		c.held.drop(c)
		c.held = a
		return result{}, &TargetFailedError{Status: status}
	}
	return a.pass(c)
}

// heldAnswer is an answer that is not passed on yet.
type heldAnswer struct {
	answer *hop.Answer
	from   balance.Picked
	began  time.Time
}

// pass passes the answer on.
func (a *heldAnswer) pass(c *call) (result, error) {
	if c.held != a {
		c.held.drop(c)
	}
	c.held = nil
	res, err := c.answer(a.answer)
	a.answer.Close()
	c.report(a.from, a.began, a.answer, err)
	return res, err
}

// drop forgets the answer, if there is one.
func (a *heldAnswer) drop(c *call) {
	if a == nil {
		return
	}
	c.held = nil
	a.answer.Close()
	c.report(a.from, a.began, a.answer, nil)
}

func reserve(left time.Duration) time.Duration {
	return min(max(left/reserveShare, minReserve), maxReserve)
}

// following decides what follows a failed attempt. A call that has asked all
// targets is given up at once: none of them is asked twice, so waiting would only
// hold its caller up.
func (c *call) following(err error) (after time.Duration, gaveUp error) {
	var none *NoTargetError
	if errors.As(err, &none) && none.Reason == balance.AllTried {
		return 0, c.giveUp(err, none.RetryAfter)
	}
	return c.next(err)
}

// next decides what follows a failed attempt: another one after a time, or the
// error that the call ends with.
func (c *call) next(err error) (after time.Duration, gaveUp error) {
	c.mayHaveRun = c.mayHaveRun || !notRun(err)
	switch d := c.h.budgets.After(c.h.clk.Now(), &c.attempts, outcomeOf(err)).(type) {
	case retry.Retry:
		if !hop.Replayable(c.body) || c.r.Context().Err() != nil {
			return 0, c.giveUp(err, 0)
		}
		return d.After(), nil
	case retry.GiveUp:
		return 0, c.giveUp(err, d.RetryAfter())
	default:
		return 0, &DecisionError{Decision: d}
	}
}

func (c *call) giveUp(err error, retryAfter time.Duration) error {
	return &GaveUpError{Err: err, MayHaveRun: c.mayHaveRun, RetryAfter: c.comeBack(retryAfter)}
}

// fullPool is when a call may come back that found a whole pool full. The slots
// that come free meanwhile go to fresh calls; one that is back within milliseconds
// is refused again and has used up one of its caller's few tries.
const fullPool = 300 * time.Millisecond

// comeBack returns when the caller may try again.
func (c *call) comeBack(after time.Duration) time.Duration {
	if after > 0 && c.attempts.Refusals() >= c.h.elsewhere && c.h.elsewhere > 0 {
		return max(after, fullPool+after/2)
	}
	return after
}

// outcomeOf says how an attempt ended, in the terms that retries are decided
// in: whether it is known not to have run, and whether it tells of load.
func outcomeOf(err error) retry.Outcome {
	var (
		refused  *RefusedError
		noTarget *NoTargetError
		failed   *TargetFailedError
	)
	switch {
	case errors.As(err, &failed):
		return retry.Erred()
	case errors.As(err, &noTarget):
		return retry.Nowhere(noTarget.RetryAfter)
	case !notRun(err):
		return retry.Broken()
	case errors.As(err, &refused) && refused.Refusal.Type == hop.KindTargetFull:
		return retry.Rejected(refused.Refusal.RetryAfter)
	case errors.As(err, &refused) && refused.load():
		return retry.Refused(refused.Refusal.RetryAfter)
	default:
		return retry.Moved()
	}
}

// notRun reports whether a failed attempt is known not to have run: nothing
// was sent, or the target's node says so.
func notRun(err error) bool {
	var (
		refused  *RefusedError
		noTarget *NoTargetError
		failure  hop.Failure
	)
	switch {
	case errors.As(err, &refused):
		return refused.Refusal.Outcome == http1.NotRun
	case errors.As(err, &noTarget):
		return true
	default:
		return errors.As(err, &failure) && !failure.Sent()
	}
}
