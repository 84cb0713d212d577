package caller

import (
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// servedSample is how many answers there are to one line: plain successes are
// counted by metrics, and the lines only show what usual ones look like.
const servedSample = 512

// tellAttempt writes down how an attempt failed and what follows.
func (c *call) tellAttempt(err error, after time.Duration, gaveUp error) {
	next := "sent again"
	if gaveUp != nil {
		next = "given up"
	}
	c.h.meters.failed(outcomeOf(err), next)
	if c.h.log == nil {
		return
	}
	c.h.log.Emit(event.AttemptFailed, append(c.identity(),
		event.F("error", err), event.F("not_run", notRun(err)), event.F("next", next), event.F("after_ms", after.Milliseconds()))...)
}

// tellEnd writes down how the call ended; err is what ended it without an answer.
func (c *call) tellEnd(res result, refusal *http1.Refusal, err error) {
	switch {
	case c.h.log == nil:
	case refusal == nil:
		if c.attempts.Attempts() > 0 || c.h.served.Add(1)%servedSample == 1 {
			c.h.log.Emit(event.CallServed, append(c.identity(), event.F("status", res.status))...)
		}
	case gone(c.r.Context()):
		c.h.log.Emit(event.CallLeft, c.identity()...)
	default:
		fields := append(c.identity(),
			event.F("status", refusal.Told()), event.F("cause", refusal.Type), event.F("outcome", string(refusal.Outcome)),
			event.F("detail", refusal.Message), event.F("retry_after_ms", refusal.RetryAfter.Milliseconds()))
		var none *NoTargetError
		if errors.As(err, &none) {
			fields = append(fields, event.F("no_target", none.Reason))
		}
		c.h.log.Emit(event.CallFailed, fields...)
	}
}

// identity says which call it is, by what it was decided and how far it has come.
func (c *call) identity() []event.Field {
	fields := []event.Field{
		event.F("id", c.id), event.F("route", c.rt.Name()), event.F("pool", c.rt.Pool()), event.F("version", c.snap.Version()),
		event.F("took_ms", c.h.clk.Since(c.began).Milliseconds()), event.F("waited_before_ms", c.waited.Milliseconds()),
		event.F("attempts", len(c.tried)),
	}
	if !c.until.IsZero() { // a call that no route allows has no time of its own
		fields = append(fields, event.F("left_ms", c.until.Sub(c.h.clk.Now()).Milliseconds()))
	}
	if n := len(c.tried); n > 0 {
		fields = append(fields, targetFields(c.tried[n-1], c.h.clk.Now(), c.h.balancer)...)
	}
	return fields
}

// targetFields names a target with what was believed of it, and how old that is.
func targetFields(p balance.Picked, now time.Time, b *balance.Balancer) []event.Field {
	r := p.Record()
	load, age := b.Belief(now, p)
	return []event.Field{
		event.F("instance", r.Instance()), event.F("target", r.Target()), event.F("failure_domain", r.Domain()),
		event.F("load_told", load), event.F("load_age_ms", age.Milliseconds()),
	}
}
