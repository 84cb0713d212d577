package caller

import (
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
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
	var tried []string
	for n := 1; ; n++ {
		to, err := c.pick(tried)
		if err != nil {
			return result{}, err
		}
		res, err := c.attempt(to, n)
		if err == nil || res.began || !c.again(err, n) {
			return res, err
		}
		tried = append(tried, to.Instance())
	}
}

// attempt sends the call to one target and passes its answer on.
func (c *call) attempt(to membership.Record, n int) (result, error) {
	now := c.h.clk.Now()
	left := c.until.Sub(now)
	meta := c.meta.With(hop.Attempt(n), hop.Left(left-reserve(left)))
	req := hop.NewRequest(c.r.Method, c.r.URL.RequestURI(), c.r.Host, c.r.Header, c.body, hop.WithMeta(meta))
	c.h.picker.Begin(now, to)
	answer, err := c.h.hop.Do(c.r.Context(), to.Address(), req, c.until)
	var res result
	if err == nil {
		res, err = c.receive(to, answer)
		answer.Close()
	}
	end := c.h.clk.Now()
	c.h.picker.End(end, to, end.Sub(now), attempted(err))
	return res, err
}

// receive passes on what the target answered, or returns what its node said
// instead.
func (c *call) receive(to membership.Record, answer *hop.Answer) (result, error) {
	if answer.Header().Get(http1.OutcomeHeader) != "" {
		refusal, err := hop.ReadRefusal(answer)
		if err != nil {
			return result{}, err
		}
		return result{}, &RefusedError{By: to.Instance(), Refusal: refusal}
	}
	return c.answer(answer)
}

func reserve(left time.Duration) time.Duration {
	return min(max(left/reserveShare, minReserve), maxReserve)
}

// again reports whether the call may be sent once more: never where it may
// have run and must not run twice.
func (c *call) again(err error, n int) bool {
	if n > c.rt.Retries() || !hop.Replayable(c.body) || !c.h.clk.Now().Before(c.until) || c.r.Context().Err() != nil {
		return false
	}
	return notRun(err) || c.rt.Idempotent()
}

// notRun reports whether a failed attempt is known not to have run: nothing
// was sent, or the target's node says so.
func notRun(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal.Outcome == http1.NotRun
	}
	var failure hop.Failure
	return errors.As(err, &failure) && !failure.Sent()
}

func attempted(err error) Attempted {
	var refused *RefusedError
	switch {
	case err == nil:
		return Answered
	case errors.As(err, &refused):
		return Refused
	case notRun(err):
		return Unreachable
	default:
		return Broken
	}
}
