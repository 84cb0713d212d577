package admission

import (
	"time"

	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// Request is a call that asks to run on the target.
type Request struct {
	org      string
	class    snapshot.Class
	route    string
	deadline time.Time
}

// NewRequest returns a request by an organisation of a class, on a route whose
// calls take alike, that is worth nothing after deadline.
func NewRequest(org string, class snapshot.Class, route string, deadline time.Time) Request {
	return Request{org: org, class: class, route: route, deadline: deadline}
}

// Ticket stands for one call from Enter to Leave; it is comparable.
type Ticket struct {
	c   *call
	gen uint32
}

// Outcome says how a call left.
type Outcome uint8

// The ways a call leaves.
const (
	// Done is an answer by the target, whatever its status.
	Done Outcome = iota + 1
	// Failed is a call that broke off, or timed out, after it began.
	Failed
	// Cancelled is a call whose caller went away, in the queue or running.
	Cancelled
	// Shed is the target's own refusal, which says that it has fewer slots
	// than declared just now.
	Shed
)

// call is the gate's record of one ticket; records are used again, and gen
// tells a late Leave of an earlier use apart.
type call struct {
	gen         uint32
	state       callState
	class       snapshot.Class
	long        bool
	org         *org
	work        *work
	start       int64
	deadline    int64
	latestStart int64
}

type callState uint8

const (
	idle callState = iota
	queued
	running
)

func (c *call) ticket() Ticket { return Ticket{c: c, gen: c.gen} }
