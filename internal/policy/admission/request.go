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
	due      time.Time
	rank     int
}

// RequestOption sets one property of a request. It is a value and no function,
// since a function would cost each call an allocation.
type RequestOption struct {
	due  time.Time
	rank int
}

// Due sets when an answer loses most of its worth to the caller. A call waits
// only if it can be expected to end by then, and the calls due first go first.
func Due(t time.Time) RequestOption { return RequestOption{due: t} }

// Rank sets which calls go before others of their class: 0 is the highest.
func Rank(n int) RequestOption { return RequestOption{rank: n} }

// NewRequest returns a request by an organisation of a class, on a route whose
// calls take alike, that is worth nothing after deadline.
func NewRequest(org string, class snapshot.Class, route string, deadline time.Time, opts ...RequestOption) Request {
	r := Request{org: org, class: class, route: route, deadline: deadline, due: deadline}
	for _, opt := range opts {
		if !opt.due.IsZero() && opt.due.Before(deadline) {
			r.due = opt.due
		}
		r.rank += opt.rank
	}
	return r
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
	level       int // calls that ran when it began, itself included
	deadline    int64
	due         int64
	rank        int
	late        bool // can't end by its due time
	latestStart int64
}

// before reports whether c goes before other in their queue: a higher rank, then
// one that can still end by its due time, then an earlier due time. Without the rank a flood of calls that are due soon would
// keep those of a higher rank, which may wait longer, waiting until it is too
// late for them.
func (c *call) before(other *call) bool {
	switch {
	case c.rank != other.rank:
		return c.rank < other.rank
	case c.late != other.late:
		return other.late
	default:
		return c.due < other.due
	}
}

type callState uint8

const (
	idle callState = iota
	queued
	running
)

func (c *call) ticket() Ticket { return Ticket{c: c, gen: c.gen} }
