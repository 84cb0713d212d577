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
	// minResponseReserve and maxResponseReserve bound the part of the remaining
	// time that is reserved for the response of the target's node. Without it both
	// nodes time out at the same moment, and a call that the target's node could
	// report as not run has an unknown outcome.
	minResponseReserve = 2 * time.Millisecond
	maxResponseReserve = 50 * time.Millisecond
	// The reserve is the remaining time divided by responseReserveDivisor.
	responseReserveDivisor = 50
)

// send makes attempts until one gets a response or no further one is allowed.
func (c *call) send() (result, error) {
	c.initRetries()
	var last error
	for {
		res, err := c.attempt()
		if err == nil || res.headSent {
			return res, err
		}
		var noTarget *NoTargetError
		switch {
		case !errors.As(err, &noTarget):
			last = err
		case last != nil:
			// The caller gets the last target's error, which is more specific.
			noTarget.Last = last
			noTarget.RetryAfter = earlierRetryAfter(noTarget.RetryAfter, last)
		}
		after, gaveUp := c.afterFailure(err)
		c.logFailedAttempt(err, after, gaveUp)
		if gaveUp == nil {
			if after == 0 {
				continue
			}
			if c.h.clk.Sleep(c.r.Context(), after) == nil {
				continue
			}
			gaveUp = c.giveUp(err, 0)
		}
		if c.pending != nil {
			return c.pending.relay(c)
		}
		return result{}, gaveUp
	}
}

// earlierRetryAfter returns the smaller of after and the Retry-After of the last
// refusal. With the other targets in back-off, after may be a second, while the one
// that refused may have a free slot within milliseconds.
func earlierRetryAfter(after time.Duration, last error) time.Duration {
	var refused *RefusedError
	if !errors.As(last, &refused) || refused.Refusal.RetryAfter <= 0 {
		return after
	}
	if refused.Refusal.Type == hop.KindOverloaded {
		// Its Retry-After is about that target alone; others may be free sooner.
		return min(after, refused.Refusal.RetryAfter, poolFullRetryAfter)
	}
	return min(after, refused.Refusal.RetryAfter)
}

func (c *call) initRetries() {
	opts := [5]retry.CallOption{retry.Retries(c.rt.Retries()), retry.Depth(c.meta.Depth() - 1)}
	if c.rt.Idempotent() {
		opts[2] = retry.Idempotent()
	}
	if c.parent != nil {
		opts[3] = retry.PriorRetries(c.parent.Retries())
	}
	opts[4] = retry.RefusalRetries(c.h.refusalRetries)
	c.attempts = retry.NewCall(c.rt.Service(), c.deadline, opts[:]...)
	c.h.budgets.FirstAttempt(&c.attempts)
}

// attempt sends the call to one target and relays its response.
func (c *call) attempt() (result, error) {
	deadline, err := c.attemptDeadline()
	if err != nil {
		return result{}, err
	}
	p, err := c.pick()
	if err != nil {
		return result{}, err
	}
	start := c.h.clk.Now()
	left := deadline.Sub(start)
	c.deadlineShortened = c.deadlineShortened || deadline.Before(c.deadline)
	meta := c.meta.With(hop.Attempt(c.attempts.PathRetries()+1), hop.Remaining(left-responseReserve(left)), hop.ToInstance(p.Record().TargetID()), hop.SoftDeadline(c.softDeadlineIn(start)), hop.TargetRate(c.h.balancer.NamedRate(start, p)), hop.ForBody(c.body))
	if c.h.overload != nil && c.h.overload.Overloaded() {
		meta = meta.With(hop.FromOverloaded())
	}
	req := hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body,
		hop.WithMeta(meta), hop.OnPooledClose(func() { c.h.balancer.ConnClosed(p) }))
	c.tried = append(c.tried, p)
	resp, err := c.h.client.Do(c.r.Context(), p.Record().Address(), req, deadline)
	c.h.callMetrics.recordAttemptDuration(c, c.h.clk.Since(start))
	if err != nil {
		c.reportAttempt(p, start, nil, err)
		return result{}, err
	}
	if resp.Version() > c.snap.Version() {
		c.h.onNewerVersion(p.Record().ControlAddress(), resp.Version())
	}
	pending := &pendingResponse{resp: resp, from: p, start: start}
	return c.receive(pending)
}

// softDeadlineIn returns the time from now to the soft deadline, after which a response
// is of little use to the caller; 0 for a route without a target latency. A call that
// is past it, because its caller has retried, gets the minimum of 1 ms: it may take a
// free slot but delays no call that can still end in time.
func (c *call) softDeadlineIn(now time.Time) time.Duration {
	targetLatency := c.rt.TargetLatency()
	if targetLatency == 0 {
		return 0
	}
	return max(time.Millisecond, c.start.Add(targetLatency-c.waitedBefore).Sub(now))
}

// receive relays the target's response, or returns its node's refusal as an error. A
// 5xx response to an idempotent call is kept as pending until it is decided whether
// the call is retried.
func (c *call) receive(pending *pendingResponse) (result, error) {
	if pending.resp.Header().Get(http1.OutcomeHeader) != "" {
		load, loaded := pending.resp.Load()
		crashed := c.recordCrash(pending.resp)
		refusal, err := hop.ReadRefusal(pending.resp)
		pending.resp.Close()
		if err == nil {
			err = &RefusedError{By: pending.from.Record().Instance(), Refusal: refusal, Load: load, HasLoad: loaded, Crashed: crashed}
		}
		c.reportAttempt(pending.from, pending.start, nil, err)
		return result{}, err
	}
	c.observeTarget(pending)
	if rollouts, ok := c.h.directory.(RolloutDirectory); ok {
		rollouts.RecordResponse(c.rt.Pool())
	}
	if status := pending.resp.Status(); status >= http.StatusInternalServerError && c.rt.Idempotent() {
		c.pending.discard(c)
		c.pending = pending
		return result{}, &TargetFailedError{Status: status}
	}
	return pending.relay(c)
}

