package caller

import (
	"context"
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// result is what a call came to.
type result struct {
	status   int
	began    bool // the answer's head was passed on
	recorded *Recorded
}

// answer passes the target's answer on.
func (c *call) answer(a *hop.Answer) (result, error) {
	relayed, err := hop.Relay(c.w, a, c.claim != nil)
	res := result{status: a.Status(), began: relayed.Began()}
	if body, ok := relayed.Body(); ok && err == nil {
		res.recorded = NewRecorded(a.Status(), a.Header(), body)
	}
	return res, err
}

// finish answers a call that got no answer of its target, and counts it.
func (c *call) finish(res result, err error) {
	if err == nil {
		c.h.meters.end(c, res.status, nil)
		c.tellEnd(res, nil, nil)
		return
	}
	refusal := refusalOf(err)
	c.h.meters.end(c, res.status, refusal)
	c.tellEnd(res, refusal, err)
	if res.began || gone(c.r.Context()) {
		// What was passed on must not look whole, and no one waits any more.
		panic(http.ErrAbortHandler)
	}
	told := *refusal
	if told.Status == http.StatusMisdirectedRequest {
		// That this node's view lagged is no fault of the caller's request.
		told.Status = http.StatusServiceUnavailable
	}
	told.Fractions = c.h.dialect.Fractions()
	c.h.dialect.Echo(c.w.Header(), c.id)
	http1.Refuse(c.w, &told)
}

func gone(ctx context.Context) bool {
	var left *http1.PeerLeftError
	return errors.As(context.Cause(ctx), &left)
}

// refusalOf is the one place that decides how a failure is told to callers.
func refusalOf(err error) *http1.Refusal {
	var gaveUp *GaveUpError
	if !errors.As(err, &gaveUp) {
		return singleRefusal(err)
	}
	cause := gaveUp.Err
	var none *NoTargetError
	if errors.As(cause, &none) && none.Last != nil {
		cause = none.Last
	}
	r := *singleRefusal(cause)
	// The last attempt may not have run where an earlier one may have.
	if gaveUp.MayHaveRun {
		r.Outcome = http1.Unknown
	}
	r.RetryAfter = gaveUp.RetryAfter
	return &r
}

// singleRefusal tells of one attempt, or of a call that had none.
func singleRefusal(err error) *http1.Refusal {
	var (
		refused *RefusedError
		refusal *http1.Refusal
		limit   *LimitError
		failure hop.Failure
	)
	switch {
	case errors.As(err, &refused):
		return refused.Refusal
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &limit):
		return &http1.Refusal{
			Status: http.StatusTooManyRequests, Type: "limit", Message: err.Error(),
			Outcome: http1.NotRun, RetryAfter: limit.RetryAfter,
		}
	case errors.As(err, &failure):
		return hop.RefusalOf(failure)
	default:
		status, kind := kindOf(err)
		return &http1.Refusal{Status: status, Type: kind, Message: err.Error(), Outcome: http1.NotRun}
	}
}

// kindOf names failures that come before anything is sent.
func kindOf(err error) (int, string) {
	var (
		unauthenticated *UnauthenticatedError
		starting        *NoConfigurationError
		seal            *hop.SealError
		path            *PathError
		noRoute         *NoRouteError
		depth           *DepthError
		header          *hop.HeaderError
		noTarget        *NoTargetError
	)
	switch {
	case errors.As(err, &unauthenticated):
		return http.StatusUnauthorized, "unauthenticated"
	case errors.As(err, &seal):
		return http.StatusUnauthorized, "unknown-parent-call"
	case errors.As(err, &path):
		return http.StatusBadRequest, "ambiguous-path"
	case errors.As(err, &noRoute):
		return http.StatusNotFound, "no-route"
	case errors.As(err, &depth):
		return http.StatusLoopDetected, "too-deep"
	case errors.As(err, &header):
		return http.StatusBadRequest, "bad-header"
	case errors.As(err, &noTarget):
		return http.StatusServiceUnavailable, "no-target"
	case errors.As(err, &starting):
		return http.StatusServiceUnavailable, "no-configuration"
	default:
		return http.StatusInternalServerError, "internal"
	}
}
