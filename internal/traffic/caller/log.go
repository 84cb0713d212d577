package caller

import (
	"errors"
	"time"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/balance"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// successesPerLogLine is the sampling interval for logging calls that succeeded without
// a failed attempt; metrics count all of them.
const successesPerLogLine = 512

// logFailedAttempt counts and logs a failed attempt. If gaveUp is nil, another attempt
// follows after the given delay.
func (c *call) logFailedAttempt(err error, after time.Duration, gaveUp error) {
	next := "sent again"
	if gaveUp != nil {
		next = "given up"
	}
	c.h.callMetrics.countFailedAttempt(outcomeOf(err), next)
	if c.h.callLog == nil {
		return
	}
	c.h.callLog.Emit(event.AttemptFailed, append(c.logFields(),
		event.F("error", err), event.F("not_run", notRun(err)), event.F("next", next), event.F("after_ms", after.Milliseconds()))...)
}

// logEnd logs how the call ended; err is the error of a call without a response.
func (c *call) logEnd(res result, refusal *http1.Refusal, err error) {
	switch {
	case c.h.callLog == nil:
	case refusal == nil:
		if c.attempts.Attempts() > 0 || c.h.successes.Add(1)%successesPerLogLine == 1 {
			c.h.callLog.Emit(event.CallServed, append(c.logFields(), event.F("status", res.status))...)
		}
	case callerDisconnected(c.r.Context()):
		c.h.callLog.Emit(event.CallerDisconnected, c.logFields()...)
	default:
		fields := append(c.logFields(),
			event.F("status", refusal.StatusSent()), event.F("cause", refusal.Type), event.F("outcome", string(refusal.Outcome)),
			event.F("detail", refusal.Message), event.F("retry_after_ms", refusal.RetryAfter.Milliseconds()))
		var noTarget *NoTargetError
		if errors.As(err, &noTarget) {
			fields = append(fields, event.F("no_target", noTarget.Reason))
		}
		fields = append(fields, c.configFields(err)...)
		c.h.callLog.Emit(event.CallFailed, fields...)
	}
}

// configFields returns how current the configuration is that does not allow a call.
func (c *call) configFields(err error) []event.Field {
	var (
		noRoute *NoRouteError
		unknown *UnauthenticatedError
	)
	cfg, ok := c.h.config.(AgedConfig)
	if !ok || !errors.As(err, &noRoute) && !errors.As(err, &unknown) {
		return nil
	}
	return []event.Field{
		event.F("newest_known", cfg.NewestKnown()), event.F("config_age_ms", cfg.ConfigAge().Milliseconds()),
		event.F("data_age_ms", cfg.DataAge().Milliseconds()),
	}
}

// logFields returns the fields that identify the call, its configuration and its
// progress.
func (c *call) logFields() []event.Field {
	fields := []event.Field{
		event.F("id", c.id), event.F("route", c.rt.Name()), event.F("pool", c.rt.Pool()), event.F("version", c.snap.Version()),
		event.F("took_ms", c.h.clk.Since(c.start).Milliseconds()), event.F("waited_before_ms", c.waitedBefore.Milliseconds()),
		event.F("attempts", len(c.tried)),
	}
	if !c.deadline.IsZero() { // the deadline is set only after a route has matched
		fields = append(fields, event.F("left_ms", c.deadline.Sub(c.h.clk.Now()).Milliseconds()))
	}
	if n := len(c.tried); n > 0 {
		fields = append(fields, targetFields(c.tried[n-1], c.h.clk.Now(), c.h.balancer)...)
	}
	return fields
}

// targetFields returns the fields that identify a target, its last reported load and
// the age of that report.
func targetFields(p balance.Picked, now time.Time, b *balance.Balancer) []event.Field {
	r := p.Record()
	load, age := b.ReportedLoad(now, p)
	return []event.Field{
		event.F("instance", r.Instance()), event.F("target", r.TargetID()), event.F("failure_domain", r.Domain()),
		event.F("load_told", load), event.F("load_age_ms", age.Milliseconds()),
	}
}