// observeTarget records what a response of a target states of its process.
func (c *call) observeTarget(p *pendingResponse) {
	names, now := c.h.headerNames, c.h.clk.Now()
	if names.Leaving(p.resp) {
		c.h.balancer.Leaving(now, p.from)
	}
	limit, ok := names.RateLimit(p.resp)
	c.h.balancer.ObserveRate(now, p.from, limit, ok)
}

// pendingResponse is a response that has not been relayed to the caller yet.
type pendingResponse struct {
	resp  *hop.Response
	from  balance.Picked
	start time.Time
}

// relay sends the response to the caller and discards another pending one.
func (p *pendingResponse) relay(c *call) (result, error) {
	if c.pending != p {
		c.pending.discard(c)
	}
	c.pending = nil
	res, err := c.relayToCaller(p.resp)
	p.resp.Close()
	c.reportAttempt(p.from, p.start, p.resp, err)
	return res, err
}

// discard closes the response without relaying it; p may be nil.
func (p *pendingResponse) discard(c *call) {
	if p == nil {
		return
	}
	c.pending = nil
	p.resp.Close()
	c.reportAttempt(p.from, p.start, p.resp, nil)
}

// responseReserve returns how much of the remaining time to reserve for the response
// of the target's node.
func responseReserve(left time.Duration) time.Duration {
	return min(max(left/responseReserveDivisor, minResponseReserve), maxResponseReserve)
}

// afterFailure decides whether a failed attempt is retried; its results are those of
// decideRetry. A call that has tried all targets ends at once: none is tried twice, so
// a delay would not help. So does one that this node has no time left for.
func (c *call) afterFailure(err error) (after time.Duration, gaveUp error) {
	var stopping *StoppingError
	if errors.As(err, &stopping) {
		return 0, c.giveUp(err, stoppingRetryAfter)
	}
	var noTarget *NoTargetError
	if errors.As(err, &noTarget) && noTarget.Reason == balance.AllTried {
		return 0, c.giveUp(err, noTarget.RetryAfter)
	}
	return c.decideRetry(err)
}

// decideRetry asks the retry budgets whether a failed attempt is retried. It returns
// the delay before the next attempt, or the error that the call ends with.
func (c *call) decideRetry(err error) (after time.Duration, gaveUp error) {
	c.mayHaveRun = c.mayHaveRun || !notRun(err)
	if c.heldBackSince(err) {
		return 0, c.giveUp(err, 0)
	}
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
	return &GaveUpError{Err: err, MayHaveRun: c.mayHaveRun, RetryAfter: c.callerRetryAfter(retryAfter)}
}

// poolFullRetryAfter is the minimum Retry-After of a call that found the whole pool
// full. Slots that are freed meanwhile go to new calls, so a caller that retried
// within milliseconds would be refused again and waste one of its few retries.
const poolFullRetryAfter = 300 * time.Millisecond

// callerRetryAfter returns the Retry-After for the caller: at least
// poolFullRetryAfter if the call has used up its retries on other targets.
func (c *call) callerRetryAfter(after time.Duration) time.Duration {
	if after > 0 && c.attempts.RefusalRetriesUsed() >= c.h.refusalRetries && c.h.refusalRetries > 0 {
		return max(after, poolFullRetryAfter+after/2)
	}
	return after
}

// outcomeOf classifies the error of an attempt for the retry budgets: whether it is
// known not to have run, and whether it is a sign of load.
func outcomeOf(err error) retry.Outcome {
	var (
		refused  *RefusedError
		noTarget *NoTargetError
		failed   *TargetFailedError
	)
	switch {
	case errors.As(err, &failed):
		return retry.ErrorResponse()
	case errors.As(err, &noTarget):
		return retry.NoTarget(noTarget.RetryAfter)
	case !notRun(err):
		return retry.Incomplete()
	case errors.As(err, &refused) && refused.Refusal.Type == hop.KindTargetFull:
		return retry.Rejected(refused.Refusal.RetryAfter)
	case errors.As(err, &refused) && refused.Refusal.Type == hop.KindOverloaded:
		return retry.Overloaded(min(refused.Refusal.RetryAfter, poolFullRetryAfter))
	case errors.As(err, &refused) && refused.overload():
		return retry.Refused(refused.Refusal.RetryAfter)
	default:
		return retry.TargetGone()
	}
}

// notRun reports whether a failed attempt is known not to have run: nothing was
// sent, or the target's node has confirmed it.
func notRun(err error) bool {
	var (
		refused  *RefusedError
		noTarget *NoTargetError
		stopping *StoppingError
		failure  hop.Failure
	)
	switch {
	case errors.As(err, &refused):
		return refused.Refusal.Outcome == http1.NotRun
	case errors.As(err, &noTarget), errors.As(err, &stopping):
		return true
	default:
		return errors.As(err, &failure) && !failure.Sent()
	}
}
