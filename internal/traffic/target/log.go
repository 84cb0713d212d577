package target

import (
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// responsesPerLogLine is the sampling interval of responses without a server
// error, the same as in package caller.
const responsesPerLogLine = 512

// logResponse logs each server error of the target and a sample of its other
// responses.
func (c *call) logResponse(status int) {
	if c.h.callLog == nil || status < http.StatusInternalServerError && c.h.responses.Add(1)%responsesPerLogLine != 1 {
		return
	}
	c.h.callLog.Emit(event.TargetResponded, append(c.logFields(), event.F("status", status))...)
}

// logRefusal logs why a call got no response from the target.
func (c *call) logRefusal(err error, refusal *http1.Refusal) {
	if c.h.callLog == nil {
		return
	}
	code := event.SlotRefused
	var failure hop.Failure
	if errors.As(err, &failure) {
		code = event.TargetFailed
	}
	c.h.callLog.Emit(code, append(c.logFields(), event.F("reason", refusal.Type), event.F("outcome", string(refusal.Outcome)),
		event.F("detail", refusal.Message), event.F("retry_after_ms", refusal.RetryAfter.Milliseconds()))...)
}

// logFields returns the fields that identify the call, and the target's current load.
func (c *call) logFields() []event.Field {
	load := c.h.slots.Load()
	fields := []event.Field{
		event.F("id", c.id), event.F("route", c.meta.Route()), event.F("priority", c.meta.Priority()),
		event.F("took_ms", c.h.clk.Since(c.start).Milliseconds()), event.F("left_ms", c.deadline.Sub(c.h.clk.Now()).Milliseconds()),
		event.F("due_in_ms", c.meta.SoftDeadline().Milliseconds()),
		event.F("running", load.Running(snapshot.Paying)+load.Running(snapshot.Trial)),
		event.F("waiting", load.Waiting(snapshot.Paying)+load.Waiting(snapshot.Trial)),
		event.F("slots", load.Slots()), event.F("service_ms", load.ServiceTime().Milliseconds()),
	}
	if t := c.h.slots.process.Load(); t != nil {
		fields = append(fields, event.F("target", t.ID()), event.F("phase", t.Phase()))
	}
	return fields
}
