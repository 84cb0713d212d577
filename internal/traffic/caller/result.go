package caller

import (
	"context"
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// result is the outcome of a call.
type result struct {
	status   int
	headSent bool // the status and headers of the response went to the caller
	recorded *Recorded
}

// relayToCaller relays the target's response to the caller.
func (c *call) relayToCaller(resp *hop.Response) (result, error) {
	relayed, err := hop.Relay(c.w, resp, c.claim != nil)
	res := result{status: resp.Status(), headSent: relayed.Began()}
	if body, ok := relayed.Body(); ok && err == nil {
		res.recorded = NewRecorded(resp.Status(), resp.Header(), body)
	}
	return res, err
}

// finish counts and logs a call that has ended, and sends the caller a refusal if
// no target responded.
func (c *call) finish(res result, err error) {
	if err == nil {
		c.h.callMetrics.recordCall(c, res.status, nil)
		c.logEnd(res, nil, nil)
		return
	}
	refusal := refusalOf(err)
	c.h.callMetrics.recordCall(c, res.status, refusal)
	c.logEnd(res, refusal, err)
	if res.headSent || callerDisconnected(c.r.Context()) {
		// Abort the connection: a partial response must not look complete, and a
		// disconnected caller reads nothing.
		panic(http.ErrAbortHandler)
	}
	reply := *refusal
	if reply.Status == http.StatusMisdirectedRequest {
		// This node's membership or configuration was stale; the caller's request
		// was not at fault.
		reply.Status = http.StatusServiceUnavailable
	}
	reply.FractionalRetryAfter = c.h.headerNames.FractionalRetryAfter()
	c.h.headerNames.Echo(c.w.Header(), c.id)
	http1.Refuse(c.w, &reply)
}

func callerDisconnected(ctx context.Context) bool {
	var disconnected *http1.ClientDisconnectedError
	return errors.As(context.Cause(ctx), &disconnected)
}

// refusalOf maps the error that ended a call to the refusal that its caller gets.
func refusalOf(err error) *http1.Refusal {
	var gaveUp *GaveUpError
	if !errors.As(err, &gaveUp) {
		return attemptRefusal(err)
	}
	cause := gaveUp.Err
	var noTarget *NoTargetError
	if errors.As(cause, &noTarget) && noTarget.Last != nil {
		cause = noTarget.Last
	}
	r := *attemptRefusal(cause)
	// An earlier attempt may have run even if the last one did not.
	if gaveUp.MayHaveRun {
		r.Outcome = http1.Unknown
	}
	r.RetryAfter = gaveUp.RetryAfter
	return &r
}

// attemptRefusal maps the error of one attempt, or of a call without an attempt.
func attemptRefusal(err error) *http1.Refusal {
	var (
		refused  *RefusedError
		refusal  *http1.Refusal
		limit    *LimitError
		delayed  *OverloadedError
		starting *NoConfigurationError
		stopping *StoppingError
		failure  hop.Failure
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
	case errors.As(err, &delayed):
		return &http1.Refusal{
			Status: http.StatusServiceUnavailable, Type: hop.KindOverloaded, Message: err.Error(),
			Outcome: http1.NotRun, RetryAfter: overloadedRetryAfter,
		}
	case errors.As(err, &starting):
		return &http1.Refusal{
			Status: http.StatusServiceUnavailable, Type: "no-configuration", Message: err.Error(),
			Outcome: http1.NotRun, RetryAfter: starting.RetryAfter,
		}
	case errors.As(err, &stopping):
		return &http1.Refusal{
			Status: http.StatusServiceUnavailable, Type: hop.KindDraining, Message: err.Error(),
			Outcome: http1.NotRun, RetryAfter: stoppingRetryAfter,
		}
	case errors.As(err, &failure):
		return hop.RefusalOf(failure)
	default:
		status, kind := statusAndType(err)
		return &http1.Refusal{Status: status, Type: kind, Message: err.Error(), Outcome: http1.NotRun}
	}
}

// statusAndType returns the status code and refusal type of a failure that
// happened before anything was sent.
func statusAndType(err error) (int, string) {
	var (
		unauthenticated *UnauthenticatedError
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
	default:
		return http.StatusInternalServerError, "internal"
	}
}
