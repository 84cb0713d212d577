package target

import (
	"context"
	"net/http"
	"time"

	"banyanlug.example/banyanlug/internal/traffic/hop"
)

// Gate decides about the target's slots.
type Gate interface {
	// Enter waits until the call may run on the target, or returns a
	// RefusedError at once when it is not going to.
	Enter(ctx context.Context, meta hop.Meta, until time.Time) (Pass, error)
}

// Pass is a call's right to a slot.
type Pass interface {
	Leave(how Leaving)
}

// Leaving says how a call left its slot.
type Leaving uint8

// The ways a call leaves its slot.
const (
	// Done is an answer by the target, whatever its status.
	Done Leaving = iota + 1
	// Failed is a call that broke off, or timed out, after it began.
	Failed
	// Cancelled is a call whose caller went away, or that was not begun.
	Cancelled
	// Shed is the target's own refusal.
	Shed
)

func (c *call) admit() (Pass, error) {
	return c.h.gate.Enter(c.r.Context(), c.meta, c.until)
}

func leaving(status int, err error) Leaving {
	switch {
	case err != nil:
		return Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Shed
	default:
		return Done
	}
}

type open struct{}

func (open) Enter(context.Context, hop.Meta, time.Time) (Pass, error) { return open{}, nil }
func (open) Leave(Leaving)                                            {}
