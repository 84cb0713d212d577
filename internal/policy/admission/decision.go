package admission

import (
	"fmt"
	"time"
)

// Decision is Admitted, Queued or Refused.
type Decision interface{ isDecision() }

// Admitted lets the call run now.
type Admitted struct{ c *call }

// Queued makes the call wait until a Wake names its ticket. It holds the ticket
// itself: by the time its owner reads it another call may have displaced this
// one, and its record may be in use again. The owner would then wait for a wake
// that never comes.
type Queued struct{ ticket Ticket }

// Refused turns the call away; it has not run.
type Refused struct {
	reason     Reason
	retryAfter time.Duration
}

// Ticket returns what to give to Leave; read it before Leave.
func (d Admitted) Ticket() Ticket { return d.c.ticket() }

// Ticket returns what to wait for and to give to Leave.
func (d Queued) Ticket() Ticket { return d.ticket }

// Reason returns why the call is turned away.
func (d Refused) Reason() Reason { return d.reason }

// RetryAfter returns when the call may come back to this target.
func (d Refused) RetryAfter() time.Duration { return d.retryAfter }

func (Admitted) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Reason says why a call is turned away.
type Reason uint8

// The reasons.
const (
	// TooLate is a call that can't be expected to end by its due time.
	TooLate Reason = iota + 1
	// QueueFull is a call for which there is no room to wait.
	QueueFull
	// Displaced is a waiting call that made room for an organisation with less
	// waiting.
	Displaced
	// Outranked is a waiting call that made room for one of a higher rank.
	Outranked
	// Draining is a call to a target that is leaving.
	Draining
	// NoTrialSlots is a trial call to a target whose slots are all promised.
	NoTrialSlots
)

// String returns the reason as answers and metrics show it.
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

// Wake tells the owner of a queued ticket what became of it.
type Wake struct {
	ticket   Ticket
	decision Decision
}

// Ticket returns the ticket that waited.
func (w Wake) Ticket() Ticket { return w.ticket }

// Decision returns Admitted or Refused; after Refused the ticket is void.
func (w Wake) Decision() Decision { return w.decision }
