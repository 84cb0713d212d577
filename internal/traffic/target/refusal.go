package target

import (
	"errors"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// finish refuses a call that has no complete response from the target.
func (c *call) finish(headSent bool, err error) {
	if err == nil {
		return
	}
	refusal := refusalOf(err)
	c.logRefusal(err, refusal)
	if headSent {
		// A partial response must not look complete.
		panic(http.ErrAbortHandler)
	}
	c.h.callMetrics.countRefusal(refusal)
	c.w.Header()[hop.LoadHeader] = []string{c.h.slots.loadHeader(c.meta.Route())}
	http1.Refuse(c.w, refusal)
}

// targetFullRetryAfter is the Retry-After of a call that the target itself
// rejected as overloaded although its node had a free slot: about one service time.
const targetFullRetryAfter = 50 * time.Millisecond

// refusalOf maps each error to the refusal that the sending node gets.
func refusalOf(err error) *http1.Refusal {
	var (
		unauthenticated *UnauthenticatedError
		wrongPool       *WrongPoolError
		refused         *RefusedError
		wrongInstance   *WrongInstanceError
		rejected        *TargetRejectedError
		header          *hop.HeaderError
		refusal         *http1.Refusal
		failure         hop.Failure
	)
	r := &http1.Refusal{Message: err.Error(), Outcome: http1.NotRun}
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &failure):
		return hop.RefusalOf(failure)
	case errors.As(err, &unauthenticated):
		r.Status, r.Type = http.StatusUnauthorized, hop.KindUnauthenticated
	case errors.As(err, &wrongPool):
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongPool
	case errors.As(err, &wrongInstance):
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongInstance
	case errors.As(err, &rejected) && rejected.Status == http.StatusMisdirectedRequest:
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongInstance
	case errors.As(err, &rejected):
		r.Status, r.Type, r.RetryAfter = http.StatusServiceUnavailable, hop.KindTargetFull, targetFullRetryAfter
	case errors.As(err, &header):
		r.Status, r.Type = http.StatusBadRequest, "bad-header"
	case errors.As(err, &refused):
		r.Status, r.Type, r.RetryAfter = http.StatusServiceUnavailable, refused.Reason, refused.RetryAfter
	default:
		r.Status, r.Type = http.StatusInternalServerError, "internal"
	}
	return r
}
