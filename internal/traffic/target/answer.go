package target

import (
	"errors"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// finish answers a call that got no answer of the target.
func (c *call) finish(began bool, err error) {
	if err == nil {
		return
	}
	refusal := refusalOf(err)
	c.tellRefusal(err, refusal)
	if began {
		// What was passed on must not look whole.
		panic(http.ErrAbortHandler)
	}
	c.h.meters.refused(refusal)
	c.w.Header()[hop.LoadHeader] = []string{c.h.slots.load(c.meta.Route())}
	http1.Refuse(c.w, refusal)
}

// targetFullRetry is when a call may come back that the target itself had no
// room for, although its node counts its slots: about one service time.
const targetFullRetry = 50 * time.Millisecond

// refusalOf is the one place that decides how a failure is told to nodes.
func refusalOf(err error) *http1.Refusal {
	var (
		stranger *StrangerError
		pool     *PoolError
		refused  *RefusedError
		instance *InstanceError
		own      *TargetRefusedError
		header   *hop.HeaderError
		refusal  *http1.Refusal
		failure  hop.Failure
	)
	r := &http1.Refusal{Message: err.Error(), Outcome: http1.NotRun}
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &failure):
		return hop.RefusalOf(failure)
	case errors.As(err, &stranger):
		r.Status, r.Type = http.StatusUnauthorized, hop.KindNotOfTheFleet
	case errors.As(err, &pool):
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongPool
	case errors.As(err, &instance):
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongInstance
	case errors.As(err, &own) && own.Status == http.StatusMisdirectedRequest:
		r.Status, r.Type = http.StatusMisdirectedRequest, hop.KindWrongInstance
	case errors.As(err, &own):
		r.Status, r.Type, r.RetryAfter = http.StatusServiceUnavailable, hop.KindTargetFull, targetFullRetry
	case errors.As(err, &header):
		r.Status, r.Type = http.StatusBadRequest, "bad-header"
	case errors.As(err, &refused):
		r.Status, r.Type, r.RetryAfter = http.StatusServiceUnavailable, refused.Reason, refused.RetryAfter
	default:
		r.Status, r.Type = http.StatusInternalServerError, "internal"
	}
	return r
}
