package target

import (
	"errors"
	"net/http"

	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/traffic/hop"
	"banyanlug.example/banyanlug/internal/traffic/http1"
)

// answeredSample is how many answers there are to one line, as at the caller's
// node.
const answeredSample = 512

// tellAnswer writes down what the target answered, if it is unusual.
func (c *call) tellAnswer(status int) {
	if c.h.decisions == nil || status < http.StatusInternalServerError && c.h.answered.Add(1)%answeredSample != 1 {
		return
	}
	c.h.decisions.Emit(event.TargetAnswered, append(c.identity(), event.F("status", status))...)
}

// tellRefusal writes down why a call got no answer of the target.
func (c *call) tellRefusal(err error, refusal *http1.Refusal) {
	if c.h.decisions == nil {
		return
	}
	code := event.SlotRefused
	var failure hop.Failure
	if errors.As(err, &failure) {
		code = event.TargetFailed
	}
	c.h.decisions.Emit(code, append(c.identity(), event.F("reason", refusal.Type), event.F("outcome", string(refusal.Outcome)),
		event.F("detail", refusal.Message), event.F("retry_after_ms", refusal.RetryAfter.Milliseconds()))...)
}

// identity says which call it is, and the load that decides about it now.
func (c *call) identity() []event.Field {
	load := c.h.slots.Load()
	fields := []event.Field{
		event.F("id", c.id), event.F("route", c.meta.Route()), event.F("priority", c.meta.Priority()),
		event.F("took_ms", c.h.clk.Since(c.began).Milliseconds()), event.F("left_ms", c.until.Sub(c.h.clk.Now()).Milliseconds()),
		event.F("due_in_ms", c.meta.Due().Milliseconds()),
		event.F("running", load.Running(snapshot.Paying)+load.Running(snapshot.Trial)),
		event.F("waiting", load.Waiting(snapshot.Paying)+load.Waiting(snapshot.Trial)),
		event.F("slots", load.Slots()), event.F("service_ms", load.Service().Milliseconds()),
	}
	if t := c.h.slots.beside.Load(); t != nil {
		fields = append(fields, event.F("target", t.ID()), event.F("phase", t.Phase()))
	}
	return fields
}
