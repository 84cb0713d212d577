package admission

import (
	"fmt"
	"time"
)

// Decision is Admitted, Queued or Refused.
type Decision interface{ isDecision() }

// Admitted lets the call run now.
type Admitted struct{ c *call }

// Queued makes the call wait until a Wake names its ticket. It holds a copy of
// the ticket, not the gate's record: another call may displace this one before
// the caller reads the decision, and the gate then reuses the record.
type Queued struct{ ticket Ticket }

// Refused means that the call does not run.
type Refused struct {
	reason     Reason
	retryAfter time.Duration
}

// Ticket returns the ticket to pass to Leave; read it before Leave.
func (d Admitted) Ticket() Ticket { return d.c.ticket() }

// Ticket returns the ticket to wait for and to pass to Leave.
func (d Queued) Ticket() Ticket { return d.ticket }

// Reason returns why the call is refused.
func (d Refused) Reason() Reason { return d.reason }

// RetryAfter returns how long to wait before sending the call to this target
// again.
func (d Refused) RetryAfter() time.Duration { return d.retryAfter }

func (Admitted) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Reason says why a call is refused.
type Reason uint8

// The reasons.
const (
	// TooLate refuses a call that is not expected to end by its soft deadline.
	TooLate Reason = iota + 1
	// QueueFull refuses a call for which the queue has no space.
	QueueFull
	// Displaced refuses a waiting call in favour of an organisation with fewer
	// waiting calls.
	Displaced
	// Outranked refuses a waiting call in favour of one of a higher rank, or of the same
	// rank and a lower level.
	Outranked
	// Draining refuses a call to a target that is draining.
	Draining
	// NoTrialSlots refuses a trial call to a target whose slots are all promised.
	NoTrialSlots
)

// String returns the reason as responses and metrics show it.
func (r Reason) String() string {
	switch r {
	case TooLate:
		return "too_late"
	case QueueFull:
		return "queue_full"
	case Displaced:
		return "displaced"
	case Outranked:
		return "outranked"
	case Draining:
		return "draining"
	case NoTrialSlots:
		return "no_trial_slots"
	default:
		return fmt.Sprintf("reason_%d", uint8(r))
	}
}

// Wake reports the decision about a call that waited.
type Wake struct {
	ticket   Ticket
	decision Decision
}

// Ticket returns the ticket that waited.
func (w Wake) Ticket() Ticket { return w.ticket }

// Decision returns Admitted or Refused; after Refused the ticket is invalid.
func (w Wake) Decision() Decision { return w.decision }
